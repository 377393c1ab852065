"""Changes of settings over several hosts: real stores, peers and watchers."""

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
IN_FORCE_BOUND_S = 20.0
QUIET_S = 25.0
START_S = 2.0
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


class Told(typing.NamedTuple):
    """What an operator was told of a change."""

    change_id: str
    host: str
    kind: str
    version: int
    at: float


class Record(typing.NamedTuple):
    """All that a run left for the checkers."""

    told: list[Told]
    edits: dict[str, tuple[str, typing.Any]]
    in_force: dict[str, list[tuple[float, int, str]]]
    audit: list[tuple[int, str, str]]
    final_nodes: dict[str, typing.Any]
    away: dict[str, float]
    gone: set[str]
    reached: list[str]
    injected: list[tuple[str, str]]


class SimPeering(peering.Peering):
    """A host's peers, reached through the fakes' network."""

    def __init__(self, world: 'SettingsWorld', host: world_lib.SimHost):
        super().__init__(host.state, b'', world.nursery)
        self.world = world
        self.host = host

    async def _try_call(self, member, message, timeout_s):
        await self.host.running()
        is_push = isinstance(message, messages.SettingsReply)
        if is_push and self.host.name == 'a':
            self.world.step('pushed')
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                return await self._carry(member, message)
        except (trio.TooSlowError, peer_errors.PeerError):
            return None

    async def _carry(self, member, message):
        target = self.world.hosts[member.host_id]
        await trio.sleep(world_lib.HOP_S)
        if self.host.is_cut or target.is_cut or not target.is_alive:
            await trio.sleep_forever()
        await target.running()
        reply = await self.world.peerings[member.host_id].answer(message)
        await trio.sleep(world_lib.HOP_S)
        if self.host.is_cut or target.is_cut:
            await trio.sleep_forever()
        await self.host.running()
        return reply


class SettingsWorld(world_lib.World):
    """Three hosts and the operators that change their settings."""

    def __init__(self, nursery, plan, state_type=None) -> None:
        super().__init__(nursery, plan)
        self.state_type = state_type
        self.peerings: dict[str, SimPeering] = {}
        self.makers: dict[str, settings_changes.SettingsChanger] = {}
        self.told: list[Told] = []
        self.edits: dict[str, tuple[str, typing.Any]] = {}
        self.in_force: dict[str, list[tuple[float, int, str]]] = {}
        self.away: dict[str, float] = {}
        self.table_back = 0.0

    def quiet_since(self) -> float:
        """Returns when the last fault will have passed."""
        ends = [end for end in self.away.values() if end < NEVER_S]
        return max([self.table_back, *ends])

    async def add_host(self, name: str) -> None:
        """Starts a host: it takes the newest settings, then watches."""
        host = world_lib.SimHost(
            name, tree_lib.Tree(0, {}), len(self.hosts), self.nursery
        )
        if self.state_type is not None:
            host.state.settings.__class__ = self.state_type
        self.hosts[name] = host
        self.in_force[name] = []
        host.state.settings.add_listener(
            lambda tree: self._note_in_force(name, tree)
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
            self, host, lambda what, write: self._note_write(name, what, write)
        )
        store = settings_store.SettingsStore(table, trio.current_time)
        self.makers[name] = settings_changes.SettingsChanger(
            host.state, store, peers
        )
        background_tasks = watching.BackgroundTasks(
            host.state, None, store, None, peers
        )
        await self._start(host, store, peers)
        self.nursery.start_soon(host.run_until_killed, peers.run_heartbeats)
        self.nursery.start_soon(
            host.run_until_killed, background_tasks._run_settings
        )

    async def _start(self, host, store, peers) -> None:
        """Does what `Host._load_settings` does."""
        for member in host.state.membership.list_members():
            await peers.fetch_settings(member)
        loaded = await store.load()
        if isinstance(loaded, result.Ok):
            host.state.settings.apply_tree(loaded.ok_value.tree)

    def _note_in_force(self, name: str, tree: tree_lib.Tree) -> None:
        now = trio.current_time()
        content = repr(sorted(tree.nodes.items()))
        self.in_force[name].append((now, tree.version, content))
        if name == 'a' and tree.version > 1:
            self.step('applied')

    def _note_write(self, name, what, write) -> None:
        if name == 'a' and write.key == settings_store.ROOT_KEY:
            change_id = write.value['change_id']
            if change_id == 'main':
                is_sent = what == 'claim_sent'
                self.step('commit_sent' if is_sent else 'committed')

    async def change(self, change_id, host_name, node, value, version) -> None:
        """One operator makes one change through one host."""
        host = self.hosts[host_name]
        if change_id == 'main' and host_name == 'a':
            self.step('received')
        if not host.is_alive:
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
        made_version = 0
        try:
            answer = await self.makers[host_name].change(change, author)
        except settings_errors.VersionConflict:
            kind = 'conflict'
        else:
            if isinstance(answer, result.Ok):
                made = answer.ok_value
                kind = 'accepted' if made.is_replicated else 'committed'
                made_version = made.version
            else:
                kind = type(answer.err_value).__name__.lower()
        await host.running()
        if host.is_alive:
            now = trio.current_time()
            self.told.append(
                Told(change_id, host_name, kind, made_version, now)
            )
            if change_id == 'main' and host_name == 'a':
                self.step('told')


def inject(world: SettingsWorld, fault: str) -> None:
    """Brings a fault about, at host a, its peer b, or the table."""
    main, peer = world.hosts['a'], world.hosts['b']

    def cut(host: world_lib.SimHost) -> None:
        host.is_cut = True
        world.later(OUTAGE_S, lambda: setattr(host, 'is_cut', False))
        back = trio.current_time() + OUTAGE_S
        world.away[host.name] = max(back, world.away.get(host.name, 0))

    def freeze(host: world_lib.SimHost) -> None:
        host.freeze()
        world.later(FREEZE_S, host.thaw)
        back = trio.current_time() + FREEZE_S
        world.away[host.name] = max(back, world.away.get(host.name, 0))

    match fault:
        case 'kill_host':
            main.kill()
            world.away['a'] = NEVER_S
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
            world.table_back = trio.current_time() + OUTAGE_S
            world.fail_table(fault, OUTAGE_S)


def make_value(attempts: int) -> dict[str, typing.Any]:
    """Returns a value of the node that operators change."""
    return {'draft.max_attempts': attempts}


async def _run(faults, state_type) -> Record:
    plan = world_lib.Plan(faults, inject)
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
        await trio.sleep(QUIET_S)
        while trio.current_time() < world.quiet_since() + QUIET_S:
            await trio.sleep(1.0)
        stored = (await store.load()).unwrap()
        audit = (await store.read_audit_entries(1)).unwrap()
        nursery.cancel_scope.cancel()
    return Record(
        world.told,
        world.edits,
        world.in_force,
        [(e['version'], e['change_id'], e['where']) for e in audit],
        dict(stored.tree.nodes),
        world.away,
        {name for name, host in world.hosts.items() if not host.is_alive},
        world.reached,
        world.injected,
    )


def run(faults, session_type=None, seed: int = 0) -> Record:
    """Runs one change, and those of other operators, with faults at steps.

    Args:
        faults: Steps and faults.
        session_type: A `SettingsState` with a seeded defect.
        seed: Seed of the scheduler.
    """
    return world_lib.run_virtual(_run, faults, session_type, seed=seed)
