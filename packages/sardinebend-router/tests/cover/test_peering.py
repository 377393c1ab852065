"""Tests of reports to peers whose connections break."""

import random

import pytest
import trio

from sardinebend_peers import errors
from sardinebend_peers import links
from sardinebend_peers import messages
from sardinebend_policy import membership
from sardinebend_policy import quarantine
from sardinebend_router import peering
from sardinebend_router import state as state_lib
from sardinebend_settings import tree as tree_lib

PEER = membership.Member('peer', 'd', 'http://peer', 'peer:1')
CRASH = quarantine.Crash('e/i', frozenset({quarantine.Run('f', 'r/1')}))


class BreakingLink:
    """A link whose first calls fail because its connection breaks."""

    def __init__(self, failures, delay_s=0.0):
        self._failures = failures
        self._delay_s = delay_s
        self.calls = 0
        self.received = []

    async def call(self, message, timeout_s):
        self.calls += 1
        await trio.sleep(min(self._delay_s, timeout_s))
        if self.calls <= self._failures:
            raise errors.PeerUnreachable('connection closed')
        self.received.append(message)
        return messages.Ack()

    async def close(self):
        pass


def make_peering(monkeypatch, nursery, link):
    monkeypatch.setattr(links, 'PeerLink', lambda *args: link)
    own = membership.Member('own', 'd', 'http://own', 'own:1')
    state = state_lib.HostState(
        own, 'r', tree_lib.Tree(1, {}), b'secret', random.Random(1)
    )
    state.membership.apply_listing([(PEER, False)])
    heartbeat = membership.Heartbeat('peer', 'i', 1, 0, False, True)
    state.membership.record_heartbeat(heartbeat, trio.current_time())
    return peering.Peering(state, b'secret', nursery)


# A heartbeat that timed out closed the connection under a crash report, which
# was then lost, while the request went on as if the peer knew of the crash.
@pytest.mark.parametrize('failures', [0, 1, 2])
async def test_a_crash_report_is_repeated_when_its_connection_breaks(
    failures, monkeypatch, nursery, autojump_clock
):
    link = BreakingLink(failures)
    host = make_peering(monkeypatch, nursery, link)
    await host.report_crashes((CRASH,))
    [report] = link.received
    assert [notice.crash_id for notice in report.crashes] == ['e/i']


async def test_a_crash_report_to_a_lost_peer_is_not_repeated_forever(
    monkeypatch, nursery, autojump_clock
):
    link = BreakingLink(100)
    host = make_peering(monkeypatch, nursery, link)
    await host.report_crashes((CRASH,))
    assert link.calls == peering.MAX_REPORTS


# Lookups wait for the report before they try another endpoint.
async def test_a_report_to_a_silent_peer_takes_hardly_longer_than_one_call(
    monkeypatch, nursery, autojump_clock
):
    link = BreakingLink(100, 0.6 * peering.CALL_TIMEOUT_S)
    host = make_peering(monkeypatch, nursery, link)
    started_at = trio.current_time()
    await host.report_crashes((CRASH,))
    took_s = trio.current_time() - started_at
    assert took_s <= peering.CALL_TIMEOUT_S + peering.REPORT_PAUSE_S + 0.01
