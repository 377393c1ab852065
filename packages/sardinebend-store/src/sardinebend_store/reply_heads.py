"""Connections that check the heads and ends of replies."""

import collections.abc
import typing

import h11
import httpcore

from sardinebend_store import message_heads

# A server usually sends at most one, while a request takes long.
MAX_INTERIM_RESPONSES: typing.Final = 8
# Servers send some ten fields. Each takes some 100 bytes besides its own, and
# heads are kept while their bodies arrive.
MAX_FIELDS: typing.Final = 256
MAX_HEAD_BYTES: typing.Final = 64 * 1024
STATUS_HEAD_TOO_LARGE: typing.Final = 431
# The parser refuses those below 100 only.
STATUS_END: typing.Final = 600
# Chunks that are joined at a time; other tasks wait some 11 us for each.
MAX_JOINED_CHUNKS: typing.Final = 256


class JoinedChunks(bytes):
    """A part of a body.

    Attributes:
        chunk_count: Number of chunks in which it arrived. Each takes processor
            time, which whoever paces the reading counts.
    """

    chunk_count = 1


def count_chunks(data: bytes) -> int:
    """Returns the number of chunks in which a part of a body arrived."""
    return data.chunk_count if isinstance(data, JoinedChunks) else 1


class _Parser(h11.Connection):
    """A parser of replies that refuses heads that aren't valid."""

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event.

        Raises:
            h11.RemoteProtocolError: The bytes aren't a valid reply.
        """
        if self.their_state is h11.SEND_RESPONSE:
            unread_bytes, _ = self.trailing_data
            fault = message_heads.find_fault(unread_bytes)
            if fault:
                raise h11.RemoteProtocolError(fault)
        return super().next_event()


class LimitedConnection(httpcore.AsyncHTTP11Connection):
    """An HTTP/1.1 connection that fails at replies that may not be whole.

    A reply that only the end of the connection ends isn't taken for a whole one
    if the request could not be sent: the connection was reset.

    It returns a body in the pieces in which it arrives, not in its chunks: a
    host that is behind catches up with all of a stream's events at a time.

    A head is too large with more than `MAX_FIELDS` fields or `MAX_HEAD_BYTES`.
    More than `MAX_INTERIM_RESPONSES` responses with status 1xx are an error.
    `httpcore` reads them without a limit, and thousands of them without
    letting another task run.

    Attributes:
        send_failure: The error that ended the sending of a request; empty if
            there was none.
        ends_with_connection: Whether nothing but the end of the connection
            ended the last reply.
    """

    _interim_count = 0

    def __init__(
        self, origin: httpcore.Origin, stream: httpcore.AsyncNetworkStream
    ) -> None:
        super().__init__(origin, stream)
        # The limit holds for each part of a reply that has no end yet: a head,
        # the line of a chunk's size, trailers.
        self._h11_state = _Parser(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.send_failure = ''
        self.ends_with_connection = False

    # `httpcore` drops the error and reads the reply all the same.
    async def _send_event(
        self, event: h11.Event, timeout: float | None = None
    ) -> None:
        try:
            await super()._send_event(event, timeout)
        except httpcore.WriteError as exc:
            self.send_failure = f'{type(exc).__name__}: {exc}'
            raise

    # `httpcore` has no public way to see interim responses. Counting them in
    # the bytes would need a second parser.
    async def _receive_event(
        self, timeout: float | None = None
    ) -> h11.Event | type[h11.PAUSED]:
        event = await super()._receive_event(timeout)
        if isinstance(event, (h11.InformationalResponse, h11.Response)):
            _check_start(event)
        if isinstance(event, h11.InformationalResponse):
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise httpcore.RemoteProtocolError('too many interim responses')
        elif isinstance(event, h11.Response):
            self._interim_count = 0
            if _is_too_large(event):
                # The error would keep it for as long as its traceback.
                del event
                raise _make_error()
        elif isinstance(event, h11.EndOfMessage):
            _, self.ends_with_connection = self._h11_state.trailing_data
            if self.ends_with_connection and self.send_failure:
                # The kernel reports a reset once. If a write got that report,
                # the reads that follow look like those of an orderly end.
                raise httpcore.ReadError(
                    'the connection ended the reply, and failed while the'
                    f' request was sent: {self.send_failure}'
                )
        return event

    # `httpcore` yields each chunk by itself.
    async def _receive_response_body(
        self, request: httpcore.Request
    ) -> collections.abc.AsyncIterator[bytes]:
        timeout = request.extensions.get('timeout', {}).get('read', None)
        event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
        event = await self._receive_event(timeout)
        while isinstance(event, h11.Data):
            pieces = [bytes(event.data)]
            failure = None
            try:
                while len(pieces) < MAX_JOINED_CHUNKS and isinstance(
                    event := self._h11_state.next_event(), h11.Data
                ):
                    pieces.append(bytes(event.data))
            except h11.RemoteProtocolError as exc:
                failure = exc
            joined = JoinedChunks(b''.join(pieces))
            is_more = len(pieces) == MAX_JOINED_CHUNKS
            joined.chunk_count = len(pieces)
            # The next part may never come.
            del pieces
            yield joined
            del joined
            if failure is not None:
                raise httpcore.RemoteProtocolError(failure) from failure
            if event is h11.NEED_DATA or is_more:
                event = await self._receive_event(timeout)


def _check_start(response: h11.InformationalResponse | h11.Response) -> None:
    if response.status_code >= STATUS_END:
        raise httpcore.RemoteProtocolError(
            f'status {response.status_code} is not valid'
        )
    version = response.http_version.decode()
    if not version.startswith('1.'):
        raise httpcore.RemoteProtocolError(f'HTTP/{version} was not asked for')


def _is_too_large(response: h11.Response) -> bool:
    headers = response.headers
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    return len(headers) > MAX_FIELDS or size > MAX_HEAD_BYTES


def _make_error() -> httpcore.RemoteProtocolError:
    """Returns the error that the parser has for a head that is too large."""
    error = httpcore.RemoteProtocolError('head too large')
    error.__cause__ = h11.RemoteProtocolError(
        'head too large', error_status_hint=STATUS_HEAD_TOO_LARGE
    )
    return error
