"""Planned stops of the product's own hosts whose signal is handled late.

Each host is a process, killed at the end of the time that a stop may take.
"""

import functools
import pathlib
import signal
import tempfile

import pytest
import trio

from sardinebend_policy import planned_stop
from sardinebend_store import errors as platform_errors
from tests.common import processes

LATE_S = (0.0, 1.3)
DRAIN_WAIT_S = 3.0
# A busy machine runs the host late beside its suspension. Within this time the
# host also records outcomes.
MARGIN_S = 1.5
# Neither ends before the stop.
SERVICE_S = 15.0
MAX_TOKENS = 4000
PROMPT = f'Draft a long plan [{MAX_TOKENS} tokens]'
VALUES = {
    'hosts.drain_wait_s': DRAIN_WAIT_S,
    'service.reply_s': 2 * SERVICE_S,
    'draft.max_tokens': MAX_TOKENS,
}
NOT_SENT = 0
REFUSED = 503
DRAFTS = 4
BOOKINGS = 4
# Interval at which further callers come until the host is gone.
INTERVAL_S = 0.01


class Requests:
    """Requests to one host, and how each ended for its caller.

    Attributes:
        ends: Name of each request, with its status and its problem. The
            status is `NOT_SENT` if the host was gone, `None` if the request
            has no whole answer.
    """

    def __init__(self, caller):
        self.ends = {}
        self._caller = caller

    async def draft(self, name):
        await self._note(name, self._draft)

    async def book(self, name):
        await self._note(name, self._book, name)

    async def _note(self, name, ask, *args):
        try:
            self.ends[name] = await ask(*args)
        except platform_errors.ConnectFailed:
            # Nothing was sent: the caller goes to another host.
            self.ends[name] = (NOT_SENT, None)
        except platform_errors.ExchangeFailed:
            self.ends[name] = (None, None)

    async def _draft(self):
        result = await self._caller.draft(PROMPT, MAX_TOKENS)
        if result.error is None and result.tokens < 0:
            return None, None
        return result.status, result.error

    async def _book(self, key):
        return await self._caller.operate('confirm', {}, key)


async def stop_late(deployment, late_s):
    """Stops a host that is suspended when the signal comes.

    Returns:
        The requests, and whether the host ended before it was killed.
    """
    host = deployment.hosts[0]
    requests = Requests(processes.make_callers(deployment)[0])
    for service in deployment.services.values():
        processes.set_faults(service, delay_s=SERVICE_S)

    async def send_all(nursery, name):
        for number in range(DRAFTS):
            nursery.start_soon(requests.draft, f'draft {name} {number}')
        for number in range(BOOKINGS):
            nursery.start_soon(requests.book, f'booking {name} {number}')

    async with trio.open_nursery() as nursery:
        await send_all(nursery, 'before')
        await trio.sleep(1.0)
        host.signal(signal.SIGSTOP)
        await send_all(nursery, 'meanwhile')
        await trio.sleep(0.2)
        host.signal(signal.SIGTERM)
        signalled_at = trio.current_time()
        await trio.sleep(late_s)
        host.signal(signal.SIGCONT)
        wait_s = max(
            DRAIN_WAIT_S, late_s + DRAIN_WAIT_S * planned_stop.MIN_CUT_SHARE
        )
        number = 0
        while trio.current_time() < signalled_at + wait_s + MARGIN_S:
            nursery.start_soon(requests.draft, f'draft later {number}')
            number += 1
            await trio.sleep(INTERVAL_S)
        has_ended = host.popen.poll() is not None
        host.stop()
    return requests, has_ended


@functools.cache
def play(late_s):
    """Returns the statuses of requests around a stop, and whether it ended."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.run_deployment(pathlib.Path(folder), **VALUES) as deployment,
    ):
        requests, has_ended = trio.run(stop_late, deployment, late_s)
    return {n: status for n, (status, _) in requests.ends.items()}, has_ended


# Guards against requests that are killed without an answer, since the host was
# suspended when the signal to stop came.
@pytest.mark.parametrize('late_s', LATE_S)
def test_each_request_before_a_stop_is_answered_in_time(late_s):
    statuses, has_ended = play(late_s)
    early = {n: s for n, s in statuses.items() if 'later' not in n}
    assert len(early) == 2 * (DRAFTS + BOOKINGS)
    assert [n for n, status in early.items() if not status] == []
    assert has_ended


# Guards against requests that are closed without an answer, since they come
# when the host ends.
@pytest.mark.parametrize('late_s', LATE_S)
def test_callers_that_come_until_the_host_is_gone_are_answered(late_s):
    statuses, _ = play(late_s)
    later = {n: s for n, s in statuses.items() if 'later' in n}
    # Some came before the host was gone, and some after that.
    assert {NOT_SENT, REFUSED} <= set(later.values())
    assert [n for n, status in later.items() if status is None] == []
