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
# Paths over all domains that are kept besides.
MIXED_PATHS: typing.Final = 3
# A refresh costs up to 14 ms at a hundred engines.
REFRESH_S: typing.Final = 0.5
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
        if revision == self._revision and now - self._made_at < REFRESH_S:
            return
        self._revision = revision
        self._made_at = now
        tokens = self._engine.usual_prompt + self._engine.usual_answer
        self._finder = paths.Finder(self._engine, endpoints, loads)
        self._paths = []
        assumed = dict(loads)
        for domain in sorted({e.domain for e in endpoints}):
            self._keep_copies(domain, tokens, assumed)
        for _ in range(MIXED_PATHS):
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

        One that shares engines with another is no copy of its own. Counting
        its load would only drive the mixed paths over the links.
        """
        used: set[str] = set()
        for _ in range(DOMAIN_PATHS):
            finder = self._finder.with_loads(assumed)
            path = finder.find(tokens, domain=domain)
            if path is None:
                return
            names = {part.endpoint.endpoint_id for part in path}
            if names & used:
                return
            used |= names
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
        return pricer.find(tokens, avoid=avoid)


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
