"""Connections between entry hosts: framing, authentication, calls.

Each host opens one connection to each peer it talks to. A call that isn't
answered in time closes the connection: something between the two ends may have
lost track of it, and a new one may work.
"""

import collections.abc
import hashlib
import hmac
import logging
import secrets
import ssl
import struct
import typing

import trio

from sardinebend_peers import codec
from sardinebend_peers import errors
from sardinebend_peers import messages

_LOGGER = logging.getLogger(__name__)

NONCE_BYTES: typing.Final = 32
ACCEPT_RETRY_S: typing.Final = 0.1
HANDSHAKE_S: typing.Final = 3.0
MAX_SERVER_CONNECTIONS: typing.Final = 1024
IDLE_LIMIT_S: typing.Final = 60.0

_LENGTH = struct.Struct('>I')

Handler = collections.abc.Callable[
    [messages.Message], collections.abc.Awaitable[messages.Message]
]


class FrameStream:
    """Frames with a length in front, on a byte stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._lock = trio.Lock()
        self._buffer = bytearray()

    async def send(self, data: bytes) -> None:
        """Sends one frame whole."""
        async with self._lock:
            await self._stream.send_all(_LENGTH.pack(len(data)) + data)

    async def receive(self) -> bytes:
        """Returns the next frame.

        Raises:
            errors.MalformedFrame: The announced length is out of bounds, or
                the stream ended within a frame.
        """
        (length,) = _LENGTH.unpack(await self._read(_LENGTH.size))
        if length > codec.MAX_FRAME_BYTES:
            raise errors.MalformedFrame(f'a frame of {length} bytes')
        return await self._read(length)

    async def close(self) -> None:
        """Closes the stream at once."""
        await trio.aclose_forcefully(self._stream)

    async def _read(self, count: int) -> bytes:
        while len(self._buffer) < count:
            chunk = await self._stream.receive_some(65536)
            if not chunk:
                raise errors.MalformedFrame('the stream ended')
            self._buffer += chunk
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data


async def authenticate(
    frames: FrameStream, secret: bytes, is_client: bool
) -> None:
    """Proves to each end that the other one knows the shared secret.

    Each end's proof covers both nonces and its own role, so that neither a
    recording nor a proof sent back to its maker is accepted.
    """
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    await frames.send(own_nonce)
    other_nonce = await frames.receive()
    if len(other_nonce) != NONCE_BYTES:
        raise errors.PeerNotAuthentic('no nonce')
    roles = (b'client', b'server') if is_client else (b'server', b'client')
    await frames.send(_prove(secret, roles[0], own_nonce, other_nonce))
    expected = _prove(secret, roles[1], other_nonce, own_nonce)
    if not hmac.compare_digest(expected, await frames.receive()):
        raise errors.PeerNotAuthentic('wrong proof')


def _prove(secret: bytes, role: bytes, own: bytes, other: bytes) -> bytes:
    return hmac.digest(secret, role + own + other, hashlib.sha256)


class PeerServer:
    """Answers the calls of other entry hosts."""

    def __init__(
        self,
        handler: Handler,
        secret: bytes,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._handler = handler
        self._secret = secret
        self._tls = tls
        self._open = 0

    async def serve(self, listener: trio.SocketListener) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    stream = await listener.accept()
                except OSError:
                    # Out of descriptors; some are free again soon.
                    _LOGGER.exception('a connection was not taken')
                    await trio.sleep(ACCEPT_RETRY_S)
                    continue
                if self._open >= MAX_SERVER_CONNECTIONS:
                    await trio.aclose_forcefully(stream)
                    continue
                nursery.start_soon(self._serve_stream, stream)

    async def _serve_stream(self, stream: trio.abc.Stream) -> None:
        self._open += 1
        if self._tls is not None:
            stream = trio.SSLStream(stream, self._tls, server_side=True)
        frames = FrameStream(stream)
        try:
            with trio.fail_after(HANDSHAKE_S):
                await authenticate(frames, self._secret, is_client=False)
            async with trio.open_nursery() as nursery:
                await self._serve_frames(frames, nursery)
        except* (
            errors.PeerError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            pass
        except* Exception:
            # One connection must not end the process that serves the others.
            _LOGGER.exception('a connection of a peer failed')
        finally:
            self._open -= 1
            with trio.CancelScope(shield=True):
                await frames.close()

    async def _serve_frames(
        self, frames: FrameStream, nursery: trio.Nursery
    ) -> None:
        while True:
            with trio.fail_after(IDLE_LIMIT_S):
                data = await frames.receive()
            envelope = codec.decode(data)
            nursery.start_soon(self._answer, frames, envelope)

    async def _answer(
        self, frames: FrameStream, envelope: codec.Envelope
    ) -> None:
        reply = await self._handler(envelope.message)
        data = codec.encode(codec.Envelope(envelope.call_id, True, reply))
        await frames.send(data)


class _Call:
    """A call that waits for its reply."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.reply: messages.Message | None = None


class PeerLink:
    """This host's calls to one peer."""

    def __init__(
        self,
        address: str,
        secret: bytes,
        nursery: trio.Nursery,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._address = address
        self._secret = secret
        self._nursery = nursery
        self._tls = tls
        self._frames: FrameStream | None = None
        self._calls: dict[int, _Call] = {}
        self._next_id = 0
        self._opening = trio.Lock()

    async def call(
        self, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Sends a message and returns the reply.

        Raises:
            errors.PeerUnreachable: No reply came within the time.
        """
        call = _Call()
        self._next_id += 1
        call_id = self._next_id
        self._calls[call_id] = call
        try:
            with trio.fail_after(timeout_s):
                frames = await self._get_frames()
                envelope = codec.Envelope(call_id, False, message)
                await frames.send(codec.encode(envelope))
                await call.done.wait()
        except (
            errors.PeerError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            OSError,
        ) as exc:
            await self.close()
            text = f'{self._address}: {type(exc).__name__}: {exc}'
            raise errors.PeerUnreachable(text) from exc
        finally:
            del self._calls[call_id]
        if call.reply is None:
            raise errors.PeerUnreachable(f'{self._address}: closed')
        return call.reply

    async def close(self) -> None:
        """Closes the connection; a later call opens a new one."""
        frames, self._frames = self._frames, None
        if frames is not None:
            with trio.CancelScope(shield=True):
                await frames.close()
        for call in self._calls.values():
            call.done.set()

    async def _get_frames(self) -> FrameStream:
        async with self._opening:
            if self._frames is None:
                frames = await self._open()
                self._frames = frames
                self._nursery.start_soon(self._receive, frames)
            return self._frames

    async def _open(self) -> FrameStream:
        host, _, port = self._address.rpartition(':')
        stream: trio.abc.Stream = await trio.open_tcp_stream(host, int(port))
        if self._tls is not None:
            stream = trio.SSLStream(stream, self._tls, server_hostname=host)
        frames = FrameStream(stream)
        try:
            await authenticate(frames, self._secret, is_client=True)
        except BaseException:
            with trio.CancelScope(shield=True):
                await frames.close()
            raise
        return frames

    async def _receive(self, frames: FrameStream) -> None:
        try:
            while True:
                envelope = codec.decode(await frames.receive())
                call = self._calls.get(envelope.call_id)
                if call is not None and envelope.is_reply:
                    call.reply = envelope.message
                    call.done.set()
        except (
            errors.PeerError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            if self._frames is frames:
                await self.close()
