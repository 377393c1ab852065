"""What a probe proves, and what it doesn't."""

import pytest
import trio

from sardinebend_router import engines
from sardinebend_router import probing
from sardinebend_store import errors

REFUSED = errors.ConnectFailed('nobody listens', refused=True)
SILENT = errors.ConnectFailed('TooSlowError')
RESET = errors.ExchangeFailed('reset')
TIMEOUT_S = 0.5


class Driver(engines.PipelineDriver):
    """Answers probes from a list of answers and how long each takes."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def probe(self, endpoint_id, timeout_s):
        took_s, answer = self.answers.pop(0)
        await trio.sleep(took_s)
        return answer

    async def _unused(self, *args):
        raise NotImplementedError

    connect = fetch_load = order = cancel = close = _unused


async def judge(*answers):
    driver = Driver(*answers)
    answer = await probing.probe(driver, 'e', TIMEOUT_S)
    return probing.judge('e', 'one', answer), len(driver.answers)


@pytest.mark.parametrize('unclear', [(0.0, RESET), (0.9, SILENT), (0.9, RESET)])
async def test_a_crash_counts_though_the_first_probe_did_not_show_it(
    unclear, autojump_clock
):
    found, left = await judge(unclear, (0.0, REFUSED))
    assert found.crashed
    assert left == 0


async def test_a_silent_endpoint_is_dead_at_once_and_no_crash(autojump_clock):
    found, left = await judge((TIMEOUT_S, SILENT), (0.0, REFUSED))
    assert found is not None
    assert not found.crashed
    assert left == 1


async def test_a_new_start_of_its_process_is_a_crash(autojump_clock):
    found, _ = await judge((0.0, {'incarnation': 'two'}))
    assert found.crashed


async def test_an_endpoint_that_lives_after_all_bears_no_mark(autojump_clock):
    found, _ = await judge((0.0, RESET), (0.0, {'incarnation': 'one'}))
    assert found is None


async def test_the_number_of_probes_is_bounded(autojump_clock):
    found, left = await judge(*[(0.0, RESET)] * 5)
    assert found is not None
    assert left == 5 - probing.MAX_PROBES
