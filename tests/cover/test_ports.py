"""Tests of the ports that tests and stand-ins get."""

import socket
import subprocess
import sys

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


# Guards against listeners of two suites on one port, as a port is found free
# before its listener starts.
def test_a_port_that_another_process_has_found_is_not_free(monkeypatch):
    other = subprocess.Popen(
        [
            sys.executable,
            '-c',
            'from standins import ports; '
            'print(ports.find_free(1)[0], flush=True); input()',
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    with other:
        their_port = int(other.stdout.readline())
        free_port = ports.find_free(1)[0]
        ports._allocated.discard(free_port)
        drawn = iter([their_port, free_port])
        monkeypatch.setattr(ports, '_RNG', _Drawn(drawn))
        assert ports.find_free(1) == [free_port]
        other.communicate('\n')


def test_a_port_found_by_a_process_that_ended_is_free_again(monkeypatch):
    their_port = int(
        subprocess.check_output(
            [
                sys.executable,
                '-c',
                'from standins import ports; print(ports.find_free(1)[0])',
            ]
        )
    )
    ports._allocated.discard(their_port)
    monkeypatch.setattr(ports, '_RNG', _Drawn(iter([their_port])))
    assert ports.find_free(1) == [their_port]


class _Drawn:
    """Draws the given numbers."""

    def __init__(self, numbers):
        self._numbers = numbers

    def randrange(self, *_):
        return next(self._numbers)
