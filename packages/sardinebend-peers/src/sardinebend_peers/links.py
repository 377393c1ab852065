"""Connections between entry hosts: framing, authentication, calls.

Each host opens one connection to each peer that it calls. After a call that
isn't answered in time, and nothing else either, the next one opens a new
connection: a device between the two ends may have dropped the old one's state.
Calls that wait for their answer on the old one still get it.
"""

import collections.abc
import contextlib
import fcntl
import hashlib
import hmac
import logging
import secrets
import ssl
import struct
import termios
import typing

import trio

from sardinebend_peers import codec
from sardinebend_peers import errors
from sardinebend_peers import messages

_LOGGER = logging.getLogger(__name__)

NONCE_BYTES: typing.Final = 32
ACCEPT_RETRY_DELAY_S: typing.Final = 0.1
HANDSHAKE_TIMEOUT_S: typing.Final = 3.0
MAX_SERVER_CONNECTIONS: typing.Final = 1024
IDLE_TIMEOUT_S: typing.Final = 60.0

_LENGTH = struct.Struct('>I')
_COUNT = struct.Struct('i')

Handler = collections.abc.Callable[
    [messages.Message], collections.abc.Awaitable[messages.Message]
]

# Limits a wait as `trio.fail_after` does.
WaitLimit = typing.Callable[
    [float], contextlib.AbstractContextManager[trio.CancelScope]
]


class FrameStream:
    """Length-prefixed frames on a byte stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._send_lock = trio.Lock()
        self._buffer = bytearray()

    async def send(self, data: bytes) -> None:
        """Sends one complete frame."""
        async with self._send_lock:
            await self._stream.send_all(_LENGTH.pack(len(data)) + data)

    async def receive(self, max_bytes: int = codec.MAX_FRAME_BYTES) -> bytes:
        """Returns the next frame.

        Args:
            max_bytes: Largest size of the frame.

        Raises:
            errors.MalformedFrame: The length prefix exceeds the limit, or the
                peer ended the stream.
        """
        (length,) = _LENGTH.unpack(await self._read(_LENGTH.size))
        if length > max_bytes:
            raise errors.MalformedFrame(f'a frame of {length} bytes')
        return await self._read(length)

    async def close(self) -> None:
        """Closes the stream without a shutdown handshake."""
        await trio.aclose_forcefully(self._stream)

    async def _read(self, count: int) -> bytes:
        while len(self._buffer) < count:
            chunk = await self._stream.receive_some(65536)
            if not chunk:
                raise errors.MalformedFrame('end of stream')
            self._buffer += chunk
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data


async def authenticate(
    frames: FrameStream, secret: bytes, is_client: bool
) -> None:
    """Authenticates both ends to each other by a shared secret.

    Each end's proof covers both nonces and its own role, so that neither a
    replayed proof nor one reflected to its sender is accepted. Larger frames
    are refused, since anybody can send them.
    """
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    await frames.send(own_nonce)
    peer_nonce = await frames.receive(NONCE_BYTES)
    if len(peer_nonce) != NONCE_BYTES:
        raise errors.PeerNotAuthentic('nonce has the wrong length')
    roles = (b'client', b'server') if is_client else (b'server', b'client')
    await frames.send(_make_proof(secret, roles[0], own_nonce, peer_nonce))
    expected = _make_proof(secret, roles[1], peer_nonce, own_nonce)
    proof = await frames.receive(len(expected))
    if not hmac.compare_digest(expected, proof):
        raise errors.PeerNotAuthentic('proof does not match the shared secret')


def _make_proof(
    secret: bytes, role: bytes, own_nonce: bytes, peer_nonce: bytes
) -> bytes:
    return hmac.digest(secret, role + own_nonce + peer_nonce, hashlib.sha256)


class PeerServer:
    """Answers the calls of other entry hosts."""

    def __init__(
        self,
        handler: Handler,
        secret: bytes,
        tls: ssl.SSLContext | None = None,
        fail_after: WaitLimit = trio.fail_after,
    ) -> None:
        """Creates a server that doesn't serve yet.

        Args:
            handler: Answers one call.
            secret: Secret that all hosts share.
            tls: How to prove who this host is, if connections are to use TLS.
            fail_after: Limits how long a peer may take.
        """
        self._fail_after = fail_after
        self._handler = handler
        self._secret = secret
        self._tls = tls
        self._streams: set[trio.SocketStream] = set()

    async def serve(self, listener: trio.SocketListener) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    stream = await listener.accept()
                except OSError:
                    # Out of file descriptors; retry after a pause, when some
                    # may have been released.
                    _LOGGER.exception('a connection was not taken')
                    await trio.sleep(ACCEPT_RETRY_DELAY_S)
                    continue
                if len(self._streams) >= MAX_SERVER_CONNECTIONS:
                    await trio.aclose_forcefully(stream)
                    continue
                nursery.start_soon(self._serve_stream, stream)

    def count_unsent_bytes(self) -> int:
        """Returns how many bytes for peers their hosts haven't confirmed."""
        return sum(_count_unsent_bytes(stream) for stream in self._streams)

    async def _serve_stream(self, accepted: trio.SocketStream) -> None:
        self._streams.add(accepted)
        stream: trio.abc.Stream = accepted
        if self._tls is not None:
            stream = trio.SSLStream(stream, self._tls, server_side=True)
        frames = FrameStream(stream)
        try:
            with self._fail_after(HANDSHAKE_TIMEOUT_S):
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
            # A failure on one connection must not end the process, which
            # serves the other peers as well.
            _LOGGER.exception('a connection of a peer failed')
        finally:
            self._streams.discard(accepted)
            with trio.CancelScope(shield=True):
                await frames.close()

    async def _serve_frames(
        self, frames: FrameStream, nursery: trio.Nursery
    ) -> None:
        while True:
            with self._fail_after(IDLE_TIMEOUT_S):
                data = await frames.receive()
            envelope = codec.decode(data)
            nursery.start_soon(self._answer, frames, envelope)

    async def _answer(
        self, frames: FrameStream, envelope: codec.Envelope
    ) -> None:
        reply = await self._handler(envelope.message)
        data = codec.encode(codec.Envelope(envelope.call_id, True, reply))
        await frames.send(data)


