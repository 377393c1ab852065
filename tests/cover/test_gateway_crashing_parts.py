"""Requests that differ in all but one part of their prompts, which crashes."""

import trio

from tests.common import crashing_world

REQUESTS = 24
# Longer than any outage here: hosts go on checking keys by what they know.
LONG_S = 600.0
SUBJECTS = ('5ab0', '5ab1', '5ab2', '5ab3')


def late_requests(fleet):
    """Returns the requests that reached engines too late."""
    late = fleet.late_arrivals(crashing_world.CRASHES_BEFORE_PART_QUARANTINE)
    return {arrival.request_id for arrival in late}


async def test_requests_with_a_crashing_part_are_no_longer_sent_by_any_host(
    clock,
):
    # Guards against a quarantine that knows requests only as a whole: each new
    # request with the part crashed engines again.
    async with crashing_world.running() as fleet:
        await fleet.send_fatal_parts(REQUESTS)
        late = late_requests(fleet)
    assert len(late) <= crashing_world.MAX_LATE_REPEATS


async def test_sound_requests_with_the_other_parts_are_served_meanwhile(clock):
    # Guards against a quarantine of the customer, or of parts that sound
    # requests share with the ones that crash engines.
    statuses, refused = [], []

    async def ask_sound(fleet, subject):
        while True:
            answer = await fleet.ask_with_parts(subject)
            statuses.append((trio.current_time(), answer[0]))
            if float(answer[1].get('retry-after', 0)) > 60:
                refused.append(answer)
            await trio.sleep(0.2)

    async with crashing_world.running() as fleet:
        for subject in SUBJECTS:
            fleet.nursery.start_soon(ask_sound, fleet, subject)
        await fleet.send_fatal_parts(REQUESTS)
        assert len(fleet.crashes) >= crashing_world.CRASHES_BEFORE_QUARANTINE
        since = trio.current_time() - REQUESTS / 2 * 0.6
    late_statuses = [status for at, status in statuses if at > since]
    assert refused == []
    assert late_statuses.count(200) > len(late_statuses) / 2


async def test_a_quarantined_part_persists_after_a_restart_of_all_hosts(clock):
    # Guards against a verdict on a part that ends when all hosts restart.
    async with crashing_world.running() as fleet:
        await fleet.send_fatal_parts(REQUESTS // 2)
        fleet.kill_hosts()
        await trio.sleep(1.0)
        for number in range(crashing_world.HOSTS):
            await fleet.start_host(f'new-{number}')
        sent = len(fleet.arrivals)
        await fleet.send_fatal_parts(REQUESTS // 2)
    assert len(fleet.arrivals) == sent


async def test_evidence_before_a_verdict_persists_after_restarts_of_all_hosts(
    clock,
):
    # Guards against a part that is learned anew, by as many crashes, each time
    # that all hosts restart.
    async with crashing_world.running() as fleet:
        for number in range(6):
            await fleet.send_fatal_parts(1, every_s=4.0)
            await fleet.restart_hosts(f'again-{number}')
        late = late_requests(fleet)
    assert len(late) <= crashing_world.MAX_LATE_REPEATS


async def test_stored_evidence_against_a_part_ends_when_it_is_served(clock):
    # Guards against a sound part that is refused after a restart of all hosts
    # for crashes that were explained before it.
    async with crashing_world.running() as fleet:
        await fleet.send_fatal_parts(1, every_s=5.0)
        assert crashing_world.FATAL_PART in await fleet.read_evidence()
        for worker in fleet.workers:
            worker.is_immune = True
        await trio.sleep(4.0)
        status, _ = await fleet.ask_with_parts(
            '5ab0', crashing_world.FATAL_PART
        )
        assert status == 200
        await trio.sleep(8.0)
        assert await fleet.read_evidence() == []


async def test_evidence_that_an_older_copy_of_the_store_lacks_is_written_again(
    clock,
):
    # Guards against evidence that is lost with a store that comes back from an
    # older copy, and then with the hosts.
    async with crashing_world.running() as fleet:
        await fleet.send_fatal_parts(1, every_s=5.0)
        assert crashing_world.FATAL_PART in await fleet.read_evidence()
        fleet.store.return_from_copy(20)
        assert await fleet.read_evidence() == []
        await trio.sleep(8.0)
        assert crashing_world.FATAL_PART in await fleet.read_evidence()


async def test_hosts_share_a_quarantined_part_during_a_store_outage(clock):
    # Guards against each host detecting the part by crashes of its own.
    async with crashing_world.running(revoke_s=LONG_S) as fleet:
        fleet.store.is_down = True
        await fleet.send_fatal_parts(REQUESTS)
        late = late_requests(fleet)
    assert len(late) <= crashing_world.MAX_LATE_REPEATS


async def test_a_host_that_restarts_during_a_store_outage_knows_the_part(clock):
    # Guards against verdicts that no row holds yet and that a new host never
    # hears of, since heartbeats sent them only for a few seconds.
    async with crashing_world.running(revoke_s=LONG_S) as fleet:
        fleet.store.is_down = True
        await fleet.send_fatal_parts(REQUESTS // 2)
        await trio.sleep(10.0)
        for _ in range(crashing_world.HOSTS):
            await fleet.replace_host(0)
        sent = len(fleet.arrivals)
        for host in fleet.hosts:
            status, headers = await fleet.ask_with_parts(
                '5ab0', crashing_world.FATAL_PART, host=host
            )
            assert status == 503
            assert float(headers['retry-after']) > 60
    assert len(fleet.arrivals) == sent


async def test_an_attempt_ends_when_its_part_is_quarantined_meanwhile(clock):
    # Guards against engines that crash after the verdict, under requests that
    # had reached them before it and hadn't begun an answer.
    async with crashing_world.running() as fleet:
        for worker in fleet.workers:
            worker.reads_for_s = 2.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                fleet.ask_with_parts, '5ab0', crashing_world.FATAL_PART
            )
            await trio.sleep(1.0)
            assert len(fleet.arrivals) == 1
            for host in fleet.hosts:
                host.gateway._quarantine.apply_verdict(
                    f'part/{crashing_world.FATAL_PART}', 60.0
                )
        await trio.sleep(3.0)
        assert fleet.crashes == []
        assert len(fleet.arrivals) == 1
