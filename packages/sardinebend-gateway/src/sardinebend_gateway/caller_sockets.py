"""Options of the sockets that callers connect to."""

import fcntl
import socket
import struct
import termios
import typing

import trio

# Idle time after which the kernel probes whether a caller is still connected.
KEEPALIVE_IDLE_S: typing.Final = 2
KEEPALIVE_PROBES: typing.Final = 2
USER_TIMEOUT_MS: typing.Final = 4000
LINGER_RESET: typing.Final = struct.pack('ii', 1, 0)
_COUNT: typing.Final = struct.Struct('i')


def detect_lost_callers(conn: trio.socket.SocketType) -> None:
    """Makes the kernel probe an idle caller and give up an unresponsive one."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        conn.setsockopt(socket.IPPROTO_TCP, option, value)


def reset_on_close(conn: trio.socket.SocketType) -> None:
    """Makes the close of a connection reset it."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def count_unread_bytes(conn: trio.socket.SocketType) -> int:
    """Returns how many received bytes haven't been read; 0 if unknown.

    The close of a connection with unread bytes resets it.
    """
    return _read_count(conn, termios.FIONREAD)


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
