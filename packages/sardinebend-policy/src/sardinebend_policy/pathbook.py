"""Paths that are ready for use, so that a request needs no search.

The book is made anew when the endpoints change, and a few times a second for
the load; in between, a request takes the path that costs least at the moment.
"""

import math
import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import paths

# Copies of a domain whose paths are kept, so that what comes between two
# refreshes is spread over them.
DOMAIN_PATHS: typing.Final = 3
# Paths over all domains that are kept where no domain has one of its own. They
# cost as much to find as all others together, and every prompt on them crosses.
MIXED_PATHS: typing.Final = 3
# A refresh costs some 0.1 ms of processor time an engine.
REFRESH_S: typing.Final = 0.5
REFRESH_PER_ENGINE_S: typing.Final = 0.005
# Time for which a search that found no room isn't made again for as large a
# request; under overload each of many requests would repeat it.
NO_ROOM_S: typing.Final = 0.1
# Requests that a found path is thought to carry when the next is sought.
ASSUMED_REQUESTS: typing.Final = 12.0


class PathBook:
    """Paths through one service's endpoints."""

    def __init__(self, engine: catalog.EngineModel) -> None:
        self._engine = engine
        self._paths: list[paths.Path] = []
        self._made_at = -math.inf
        self._revision = -1
        self._finder = paths.Finder(engine, (), {})
        self._refresh_s = REFRESH_S
        self._now = -math.inf
        self._no_room_at = -math.inf
        self._no_room_tokens = math.inf

    @property
    def finder(self) -> paths.Finder:
        """The finder over the endpoints and loads of the last refresh."""
        return self._finder

    @property
    def kept(self) -> tuple[paths.Path, ...]:
        """The paths that are kept, those within a domain first."""
        return tuple(self._paths)

    def refresh(
        self,
        endpoints: typing.Sequence[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, paths.Load],
        revision: int,
        now: float,
    ) -> None:
        """Makes the book anew if it is due."""
        self._now = now
        age_s = now - self._made_at
        if revision == self._revision and age_s < self._refresh_s:
            return
        self._revision = revision
        self._made_at = now
        self._no_room_at = -math.inf
        self._refresh_s = max(REFRESH_S, REFRESH_PER_ENGINE_S * len(endpoints))
        tokens = self._engine.usual_prompt + self._engine.usual_answer
        self._finder = paths.Finder(self._engine, endpoints, loads)
        self._paths = []
        assumed = dict(loads)
        for domain in sorted({e.domain for e in endpoints}):
            self._keep_copies(domain, tokens, assumed)
        for _ in range(0 if self._paths else MIXED_PATHS):
            path = self._finder.with_loads(assumed).find(tokens)
            if path is None:
                return
            if path not in self._paths:
                self._paths.append(path)
            _add_load(assumed, path, tokens)

    def _keep_copies(
        self, domain: str, tokens: float, assumed: dict[str, paths.Load]
    ) -> None:
        """Keeps paths over separate copies of a domain.

        Separate, so that a lost engine leaves the others whole, and so that
        slower copies are there before the fastest one is full.
        """
        used: set[str] = set()
        for _ in range(DOMAIN_PATHS):
            finder = self._finder.with_loads(assumed)
            path = finder.find(tokens, avoid=used, domain=domain)
            if path is None:
                return
            used |= {part.endpoint.endpoint_id for part in path}
            self._paths.append(path)
            _add_load(assumed, path, tokens)

    def is_connected(self) -> bool:
        """Tells whether all layers are held, with or without room."""
        return self._finder.with_loads({}).find(0.0) is not None

    def choose(
        self,
        tokens: float,
        loads: typing.Mapping[str, paths.Load],
        avoid: typing.Collection[str] = (),
        link_use: float = 0.0,
        link_limit: float = paths.LINK_LIMIT,
    ) -> paths.Path | None:
        """Returns the path that costs least for a request of some tokens.

        Args:
            tokens: Tokens that the request is expected to reach.
            loads: Load of each endpoint.
            avoid: Names of endpoints to pass over.
            link_use: Share of the links between domains that is taken.
            link_limit: Share from which no path crosses them.
        """
        pricer = self._finder.with_loads(loads, link_use, link_limit)
        best, best_cost = None, math.inf
        for path in self._paths:
            if any(p.endpoint.endpoint_id in avoid for p in path):
                continue
            cost = pricer.cost_of_path(path, tokens)
            if cost < best_cost:
                best, best_cost = path, cost
        if best is not None:
            return best
        return self._search(pricer, tokens, avoid)

    def _search(
        self,
        pricer: paths.Finder,
        tokens: float,
        avoid: typing.Collection[str],
    ) -> paths.Path | None:
        """Looks for a path that isn't kept, unless there was none just now."""
        if (
            self._now - self._no_room_at < NO_ROOM_S
            and tokens >= self._no_room_tokens
        ):
            return None
        path = pricer.find(tokens, avoid=avoid)
        if path is None and not avoid:
            self._no_room_at = self._now
            self._no_room_tokens = tokens
        return path


def _add_load(
    loads: dict[str, paths.Load], path: paths.Path, tokens: float
) -> None:
    for part in path:
        name = part.endpoint.endpoint_id
        load = loads.get(name, paths.IDLE)
        loads[name] = load._replace(
            requests=load.requests + ASSUMED_REQUESTS,
            token_layers=load.token_layers
            + ASSUMED_REQUESTS * tokens * part.span.size,
        )
