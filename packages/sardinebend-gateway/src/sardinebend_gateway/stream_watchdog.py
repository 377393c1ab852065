"""Looks for the cause when a stream's events stay out, and acts on it.

It asks the first engine which others it waits for, and has the stream
continued around them, or gives the attempt up so that it is resumed elsewhere.
"""

import enum
import typing

import trio

from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import events
from sardinebend_gateway import stream_progress
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import paths as paths_lib
from sardinebend_policy import silences
from sardinebend_store import connections

# Pause between events that is looked into, relative to the pause that callers
# accept; two looks and a repair fit in before they leave.
STALL_SHARE: typing.Final = 1.5
MIN_STALL_S: typing.Final = 0.25
# Callers leave after 2 s without an event; a stream whose cause isn't found
# by then is moved while one is still there to see it.
GIVE_UP_SHARE: typing.Final = 2.2
MAX_REPAIRS: typing.Final = 6
# Bytes that never become an event hold an attempt, without another place to
# go on, for this many times as long.
TORN_FACTOR: typing.Final = 4
POLL_S: typing.Final = 0.02

# Finds where a stream could go on without an engine.
PathFinder = typing.Callable[[str], paths_lib.Path | None]


class Verdict(enum.Enum):
    """What becomes of a stream after a silence.

    Attributes:
        WAIT: Nothing is wrong that could be mended.
        REPAIRED: It goes on along another path.
        MOVE: This attempt is given up.
    """

    WAIT = 'wait'
    REPAIRED = 'repaired'
    MOVE = 'move'


