"""Checks a configuration of routes and services before it is sent.

It takes the entries as they are written, since a `catalog.Catalog` no longer
holds those that others replace.
"""

import collections
import typing

from sardinebend_policy import catalog
from sardinebend_policy import findings

LOWEST_PRIORITY: typing.Final = 9


class CustomerEntry(typing.NamedTuple):
    """A customer as written.

    Attributes:
        name: Its name.
        keys: Its API keys.
        priority: Its priority, if it has one of its own.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


class Configuration(typing.NamedTuple):
    """A configuration as written; `customers` is `None` if it has no keys."""

    version: int
    routes: tuple[catalog.Route, ...]
    services: tuple[catalog.Service, ...]
    limits: catalog.Limits
    customers: tuple[CustomerEntry, ...] | None


_Found = typing.Iterator[findings.Finding]


class _Checker:
    """Checks one configuration.

    The parameter `names` has the names in paths, if they differ from those of
    the attributes and sections.
    """

    def __init__(
        self, cfg: Configuration, names: typing.Mapping[str, str]
    ) -> None:
        self._cfg = cfg
        self._names = names
        self._services = {service.name: service for service in cfg.services}
        self._last_routes = {
            (route.host, route.prefix): index
            for index, route in enumerate(cfg.routes)
        }

    def run(self) -> list[findings.Finding]:
        """Returns all findings."""
        return [
            *self._check_services(),
            *self._check_customers(),
            *self._check_request_limits(),
            *(
                finding
                for index, route in enumerate(self._cfg.routes)
                for finding in self._check_route(index, route)
            ),
        ]

    def _find(
        self,
        level: findings.Level,
        section: str,
        index: int | None,
        field: str,
        value: typing.Any,
        allowed: str,
    ) -> findings.Finding:
        path = self._names.get(section, section)
        if index is not None:
            path += f'[{index}]'
        if field:
            path += f'.{self._names.get(field, field)}'
        return findings.Finding(level, path, value, allowed)

    def _check_services(self) -> _Found:
        routed = {
            name
            for route in self._cfg.routes
            for name, weight in route.split
            if weight > 0
        }
        last = {s.name: n for n, s in enumerate(self._cfg.services)}
        for index, service in enumerate(self._cfg.services):
            if last[service.name] != index:
                yield self._find(
                    findings.Level.WARNING,
                    'services',
                    index,
                    'name',
                    service.name,
                    f'entry {last[service.name]} of this name replaces it',
                )
            elif service.name not in routed:
                yield self._find(
                    findings.Level.WARNING,
                    'services',
                    index,
                    'name',
                    service.name,
                    'no route sends it requests',
                )
            if service.has_layers and service.engine:
                yield from self._check_engine(index, service.engine)

    def _check_engine(self, index: int, engine: catalog.EngineModel) -> _Found:
        fitting = [
            card
            for card in engine.cards.values()
            if card.memory_mb >= engine.layer_mb
        ]
        if not fitting:
            yield self._find(
                findings.Level.ERROR,
                'services',
                index,
                'cards',
                sorted(engine.cards),
                f'a card that holds a layer of {engine.layer_mb:g} MB',
            )

    def _check_customers(self) -> _Found:
        if self._cfg.customers is None:
            return
        owners: dict[str, list[int]] = collections.defaultdict(list)
        names: set[str] = set()
        for index, customer in enumerate(self._cfg.customers):
            for level, field, value, allowed in _check_customer(customer):
                yield self._find(
                    level, 'customers', index, field, value, allowed
                )
            if customer.name in names:
                yield self._find(
                    findings.Level.WARNING,
                    'customers',
                    index,
                    'name',
                    customer.name,
                    'names are unique; both count as one customer',
                )
            names.add(customer.name)
            for key in set(customer.keys):
                owners[key].append(index)
        for indices in owners.values():
            for index in indices[:-1]:
                yield self._find(
                    findings.Level.WARNING,
                    'customers',
                    index,
                    'keys',
                    findings.HIDDEN,
                    f'a key belongs to one; that of entry {indices[-1]} is the'
                    ' same and counts',
                )
        if not owners and not all(r.is_public for r in self._cfg.routes):
            yield self._find(
                findings.Level.WARNING,
                'customers',
                None,
                '',
                len(self._cfg.customers),
                'without a key, only public routes can be used',
            )

    def _check_request_limits(self) -> _Found:
        for field, value in self._cfg.limits._asdict().items():
            if value <= 0:
                yield self._find(
                    findings.Level.ERROR,
                    'limits',
                    None,
                    field,
                    value,
                    'more than 0',
                )

    def _check_route(self, index: int, route: catalog.Route) -> _Found:
        last = self._last_routes[route.host, route.prefix]
        if last != index:
            yield self._find(
                findings.Level.WARNING,
                'routes',
                index,
                'prefix',
                route.prefix,
                f'never matches: route {last} has the same host and prefix',
            )
        for level, field, value, allowed in (
            *_check_match(route),
            *_check_split(route, self._services),
            *_check_times(route),
            *_check_attempts(route),
        ):
            yield self._find(level, 'routes', index, field, value, allowed)


_Part = tuple[findings.Level, str, typing.Any, str]


def _check_customer(customer: CustomerEntry) -> typing.Iterator[_Part]:
    if not customer.keys:
        yield (
            findings.Level.WARNING,
            'keys',
            [],
            'without a key no request is its',
        )
    if '' in customer.keys:
        yield (
            findings.Level.ERROR,
            'keys',
            findings.HIDDEN,
            'not empty: callers without a key would be this customer',
        )
    yield from _check_priority(customer.priority)


def _check_priority(priority: int | None) -> typing.Iterator[_Part]:
    if priority is not None and not 0 <= priority <= LOWEST_PRIORITY:
        yield (
            findings.Level.WARNING,
            'priority',
            priority,
            f'0 to {LOWEST_PRIORITY}; the nearest one counts',
        )


def _check_match(route: catalog.Route) -> typing.Iterator[_Part]:
    is_whole = route.prefix.startswith('/') and route.prefix.endswith('/')
    if not is_whole:
        yield (
            findings.Level.WARNING,
            'prefix',
            route.prefix,
            'begins and ends with a slash; it never matches',
        )
    if not route.host:
        yield (
            findings.Level.WARNING,
            'host',
            route.host,
            'a name; requests without one are refused',
        )


def _check_split(
    route: catalog.Route, services: typing.Mapping[str, catalog.Service]
) -> typing.Iterator[_Part]:
    has_weight = any(weight > 0 for _, weight in route.split)
    for name, weight in route.split:
        service = services.get(name)
        if service is None:
            level = (
                findings.Level.ERROR if weight > 0 else findings.Level.WARNING
            )
            known = ', '.join(sorted(services))
            yield level, 'split', name, f'a service; known: {known}'
        elif service.has_layers and not route.is_stream:
            yield (
                findings.Level.WARNING,
                'split',
                name,
                'its endpoints hold layers, which only streams use',
            )
        if weight == 0 and has_weight:
            yield (
                findings.Level.WARNING,
                'split',
                f'{name}: 0',
                'a weight above 0; it gets no request',
            )
    if not has_weight:
        yield (
            findings.Level.WARNING,
            'split',
            [name for name, _ in route.split],
            'a weight above 0; the last service gets all',
        )


def _check_times(route: catalog.Route) -> typing.Iterator[_Part]:
    if route.timeout_s <= 0:
        yield (
            findings.Level.ERROR,
            'timeout_s',
            f'{route.timeout_s:g} s',
            'more than 0',
        )
        return
    limit = f'the time limit, {route.timeout_s:g} s'
    if route.target_s > route.timeout_s:
        yield (
            findings.Level.WARNING,
            'target_s',
            f'{route.target_s:g} s',
            f'an aim of at most {limit}',
        )
    if route.is_stream and route.gap_target_s > route.timeout_s:
        yield (
            findings.Level.WARNING,
            'gap_target_s',
            f'{route.gap_target_s:g} s',
            f'a pause of at most {limit}',
        )


def _check_attempts(route: catalog.Route) -> typing.Iterator[_Part]:
    yield from _check_priority(route.priority)
    if route.max_attempts < 1:
        yield (
            findings.Level.WARNING,
            'max_attempts',
            route.max_attempts,
            'at least 1, which counts',
        )
    elif route.max_attempts > 1 and not route.may_repeat:
        yield (
            findings.Level.NOTE,
            'max_attempts',
            route.max_attempts,
            '1 for what may not repeat; further ones follow refusals only',
        )


def check(
    cfg: Configuration, names: typing.Mapping[str, str] | None = None
) -> list[findings.Finding]:
    """Returns what is wrong with a configuration.

    Args:
        cfg: The configuration.
        names: Names in paths by section and attribute, where they differ.
    """
    return _Checker(cfg, names or {}).run()
