"""Options of the sockets that callers connect to."""

import socket
import struct
import typing

import trio

# Idle time after which the kernel probes whether a caller is still connected.
KEEPALIVE_IDLE_S: typing.Final = 2
KEEPALIVE_PROBES: typing.Final = 2
USER_TIMEOUT_MS: typing.Final = 4000
LINGER_RESET: typing.Final = struct.pack('ii', 1, 0)


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
