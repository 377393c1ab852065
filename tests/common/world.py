"""Simulated hosts under a virtual clock, with faults between their parts."""

import contextlib
import random
import typing

import result
import trio
from trio._core import _run as trio_run
import trio.testing

from sardinebend_policy import membership
from sardinebend_router import state as state_lib
from sardinebend_settings import tree as tree_lib
from sardinebend_store import errors as platform_errors
from sardinebend_store import memory
from sardinebend_store import store

HOP_S = 0.001
TABLE_TIMEOUT_S = 2.0
LATE_EFFECT_S = 4.0
SLOW_DELAY_S = 1.0


TABLE_MODES = {
    'table_down': 'down',
    'table_slow': 'slow',
    'table_reply_lost': 'lost',
    'table_effect_late': 'late',
}


class TableFaults:
    """The fault mode of the table: up, down, slow, lost or late."""

    def __init__(self) -> None:
        self.mode = 'up'


class SimHost:
    """The state of a host, which can be frozen, cut off and killed."""

    def __init__(
        self,
        name: str,
        tree: tree_lib.Tree,
        seed: int,
        nursery: trio.Nursery,
    ) -> None:
        own = membership.Member(name, 'd-' + name, f'http://{name}', name)
        self.name = name
        self.state = state_lib.HostState(
            own, 'r', tree, b'secret', random.Random(seed)
        )
        self.state.incarnation = f'{name}-1'
        self.nursery = nursery
        self.killed = trio.Event()
        self.is_live = True
        self.is_cut = False
        self._thaw = trio.Event()
        self._thaw.set()

    @property
    def is_frozen(self) -> bool:
        return not self._thaw.is_set()

    def freeze(self) -> None:
        if not self.is_frozen:
            self._thaw = trio.Event()

    def thaw(self) -> None:
        self._thaw.set()

    async def wait_until_running(self) -> None:
        """Waits until the host isn't frozen."""
        await self._thaw.wait()

    def kill(self) -> None:
        self.is_live = False
        self.killed.set()

    async def run_until_killed(self, function, *args) -> None:
        """Runs an async function until it returns or the host is killed."""
        async with trio.open_nursery() as nursery:

            async def wait_killed() -> None:
                await self.killed.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_killed)
            await function(*args)
            nursery.cancel_scope.cancel()


class FreezableSessionRunnerMixin:
    """Mixin for session runners; delays events while the host is frozen."""

    host: SimHost
    observe: typing.Callable[[typing.Any], None]

    def post(self, event: typing.Any) -> None:
        self.observe(event)
        if not self.host.is_live:
            return
        if self.host.is_frozen or getattr(self, '_held', None):
            self._hold(event)
        else:
            super().post(event)  # type: ignore[misc]

    def _hold(self, event: typing.Any) -> None:
        if not hasattr(self, '_held'):
            self._held: list[typing.Any] = []
        self._held.append(event)
        if len(self._held) == 1:
            self.host.nursery.start_soon(self._flush)

    async def _flush(self) -> None:
        await self.host.wait_until_running()
        while self._held:
            event = self._held[0]
            super().post(event)  # type: ignore[misc]
            self._held.pop(0)


class World:
    """The simulated platform and network that all hosts share."""

    def __init__(self, nursery: trio.Nursery, plan: 'FaultPlan') -> None:
        self.nursery = nursery
        self.plan = plan
        self.table = memory.MemoryTable()
        self.faults = TableFaults()
        self.objects = SimObjects()
        self.hosts: dict[str, SimHost] = {}
        self.reached: list[str] = []
        self.injected: list[tuple[str, str]] = []

    def record_step(self, name: str) -> None:
        """Records that the main request reached a step; injects its faults."""
        if name in self.reached:
            return
        self.reached.append(name)
        for step, fault in self.plan.faults:
            if step == name:
                self.injected.append((step, fault))
                self.plan.inject(self, fault)

    def fail_table(self, fault: str, seconds: float) -> None:
        """Injects a fault of the table for a time."""
        self.faults.mode = TABLE_MODES[fault]
        self.call_later(seconds, lambda: setattr(self.faults, 'mode', 'up'))

    def call_later(self, delay_s: float, function: typing.Callable) -> None:
        async def run() -> None:
            await trio.sleep(delay_s)
            function()

        self.nursery.start_soon(run)


