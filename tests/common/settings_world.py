"""Simulates changes of settings over several hosts.

Settings stores, peering and background tasks are the product's; table and
network are fakes.
"""

import typing

import result
import trio

from sardinebend_peers import errors as peer_errors
from sardinebend_peers import messages
from sardinebend_policy import membership
from sardinebend_router import peering
from sardinebend_router import settings_changes
from sardinebend_router import settings_store
from sardinebend_router import watching
from sardinebend_settings import errors as settings_errors
from sardinebend_settings import tree as tree_lib
from tests.common import world as world_lib

HOSTS = ('a', 'b', 'c')
NODE = 'values/fleet'
OTHER_NODE = 'values/fleet/customer:nile'
FREEZE_S = 30.0
OUTAGE_S = 25.0
CALL_TIMEOUT_S = 1.0
SETTLE_S = 25.0
START_S = 2.0
# End of a fault that never ends.
NEVER_S = 1e9

STEPS = (
    'received',
    'commit_sent',
    'committed',
    'applied',
    'pushed',
    'told',
)
FAULTS = (
    'kill_host',
    'freeze_host',
    'cut_host',
    'table_down',
    'table_slow',
    'table_reply_lost',
    'table_effect_late',
    'peer_cut',
    'peer_frozen',
    'repeat_elsewhere',
    'other_operator_same_node',
    'other_operator_other_node',
    'new_host',
)


class ChangeAnswer(typing.NamedTuple):
    """The answer that an operator received to a change."""

    change_id: str
    host: str
    kind: str
    version: int
    at: float


class Record(typing.NamedTuple):
    """What a run recorded for the checkers."""

    answers: list[ChangeAnswer]
    edits: dict[str, tuple[str, typing.Any]]
    in_force: dict[str, list[tuple[float, int, str]]]
    audit: list[tuple[int, str, str]]
    final_nodes: dict[str, typing.Any]
    unreachable_until: dict[str, float]
    killed_hosts: set[str]
    reached: list[str]
    injected: list[tuple[str, str]]


class SimPeering(peering.Peering):
    """The peering of a host over the simulated network."""

    def __init__(self, world: 'SettingsWorld', host: world_lib.SimHost):
        super().__init__(host.state, b'', world.nursery)
        self.world = world
        self.host = host

    async def _try_call(self, member, message, timeout_s):
        await self.host.wait_until_running()
        is_push = isinstance(message, messages.SettingsReply)
        if is_push and self.host.name == 'a':
            self.world.record_step('pushed')
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                return await self._deliver(member, message)
        except (trio.TooSlowError, peer_errors.PeerError):
            return None

    async def _deliver(self, member, message):
        target = self.world.hosts[member.host_id]
        await trio.sleep(world_lib.HOP_S)
        if self.host.is_cut or target.is_cut or not target.is_live:
            await trio.sleep_forever()
        await target.wait_until_running()
        reply = await self.world.peerings[member.host_id].answer(message)
        await trio.sleep(world_lib.HOP_S)
        if self.host.is_cut or target.is_cut:
            await trio.sleep_forever()
        await self.host.wait_until_running()
        return reply


class SettingsWorld(world_lib.World):
    """Three hosts, and operators that change their settings."""

    def __init__(self, nursery, plan, state_type=None) -> None:
        super().__init__(nursery, plan)
        self.state_type = state_type
        self.peerings: dict[str, SimPeering] = {}
        self.changers: dict[str, settings_changes.SettingsChanger] = {}
        self.answers: list[ChangeAnswer] = []
        self.edits: dict[str, tuple[str, typing.Any]] = {}
        self.in_force: dict[str, list[tuple[float, int, str]]] = {}
        self.unreachable_until: dict[str, float] = {}
        self.table_outage_end = 0.0

    def last_fault_end(self) -> float:
        """Returns when the last fault ends."""
        ends = [end for end in self.unreachable_until.values() if end < NEVER_S]
        return max([self.table_outage_end, *ends])

    async def add_host(self, name: str) -> None:
        """Starts a host, which loads the newest settings, then watches them."""
        host = world_lib.SimHost(
            name, tree_lib.Tree(0, {}), len(self.hosts), self.nursery
        )
        if self.state_type is not None:
            host.state.settings.__class__ = self.state_type
        self.hosts[name] = host
        self.in_force[name] = []
        host.state.settings.add_listener(
            lambda tree: self._record_in_force(name, tree)
        )
        for other in self.hosts.values():
            members = [
                (
                    membership.Member(item, 'd', f'http://{item}', f'{item}:1'),
                    False,
                )
                for item in self.hosts
            ]
            other.state.membership.apply_listing(members)
        peers = SimPeering(self, host)
        self.peerings[name] = peers
        table = world_lib.HostTable(
            self,
            host,
            lambda phase, write: self._record_write_step(name, phase, write),
        )
        store = settings_store.SettingsStore(table, trio.current_time)
        self.changers[name] = settings_changes.SettingsChanger(
            host.state, store, peers
        )
        background_tasks = watching.BackgroundTasks(
            host.state, None, store, None, peers
        )
        await self._load_settings(host, store, peers)
        self.nursery.start_soon(host.run_until_killed, peers.run_heartbeats)
        self.nursery.start_soon(
            host.run_until_killed, background_tasks._run_settings
        )

    async def _load_settings(self, host, store, peers) -> None:
        """Loads the settings as `Host._load_settings` does."""
        for member in host.state.membership.list_members():
            await peers.fetch_settings(member)
        loaded = await store.load()
        if isinstance(loaded, result.Ok):
            host.state.settings.apply_tree(loaded.ok_value.tree)

    def _record_in_force(self, name: str, tree: tree_lib.Tree) -> None:
        now = trio.current_time()
        content = repr(sorted(tree.nodes.items()))
        self.in_force[name].append((now, tree.version, content))
        if name == 'a' and tree.version > 1:
            self.record_step('applied')

    def _record_write_step(self, name, phase, write) -> None:
        if name == 'a' and write.key == settings_store.ROOT_KEY:
            change_id = write.value['change_id']
            if change_id == 'main':
                is_sent = phase == 'sent'
                self.record_step('commit_sent' if is_sent else 'committed')

    async def change(self, change_id, host_name, node, value, version) -> None:
        """Makes one change by one operator through one host."""
        host = self.hosts[host_name]
        if change_id == 'main' and host_name == 'a':
            self.record_step('received')
        if not host.is_live:
            return
        self.edits[change_id] = (node, value)
        await host.run_until_killed(
            self._change, change_id, host_name, node, value, version
        )

    async def _change(self, change_id, host_name, node, value, version):
        host = self.hosts[host_name]
        edit = {'node': node, 'expected_version': version, 'value': value}
        change = {'change_id': change_id, 'why': 'w', 'edits': [edit]}
        author = settings_store.Author('o', host_name)
        new_version = 0
        try:
            answer = await self.changers[host_name].change(change, author)
        except settings_errors.VersionConflict:
            kind = 'conflict'
        else:
            if isinstance(answer, result.Ok):
                in_force = answer.ok_value
                kind = 'accepted' if in_force.is_replicated else 'committed'
                new_version = in_force.version
            else:
                kind = type(answer.err_value).__name__.lower()
        await host.wait_until_running()
        if host.is_live:
            now = trio.current_time()
            self.answers.append(
                ChangeAnswer(change_id, host_name, kind, new_version, now)
            )
            if change_id == 'main' and host_name == 'a':
                self.record_step('told')


