"""Allocates ports for processes and tests on one machine."""

import random
import socket
import typing

# Below the ephemeral range, so that no outgoing connection takes a port
# between its allocation and the start of its listener.
PORT_RANGE: typing.Final = (15_000, 32_000)
IP: typing.Final = '127.0.0.1'

# Ports that a process has returned lately are kept from other processes, since
# their listeners may not have started yet. Each takes a file descriptor.
MAX_RESERVED: typing.Final = 128

_allocated: set[int] = set()
# By port, the oldest first.
_reservations: dict[int, socket.socket] = {}
# Test runners seed the global generator, so that suites beside each other would
# draw the same ports from it.
_RNG: typing.Final = random.SystemRandom()


def find_free(count: int) -> list[int]:
    """Returns ports that no socket is bound to.

    A port is returned once, until all ports of the range have been.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _RNG.randrange(*PORT_RANGE)
        if (
            port in _allocated
            and len(_allocated) < PORT_RANGE[1] - PORT_RANGE[0]
        ):
            continue
        if not _is_free(port) or not _reserve(port):
            continue
        _allocated.add(port)
        ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    """Returns whether neither a listener nor a datagram socket has a port."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((IP, port))
            except OSError:
                return False
    return True


def _reserve(port: int) -> bool:
    """Keeps a port from other processes; returns whether they lack it."""
    if port in _reservations:
        return True
    sock = socket.socket(socket.AF_UNIX)
    try:
        # A name without a file, which ends with the process.
        sock.bind(f'\0sardinebend-port-{port}')
    except OSError:
        sock.close()
        return False
    _reservations[port] = sock
    if len(_reservations) > MAX_RESERVED:
        _reservations.pop(next(iter(_reservations))).close()
    return True
