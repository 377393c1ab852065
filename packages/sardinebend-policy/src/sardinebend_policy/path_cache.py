"""Cache of paths, so that a request usually needs no search.

The cache is rebuilt when the endpoints change, and up to twice a second so that
it follows the load. In between, each request gets the cached path that costs
least under the current load.
"""

import math
import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import paths

# Paths cached for each domain, each over a separate copy of the model, so that
# the requests between two refreshes are spread over them.
DOMAIN_PATHS: typing.Final = 3
# Paths over all domains that are cached if no domain has one of its own. They
# cost as much to find as all others together, and every prompt on them crosses
# between domains.
CROSS_DOMAIN_PATHS: typing.Final = 3
# Least time between refreshes, in all and per engine; the longer one applies. A
# refresh takes some 0.1 ms of processor time per engine.
REFRESH_S: typing.Final = 0.5
REFRESH_PER_ENGINE_S: typing.Final = 0.005
# Time for which a failed search isn't repeated for a request that is as large;
# under overload each of many requests would repeat it.
SEARCH_RETRY_S: typing.Final = 0.1
# Requests that each path is assumed to carry when the next one is searched for.
ASSUMED_REQUESTS: typing.Final = 12.0


class PathCache:
    """Cached paths through the endpoints of one service."""

    def __init__(
        self, engine: catalog.EngineModel, pause_s: float | None = None
    ) -> None:
        """Creates an empty cache.

        Args:
            engine: Published figures of the engines.
            pause_s: Longest expected gap between events, if prompts that are
                read can exceed it.
        """
        self.pause_s = pause_s
        self._engine = engine
        self._paths: list[paths.Path] = []
        self._refreshed_at = -math.inf
        self._revision = -1
        self._finder = paths.PathFinder(engine, (), {}, pause_s=pause_s)
        self._refresh_s = REFRESH_S
        self._now = -math.inf
        self._search_failed_at = -math.inf
        self._search_failed_tokens = math.inf

    @property
    def finder(self) -> paths.PathFinder:
        """The finder over the endpoints and loads of the last refresh."""
        return self._finder

    @property
    def cached_paths(self) -> tuple[paths.Path, ...]:
        """The cached paths, those within a domain first."""
        return tuple(self._paths)

    def refresh(
        self,
        endpoints: typing.Sequence[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, paths.Load],
        revision: int,
        now: float,
    ) -> bool:
        """Rebuilds the cache if that is due.

        Returns:
            Whether it was.
        """
        self._now = now
        age_s = now - self._refreshed_at
        if revision == self._revision and age_s < self._refresh_s:
            return False
        self._revision = revision
        self._refreshed_at = now
        self._search_failed_at = -math.inf
        self._refresh_s = max(REFRESH_S, REFRESH_PER_ENGINE_S * len(endpoints))
        tokens = self._engine.usual_prompt + self._engine.usual_answer
        self._finder = paths.PathFinder(
            self._engine, endpoints, loads, pause_s=self.pause_s
        )
        self._paths = []
        assumed = dict(loads)
        for domain in sorted({e.domain for e in endpoints}):
            self._add_domain_paths(domain, tokens, assumed)
        for _ in range(0 if self._paths else CROSS_DOMAIN_PATHS):
            path = self._finder.with_loads(assumed).find(tokens)
            if path is None:
                break
            if path not in self._paths:
                self._paths.append(path)
            _add_load(assumed, path, tokens)
        return True

    def _add_domain_paths(
        self, domain: str, tokens: float, assumed: dict[str, paths.Load]
    ) -> None:
        """Caches paths over separate copies of the model in a domain.

        The copies share no engine, so that the loss of an engine breaks only
        one path, and so that slower copies are already in use before the
        fastest one is full.
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

    def is_connected(
        self,
        avoid: typing.Collection[str] = (),
        avoid_first: typing.Collection[str] = (),
    ) -> bool:
        """Returns whether a path over all layers exists, whatever the load.

        Args:
            avoid: Names of endpoints to exclude.
            avoid_first: Names of endpoints that the path may not begin with.
        """
        finder = self._finder.with_loads({})
        path = finder.find(0.0, avoid=avoid, avoid_first=avoid_first)
        return path is not None

    def choose(
        self,
        tokens: float,
        loads: typing.Mapping[str, paths.Load],
        avoid: typing.Collection[str] = (),
        link_use: float = 0.0,
        link_limit: float = paths.LINK_LIMIT,
        avoid_first: typing.Collection[str] = (),
    ) -> paths.Path | None:
        """Returns the cheapest path for a request.

        Args:
            tokens: Tokens that the request is expected to reach.
            loads: Load of each endpoint.
            avoid: Names of endpoints to exclude.
            link_use: Used share of the capacity between domains.
            link_limit: Used share from which no path may cross domains.
            avoid_first: Names of endpoints that no path may begin with.
        """
        pricer = self._finder.with_loads(loads, link_use, link_limit)
        best, best_cost = None, math.inf
        for path in self._paths:
            if path[0].endpoint.endpoint_id in avoid_first or any(
                p.endpoint.endpoint_id in avoid for p in path
            ):
                continue
            cost = pricer.cost_of_path(path, tokens)
            if cost < best_cost:
                best, best_cost = path, cost
        if best is not None:
            return best
        return self._search(pricer, tokens, avoid, avoid_first)

    def _search(
        self,
        pricer: paths.PathFinder,
        tokens: float,
        avoid: typing.Collection[str],
        avoid_first: typing.Collection[str],
    ) -> paths.Path | None:
        """Searches for a path, unless such a search has just failed."""
        if (
            self._now - self._search_failed_at < SEARCH_RETRY_S
            and tokens >= self._search_failed_tokens
        ):
            return None
        path = pricer.find(tokens, avoid=avoid, avoid_first=avoid_first)
        if path is None and not avoid:
            self._search_failed_at = self._now
            self._search_failed_tokens = tokens
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
