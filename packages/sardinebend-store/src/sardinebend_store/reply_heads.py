"""Limits for the heads of replies: their sizes and interim responses."""

import typing

import h11
import httpcore

# A server usually sends at most one, while a request takes long.
MAX_INTERIM_RESPONSES: typing.Final = 8


class LimitedConnection(httpcore.AsyncHTTP11Connection):
    """An HTTP/1.1 connection that fails at a head beyond the limits.

    More than `MAX_INTERIM_RESPONSES` responses with status 1xx are an error.
    `httpcore` reads them without a limit, and thousands of them without
    letting another task run.
    """

    _interim_count = 0

    # `httpcore` has no public way to see interim responses. Counting them in
    # the bytes would need a second parser.
    async def _receive_event(
        self, timeout: float | None = None
    ) -> h11.Event | type[h11.PAUSED]:
        event = await super()._receive_event(timeout)
        if isinstance(event, h11.InformationalResponse):
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise httpcore.RemoteProtocolError('too many interim responses')
        elif isinstance(event, h11.Response):
            self._interim_count = 0
        return event
