"""Requests that crash every server that runs them."""

import pytest
import trio

from tests.common import crashing_world

REPEATS = 20


@pytest.mark.parametrize('renames', [False, True])
@pytest.mark.parametrize('target', ['/look/x', '/book/x', '/draft/x'])
async def test_a_crashing_request_is_no_longer_sent_by_any_host(
    target, renames, clock
):
    # Guards against a request that crashed three servers being sent to more.
    async with crashing_world.running(renames) as fleet:
        await fleet.repeat(target, REPEATS)
        late = fleet.late_arrivals()
    assert len(late) <= crashing_world.MAX_LATE_REPEATS


async def test_a_quarantined_request_is_refused_at_once_and_not_sent(clock):
    async with crashing_world.running() as fleet:
        await fleet.repeat('/look/x', 6)
        sent = len(fleet.arrivals)
        before = trio.current_time()
        for host in fleet.hosts:
            status, headers = await fleet.ask('/look/x', host=host)
            assert status == 503
            assert float(headers['retry-after']) > 60
        assert trio.current_time() - before < 0.2
        assert len(fleet.arrivals) == sent


async def test_other_requests_are_served_while_one_crashes_its_servers(clock):
    # Guards against a quarantine of harmless requests that ran on the servers
    # that another request crashed.
    refused = []

    async def ask_others(fleet):
        number = 0
        while True:
            number += 1
            for target in (f'/look/other-{number}', f'/draft/{number}'):
                answer = await fleet.ask(target, b'harmless')
                if float(answer[1].get('retry-after', 0)) > 60:
                    refused.append((target, answer))
            await trio.sleep(0.05)

    async with crashing_world.running() as fleet:
        for _ in range(3):
            fleet.nursery.start_soon(ask_others, fleet)
        await fleet.repeat('/look/x', 8)
        await fleet.repeat('/draft/x', 8)
        assert len(fleet.crashes) >= crashing_world.CRASHES_BEFORE_QUARANTINE
        status, _ = await fleet.ask('/look/other-1', b'harmless')
    assert refused == []
    assert status == 200


async def test_a_quarantine_persists_after_a_restart_of_all_hosts(clock):
    # Guards against a quarantine that ends when all hosts restart.
    async with crashing_world.running() as fleet:
        await fleet.repeat('/book/x', 6)
        sent = len(fleet.arrivals)
        fleet.kill_hosts()
        await trio.sleep(1.0)
        for number in range(crashing_world.HOSTS):
            await fleet.start_host(f'new-{number}')
        await fleet.repeat('/book/x', 6)
    assert len(fleet.arrivals) == sent


async def test_hosts_report_crashes_to_each_other_during_a_store_outage(clock):
    # Guards against each host detecting the request by crashes of its own.
    async with crashing_world.running() as fleet:
        fleet.store.is_down = True
        await fleet.repeat('/book/x', 6)
    assert len(fleet.crashes) == crashing_world.CRASHES_BEFORE_QUARANTINE
