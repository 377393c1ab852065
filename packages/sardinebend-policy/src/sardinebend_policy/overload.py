"""Decides which requests an overloaded host can still begin in time."""

import typing

# Passes through its tasks that a host needs from the first byte of a request
# until the first byte of its answer: accept, read, choose, connect, send, read
# the answer's head and body, answer.
BEGIN_PASSES: typing.Final = 8
# Share of the time left that may pass until then; the endpoint needs the rest.
MAX_BEGIN_SHARE: typing.Final = 0.5
# Callers of streams leave after about this time without an event.
MAX_BEGIN_S: typing.Final = 2.0


def can_begin(
    overload_s: float, time_left_s: float, is_alone: bool = False
) -> bool:
    """Returns whether a request's answer can begin while its caller waits.

    Args:
        overload_s: How late the tasks of the host run, once for each pass; 0 if
            it isn't overloaded.
        time_left_s: Time until the deadline of the request.
        is_alone: Whether the host has no other request. What makes it late is
            something else then, which no refusal ends, so it refuses only what
            would be over before its answer begins.
    """
    limit_s = time_left_s
    if not is_alone:
        limit_s = min(MAX_BEGIN_S, MAX_BEGIN_SHARE * time_left_s)
    return not overload_s or overload_s * BEGIN_PASSES <= limit_s
