"""The era that a store names in its answers.

A store may come back from an older copy of itself; each time, its era rises by
one. `feeds.make_version` joins an era and a number that the store gave out.
"""

import logging
import typing

from sardinebend_store import connections

_MAX_ERA_DIGITS: typing.Final = 6
_LOGGER = logging.getLogger(__name__)


class EraHeader:
    """The header of a store's answers that names its era."""

    def __init__(self, name: str) -> None:
        """Creates a reader.

        Args:
            name: Name of the header, in lower case.
        """
        self._name = name
        self._logged_causes: set[str] = set()

    def read(self, reply: connections.Reply, known_era: int) -> int | None:
        """Returns the era that a reply names; 0 if it names none.

        The result is `None` if the reply can't be used: it is of an earlier era
        than the one known, or doesn't tell of which.
        """
        text = reply.headers.get(self._name, '0')
        cause = ''
        if not (text.isdecimal() and len(text) <= _MAX_ERA_DIGITS):
            cause = 'is not a number'
        elif int(text) < known_era:
            is_missing = self._name not in reply.headers
            cause = 'is missing' if is_missing else 'is lower than before'
        else:
            return int(text)
        if cause not in self._logged_causes:
            self._logged_causes.add(cause)
            _LOGGER.warning('header %s of the store %s', self._name, cause)
        return None