class FaultPlan(typing.NamedTuple):
    """Faults by step, and a function that injects a fault."""

    faults: tuple[tuple[str, str], ...]
    inject: typing.Callable[[typing.Any, str], None]


class SimObjects(memory.MemoryObjects):
    """An object store that can be down."""

    is_down = False

    async def put(self, key, data):
        if self.is_down:
            return result.Err(platform_errors.Unavailable('down'))
        return await super().put(key, data)

    async def get(self, key):
        if self.is_down:
            return result.Err(platform_errors.Unavailable('down'))
        return await super().get(key)


class HostTable(store.TableStore):
    """One host's access to the table over the simulated network.

    `on_write` is called with the phase of a transaction ('sent' or 'written')
    and its first write.
    """

    def __init__(
        self,
        world: World,
        host: SimHost,
        on_write: typing.Callable[[str, store.Write], None] = (
            lambda phase, write: None
        ),
    ) -> None:
        self._world = world
        self._host = host
        self._on_write = on_write

    @property
    def era(self):
        return self._world.table.era

    async def transact(self, writes):
        await self._host.wait_until_running()
        self._on_write('sent', writes[0])
        answer = await self._exchange(lambda: self._apply(writes))
        await self._host.wait_until_running()
        return answer

    async def read(self, key):
        return await self._read_after(
            lambda: result.Ok(self._world.table._rows.get(key))
        )

    async def scan(self, prefix, after='', limit=1000):
        return await self._read_after(
            lambda: result.Ok(self._world.table.select(prefix, after, limit))
        )

    async def _read_after(self, effect: typing.Callable):
        await self._host.wait_until_running()
        answer = await self._exchange(effect)
        await self._host.wait_until_running()
        if isinstance(answer, result.Err):
            return result.Err(platform_errors.Unavailable('no reply'))
        return answer

    def _apply(self, writes):
        answer = self._world.table.apply(writes)
        if isinstance(answer, result.Ok):
            self._on_write('written', writes[0])
        return answer

    async def _exchange(self, effect: typing.Callable):
        await trio.sleep(HOP_S)
        mode = self._world.faults.mode
        if self._host.is_cut:
            await trio.sleep(TABLE_TIMEOUT_S)
            return result.Err(platform_errors.Unclear('cut'))
        if mode == 'down':
            return result.Err(platform_errors.Unavailable('down'))
        if mode == 'late':
            self._world.call_later(LATE_EFFECT_S, effect)
            await trio.sleep(TABLE_TIMEOUT_S)
            return result.Err(platform_errors.Unclear('late'))
        if mode == 'slow':
            await trio.sleep(SLOW_DELAY_S)
        answer = effect()
        await trio.sleep(HOP_S)
        is_reply_lost = mode == 'lost' or self._world.faults.mode == 'lost'
        if is_reply_lost or self._host.is_cut:
            await trio.sleep(TABLE_TIMEOUT_S)
            return result.Err(platform_errors.Unclear('reply lost'))
        return answer


def run_virtual(
    function: typing.Callable, *args: typing.Any, seed: int = 0
) -> typing.Any:
    """Runs an async function deterministically under a virtual clock."""
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)


@contextlib.asynccontextmanager
async def open_world(plan: FaultPlan) -> typing.AsyncIterator[World]:
    """Yields a world; its tasks are cancelled at the end of the block."""
    async with trio.open_nursery() as nursery:
        yield World(nursery, plan)
        nursery.cancel_scope.cancel()
