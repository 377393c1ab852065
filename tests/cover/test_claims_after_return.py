"""Keyed bookings whose claims the table has lost with an older copy."""

import contextlib

import pytest
import trio

from sardinebend_policy import bookings
from sardinebend_policy import outcomes
from sardinebend_router import claim_recovery
from tests.common import booking_world
from tests.common import matrix
from tests.common import world as world_lib

# A look at the era, and one at the confirmations.
RECOVERED_S = 2.0


@contextlib.asynccontextmanager
async def open_world():
    plan = world_lib.FaultPlan((), booking_world.inject)
    async with trio.open_nursery() as nursery:
        yield booking_world.BookingWorld(nursery, plan, bookings.BookingSession)
        nursery.cancel_scope.cancel()


async def ask(world, request_id, host):
    """Returns the outcome of a request with the key at a host."""
    await world.request(request_id, host)
    await trio.sleep(0.0)
    found = [o for o in world.received_outcomes if o.request_id == request_id]
    return found[0].outcome


@pytest.fixture
def clock(autojump_clock):
    return autojump_clock


# Guards against a booking that runs again because its claim is gone.
async def test_a_repeat_gets_the_answer_of_a_booking_whose_claim_was_lost(
    clock,
):
    async with open_world() as world:
        first = await ask(world, 'r0', 'a')
        world.table.return_from_copy({})
        repeat = await ask(world, 'r1', 'b')
    assert repeat == first
    assert len(world.executions) == 1


async def test_a_booking_that_runs_during_the_return_is_not_run_again(clock):
    # Its claim is lost while the service is at work, and its outcome is
    # recorded into a row that is gone.
    async with open_world() as world:
        world.is_silent = True
        world.nursery.start_soon(world.request, 'r0', 'a')
        await trio.sleep(0.1)
        assert len(world.executions) == 1
        world.table.return_from_copy({})
        await trio.sleep(RECOVERED_S)
        repeat = await ask(world, 'r1', 'b')
    assert isinstance(repeat, outcomes.OutcomeUnknown)
    assert len(world.executions) == 1


async def test_a_new_booking_is_served_once_all_hosts_have_recovered(clock):
    async with open_world() as world:
        world.table.return_from_copy({})
        started_at = trio.current_time()
        outcome = await ask(world, 'r0', 'b')
        took_s = trio.current_time() - started_at
    assert isinstance(outcome, outcomes.Answered)
    assert took_s < RECOVERED_S


# Guards against a claim of a suspended host that counts as absent: it may have
# sent the booking, and writes the claim again once it goes on.
async def test_bookings_are_refused_until_a_suspended_host_has_recovered(clock):
    async with open_world() as world:
        first = await ask(world, 'r0', 'a')
        world.hosts['a'].freeze()
        world.table.return_from_copy({})
        refused = await ask(world, 'r1', 'b')
        world.hosts['a'].thaw()
        await trio.sleep(RECOVERED_S)
        repeat = await ask(world, 'r2', 'b')
    assert isinstance(refused, outcomes.NotRun)
    assert refused.reason is outcomes.Reason.TABLE_UNAVAILABLE
    assert refused.retry_after_s
    assert repeat == first
    assert len(world.executions) == 1


async def test_a_host_that_is_gone_stops_bookings_for_a_limited_time(clock):
    async with open_world() as world:
        world.hosts['a'].kill()
        world.table.return_from_copy({})
        refused = await ask(world, 'r0', 'b')
        await trio.sleep(claim_recovery.RECOVERY_LIMIT_S)
        served = await ask(world, 'r1', 'b')
    assert isinstance(refused, outcomes.NotRun)
    assert isinstance(served, outcomes.Answered)


# Guards against a claim that was acknowledged before the return, and is sent
# after its host has confirmed that it wrote its claims again.
def test_a_claim_whose_answer_comes_after_the_return_is_not_sent_by_it():
    faults = (('claim_sent', 'table_slow'), ('claim_written', 'table_returns'))
    assert matrix.run_cell(matrix.BOOKING, faults).violations == []


# Guards against a booking that runs again because the host that sent it is no
# longer listed, and isn't waited for.
async def test_a_suspended_host_that_is_no_longer_listed_is_waited_for(clock):
    async with open_world() as world:
        first = await ask(world, 'r0', 'a')
        world.hosts['a'].freeze()
        await trio.sleep(RECOVERED_S)
        for name in ('b', 'c'):
            world.list_hosts(world.hosts[name], ('b', 'c'))
        world.table.return_from_copy({})
        refused = await ask(world, 'r1', 'b')
        world.hosts['a'].thaw()
        await trio.sleep(RECOVERED_S)
        repeat = await ask(world, 'r2', 'b')
    assert isinstance(refused, outcomes.NotRun)
    assert repeat == first
    assert len(world.executions) == 1


