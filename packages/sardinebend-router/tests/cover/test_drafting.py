"""Tests what a draft's caller is told, and when, after its engines crash."""

import random

import pytest
import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import drafts
from sardinebend_policy import membership
from sardinebend_policy import outcomes
from sardinebend_policy import routes
from sardinebend_router import drafting
from sardinebend_router import engines
from sardinebend_router import state as state_lib
from sardinebend_settings import tree as tree_lib
from sardinebend_store import errors as platform_errors

LAYERS = 2
SPEC = routes.ModelSpec('tide', '1', LAYERS)
REQUEST = msg.DraftRequest('r', 'vanua', 'f', SPEC, 'p', 4, 100.0)
SUSPICION_WAIT_S = 0.5
TOKEN_S = 0.02


class CrashingPipeline(engines.OpenPipeline):
    """A connection to an engine that crashes when it gets an order."""

    def __init__(self, crashed):
        self._crashed = crashed

    async def run(self, order, post):
        self._crashed.add(order.send.route.endpoint_ids[0])
        post(msg.StreamBroken(order.send.attempt))

    async def close(self):
        pass


class CrashingDriver(engines.PipelineDriver):
    """Engines of which each crashes when it gets an order."""

    def __init__(self):
        self.crashed = set()

    async def connect(self, route, timeout_s):
        return CrashingPipeline(self.crashed)

    async def probe(self, endpoint_id, timeout_s):
        if endpoint_id in self.crashed:
            return platform_errors.ConnectFailed(endpoint_id, refused=True)
        return {'incarnation': 'i'}

    async def cancel(self, endpoint_id, request_id, attempt):
        return True

    async def _unused(self, *args):
        raise NotImplementedError

    fetch_load = order = _unused

    async def close(self):
        pass


class Peers:
    """Peers that answer each crash report after a delay."""

    def __init__(self, *delays_s):
        self._delays_s = list(delays_s)
        self.reported = 0
        self.answered = 0

    async def report(self, crashes):
        delay_s = self._delays_s[self.reported]
        self.reported += 1
        await trio.sleep(delay_s)
        self.answered += 1


def make_state():
    endpoint = {
        'url': 'http://e',
        'failure_domain': 'd',
        'role': 'engine',
        'model': 'tide',
        'model_version': '1',
        'first_layer': 0,
        'end_layer': LAYERS,
    }
    endpoints = {f'e{number}': endpoint for number in range(3)}
    return state_lib.HostState(
        membership.Member('h', 'd', 'http://h', 'h'),
        'r',
        tree_lib.Tree.from_document({'endpoints': endpoints}),
        b'secret',
        random.Random(1),
    )


async def run_crashing_draft(peers):
    state = make_state()
    cfg = msg.DraftConfig(suspicion_wait_s=SUSPICION_WAIT_S)
    session = drafts.DraftSession(REQUEST, cfg, state.drafts)
    runner = drafting.DraftSessionRunner(
        session, state, CrashingDriver(), peers.report, (1.0, 1.0)
    )
    await runner.run(msg.Started())
    return runner.answer.outcome


# A late answer to the first report ended the wait for the answer to the second
# one, so that the caller's resend reached peers that knew of one crash only.
async def test_a_late_answer_to_the_first_crash_report_is_none_to_the_second(
    autojump_clock,
):
    first_s = SUSPICION_WAIT_S + 0.2
    second_s = 0.4
    peers = Peers(first_s, second_s)
    outcome = await run_crashing_draft(peers)
    assert outcome.reason is outcomes.Reason.QUARANTINED
    assert (peers.reported, peers.answered) == (2, 2)


class SuspendedEngines(engines.PipelineDriver):
    """Engines that all are suspended at once, and then go on."""

    def __init__(self, from_s, until_s, max_connects=9):
        self._from_s = from_s
        self._connects_left = max_connects
        self._until_s = until_s
        self.orders = 0

    async def wait_while_suspended(self):
        if self._from_s <= trio.current_time() < self._until_s:
            await trio.sleep_until(self._until_s)

    async def connect(self, route, timeout_s):
        if not self._connects_left:
            raise platform_errors.ConnectFailed('closed', refused=True)
        self._connects_left -= 1
        return SuspendedPipeline(self)

    async def probe(self, endpoint_id, timeout_s):
        with trio.move_on_after(timeout_s):
            await self.wait_while_suspended()
            return {'incarnation': ''}
        return platform_errors.ExchangeFailed('TooSlowError')

    async def cancel(self, endpoint_id, request_id, attempt):
        return True

    async def _unused(self, *args):
        raise NotImplementedError

    fetch_load = order = _unused

    async def close(self):
        pass


class SuspendedPipeline(engines.OpenPipeline):
    """A connection to engines that are suspended and go on."""

    def __init__(self, driver):
        self._driver = driver

    async def run(self, order, post):
        self._driver.orders += 1
        attempt = order.send.attempt
        for index in range(order.send.start_index, REQUEST.max_tokens):
            # A server that goes on answers a probe before the next token.
            await self._driver.wait_while_suspended()
            await trio.sleep(TOKEN_S)
            post(msg.Chunk(attempt, index, 't'))
        post(msg.Finished(attempt, REQUEST.max_tokens))

    async def close(self):
        pass


async def run_suspended_draft(from_s, silent_s, max_connects=9, **cfg):
    """Runs a draft; all engines are silent for a while after its start."""
    state = make_state()
    start = trio.current_time()
    until = start + from_s + silent_s
    driver = SuspendedEngines(start + from_s, until, max_connects)
    request = REQUEST._replace(deadline=start + REQUEST.deadline)
    session = drafts.DraftSession(request, msg.DraftConfig(**cfg), state.drafts)
    runner = drafting.DraftSessionRunner(
        session, state, driver, Peers().report, (1.0, 1.0)
    )
    await runner.run(msg.Started())
    return driver, runner.answer.outcome


# Guards against answers that end early while sound engines are silent, whether
# or not another attempt is allowed.
@pytest.mark.parametrize('max_attempts', [1, 3])
@pytest.mark.parametrize('silent_s', [0.6, 0.9, 1.3, 1.6])
@pytest.mark.parametrize('from_s', [0.01, 0.05])
async def test_a_draft_at_engines_that_fall_silent_and_go_on_is_answered(
    from_s, silent_s, max_attempts, autojump_clock
):
    driver, outcome = await run_suspended_draft(
        from_s, silent_s, max_attempts=max_attempts
    )
    assert outcome == outcomes.Answered(tokens=REQUEST.max_tokens)
    assert driver.orders == 1


# Guards against an answer that ends because its successor took its place, and
# then couldn't be reached.
@pytest.mark.parametrize('max_connects', [1, 9])
async def test_a_draft_at_engines_that_are_silent_for_longer_is_answered(
    max_connects, autojump_clock
):
    _, outcome = await run_suspended_draft(0.05, 4.0, max_connects)
    assert outcome == outcomes.Answered(tokens=REQUEST.max_tokens)
