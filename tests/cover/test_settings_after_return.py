"""Settings that the table has lost with an older copy."""

import contextlib

import pytest
import trio

from sardinebend_router import settings_store
from sardinebend_router import watching
from sardinebend_settings import tree as tree_lib
from tests.common import settings_world
from tests.common import world as world_lib

FIRST = settings_world.make_value(1)
CHANGED = settings_world.make_value(2)
# All hosts look at the table meanwhile.
RESTORED_S = watching.SETTINGS_POLL_S + 1.0


@pytest.fixture
def clock(autojump_clock):
    return autojump_clock


@contextlib.asynccontextmanager
async def open_world():
    """Yields hosts with one change in force, and a copy from before it."""
    plan = world_lib.FaultPlan((), settings_world.inject)
    async with trio.open_nursery() as nursery:
        world = settings_world.SettingsWorld(nursery, plan)
        tree = tree_lib.Tree.from_nodes(1, {settings_world.NODE: FIRST})
        author = settings_store.Author('first', 'first')
        await open_store(world).initialise(tree, author)
        for name in settings_world.HOSTS:
            await world.add_host(name)
        await trio.sleep(settings_world.START_S)
        world.copy = world.table.copy_rows()
        await world.change('main', 'a', settings_world.NODE, CHANGED, 1)
        await trio.sleep(RESTORED_S)
        yield world
        nursery.cancel_scope.cancel()


def open_store(world):
    return settings_store.SettingsStore(world.table, trio.current_time)


async def load(world):
    return (await open_store(world).load()).unwrap()


def list_in_force(world):
    """Returns versions and nodes in force at the hosts, without repeats."""
    trees = [host.state.settings.tree for host in world.hosts.values()]
    return {(tree.version, repr(sorted(tree.nodes.items()))) for tree in trees}


# Guards against settings that only the hosts know, until the last one restarts.
async def test_settings_that_the_copy_lacks_are_written_again(clock):
    async with open_world() as world:
        world.table.return_from_copy(world.copy)
        await trio.sleep(RESTORED_S)
        stored = await load(world)
        entries = (await open_store(world).read_audit_entries(1)).unwrap()
    assert stored.tree.version == 2
    assert stored.tree.nodes == {settings_world.NODE: CHANGED}
    assert [entry['version'] for entry in entries] == [2]


async def test_all_settings_are_written_again_if_the_copy_has_none(clock):
    async with open_world() as world:
        world.table.return_from_copy({})
        await trio.sleep(RESTORED_S)
        stored = await load(world)
    assert (stored.tree.version, stored.tree.nodes) == (
        2,
        {settings_world.NODE: CHANGED},
    )


# Guards against a second tree of a version that is in force: its change was
# told as accepted and came into force nowhere.
async def test_a_change_right_after_the_return_comes_into_force(clock):
    async with open_world() as world:
        world.table.return_from_copy(world.copy)
        other = settings_world.OTHER_NODE
        value = {'admission.weight': 2.0}
        await world.change('next', 'b', other, value, 0)
        await trio.sleep(RESTORED_S)
        stored = await load(world)
    assert world.answers[-1].kind == 'accepted'
    assert stored.tree.version == 3
    assert stored.tree.nodes == {settings_world.NODE: CHANGED, other: value}
    assert list_in_force(world) == {
        (3, repr(sorted(stored.tree.nodes.items())))
    }


async def test_a_removed_node_stays_removed_after_the_return(clock):
    async with open_world() as world:
        other = settings_world.OTHER_NODE
        await world.change('add', 'a', other, {'admission.weight': 2.0}, 0)
        world.copy = world.table.copy_rows()
        await world.change('remove', 'a', other, None, 1)
        world.table.return_from_copy(world.copy)
        await trio.sleep(RESTORED_S)
        stored = await load(world)
    assert stored.tree.version == 4
    assert stored.tree.nodes == {settings_world.NODE: CHANGED}


# Guards against a host that applies the difference to the copy to a later tree
# and keeps what the changes in between had made.
async def test_what_is_written_again_is_not_applied_to_another_version(clock):
    async with open_world() as world:
        await world.change('back', 'a', settings_world.NODE, FIRST, 2)
        world.table.return_from_copy(world.copy)
        await trio.sleep(RESTORED_S)
        entries = (await open_store(world).read_audit_entries(2)).unwrap()
    late = tree_lib.Tree.from_nodes(2, {settings_world.NODE: CHANGED})
    assert [entry['version'] for entry in entries] == [3]
    assert settings_store.apply_audit_entries(late, entries) is None


# Guards against an error that ends the task that polls the settings.
async def test_odd_settings_in_the_copy_end_no_host(clock):
    async with open_world() as world:
        key = settings_store.NODE_PREFIX + settings_world.NODE
        odd = world.copy[key]._replace(value={'value': {'no.such.key': 1}})
        world.table.return_from_copy({**world.copy, key: odd})
        await trio.sleep(RESTORED_S)
        world.table.return_from_copy(world.copy)
        await trio.sleep(RESTORED_S)
        stored = await load(world)
    assert stored.tree.version == 2