# Guards against a host that counts as recovered because its next process, which
# knows nothing of what the last one sent, has confirmed.
async def test_a_host_that_was_restarted_before_the_return_has_lost_claims(
    clock,
):
    async with open_world() as world:
        world.send_heartbeats()
        await ask(world, 'r0', 'a')
        await trio.sleep(RECOVERED_S)
        world.restart_host('a')
        await trio.sleep(RECOVERED_S)
        world.table.return_from_copy({})
        refused = await ask(world, 'r1', 'b')
    assert isinstance(refused, outcomes.NotRun)
    assert len(world.executions) == 1


async def test_a_host_that_left_long_ago_holds_up_no_booking(clock):
    async with open_world() as world:
        await trio.sleep(RECOVERED_S)
        world.hosts['a'].kill()
        for name in ('b', 'c'):
            world.list_hosts(world.hosts[name], ('b', 'c'))
        await trio.sleep(claim_recovery.RECOVERY_LIMIT_S)
        world.table.return_from_copy({})
        outcome = await ask(world, 'r0', 'b')
    assert isinstance(outcome, outcomes.Answered)


async def test_a_host_that_left_holds_bookings_up_from_when_it_left(clock):
    async with open_world() as world:
        await trio.sleep(RECOVERED_S)
        world.hosts['a'].kill()
        for name in ('b', 'c'):
            world.list_hosts(world.hosts[name], ('b', 'c'))
        await trio.sleep(claim_recovery.RECOVERY_LIMIT_S - 10.0)
        world.table.return_from_copy({})
        refused = await ask(world, 'r0', 'b')
        await trio.sleep(10.0)
        served = await ask(world, 'r1', 'b')
    assert isinstance(refused, outcomes.NotRun)
    assert isinstance(served, outcomes.Answered)


# Guards against a wait for a process whose successor has overwritten the row in
# which it had confirmed the era.
async def test_a_host_that_has_confirmed_and_restarted_holds_up_no_booking(
    clock,
):
    async with open_world() as world:
        world.send_heartbeats()
        await trio.sleep(RECOVERED_S)
        world.hosts['b'].freeze()
        world.table.return_from_copy({})
        await trio.sleep(RECOVERED_S)
        world.restart_host('a')
        await trio.sleep(RECOVERED_S)
        world.hosts['b'].thaw()
        await trio.sleep(RECOVERED_S)
        outcome = await ask(world, 'r0', 'b')
    assert isinstance(outcome, outcomes.Answered)


# Guards against refusals of what no lost claim could change: the table has the
# claim of another request with the key, and its host is asked.
async def test_a_claim_that_the_table_has_is_followed_before_all_recovered(
    clock,
):
    async with open_world() as world:
        world.is_silent = True
        world.nursery.start_soon(world.request, 'r0', 'a')
        await trio.sleep(0.1)
        world.hosts['c'].kill()
        world.table.return_from_copy(world.table.copy_rows())
        repeat = await ask(world, 'r1', 'b')
    assert isinstance(repeat, outcomes.OutcomeUnknown)
    assert len(world.executions) == 1


# Guards against callers that are kept waiting for a host that has been given
# the time to confirm, for instance one of the previous release, which can't.
async def test_bookings_are_refused_at_once_beside_a_host_that_never_confirms(
    clock,
):
    async with open_world() as world:
        world.hosts['a'].kill()
        world.table.return_from_copy({})
        await trio.sleep(claim_recovery.CONFIRMATION_WAIT_S + 1.0)
        started_at = trio.current_time()
        refused = await ask(world, 'r0', 'b')
        took_s = trio.current_time() - started_at
    assert isinstance(refused, outcomes.NotRun)
    assert refused.retry_after_s
    assert took_s < 0.1


# Guards against a host that runs a booking again because it has just started,
# and doesn't know which hosts ran before it, its own former process included.
async def test_a_host_that_has_just_started_waits_for_those_others_await(clock):
    async with open_world() as world:
        world.send_heartbeats()
        await ask(world, 'r0', 'a')
        await trio.sleep(RECOVERED_S)
        world.restart_host('a')
        await trio.sleep(RECOVERED_S)
        world.table.return_from_copy({})
        await trio.sleep(RECOVERED_S)
        refused = await ask(world, 'r1', 'a')
        await trio.sleep(claim_recovery.RECOVERY_LIMIT_S)
        served = await ask(world, 'r2', 'a')
    assert isinstance(refused, outcomes.NotRun)
    assert isinstance(served, outcomes.Answered)


# Guards against a second run, if the host that sent the first has died together
# with its claim and the booking is repeated after the wait for it.
async def test_a_booking_of_a_host_that_died_is_never_run_again(clock):
    async with open_world() as world:
        await ask(world, 'r0', 'a')
        world.hosts['a'].kill()
        world.table.return_from_copy({})
        await trio.sleep(claim_recovery.RECOVERY_LIMIT_S + RECOVERED_S)
        await ask(world, 'r1', 'b')
    assert len(world.executions) == 1
