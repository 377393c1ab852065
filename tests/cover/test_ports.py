"""Tests of the ports that tests and stand-ins get."""

import socket

import pytest

from standins import ports


# Guards against hosts that can't receive heartbeats, as another process has
# the port for datagrams.
@pytest.mark.parametrize('kind', [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_any_socket_has_is_not_free(kind, monkeypatch):
    with socket.socket(type=kind) as taken:
        taken.bind((ports.IP, 0))
        taken_port = taken.getsockname()[1]
        free_port = ports.find_free(1)[0]
        ports._allocated.discard(free_port)
        drawn = iter([taken_port, free_port])
        monkeypatch.setattr(ports, '_RNG', _Drawn(drawn))
        assert ports.find_free(1) == [free_port]


class _Drawn:
    """Draws the given numbers."""

    def __init__(self, numbers):
        self._numbers = numbers

    def randrange(self, *_):
        return next(self._numbers)
