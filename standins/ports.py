"""Ports for processes and tests on one machine."""

import random
import socket
import typing

# Below the range from which the system takes the ports of outgoing
# connections, one of which could otherwise take a port before its listener
# has started.
PORT_RANGE: typing.Final = (15_000, 32_000)
IP: typing.Final = '127.0.0.1'

_given: set[int] = set()


def find_free(count: int) -> list[int]:
    """Returns ports on which nothing listens, each given out once."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        if port in _given and len(_given) < PORT_RANGE[1] - PORT_RANGE[0]:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((IP, port))
            except OSError:
                continue
        _given.add(port)
        ports.append(port)
    return ports
