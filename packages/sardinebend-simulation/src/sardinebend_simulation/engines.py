"""Model of engines that hold layers: passes, batches, memory and links.

Each pass of an engine batches all its queued work: for each decoding request,
the tokens of one event, and prompt tokens up to a limit. A pass through a share
of the layers takes that share of the published times. Requests are forwarded
along their path. Transfers between two domains queue for one shared link.
"""

import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import paths
from sardinebend_simulation import agenda as agenda_lib
from sardinebend_simulation import deployments

# Time after which an attempt that was evicted tries to get memory again.
RESTART_DELAY_S: typing.Final = 0.1


class Attempt:
    """One attempt to run a request over a path.

    Attributes:
        path: Parts that run the request, in order.
        tokens: Number of tokens processed so far, including the prompt.
        generation: Incremented to invalidate the work in progress.
        on_event: Called for each generated event; returns whether the stream
            continues.
        on_refused: Called before the start with the id of an engine that is
            down or has too little free memory.
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
    """One unit of work in an engine's queue.

    Attributes:
        attempt: Attempt that the work belongs to.
        generation: Generation of the attempt when the work was created.
        part_indexes: Indexes in the path of the parts still to run; the first
            one is the part of this engine.
        tokens: Number of tokens to prefill or to decode.
        is_prefill: Whether the tokens are prefilled instead of decoded.
        is_repair: Whether this is the prefill of a repair, which runs only on
            the replacement parts.
    """

    attempt: Attempt
    generation: int
    part_indexes: tuple[int, ...]
    tokens: int
    is_prefill: bool
    is_repair: bool = False

    @property
    def is_stale(self) -> bool:
        """Whether the attempt has invalidated this work."""
        return self.generation != self.attempt.generation

    @property
    def part(self) -> paths.Part:
        """Part of the path that runs this work next."""
        return self.attempt.path[self.part_indexes[0]]


class EngineSim:
    """One simulated engine.

    Attributes:
        endpoint: The engine as the router sees it.
        is_running: Whether the engine runs.
        slowdown: Factor by which all passes take longer.
        busy_s: Total time spent in passes.
        reserved: Memory of each attempt, in tokens x layers.
        peak_share: Largest share of `capacity` that was reserved.
        capacity: Memory left for requests once the layers are loaded, in
            tokens x layers.
    """

    def __init__(
        self, cluster: 'Cluster', endpoint: endpoints_lib.Endpoint
    ) -> None:
        self.endpoint = endpoint
        self.is_running = True
        self.slowdown = 1.0
        self.busy_s = 0.0
        self.reserved: dict[Attempt, float] = {}
        self.peak_share = 0.0
        self._reserved_total = 0.0
        self._cluster = cluster
        self._queue: list[Work] = []
        self._is_busy = False
        self._crash_count = 0
        model = cluster.model
        self._card = model.cards[endpoint.card]
        held_layers = endpoint.span.size if endpoint.span else 0
        free_mb = self._card.memory_mb - held_layers * model.layer_mb
        self.capacity = max(0.0, free_mb / model.token_layer_mb)

    def crash(self) -> None:
        """Stops the engine and discards its queue and its requests' memory."""
        self.is_running = False
        self._crash_count += 1
        self._is_busy = False
        self._queue.clear()
        self.reserved.clear()
        self._reserved_total = 0.0

    def reserve(self, attempt: Attempt, token_layers: float) -> bool:
        """Reserves memory for an attempt; returns whether there was enough."""
        if self._reserved_total + token_layers > self.capacity:
            return False
        self.reserved[attempt] = self.reserved.get(attempt, 0.0) + token_layers
        self._reserved_total += token_layers
        share = self._reserved_total / self.capacity if self.capacity else 1.0
        self.peak_share = max(self.peak_share, share)
        return True

    def release(self, attempt: Attempt) -> None:
        """Frees the memory of an attempt."""
        self._reserved_total -= self.reserved.pop(attempt, 0.0)

    def newest_other(self, attempt: Attempt) -> Attempt | None:
        """Returns the attempt admitted last, other than the given one."""
        for other in reversed(self.reserved):
            if other is not attempt:
                return other
        return None

    def submit(self, work: Work) -> None:
        """Queues work for the next pass; drops it if the engine is down."""
        if not self.is_running:
            return
        self._queue.append(work)
        if not self._is_busy:
            self._start_pass()

    def _start_pass(self) -> None:
        batch, self._queue = self._choose_batch()
        if not batch:
            return
        self._is_busy = True
        duration_s = self._pass_duration_s(batch)
        self.busy_s += duration_s
        crash_count = self._crash_count
        self._cluster.agenda.schedule_after(
            duration_s, lambda: self._end_pass(batch, crash_count)
        )

    def _choose_batch(self) -> tuple[list[Work], list[Work]]:
        """Returns the work of the next pass and the work that stays queued."""
        batch: list[Work] = []
        remaining: list[Work] = []
        token_budget = self._cluster.chunk_tokens
        for work in self._queue:
            if work.is_stale:
                continue
            if not work.is_prefill:
                batch.append(work)
            elif token_budget <= 0:
                remaining.append(work)
            else:
                tokens = min(token_budget, work.tokens)
                token_budget -= tokens
                batch.append(work._replace(tokens=tokens))
                if tokens < work.tokens:
                    remaining_tokens = work.tokens - tokens
                    remaining.insert(0, work._replace(tokens=remaining_tokens))
        return batch, remaining

    def _pass_duration_s(self, batch: typing.Sequence[Work]) -> float:
        model = self._cluster.model
        fixed_ms = variable_ms = 0.0
        for work in batch:
            share = work.part.span.size / model.layers
            if work.is_prefill:
                variable_ms += (
                    share
                    * work.tokens
                    / model.read_tokens_per_ms
                    * self._card.read_factor
                )
            else:
                factor = share * work.tokens * self._card.step_factor
                fixed_ms = max(fixed_ms, factor * model.step_ms)
                variable_ms += factor * model.per_request_ms
        return (fixed_ms + variable_ms) * self.slowdown / 1000

    def _end_pass(self, batch: typing.Sequence[Work], crash_count: int) -> None:
        if crash_count != self._crash_count:
            return
        self._is_busy = False
        incomplete_prefills = {
            (w.attempt, w.part_indexes) for w in self._queue if w.is_prefill
        }
        for work in batch:
            if work.is_stale:
                continue
            if (
                work.is_prefill
                and (work.attempt, work.part_indexes) in incomplete_prefills
            ):
                continue
            self._cluster.forward(work)
        if self._queue and not self._is_busy:
            self._start_pass()


