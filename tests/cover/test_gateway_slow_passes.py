"""A host whose passes through its tasks take long, before punctual engines.

No single pass is so long that the host counts as held up. On the virtual clock.
"""

import contextlib
import json
import selectors
import socket

import pytest
import trio

from sardinebend_gateway import calls
from sardinebend_gateway import crashes
from tests.common import gateway_world as world_lib

# The host's ticks are at most 0.13 s apart: less than what shows that it was
# held up.
PASSES_S = (0.0, 0.04, 0.06, 0.11, 0.13)
CALLS = 10
# Longer than results of calls are reused.
CALL_INTERVAL_S = 0.3


class PunctualEngine(world_lib.Server):
    """An engine that answers all that has arrived when it is told to."""

    def __init__(self, answers):
        super().__init__('llm-0', 'llm')
        self.span = (0, world_lib.LAYERS)
        self._answers = answers
        self._selector = selectors.DefaultSelector()

    async def start(self, nursery, port=0):
        listener = socket.create_server((world_lib.IP, port))
        self.port = listener.getsockname()[1]
        self._selector.register(listener, selectors.EVENT_READ, self._accept)

    def answer(self):
        """Accepts and answers until nothing waits."""
        while waiting := self._selector.select(0):
            for key, _ in waiting:
                key.data(key.fileobj)

    def _accept(self, listener):
        sock, _ = listener.accept()
        self._selector.register(sock, selectors.EVENT_READ, self._read)

    def _read(self, sock):
        # The host may have given up meanwhile.
        with contextlib.suppress(ConnectionError):
            if sock.recv(65536):
                if self._answers:
                    body = json.dumps({'busy': False, 'sequence': 0}).encode()
                    sock.sendall(world_lib.head(200, [], body=body))
                return
        self._selector.unregister(sock)
        sock.close()

    def close(self):
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()


class SlowPasses(trio.abc.Instrument):
    """Lets each pass take a while, in which an engine answers."""

    def __init__(self, clock, pass_s, engine):
        self._clock = clock
        self._pass_s = pass_s
        self._engine = engine

    def before_io_wait(self, timeout):
        self._clock.jump(self._pass_s)
        self._engine.answer()


@contextlib.asynccontextmanager
async def running(clock, pass_s, answers=True):
    """Yields a gateway whose passes take long, and its only engine."""
    engine = PunctualEngine(answers)
    with contextlib.closing(engine):
        async with world_lib.running(engine) as world:
            passes = SlowPasses(clock, pass_s, engine)
            trio.lowlevel.add_instrument(passes)
            await trio.sleep(CALL_INTERVAL_S)
            yield world.gateway, world.gateway.state.endpoints.get('llm-0')
            trio.lowlevel.remove_instrument(passes)


# Guards against sound engines that are doubted by a host which needs longer to
# read their answers than it waits for them.
@pytest.mark.parametrize('pass_s', PASSES_S)
async def test_a_host_with_slow_passes_reads_reports_that_came_in_time(
    pass_s, clock
):
    async with running(clock, pass_s) as (gateway, endpoint):
        answers = []
        for _ in range(CALLS):
            answers.append(await gateway._calls.report(endpoint))
            await trio.sleep(CALL_INTERVAL_S)
    assert [answer.err() for answer in answers] == [None] * CALLS


@pytest.mark.parametrize('pass_s', PASSES_S)
async def test_a_host_with_slow_passes_notices_connects_that_succeed(
    pass_s, clock
):
    async with running(clock, pass_s) as (gateway, endpoint):
        results = []
        for _ in range(CALLS):
            results.append(await gateway._crashes.probe(endpoint))
            await trio.sleep(CALL_INTERVAL_S)
    assert results == [crashes.ProbeResult.LISTENS] * CALLS


# Guards against an engine that is never found silent, since the host that asks
# it is always a little late.
@pytest.mark.parametrize('pass_s', PASSES_S)
async def test_a_host_with_slow_passes_finds_an_engine_silent(pass_s, clock):
    async with running(clock, pass_s, answers=False) as (gateway, endpoint):
        # Later than any delay of the start.
        await trio.sleep(2.0)
        answer = await gateway._calls.report(endpoint)
    assert answer.err() is calls.NoReport.SILENT