def inject(world: SettingsWorld, fault: str) -> None:
    """Injects a fault at host a, its peer b, or the table."""
    main, peer = world.hosts['a'], world.hosts['b']

    def cut(host: world_lib.SimHost) -> None:
        host.is_cut = True
        world.call_later(OUTAGE_S, lambda: setattr(host, 'is_cut', False))
        ends_at = trio.current_time() + OUTAGE_S
        world.unreachable_until[host.name] = max(
            ends_at, world.unreachable_until.get(host.name, 0)
        )

    def freeze(host: world_lib.SimHost) -> None:
        host.freeze()
        world.call_later(FREEZE_S, host.thaw)
        ends_at = trio.current_time() + FREEZE_S
        world.unreachable_until[host.name] = max(
            ends_at, world.unreachable_until.get(host.name, 0)
        )

    match fault:
        case 'kill_host':
            main.kill()
            world.unreachable_until['a'] = NEVER_S
        case 'freeze_host':
            freeze(main)
        case 'cut_host':
            cut(main)
        case 'peer_cut':
            cut(peer)
        case 'peer_frozen':
            freeze(peer)
        case 'repeat_elsewhere':
            world.nursery.start_soon(
                world.change, 'main', 'c', NODE, make_value(2), 1
            )
        case 'other_operator_same_node':
            name = f'same-{len(world.injected)}'
            world.nursery.start_soon(
                world.change, name, 'c', NODE, make_value(3), 1
            )
        case 'other_operator_other_node':
            name = f'other-{len(world.injected)}'
            value = {'admission.weight': 2.0}
            world.nursery.start_soon(
                world.change, name, 'c', OTHER_NODE, value, 0
            )
        case 'new_host':
            world.nursery.start_soon(world.add_host, f'n{len(world.injected)}')
        case _:
            world.table_outage_end = trio.current_time() + OUTAGE_S
            world.fail_table(fault, OUTAGE_S)


def make_value(attempts: int) -> dict[str, typing.Any]:
    """Returns a value for the node that operators change."""
    return {'draft.max_attempts': attempts}


async def _run(faults, state_type) -> Record:
    plan = world_lib.FaultPlan(faults, inject)
    async with trio.open_nursery() as nursery:
        world = SettingsWorld(nursery, plan, state_type)
        first = tree_lib.Tree.from_nodes(1, {NODE: make_value(1)})
        store = settings_store.SettingsStore(world.table, trio.current_time)
        author = settings_store.Author('first', 'first')
        await store.initialise(first, author)
        for name in HOSTS:
            await world.add_host(name)
        await trio.sleep(START_S)
        nursery.start_soon(world.change, 'main', 'a', NODE, make_value(2), 1)
        await trio.sleep(SETTLE_S)
        while trio.current_time() < world.last_fault_end() + SETTLE_S:
            await trio.sleep(1.0)
        stored = (await store.load()).unwrap()
        audit = (await store.read_audit_entries(1)).unwrap()
        nursery.cancel_scope.cancel()
    return Record(
        world.answers,
        world.edits,
        world.in_force,
        [(e['version'], e['change_id'], e['where']) for e in audit],
        dict(stored.tree.nodes),
        world.unreachable_until,
        {name for name, host in world.hosts.items() if not host.is_live},
        world.reached,
        world.injected,
    )


def run(faults, tested_type=None, seed: int = 0) -> Record:
    """Runs one change and those of other operators, with faults at steps.

    Args:
        faults: Steps and the faults that are injected at them.
        tested_type: A subclass of `SettingsState` with a seeded defect.
        seed: Seed of the scheduler.
    """
    return world_lib.run_virtual(_run, faults, tested_type, seed=seed)
