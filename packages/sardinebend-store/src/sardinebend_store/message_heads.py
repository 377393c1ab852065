"""Checks the heads of HTTP messages before they are parsed.

The parser accepts more than is valid: it joins a line that begins with a blank
to the field before it, and keeps control characters in values.
"""

import re
import typing

_END: typing.Final = re.compile(rb'\n\r?\n')
# RFC 9112, section 5.2: a line that begins with a blank. RFC 9110, section
# 5.5: control characters other than a tab.
_FOLDED_LINE: typing.Final = re.compile(rb'\n[ \t]')
_CONTROL_CHARACTER: typing.Final = re.compile(
    rb'[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r[^\n]'
)


def find_fault(data: bytes) -> str:
    """Returns why a head isn't valid; empty if nothing is wrong so far.

    Args:
        data: A head or a piece of it, with the byte before the piece. What
            follows the end of the head isn't looked at.
    """
    end = _END.search(data)
    head = data if end is None else data[: end.end()]
    if _FOLDED_LINE.search(head):
        return 'a line of the head begins with a blank'
    if _CONTROL_CHARACTER.search(head):
        return 'a control character in the head'
    return ''
