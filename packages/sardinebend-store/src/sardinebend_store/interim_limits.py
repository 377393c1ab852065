"""Limits how many interim responses a request may get."""

import ssl
import typing

import httpcore

# A server usually sends at most one, while a request takes long.
MAX_INTERIM_RESPONSES: typing.Final = 8
INTERIM_PREFIX: typing.Final = b'HTTP/1.1 1'


class InterimLimitStream(httpcore.AsyncNetworkStream):
    """A network stream that fails if a request gets many interim responses.

    More than `MAX_INTERIM_RESPONSES` responses with status 1xx are an error.
    `httpcore` reads them without a limit, and thousands of them without
    letting another task run.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._interim_count: int | None = None

    def start_count(self) -> None:
        """Starts to count interim responses."""
        self._interim_count = 0

    def stop_count(self) -> None:
        """Stops counting interim responses."""
        self._interim_count = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads bytes."""
        data = await self._stream.read(max_bytes, timeout)
        if self._interim_count is not None:
            self._interim_count += data.count(INTERIM_PREFIX)
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise httpcore.RemoteProtocolError('too many interim responses')
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Starts TLS on the stream."""
        return await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )

    def get_extra_info(self, info: str) -> typing.Any:
        """Returns extra information on the connection."""
        return self._stream.get_extra_info(info)
