"""Tests of what a probe shows about an endpoint, and when it is repeated."""

import pytest
import trio

from sardinebend_policy import fleet as fleet_lib
from sardinebend_router import engines
from sardinebend_router import probing
from sardinebend_store import errors
from tests.common import ending_listener

REFUSED = errors.ConnectFailed('connection refused', refused=True)
SILENT = errors.ConnectFailed('TooSlowError')
RESET = errors.ExchangeFailed('reset')
CONNECT_RESET = errors.ConnectFailed('ConnectionResetError')
TIMEOUT_S = 0.5


class Driver(engines.PipelineDriver):
    """Answers probes from a list of pairs: delay in seconds and answer."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def probe(self, endpoint_id, timeout_s):
        took_s, answer = self.answers.pop(0)
        await trio.sleep(took_s)
        return answer

    async def _unused(self, *args):
        raise NotImplementedError

    connect = fetch_load = order = cancel = close = _unused


async def probe_and_evaluate(*answers):
    driver = Driver(*answers)
    answer = await probing.probe(driver, 'e', TIMEOUT_S)
    return probing.find_death('e', 'one', answer), len(driver.answers)


@pytest.mark.parametrize(
    'inconclusive',
    [(0.0, RESET), (0.0, CONNECT_RESET), (0.9, SILENT), (0.9, RESET)],
)
async def test_a_crash_is_detected_after_a_first_inconclusive_probe(
    inconclusive, autojump_clock
):
    dead_endpoint, answers_left = await probe_and_evaluate(
        inconclusive, (0.0, REFUSED)
    )
    assert dead_endpoint.crashed
    assert answers_left == 0


async def test_a_silent_endpoint_is_dead_after_one_probe_and_no_crash_counts(
    autojump_clock,
):
    dead_endpoint, answers_left = await probe_and_evaluate(
        (TIMEOUT_S, SILENT), (0.0, REFUSED)
    )
    assert dead_endpoint is not None
    assert not dead_endpoint.crashed
    assert answers_left == 1


async def test_an_endpoint_that_answers_as_another_incarnation_has_crashed(
    autojump_clock,
):
    dead_endpoint, _ = await probe_and_evaluate((0.0, {'incarnation': 'two'}))
    assert dead_endpoint.crashed


async def test_an_endpoint_that_answers_a_repeated_probe_is_not_dead(
    autojump_clock,
):
    dead_endpoint, _ = await probe_and_evaluate(
        (0.0, RESET), (0.0, {'incarnation': 'one'})
    )
    assert dead_endpoint is None


async def test_inconclusive_probes_are_repeated_a_limited_number_of_times(
    autojump_clock,
):
    dead_endpoint, answers_left = await probe_and_evaluate(*[(0.0, RESET)] * 5)
    assert dead_endpoint is not None
    assert answers_left == 5 - probing.MAX_PROBES


# A crash was taken for silence, so that the request that caused it was refused
# for want of a route, at every host, instead of as quarantined.
async def test_a_connect_that_is_reset_by_an_ending_process_shows_a_crash():
    with ending_listener.run() as ending:
        fleet = fleet_lib.Fleet()
        url = f'http://127.0.0.1:{ending.port}'
        fleet.apply_specs([fleet_lib.EndpointSpec('e', url, 'd')])
        driver = engines.ForwardingDriver(fleet)
        answer = await probing.probe(driver, 'e', TIMEOUT_S)
    assert probing.find_death('e', 'one', answer).crashed