class Cluster:
    """All engines of a deployment and the links between them.

    Attributes:
        agenda: Virtual clock and event queue.
        model: Published figures of the engines.
        engines: Engines by endpoint id.
        link_busy_s: Total busy time of the links between domains.
        preempted: Number of preemptions: requests evicted for lack of memory
            and prefilled again.
        revision: Incremented when an engine stops or starts.
    """

    def __init__(
        self,
        agenda: agenda_lib.Agenda,
        deployment: deployments.Deployment,
        plan: typing.Mapping[str, endpoints_lib.Span],
    ) -> None:
        self.agenda = agenda
        self.model: catalog.EngineModel = deployment.engine_model()
        self.chunk_tokens = deployment.engine.chunk_tokens
        self.tokens_per_event = deployment.engine.tokens_per_event
        self.engines = {
            e.endpoint_id: EngineSim(
                self, e._replace(span=plan.get(e.endpoint_id))
            )
            for e in deployment.make_endpoints()
        }
        self.link_busy_s = 0.0
        self.preempted = 0
        self.revision = 0
        self._link_free_at: dict[frozenset[str], float] = {}

    def live_endpoints(self) -> list[endpoints_lib.Endpoint]:
        """Returns the endpoints whose engine is running."""
        return [e.endpoint for e in self.engines.values() if e.is_running]

    def set_running(self, engine_id: str, is_running: bool) -> None:
        """Crashes an engine, or restarts it with its layers loaded."""
        engine = self.engines[engine_id]
        if is_running:
            engine.is_running = True
        else:
            engine.crash()
        self.revision += 1

    def start(self, attempt: Attempt) -> None:
        """Starts an attempt, or refuses it if an engine is down or full."""
        for part in attempt.path:
            engine = self.engines[part.endpoint.endpoint_id]
            need = attempt.tokens * part.span.size
            if not engine.is_running or not engine.reserve(attempt, need):
                self.stop(attempt)
                attempt.on_refused(part.endpoint.endpoint_id)
                return
        self._start_prefill(attempt)

    def stop(self, attempt: Attempt) -> None:
        """Stops an attempt and frees its memory at every engine of its path."""
        attempt.generation += 1
        for part in attempt.path:
            self.engines[part.endpoint.endpoint_id].release(attempt)

    def change_path(self, attempt: Attempt, path: paths.Path) -> bool:
        """Moves an attempt to another path; returns whether it could.

        The move fails if a new engine is down or has too little free memory.
        New parts prefill all tokens so far; the others keep their memory.
        """
        old_ids = {part.endpoint.endpoint_id for part in attempt.path}
        new_indexes = [
            index
            for index, part in enumerate(path)
            if part.endpoint.endpoint_id not in old_ids
        ]
        for index in new_indexes:
            part = path[index]
            engine = self.engines[part.endpoint.endpoint_id]
            if not engine.is_running or not engine.reserve(
                attempt, attempt.tokens * part.span.size
            ):
                return False
        new_ids = {part.endpoint.endpoint_id for part in path}
        for part in attempt.path:
            if part.endpoint.endpoint_id not in new_ids:
                self.engines[part.endpoint.endpoint_id].release(attempt)
        attempt.path = path
        attempt.generation += 1
        if new_indexes:
            work = Work(
                attempt,
                attempt.generation,
                tuple(new_indexes),
                attempt.tokens,
                True,
                True,
            )
            self._submit(work)
        else:
            self._start_decode(attempt)
        return True

    def forward(self, work: Work) -> None:
        """Forwards work to the next part, or the result to the caller."""
        if len(work.part_indexes) > 1:
            delay_s = self._hop_delay_s(work)
            rest = work._replace(part_indexes=work.part_indexes[1:])
            if work.is_prefill:
                # The next part prefills the whole prompt, not only this chunk.
                rest = rest._replace(tokens=work.attempt.tokens)
            self.agenda.schedule_after(delay_s, lambda: self._submit(rest))
            return
        if work.is_repair:
            self._start_decode(work.attempt)
            return
        self._emit_event(work.attempt)

    def _emit_event(self, attempt: Attempt) -> None:
        if not attempt.on_event():
            self.stop(attempt)
            return
        attempt.tokens += self.tokens_per_event
        for part in attempt.path:
            engine = self.engines[part.endpoint.endpoint_id]
            need = self.tokens_per_event * part.span.size
            while engine.is_running and not engine.reserve(attempt, need):
                other = engine.newest_other(attempt)
                if other is None:
                    break
                self._preempt(other)
        self._start_decode(attempt)

    def _preempt(self, attempt: Attempt) -> None:
        """Evicts an attempt and restarts it once there is enough memory."""
        self.preempted += 1
        self.stop(attempt)
        self._restart_later(attempt)

    def _restart_later(self, attempt: Attempt) -> None:
        generation = attempt.generation
        self.agenda.schedule_after(
            RESTART_DELAY_S, lambda: self._restart(attempt, generation)
        )

    def _restart(self, attempt: Attempt, generation: int) -> None:
        # Its request may have ended, or moved to another path, meanwhile.
        if attempt.generation != generation:
            return
        for part in attempt.path:
            engine = self.engines[part.endpoint.endpoint_id]
            if not engine.reserve(attempt, attempt.tokens * part.span.size):
                self.stop(attempt)
                self._restart_later(attempt)
                return
        self._start_prefill(attempt)

    def _start_prefill(self, attempt: Attempt) -> None:
        part_indexes = tuple(range(len(attempt.path)))
        self._submit(
            Work(
                attempt, attempt.generation, part_indexes, attempt.tokens, True
            )
        )

    def _start_decode(self, attempt: Attempt) -> None:
        part_indexes = tuple(range(len(attempt.path)))
        tokens = self.tokens_per_event
        self._submit(
            Work(attempt, attempt.generation, part_indexes, tokens, False)
        )

    def _submit(self, work: Work) -> None:
        if not work.is_stale:
            self.engines[work.part.endpoint.endpoint_id].submit(work)

    def _hop_delay_s(self, work: Work) -> float:
        """Returns the transfer time to the next part, and occupies the link."""
        source = work.part.endpoint.domain
        target = work.attempt.path[work.part_indexes[1]].endpoint.domain
        transfers = 1 if work.is_prefill else work.tokens
        if source == target:
            return paths.HOP_LATENCY_MS / 1000 * transfers
        delay_s = paths.CROSSING_LATENCY_MS / 1000 * transfers
        tokens = work.attempt.tokens if work.is_prefill else work.tokens
        duration_s = tokens * paths.link_ms_per_token(self.model) / 1000
        link = frozenset((source, target))
        start_at = max(self.agenda.now, self._link_free_at.get(link, 0.0))
        self._link_free_at[link] = start_at + duration_s
        self.link_busy_s += duration_s
        return start_at + duration_s - self.agenda.now + delay_s
