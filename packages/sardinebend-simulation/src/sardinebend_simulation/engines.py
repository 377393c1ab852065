"""Engines that hold layers: passes, batches, memory, links between them.

An engine takes all waiting work into its next pass: one event's tokens of each
request that writes, and prompt tokens up to a bound. A pass through a share of
the layers takes that share of the published times. Requests are handed on
along their path; prompts that cross domains queue for one shared link.
"""

import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import paths
from sardinebend_simulation import agenda as agenda_lib
from sardinebend_simulation import deployments


class Send:
    """One request on its way along a path.

    Attributes:
        path: Its path.
        tokens: Tokens read or written so far, the prompt included.
        generation: Rises when work under way counts no more.
        on_event: Called for each event that comes out.
        on_refused: Called with the engine that has no room, before it begins.
    """

    def __init__(
        self,
        path: paths.Path,
        tokens: int,
        on_event: typing.Callable[[], bool],
        on_refused: typing.Callable[[str], None],
    ) -> None:
        self.path = path
        self.tokens = tokens
        self.generation = 0
        self.on_event = on_event
        self.on_refused = on_refused


class Work(typing.NamedTuple):
    """What an engine has to do for a request.

    Attributes:
        send: The request.
        generation: That of the request when the work was handed out.
        route: Indexes of the parts that it passes; the first is here.
        tokens: Tokens to read, or to write if `is_reading` is false.
        is_reading: Whether they are read.
        is_repair: Whether only some parts read, after a repair.
    """

    send: Send
    generation: int
    route: tuple[int, ...]
    tokens: int
    is_reading: bool
    is_repair: bool = False

    @property
    def is_stale(self) -> bool:
        """Whether it counts no more."""
        return self.generation != self.send.generation

    @property
    def part(self) -> paths.Part:
        """Where it is to be done."""
        return self.send.path[self.route[0]]


class EngineSim:
    """One engine.

    Attributes:
        endpoint: What the router knows of it.
        is_up: Whether it runs.
        slowness: Factor on all its times.
        busy_s: Time that it has spent in passes.
        used: Tokens x layers that each request takes.
        peak_share: Largest share of its memory that was taken.
    """

    def __init__(
        self, cluster: 'Cluster', endpoint: endpoints_lib.Endpoint
    ) -> None:
        self.endpoint = endpoint
        self.is_up = True
        self.slowness = 1.0
        self.busy_s = 0.0
        self.used: dict[Send, float] = {}
        self.peak_share = 0.0
        self._total = 0.0
        self._cluster = cluster
        self._queue: list[Work] = []
        self._is_busy = False
        self._boot = 0
        model = cluster.model
        self._card = model.cards[endpoint.card]
        held = endpoint.span.size if endpoint.span else 0
        free_mb = self._card.memory_mb - held * model.layer_mb
        self.room = max(0.0, free_mb / model.token_layer_mb)

    def crash(self) -> None:
        """Stops it; all that it held is lost."""
        self.is_up = False
        self._boot += 1
        self._is_busy = False
        self._queue.clear()
        self.used.clear()
        self._total = 0.0

    def take(self, send: Send, amount: float) -> bool:
        """Adds to a request's memory; false if there is no room for it."""
        if self._total + amount > self.room:
            return False
        self.used[send] = self.used.get(send, 0.0) + amount
        self._total += amount
        share = self._total / self.room if self.room else 1.0
        self.peak_share = max(self.peak_share, share)
        return True

    def release(self, send: Send) -> None:
        """Frees a request's memory."""
        self._total -= self.used.pop(send, 0.0)

    def newest(self, send: Send) -> Send | None:
        """Returns the request that came last, other than one."""
        for other in reversed(self.used):
            if other is not send:
                return other
        return None

    def submit(self, work: Work) -> None:
        """Takes in work for the next pass; lost if the engine is down."""
        if not self.is_up:
            return
        self._queue.append(work)
        if not self._is_busy:
            self._start_pass()

    def _start_pass(self) -> None:
        batch, self._queue = self._choose_batch()
        if not batch:
            return
        self._is_busy = True
        took_s = self._time_of(batch)
        self.busy_s += took_s
        boot = self._boot
        self._cluster.agenda.after(took_s, lambda: self._end_pass(batch, boot))

    def _choose_batch(self) -> tuple[list[Work], list[Work]]:
        """Returns the work of the next pass, and what is left."""
        batch: list[Work] = []
        rest: list[Work] = []
        room = self._cluster.chunk_tokens
        for work in self._queue:
            if work.is_stale:
                continue
            if not work.is_reading:
                batch.append(work)
            elif room <= 0:
                rest.append(work)
            else:
                tokens = min(room, work.tokens)
                room -= tokens
                batch.append(work._replace(tokens=tokens))
                if tokens < work.tokens:
                    left = work.tokens - tokens
                    rest.insert(0, work._replace(tokens=left))
        return batch, rest

    def _time_of(self, batch: typing.Sequence[Work]) -> float:
        model = self._cluster.model
        fixed = total = 0.0
        for work in batch:
            share = work.part.span.size / model.layers
            if work.is_reading:
                total += (
                    share
                    * work.tokens
                    / model.read_tokens_per_ms
                    * self._card.read_factor
                )
            else:
                factor = share * work.tokens * self._card.step_factor
                fixed = max(fixed, factor * model.step_ms)
                total += factor * model.per_request_ms
        return (fixed + total) * self.slowness / 1000

    def _end_pass(self, batch: typing.Sequence[Work], boot: int) -> None:
        if boot != self._boot:
            return
        self._is_busy = False
        unread = {(w.send, w.route) for w in self._queue if w.is_reading}
        for work in batch:
            if work.is_stale:
                continue
            if work.is_reading and (work.send, work.route) in unread:
                continue
            self._cluster.hand_on(work)
        if self._queue and not self._is_busy:
            self._start_pass()


