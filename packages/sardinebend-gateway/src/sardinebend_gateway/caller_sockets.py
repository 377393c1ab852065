"""Options of the sockets that callers connect to."""

import contextlib
import fcntl
import os
import socket
import struct
import termios
import typing

import trio

# Idle time after which the kernel probes whether a caller is still connected.
KEEPALIVE_IDLE_S: typing.Final = 2
KEEPALIVE_PROBES: typing.Final = 2
# A caller whose machine confirms nothing for this long, although it was asked
# again, is lost. One that pauses confirms that its window is closed.
LOST_AFTER_S: typing.Final = 4.0
MIN_UNANSWERED: typing.Final = 2
# Bytes of an answer that the kernel takes at the stop of a host before a caller
# reads them. Otherwise `trio` lets it take some 16 KB.
UNSENT_AT_STOP_BYTES: typing.Final = 512 * 1024
# What the kernel takes of requests before a crowded host reads them. Where a
# body comes, whose room is taken, callers far away need a larger window.
UNREAD_BYTES: typing.Final = 16 * 1024
UNREAD_BODY_BYTES: typing.Final = 64 * 1024
LINGER_RESET: typing.Final = struct.pack('ii', 1, 0)
# What has been received into it is never read, so all connections share it.
_DISCARDED: typing.Final = bytearray(65536)
_COUNT: typing.Final = struct.Struct('i')
# Linux's `struct tcp_info`: the repetitions and window probes that nothing has
# answered, the time since the last confirmation in ms, the confirmed bytes.
_TCP_INFO: typing.Final = struct.Struct('=2xBB52xI60xQ')


class Delivery(typing.NamedTuple):
    """How the kernel's sending to a caller stands.

    Attributes:
        unanswered: Repetitions and probes that nothing has answered.
        since_answer_s: Time since the caller's machine last confirmed anything.
        confirmed_bytes: Bytes that it has received in all.
    """

    unanswered: int
    since_answer_s: float
    confirmed_bytes: int

    @property
    def is_lost(self) -> bool:
        """Whether the caller's machine or the way to it is gone."""
        return (
            self.unanswered >= MIN_UNANSWERED
            and self.since_answer_s >= LOST_AFTER_S
        )


def read_delivery(conn: trio.socket.SocketType) -> Delivery | None:
    """Returns how sending stands; `None` if it is unknown."""
    try:
        data = conn.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError:
        # The connection has been closed.
        return None
    if len(data) < _TCP_INFO.size:
        return None
    repetitions, probes, since_ms, confirmed = _TCP_INFO.unpack(data)
    return Delivery(repetitions + probes, since_ms / 1000, confirmed)


def detect_lost_callers(conn: trio.socket.SocketType) -> None:
    """Makes the kernel probe idle callers.

    The kernel's limit for unconfirmed bytes (TCP_USER_TIMEOUT) isn't used: it
    also ends connections of callers that are there and pause.
    """
    # The connection may have been given up before its first turn.
    with contextlib.suppress(OSError):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            conn.setsockopt(socket.IPPROTO_TCP, option, value)


def hand_over_unsent_bytes(conn: trio.socket.SocketType) -> None:
    """Lets the kernel take the rest of an answer that its caller reads slowly.

    It delivers what it has taken also after the process has ended.
    """
    # The caller may have reset the connection.
    with contextlib.suppress(OSError):
        conn.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_NOTSENT_LOWAT,
            UNSENT_AT_STOP_BYTES,
        )


def limit_unread_bytes(
    conn: trio.socket.SocketType | socket.socket, is_crowded: bool = True
) -> None:
    """Bounds what a new connection takes before its host reads it.

    Unread bytes count as memory of the host; the kernel alone takes 130 KB.
    """
    # The caller may have reset the connection.
    with contextlib.suppress(OSError):
        size = UNREAD_BYTES if is_crowded else UNREAD_BODY_BYTES
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def widen_window(conn: trio.socket.SocketType) -> None:
    """Lets a caller send more of a body before it is read."""
    # The caller may have reset the connection.
    with contextlib.suppress(OSError):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BODY_BYTES)
        conn.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, UNREAD_BODY_BYTES
        )


def reset_on_close(conn: trio.socket.SocketType) -> None:
    """Makes the close of a connection reset it."""
    # It may have been closed already.
    with contextlib.suppress(OSError):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def count_unread_bytes(conn: trio.socket.SocketType) -> int:
    """Returns how many received bytes haven't been read; 0 if unknown.

    The close of a connection with unread bytes resets it.
    """
    return _read_count(conn, termios.FIONREAD)


def read_arrived(conn: trio.socket.SocketType, max_bytes: int) -> bytes:
    """Returns received bytes without letting other tasks run.

    Args:
        conn: The connection, which no other task reads.
        max_bytes: Largest number of bytes.

    Returns:
        The bytes; empty if there are none, or if the connection has ended.
    """
    if not count_unread_bytes(conn):
        return b''
    try:
        return os.read(conn.fileno(), max_bytes)
    except OSError:
        # The caller has reset the connection, as its next read shows.
        return b''


async def discard(conn: trio.socket.SocketType) -> int:
    """Receives bytes that nobody wants; returns their number, 0 at the end."""
    try:
        return await conn.recv_into(_DISCARDED)
    except (OSError, trio.ClosedResourceError):
        return 0


def count_unacknowledged_bytes(conn: trio.socket.SocketType) -> int:
    """Returns how many bytes the caller's machine lacks; 0 if unknown."""
    return _read_count(conn, termios.TIOCOUTQ)


def _read_count(conn: trio.socket.SocketType, request: int) -> int:
    try:
        data = fcntl.ioctl(conn.fileno(), request, bytes(_COUNT.size))
    except (OSError, ValueError):
        # The connection has been closed.
        return 0
    return int(_COUNT.unpack(data)[0])
