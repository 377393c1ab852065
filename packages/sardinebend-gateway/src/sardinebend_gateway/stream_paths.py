"""Chooses the paths of one streamed request."""

import contextlib
import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_gateway import ranked_lines
from sardinebend_gateway import refusal_pauses
from sardinebend_gateway import single_paths
from sardinebend_policy import catalog as catalog_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import inflight as inflight_lib
from sardinebend_policy import paths as paths_lib

# A new request that finds no path waits for this share of its route's target
# latency. Longer waits fill the engines with requests whose callers have left.
PATH_WAIT_SHARE: typing.Final = 1 / 8
# Callers abandon a started stream 2 s after the last event, so the search for
# another path has to end sooner.
RESUME_WAIT_S: typing.Final = 1.2
POLL_S: typing.Final = ranked_lines.POLL_S
# A caller that found no path may return after this time, unless the requests of
# its service differ in rank.
NO_PATH_RETRY_AFTER_S: typing.Final = 1.0


class PathChooser:
    """Chooses paths for one request, given what its attempts have shown.

    Attributes:
        tokens: Expected total of prompt and answer tokens.
        excluded_ids: Ids of engines that the request isn't sent to again.
    """

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        lines: ranked_lines.RankedLines,
    ) -> None:
        self.excluded_ids: set[str] = set()
        self._exchange = exchange
        self._state = exchange.state
        self._refusals = refusal_pauses.RefusalPauses()
        self._unreached_ids: set[str] = set()
        admitted = exchange.admitted
        self.tokens = (
            admitted.facts.prompt_tokens + admitted.expected_answer_tokens
        )
        # Set only if the requests of the service differ in rank.
        self._ranked: ranked_lines.RankedRequest | None = None
        self._reserved: paths_lib.Path | None = None
        if admitted.is_ranked:
            self._ranked = ranked_lines.RankedRequest(
                lines.of(admitted.service),
                admitted.rank,
                exchange.customer_name or '',
                self.tokens,
                ranked_lines.Searcher(
                    self._find_path,
                    self._take_path,
                    lambda: bool(self._list_excluded() or self._list_pausing()),
                    lambda: exchange.out.is_started,
                ),
            )

    def close(self) -> None:
        """Records that the request has ended."""
        self.release_room()
        if self._ranked is not None:
            self._ranked.line.end(self._ranked)

    def record_refusal(self, endpoint_ids: typing.Iterable[str]) -> None:
        """Records which engines were the cause of a refusal of the request.

        Each refusal takes a retry from the budget of all requests, so they
        don't get it again at once. They ran nothing and may soon be able to.
        """
        self._refusals.record(endpoint_ids, trio.current_time())

    def record_unreached(self, endpoint_id: str) -> None:
        """Records that an engine couldn't be connected to.

        A request that hasn't begun isn't sent to it again: its caller may come
        back. A begun stream tries it again, after a pause as for a refusal.
        """
        self._unreached_ids.add(endpoint_id)
        self.record_refusal([endpoint_id])

    async def choose(self) -> paths_lib.Path | None:
        """Returns a path with free capacity, or `None` after a short wait."""
        self.release_room()
        exchange = self._exchange
        wait_s = exchange.admitted.route.target_s * PATH_WAIT_SHARE
        limit: contextlib.AbstractContextManager[object]
        if exchange.out.is_started:
            wait_s = RESUME_WAIT_S
            # A path that appeared while the host was held up is to be read yet.
            limit = self._state.host_clock.move_on_after(wait_s)
        else:
            limit = trio.move_on_after(wait_s)
        if self._ranked is not None:
            with self._ranked.line.waiting(self._ranked, wait_s), limit:
                await self._wait_in_line(self._ranked, wait_s)
            return self._ranked.path
        with limit:
            while True:
                path = self._find_path()
                if path is not None:
                    self._take_path(path)
                    return path
                if self._must_give_up(wait_s):
                    return None
                await trio.sleep(POLL_S)
        return None

    async def _wait_in_line(
        self, ranked: ranked_lines.RankedRequest, wait_s: float
    ) -> None:
        """Waits until the line has given the request a path."""
        while True:
            ranked.line.serve(ranked)
            if ranked.path is not None or self._must_give_up(wait_s):
                return
            with trio.move_on_after(POLL_S):
                await ranked.found.wait()

    def _find_path(self) -> paths_lib.Path | None:
        path = self._search(self._list_excluded())
        return path or self._search_among_silent()

    def _take_path(self, path: paths_lib.Path) -> None:
        self._state.try_take_from_limit(path[0].endpoint)
        self._count_crossings(path)
        if self._ranked is not None:
            # The next in line is tried before this one's attempt begins.
            self._reserved = path
            self._state.inflight.add(path, self.tokens)

    def release_room(self) -> None:
        """Stops counting the path that was chosen as used.

        Its attempt counts from its beginning.
        """
        if self._reserved:
            self._state.inflight.remove(self._reserved, self.tokens)
        self._reserved = None

    def _must_give_up(self, wait_s: float) -> bool:
        return (
            self._backoff_exceeds_wait(wait_s)
            or self._limits_exceed_wait(wait_s)
            or self._is_too_large()
        )

    def _is_too_large(self) -> bool:
        """Returns whether no path could ever hold a ranked request."""
        exchange, service = self._exchange, self._exchange.admitted.service
        if exchange.out.is_started or not service.has_layers:
            return False
        return self._ranked is not None and self._ranked.line.is_too_large(
            self.tokens, lambda: self._state.path_cache_of(service)
        )

    def book_return_s(self) -> float:
        """Returns in how many seconds the caller may return, once refused."""
        if self._ranked is None:
            return NO_PATH_RETRY_AFTER_S
        return self._ranked.line.book_return(
            self._ranked, self._exchange.time_left_s(), self._is_connected()
        )

    def retry_after_s(self) -> float:
        """Returns when a caller whose request found no endpoint may return.

        A ranked one returns no sooner because an endpoint's backoff ends.
        """
        booked_s = self.book_return_s()
        wait_s = self._exchange.retry_after_s(booked_s)
        return wait_s if self._ranked is None else max(wait_s, booked_s)

    def make_refusal_fields(self) -> dict[str, typing.Any]:
        """Returns the inputs to a refusal, as fields for the log."""
        if self._ranked is None:
            return {}
        return self._ranked.line.make_log_fields(self._ranked)

    def may_hedge(self) -> bool:
        """Returns whether the route and the retry budget allow a hedge."""
        exchange = self._exchange
        budget = self._state.budget_of(exchange.admitted.service.name)
        return (
            exchange.admitted.route.may_repeat
            and exchange.ledger.can_send()
            and budget.can_spend(clocks.now())
        )

    def find_hedge(
        self, path: paths_lib.Path, refused_ids: typing.Collection[str]
    ) -> paths_lib.Path | None:
        """Returns a path for a hedge of an attempt, if one is allowed.

        It is unknown which engine keeps the attempt waiting, so a path without
        any of them is preferred. It never begins with the same engine.

        Args:
            path: The path of the attempt.
            refused_ids: First engines of earlier hedges, which have failed.
        """
        if not self.may_hedge():
            return None
        excluded_ids = self._list_excluded() | set(refused_ids)
        all_ids = {part.endpoint.endpoint_id for part in path}
        hedge = self._search(excluded_ids | all_ids) or self._search(
            {*excluded_ids, path[0].endpoint.endpoint_id}
        )
        ranked = self._ranked
        is_held = hedge and ranked and ranked.line.is_held(ranked, hedge)
        return None if is_held else hedge

    def try_take_hedge(self, path: paths_lib.Path) -> bool:
        """Takes the retry of a hedge that is about to be sent.

        Returns:
            Whether it may be sent.
        """
        first = path[0].endpoint
        if not self._exchange.ledger.can_send() or self._state.limit_wait_s(
            first
        ):
            return False
        if not self._exchange.try_spend_retry():
            return False
        self._state.try_take_from_limit(first)
        self._count_crossings(path)
        return True

    def _count_crossings(self, path: paths_lib.Path) -> None:
        """Counts a path as load on the links between failure domains.

        A crossing is a step of a path into another failure domain.
        """
        if self._exchange.admitted.service.has_layers:
            self._state.inflight.crossings.add(path, self.tokens, clocks.now())

    def _backoff_exceeds_wait(self, wait_s: float) -> bool:
        """Returns whether to stop waiting because of the endpoints' backoffs.

        That is so if the answer hasn't started, no path exists, whatever the
        load, and the earliest backoff ends only after the wait. The request is
        then refused without waiting.
        """
        left_s = self._exchange.backoff_left_s()
        return (
            left_s is not None
            and left_s > wait_s
            and not self._exchange.out.is_started
            and not self._is_connected()
        )

    def _limits_exceed_wait(self, wait_s: float) -> bool:
        """Returns whether no endpoint's limit allows a request in time.

        A started stream waits all the same: a limit may change.
        """
        left_s = self._exchange.limit_wait_s()
        return (
            left_s is not None
            and left_s > wait_s
            and not self._exchange.out.is_started
        )

    def _is_connected(self) -> bool:
        """Returns whether the request has a path, whatever the load."""
        service = self._exchange.admitted.service
        if not service.has_layers:
            return self._find_single_endpoint(self._list_excluded()) is not None
        return self._state.path_cache_of(service).is_connected(
            self._list_excluded(), self._list_past_attempts()
        )

    def explain_missing_path(self) -> str:
        """Returns why `choose` finds no path."""
        if self._ranked is not None and self._ranked.is_held:
            return 'no path: room is left to more urgent requests'
        engine = self._exchange.admitted.service.engine
        if engine is None or not self._exchange.admitted.service.has_layers:
            return 'no engine'
        if not self._is_connected():
            return 'no path: layers without a holder'
        if self._exchange.limit_wait_s() is not None:
            return 'no path: limits of all first engines used up'
        if self._state.link_use(engine) >= paths_lib.LINK_LIMIT:
            return 'no path: no capacity, or only over saturated links'
        return f'no path: no capacity for {self.tokens} tokens'

    def _search(self, excluded_ids: set[str]) -> paths_lib.Path | None:
        service = self._exchange.admitted.service
        excluded_ids = excluded_ids | self._list_pausing()
        if not service.has_layers:
            return self._find_single_endpoint(excluded_ids)
        assert service.engine is not None
        loads = self._state.loads()
        link_use = self._state.link_use(service.engine)
        link_limit = (
            paths_lib.STARTED_LINK_LIMIT
            if self._exchange.out.is_started
            else paths_lib.LINK_LIMIT
        )
        cache = self._state.path_cache_of(service)
        if not self._exchange.ledger.can_send():
            # Past the cache, which would keep a failure for other requests.
            return cache.finder.with_loads(loads, link_use, link_limit).find(
                self.tokens,
                avoid=excluded_ids,
                avoid_first=self._list_barred_first(),
            )
        return cache.choose(
            self.tokens,
            loads,
            excluded_ids,
            link_use,
            link_limit,
            avoid_first=self._list_barred_first(),
        )

    def _search_among_silent(self) -> paths_lib.Path | None:
        """Returns a path over engines that get nothing new for a silence.

        They may have ended it meanwhile: a silent engine is better than none.
        """
        state = self._state
        service = self._exchange.admitted.service
        now = clocks.now()
        usable = state.endpoints.list_usable_or_silent(service.name, now)
        has_silent = any(state.endpoints.is_silent(e, now) for e in usable)
        if not has_silent or self._is_connected():
            return None
        excluded_ids = self._list_excluded() | self._list_pausing()
        if not service.has_layers or service.engine is None:
            # A caller whose stream hasn't begun may come back.
            if not self._exchange.out.is_started:
                return None
            return self._find_single_endpoint(excluded_ids, usable)
        finder = paths_lib.PathFinder(service.engine, usable, state.loads())
        return finder.find(
            self.tokens,
            avoid=excluded_ids,
            avoid_first=self._list_barred_first(),
        )

    def _list_barred_first(self) -> set[str]:
        """Returns the engines that no path of the request may begin with."""
        name = self._exchange.admitted.service.name
        return self._state.list_over_limit(name) | self._list_past_attempts()

    def _list_past_attempts(self) -> set[str]:
        """Returns the engines that the route's limit of attempts excludes.

        Once it is reached, these are all but those that refused the request.
        """
        ledger = self._exchange.ledger
        if ledger.can_send():
            return set()
        name = self._exchange.admitted.service.name
        listed = self._state.endpoints.list_all(name)
        return {e.endpoint_id for e in listed} - ledger.refused_by

    def _list_excluded(self) -> set[str]:
        if self._exchange.out.is_started:
            return self.excluded_ids
        return self.excluded_ids | self._unreached_ids

    def _list_pausing(self) -> set[str]:
        return self._refusals.list_pausing(trio.current_time())

    def _find_single_endpoint(
        self,
        excluded_ids: typing.Collection[str],
        usable: typing.Iterable[endpoints_lib.Endpoint] | None = None,
    ) -> paths_lib.Path | None:
        name = self._exchange.admitted.service.name
        excluded_ids = self._list_barred_first().union(excluded_ids)
        return single_paths.find(self._state, name, excluded_ids, usable)

    def make_log_fields(self, path: paths_lib.Path) -> dict[str, typing.Any]:
        """Returns the inputs to the choice of a path, as fields for the log."""
        engine = self._exchange.admitted.service.engine
        fields = self.make_refusal_fields()
        # An empty span marks a single endpoint without layers.
        if engine is None or not path[0].span.size:
            return fields
        return fields | {
            'tokens': self.tokens,
            'crossings': inflight_lib.count_crossings(path),
            'link_use': round(self._state.link_use(engine), 2),
            'domain': path[0].endpoint.domain,
            **self._make_reading_fields(engine, path),
        }

    def _make_reading_fields(
        self, engine: catalog_lib.EngineModel, path: paths_lib.Path
    ) -> dict[str, typing.Any]:
        """Returns what the hosts know of the reading and slots of a path."""
        admitted = self._exchange.admitted
        if not self._state.counts_reading(admitted.service.name):
            return {}
        loads = self._state.loads()
        pause_s = paths_lib.predict_pause_s(engine, path, loads)
        of_parts = [
            loads.get(part.endpoint.endpoint_id, paths_lib.IDLE)
            for part in path
        ]
        return {
            'prompt_tokens': admitted.facts.prompt_tokens,
            'reading_token_layers': round(
                sum(load.reading_token_layers for load in of_parts)
            ),
            'predicted_pause_s': round(pause_s, 3),
            'first_slots_used': round(of_parts[0].first_requests),
        }