class Cluster:
    """All engines of a deployment and the links between them.

    Attributes:
        agenda: The clock.
        model: The engines' figures.
        engines: By name.
        link_busy_s: Time that the links between domains were taken.
        preempted: Requests that were read again for want of memory.
        revision: Changes when an engine comes or goes.
    """

    def __init__(
        self,
        agenda: agenda_lib.Agenda,
        deployment: deployments.Deployment,
        plan: typing.Mapping[str, endpoints_lib.Span],
    ) -> None:
        self.agenda = agenda
        self.model: catalog.EngineModel = deployment.model()
        self.chunk_tokens = deployment.engine.chunk_tokens
        self.event_tokens = deployment.engine.tokens_per_event
        self.engines = {
            e.endpoint_id: EngineSim(
                self, e._replace(span=plan.get(e.endpoint_id))
            )
            for e in deployment.make_endpoints()
        }
        self.link_busy_s = 0.0
        self.preempted = 0
        self.revision = 0
        self._link_free: dict[frozenset[str], float] = {}

    def up(self) -> list[endpoints_lib.Endpoint]:
        """Returns the endpoints that run."""
        return [e.endpoint for e in self.engines.values() if e.is_up]

    def set_up(self, name: str, is_up: bool) -> None:
        """Has an engine crash, or start again with its layers."""
        engine = self.engines[name]
        if is_up:
            engine.is_up = True
        else:
            engine.crash()
        self.revision += 1

    def begin(self, send: Send) -> None:
        """Starts a request, or refuses it for want of room at an engine."""
        for part in send.path:
            engine = self.engines[part.endpoint.endpoint_id]
            need = send.tokens * part.span.size
            if not engine.is_up or not engine.take(send, need):
                self.end(send)
                send.on_refused(part.endpoint.endpoint_id)
                return
        self._read(send)

    def end(self, send: Send) -> None:
        """Ends a request wherever it is."""
        send.generation += 1
        for part in send.path:
            self.engines[part.endpoint.endpoint_id].release(send)

    def change_path(self, send: Send, path: paths.Path) -> bool:
        """Continues a request over another path; false without room.

        New parts read all tokens so far; the others keep their memory.
        """
        kept = {part.endpoint.endpoint_id for part in send.path}
        fresh = [
            index
            for index, part in enumerate(path)
            if part.endpoint.endpoint_id not in kept
        ]
        for index in fresh:
            part = path[index]
            engine = self.engines[part.endpoint.endpoint_id]
            if not engine.is_up or not engine.take(
                send, send.tokens * part.span.size
            ):
                return False
        names = {part.endpoint.endpoint_id for part in path}
        for part in send.path:
            if part.endpoint.endpoint_id not in names:
                self.engines[part.endpoint.endpoint_id].release(send)
        send.path = path
        send.generation += 1
        if fresh:
            work = Work(
                send, send.generation, tuple(fresh), send.tokens, True, True
            )
            self._submit(work)
        else:
            self._write(send)
        return True

    def hand_on(self, work: Work) -> None:
        """Hands work to the next part, or its result to the caller."""
        if len(work.route) > 1:
            delay_s = self._hop_s(work)
            rest = work._replace(route=work.route[1:])
            if work.is_reading:
                # The next part reads the whole prompt.
                rest = rest._replace(tokens=work.send.tokens)
            self.agenda.after(delay_s, lambda: self._submit(rest))
            return
        if work.is_repair:
            self._write(work.send)
            return
        self._emit(work.send)

    def _emit(self, send: Send) -> None:
        if not send.on_event():
            self.end(send)
            return
        send.tokens += self.event_tokens
        for part in send.path:
            engine = self.engines[part.endpoint.endpoint_id]
            need = self.event_tokens * part.span.size
            while engine.is_up and not engine.take(send, need):
                other = engine.newest(send)
                if other is None:
                    break
                self._preempt(other)
        self._write(send)

    def _preempt(self, send: Send) -> None:
        """Has a request read again once there is room."""
        self.preempted += 1
        self.end(send)
        self.agenda.after(0.1, lambda: self._begin_again(send))

    def _begin_again(self, send: Send) -> None:
        generation = send.generation
        for part in send.path:
            engine = self.engines[part.endpoint.endpoint_id]
            if not engine.take(send, send.tokens * part.span.size):
                self.end(send)
                self.agenda.after(0.1, lambda: self._begin_again(send))
                return
        if send.generation == generation:
            self._read(send)

    def _read(self, send: Send) -> None:
        route = tuple(range(len(send.path)))
        self._submit(Work(send, send.generation, route, send.tokens, True))

    def _write(self, send: Send) -> None:
        route = tuple(range(len(send.path)))
        tokens = self.event_tokens
        self._submit(Work(send, send.generation, route, tokens, False))

    def _submit(self, work: Work) -> None:
        if not work.is_stale:
            self.engines[work.part.endpoint.endpoint_id].submit(work)

    def _hop_s(self, work: Work) -> float:
        """Returns how long the way to the next part takes."""
        here = work.part.endpoint.domain
        there = work.send.path[work.route[1]].endpoint.domain
        times = 1 if work.is_reading else work.tokens
        if here == there:
            return paths.HOP_MS / 1000 * times
        delay_s = paths.CROSSING_MS / 1000 * times
        tokens = work.send.tokens if work.is_reading else work.tokens
        took_s = tokens * paths.crossing_ms(self.model) / 1000
        link = frozenset((here, there))
        starts = max(self.agenda.now, self._link_free.get(link, 0.0))
        self._link_free[link] = starts + took_s
        self.link_busy_s += took_s
        return starts + took_s - self.agenda.now + delay_s
