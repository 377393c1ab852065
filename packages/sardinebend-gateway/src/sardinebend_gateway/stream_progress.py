"""How far one send of a stream has come, for the tasks that serve it."""

import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import paths as paths_lib


class StreamProgress:
    """The path of a stream and when it last moved.

    Attributes:
        exchange: The request.
        path: The path that it runs along at the moment.
        tokens: Tokens that it is expected to reach.
        moved_at: When the last event came or was passed on, by trio's clock.
        longest_s: The longest wait for an event so far.
        has_events: Whether any event has come.
        torn_since: When the first bytes of an event came that isn't whole.
        waits_for_caller: Whether the caller is what it waits for.
        dead: Names of engines that were found dead meanwhile.
        reason: Why it failed, if it did.
    """

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        path: paths_lib.Path,
        tokens: int,
    ) -> None:
        self.exchange = exchange
        self.path = path
        self.tokens = tokens
        self.moved_at = trio.current_time()
        self.longest_s = 0.0
        self.has_events = False
        self.torn_since: float | None = None
        self.waits_for_caller = False
        self.dead: set[str] = set()
        self.reason = ''
        self._exposures = [exchange.expose(part.endpoint for part in path)]

    def silent_s(self) -> float:
        """Returns for how long nothing has moved."""
        return trio.current_time() - self.moved_at

    def note_move(self) -> None:
        """Notes that an event came or was passed on."""
        self.moved_at = trio.current_time()

    def note_rest(self, rest_bytes: int) -> None:
        """Notes how much of an event has come that isn't whole."""
        if not rest_bytes:
            self.torn_since = None
        elif self.torn_since is None:
            self.torn_since = trio.current_time()

    def torn_s(self) -> float:
        """Returns for how long an event has been coming; 0 if none is."""
        if self.torn_since is None:
            return 0.0
        return trio.current_time() - self.torn_since

    def note_event(self) -> None:
        """Notes that an event came: all parts run the request."""
        waited_s = self.silent_s()
        self.longest_s = max(self.longest_s, waited_s)
        if self.has_events:
            first = self.path[0].endpoint.endpoint_id
            self.exchange.state.pauses.record(first, waited_s, clocks.now())
        self.note_move()
        if not self.has_events:
            self.exchange.note_harmless()
        self.has_events = True
        self.torn_since = None
        self.prove()

    def expose(self, path: paths_lib.Path) -> None:
        """Notes that the request is about to reach parts it didn't use."""
        known = {part.endpoint for part in self.path}
        fresh = [part.endpoint for part in path if part.endpoint not in known]
        self._exposures.append(self.exchange.expose(fresh))

    def prove(
        self, besides: typing.Collection[endpoints_lib.Endpoint] = ()
    ) -> None:
        """Notes that all parts but some run the request without harm."""
        for exposure in self._exposures:
            exposure.prove(besides)

    def start(self) -> None:
        """Counts the request at the engines of its path."""
        self.exchange.state.inflight.add(self.path, self.tokens)

    def change_path(self, path: paths_lib.Path) -> None:
        """Counts the request at the engines of another path."""
        self._stop_counting()
        self.path = path
        self.start()
        self.note_move()

    def close(self) -> None:
        """Ends the run."""
        for exposure in self._exposures:
            exposure.close()
        self._stop_counting()

    def _stop_counting(self) -> None:
        self.exchange.state.inflight.remove(self.path, self.tokens)