def _count_unsent_bytes(stream: trio.SocketStream) -> int:
    try:
        data = fcntl.ioctl(
            stream.socket.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size)
        )
    except (OSError, ValueError):
        # The connection has been closed.
        return 0
    return int(_COUNT.unpack(data)[0])


class _PendingCall:
    """A call that is waiting for its reply."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.reply: messages.Message | None = None
        self.frames: FrameStream | None = None


class PeerLink:
    """Makes calls to one peer over one connection."""

    def __init__(
        self,
        address: str,
        secret: bytes,
        nursery: trio.Nursery,
        tls: ssl.SSLContext | None = None,
        fail_after: WaitLimit = trio.fail_after,
    ) -> None:
        """Creates a link without a connection.

        Args:
            address: Address and port of the peer.
            secret: Secret that all hosts share.
            nursery: Runs the task that receives replies.
            tls: How to verify the peer, if the connection is to use TLS.
            fail_after: Limits how long a call waits.
        """
        self._fail_after = fail_after
        self._address = address
        self._secret = secret
        self._nursery = nursery
        self._tls = tls
        self._frames: FrameStream | None = None
        self._pending_calls: dict[int, _PendingCall] = {}
        self._next_id = 0
        self._connect_lock = trio.Lock()
        self._received_at = float('-inf')

    async def call(
        self, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Sends a message and returns the reply.

        Raises:
            errors.PeerUnreachable: No reply was received in time.
        """
        call = _PendingCall()
        self._next_id += 1
        call_id = self._next_id
        self._pending_calls[call_id] = call
        began_at = trio.current_time()
        is_sent = False
        try:
            with self._fail_after(timeout_s):
                call.frames = await self._get_frames()
                envelope = codec.Envelope(call_id, False, message)
                await call.frames.send(codec.encode(envelope))
                is_sent = True
                await call.done.wait()
        except (
            errors.PeerError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            OSError,
        ) as exc:
            text = f'{self._address}: {type(exc).__name__}: {exc}'
            raise errors.PeerUnreachable(text) from exc
        finally:
            del self._pending_calls[call_id]
            is_silent = call.reply is None and self._received_at < began_at
            is_replaced = call.frames is not self._frames
            # A part of a frame may have been sent.
            if call.frames and (is_silent or not is_sent or is_replaced):
                await self._replace(call.frames)
        if call.reply is None:
            raise errors.PeerUnreachable(f'{self._address}: connection closed')
        return call.reply

    async def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        frames, self._frames = self._frames, None
        if frames is not None:
            with trio.CancelScope(shield=True):
                await frames.close()
        for call in self._pending_calls.values():
            call.done.set()

    async def _replace(self, frames: FrameStream) -> None:
        """Lets the next call open a new connection.

        The old one is closed with its last call.
        """
        if self._frames is frames:
            self._frames = None
        calls = self._pending_calls.values()
        if not any(call.frames is frames for call in calls):
            with trio.CancelScope(shield=True):
                await frames.close()

    async def _get_frames(self) -> FrameStream:
        async with self._connect_lock:
            if self._frames is None:
                frames = await self._connect()
                self._frames = frames
                self._nursery.start_soon(self._receive_replies, frames)
            return self._frames

    async def _connect(self) -> FrameStream:
        host, _, port = self._address.rpartition(':')
        try:
            stream: trio.abc.Stream = await trio.open_tcp_stream(
                host, int(port)
            )
        except (ValueError, OverflowError) as exc:
            # The address came from another program.
            raise errors.PeerUnreachable('not an address') from exc
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

    async def _receive_replies(self, frames: FrameStream) -> None:
        try:
            while True:
                envelope = codec.decode(await frames.receive())
                self._received_at = trio.current_time()
                call = self._pending_calls.get(envelope.call_id)
                if call is not None and envelope.is_reply:
                    call.reply = envelope.message
                    call.done.set()
        except (
            errors.PeerError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            # The connection has failed, and so have its calls.
            for call in self._pending_calls.values():
                if call.frames is frames:
                    call.done.set()
            await self._replace(frames)
