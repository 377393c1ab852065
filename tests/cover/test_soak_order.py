"""Tests of the order in which a soak runs tasks that are ready at once."""

import trio
import trio.testing

from tests.soak import soak

TASKS = 8


def play(seed, passes=0, start_s=1.0):
    """Returns the order of tasks that begin at the same time.

    Args:
        seed: The seed of the soak.
        passes: How often the scheduler has run before.
        start_s: When they begin.
    """
    order = []

    async def run():
        async with trio.open_nursery() as nursery:
            # Trio draws nothing to order a single task.
            nursery.start_soon(pass_by)
            nursery.start_soon(pass_by)
        await trio.sleep(start_s)
        async with trio.open_nursery() as nursery:
            for number in range(TASKS):
                nursery.start_soon(add, number)

    async def pass_by():
        for _ in range(passes):
            await trio.lowlevel.checkpoint()

    async def add(number):
        order.append(number)

    with soak._seeded(seed):
        clock = trio.testing.MockClock(autojump_threshold=soak.IDLE_S)
        trio.run(run, clock=clock)
    return tuple(order)


# Guards against plays of a seed that differ: how often a server of the soak is
# run that sends without end depends on how many bytes the kernel takes at once.
def test_the_order_of_tasks_does_not_depend_on_how_often_others_ran():
    assert len({play(1, passes) for passes in range(8)}) == 1


def test_the_order_of_tasks_varies_with_the_seed_and_the_time():
    assert len({play(seed) for seed in range(8)}) > 4
    assert len({play(1, start_s=1.0 + n / 10) for n in range(8)}) > 4
