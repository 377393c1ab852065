"""Silences of servers, as of suspended processes.

Connections are accepted, but nothing is read or sent until the silence ends.
"""

import trio


class SilentStream:
    """A connection of a server that may be silent."""

    def __init__(self, stream, server):
        self._stream = stream
        self._server = server

    @property
    def socket(self):
        return self._stream.socket

    async def receive_some(self, max_bytes=None):
        await self._server.wait_awake()
        data = await self._stream.receive_some(max_bytes)
        await self._server.wait_awake()
        return data

    async def send_all(self, data):
        await self._server.wait_awake()
        await self._stream.send_all(data)

    async def aclose(self):
        await self._stream.aclose()


class Silence:
    """Mixin of a server that falls silent."""

    silent_until = float('-inf')

    def fall_silent(self, duration_s):
        until = trio.current_time() + duration_s
        self.silent_until = max(self.silent_until, until)

    async def wait_awake(self):
        while trio.current_time() < self.silent_until:
            await trio.sleep_until(self.silent_until)

    async def _serve(self, stream):
        await super()._serve(SilentStream(stream, self))