class Watchdog:
    """Watches one send of a stream."""

    def __init__(
        self,
        progress: stream_progress.StreamProgress,
        engine_calls: calls_lib.EngineCalls,
        find_other: PathFinder,
    ) -> None:
        self._progress = progress
        self._find_other = find_other
        self._state = progress.exchange.state
        self._calls = engine_calls
        self._poke = trio.Event()
        self._repairs = 0
        route = progress.exchange.admitted.route
        self._stall_s = max(MIN_STALL_S, STALL_SHARE * route.gap_target_s)
        self._first_s = max(self._stall_s, route.target_s)

    async def run(self) -> None:
        """Returns once the attempt is to be given up."""
        self._state.watch_deaths(self._on_death)
        try:
            while True:
                await self._wait_for_silence()
                silent_s = self._progress.silent_s()
                was_poked = self._poke.is_set()
                self._poke = trio.Event()
                is_stalled = was_poked or silent_s >= self._limit_s()
                if self._progress.waits_for_caller or not is_stalled:
                    continue
                verdict = await self._look_into(silent_s)
                if verdict is Verdict.MOVE:
                    return
                if verdict is Verdict.WAIT:
                    await trio.sleep(self._stall_s / 2)
        finally:
            self._state.unwatch_deaths(self._on_death)

    def _limit_s(self) -> float:
        """Returns the silence that is taken for a stall."""
        return self._stall_s if self._progress.has_events else self._first_s

    async def _wait_for_silence(self) -> None:
        """Waits until a silence is worth a look, or an engine has died."""
        wait_s = self._limit_s() - self._progress.silent_s()
        with trio.move_on_after(max(POLL_S, wait_s)):
            await self._poke.wait()

    def _on_death(self, endpoint_id: str) -> None:
        if any(
            p.endpoint.endpoint_id == endpoint_id for p in self._progress.path
        ):
            self._poke.set()

    async def _look_into(self, silent_s: float) -> Verdict:
        first = self._progress.path[0]
        is_left_alone = self._state.endpoints.is_backing_off(
            first.endpoint, clocks.now()
        )
        if not first.span.size or is_left_alone:
            return self._judge_silence(silent_s)
        dead = {
            p.endpoint.endpoint_id
            for p in self._progress.path
            if self._state.endpoints.is_doubted(p.endpoint, clocks.now())
        }
        if not dead:
            report = await self._calls.report(self._progress.path[0].endpoint)
            if report is None:
                self._state.doubt(
                    self._progress.path[0].endpoint,
                    'report unanswered',
                    is_dead=True,
                )
                return self._give_up('first engine silent')
            dead = await self._doubt_stalled(report)
        if not dead:
            return self._judge_silence(silent_s)
        self._progress.dead |= dead
        return await self._repair(dead)

    def _judge_silence(self, silent_s: float) -> Verdict:
        progress = self._progress
        first = progress.path[0].endpoint
        now = clocks.now()
        limit_s = progress.exchange.admitted.route.target_s * GIVE_UP_SHARE
        torn_s = progress.torn_s()
        if torn_s > limit_s and (
            torn_s > TORN_FACTOR * limit_s
            or self._find_other(first.endpoint_id) is not None
        ):
            progress.reason = 'bytes without an event'
            progress.exchange.note_too_large(first)
            return Verdict.MOVE
        silence = silences.Silence(
            silent_s,
            limit_s,
            progress.longest_s,
            self._state.pauses.usual_s(first.endpoint_id, now),
        )
        if not progress.has_events or not silence.is_unusual:
            return Verdict.WAIT
        other = self._find_other(first.endpoint_id)
        if other is None or not silence.would_gain(
            self._state.pauses.usual_s(other[0].endpoint.endpoint_id, now)
        ):
            return Verdict.WAIT
        progress.reason = 'silent without a cause'
        if self._state.pauses.record_stall(first.endpoint_id, now):
            self._state.doubt(
                first,
                'several streams stalled',
                is_dead=False,
                hold_s=endpoints_lib.STALL_HOLD_S,
            )
        return Verdict.MOVE

    async def _doubt_stalled(self, report: edges_lib.Report) -> set[str]:
        dead = set()
        for part in self._progress.path:
            if part.endpoint.address in report.stalled:
                self._state.doubt(
                    part.endpoint, 'another engine waits for it', is_dead=True
                )
                dead.add(part.endpoint.endpoint_id)
                await self._progress.exchange.watch.look_into(part.endpoint)
        return dead

    async def _repair(self, dead: set[str]) -> Verdict:
        """Has the stream continued around dead engines."""
        first = self._progress.path[0].endpoint.endpoint_id
        started = trio.current_time()
        while first not in dead and self._may_repair():
            path = paths_lib.repair(
                self._find_room(),
                self._progress.path,
                dead,
                self._progress.tokens,
            )
            if path is None:
                break
            self._repairs += 1
            self._progress.expose(path)
            reply = await self._calls.repath(
                self._progress.exchange.admitted.facts.request_id, path
            )
            if reply is not None and reply.status in calls_lib.ACCEPTED:
                self._state.inflight.crossings.add(
                    path,
                    self._progress.tokens,
                    clocks.now(),
                    self._progress.path,
                )
                self._take_path(path, dead, started)
                return Verdict.REPAIRED
            blamed = self._blame_part(path, reply)
            if blamed is None:
                break
            dead = dead | {blamed}
        return self._give_up(f'dead engines {sorted(dead)}')

    def _give_up(self, reason: str) -> Verdict:
        """Gives the attempt up, unless the caller's stream would end with it.

        A begun stream that can't go on elsewhere may still go on here: a
        stand-in may come, and a silent engine may be back.
        """
        self._progress.reason = reason
        first = self._progress.path[0].endpoint.endpoint_id
        is_begun = self._progress.exchange.out.is_started
        if is_begun and self._find_other(first) is None:
            return Verdict.WAIT
        return Verdict.MOVE

    def _find_room(self) -> paths_lib.Finder:
        """Returns a finder over what is free at the moment."""
        service = self._progress.exchange.admitted.service
        assert service.engine is not None
        return self._state.book_of(service).finder.with_loads(
            self._state.loads(),
            self._state.link_use(service.engine),
            paths_lib.BEGUN_LINK_LIMIT,
        )

    def _may_repair(self) -> bool:
        return (
            self._repairs < MAX_REPAIRS
            and not self._progress.exchange.quarantine_left_s()
        )

    def _blame_part(
        self, path: paths_lib.Path, reply: connections.Reply | None
    ) -> str | None:
        """Returns the part that a refused order names, if any."""
        if reply is None or reply.status != 409:
            return None
        address = self._state.edges.engines.read_fault(reply.body)
        for part in path[1:]:
            if part.endpoint.address == address:
                self._state.doubt(
                    part.endpoint, 'refused a repair', is_dead=False
                )
                return part.endpoint.endpoint_id
        return None

    def _take_path(
        self, path: paths_lib.Path, dead: set[str], started: float
    ) -> None:
        silent_s = self._progress.silent_s()
        self._progress.change_path(path)
        self._state.audit.log(
            events.STREAM_REPAIRED,
            request=self._progress.exchange.admitted.facts.request_id,
            dead=sorted(dead),
            path=[p.endpoint.endpoint_id for p in path],
            after_s=round(silent_s, 3),
            took_s=round(trio.current_time() - started, 3),
        )
        self._state.metrics.record_time('repair', silent_s)
