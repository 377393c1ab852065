"""Configuration by operators: routes, services, limits and customers.

A `Catalog` is one version of that configuration and isn't changed after it has
been created.
"""

import math
import typing

from sardinebend_policy import errors
from sardinebend_policy import ranks as ranks_lib


class Route(typing.NamedTuple):
    """How requests below a host and path prefix are served.

    Attributes:
        name: Its name, for logs.
        host: Value of the `Host` header.
        prefix: Start of the path; begins and ends with a slash.
        split: Services and their shares of the requests, as weights.
        may_repeat: Whether a request may run more than once.
        is_stream: Whether the answer is a series of events.
        may_resume: Whether a broken stream may be resumed at another endpoint.
        timeout_s: Longest time that a request may wait for its answer.
        target_s: Expected time to the answer or to the first event.
        gap_target_s: Longest expected gap between events.
        priority: Priority of its requests; 0 is the highest.
        max_attempts: Most endpoints that one request is sent to.
        is_public: Whether requests need no API key.
    """

    name: str
    host: str
    prefix: str
    split: tuple[tuple[str, float], ...]
    may_repeat: bool
    is_stream: bool
    may_resume: bool
    timeout_s: float
    target_s: float
    gap_target_s: float
    priority: int
    max_attempts: int
    is_public: bool

    def pick_service(self, fraction: float) -> str:
        """Returns a service by weight, for a random number from 0 to 1."""
        total = sum(weight for _, weight in self.split)
        remaining = fraction * total
        for name, weight in self.split:
            remaining -= weight
            if remaining < 0:
                return name
        return self.split[-1][0]


class CardKind(typing.NamedTuple):
    """A kind of accelerator.

    Attributes:
        memory_mb: Memory for layers and for requests.
        step_factor: Time of a token step, relative to the reference card.
        read_factor: Time to read a prompt, relative to the reference card.
    """

    memory_mb: float
    step_factor: float
    read_factor: float


class EngineModel(typing.NamedTuple):
    """Published figures of a service's model engines.

    Attributes:
        layers: Layers of the model; 0 if each endpoint holds all of it.
        layer_mb: Memory of one layer.
        token_layer_mb: Memory that a token of a request takes in one layer.
        step_ms: Time of one token step through all layers.
        per_request_ms: Time added to a step per request that generates tokens.
        read_tokens_per_ms: Prompt tokens read in a millisecond.
        activation_mb: Data sent from one part to the next for a token.
        pipe_mb_per_ms: Capacity of the link between failure domains.
        usual_prompt: Mean number of tokens in a prompt.
        usual_answer: Mean number of tokens in an answer.
        load_s: Time to load a whole model.
        cards: Kinds of accelerators by name.
        stride: Token steps in one pass of an engine that generates tokens.
        chunk_tokens: Most prompt tokens that are read in one token step.
        context_ms_per_token: Time added to a step per token of context of each
            request that generates tokens.
        read_ms_per_pair: Time to read a prompt, added per pair of a token and
            any earlier token.
    """

    layers: int
    layer_mb: float
    token_layer_mb: float
    step_ms: float
    per_request_ms: float
    read_tokens_per_ms: float
    activation_mb: float
    pipe_mb_per_ms: float
    usual_prompt: float
    usual_answer: float
    load_s: float
    cards: dict[str, CardKind]
    stride: int = 1
    chunk_tokens: float = 512.0
    context_ms_per_token: float = 0.0
    read_ms_per_pair: float = 0.0

    def longest_pass_ms(self) -> float:
        """Returns the time of a pass that reads prompts at the full rate.

        It is that of the slowest card, over all layers, without the time that
        running requests add.
        """
        chunk_ms = self.chunk_tokens / self.read_tokens_per_ms
        return self.stride * max(
            (
                self.step_ms * card.step_factor + chunk_ms * card.read_factor
                for card in self.cards.values()
            ),
            default=0.0,
        )

    def reading_can_break_pauses(self, gap_target_s: float) -> bool:
        """Returns whether prompts that are read can hold up streams too long.

        A stream that reaches an engine waits for the pass in progress, half of
        it on average, and then for its own.

        Args:
            gap_target_s: Longest expected gap between events of the streams.
        """
        wait_passes = 1.5
        return wait_passes * self.longest_pass_ms() > gap_target_s * 1e3


class Service(typing.NamedTuple):
    """A group of endpoints that do the same work."""

    name: str
    health_path: str
    engine: EngineModel | None

    @property
    def has_layers(self) -> bool:
        """Whether endpoints hold parts of a model."""
        return self.engine is not None and self.engine.layers > 0


class Limits(typing.NamedTuple):
    """Limits on the size of a request and the time to receive it."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Customer(typing.NamedTuple):
    """Owner of an API key; `priority`, if set, overrides the route's."""

    name: str
    priority: int | None = None


class Catalog:
    """One version of routes, services, limits and customers."""

    def __init__(
        self,
        version: int,
        routes: typing.Iterable[Route],
        services: typing.Iterable[Service],
        limits: Limits,
        customers_by_key: dict[str, Customer] | None,
    ) -> None:
        if version < 0:
            raise errors.InvalidArgument('version', version, '0 or more')
        self.version = version
        self.limits = limits
        self.services = {service.name: service for service in services}
        self._customers = customers_by_key
        self._routes: dict[str, dict[str, Route]] = {}
        self._ranks: dict[str, ranks_lib.Ranks | None] = {}
        for route in routes:
            if not math.isfinite(route.timeout_s) or route.timeout_s <= 0:
                raise errors.InvalidArgument(
                    'timeout_s', route.timeout_s, 'more than 0'
                )
            self._routes.setdefault(route.host, {})[route.prefix] = route

    @property
    def needs_keys(self) -> bool:
        """Whether routes that aren't public need a key."""
        return self._customers is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        routes = self._routes.get(host)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Returns the customer that an API key belongs to, if any."""
        return (self._customers or {}).get(key)

    def customer_names(self) -> set[str]:
        """Returns the names of all customers that have a key."""
        return {customer.name for customer in (self._customers or {}).values()}

    def list_stream_routes(self, service: str) -> list[Route]:
        """Returns the streamed routes that a service serves."""
        return [
            route
            for route in self.routes()
            if route.is_stream
            and any(name == service for name, _ in route.split)
        ]

    def has_ranks(self, service: str) -> bool:
        """Returns whether a service's streamed routes differ in priority."""
        routes = self.list_stream_routes(service)
        return len({route.priority for route in routes}) > 1

    def pause_at_risk_s(self, service: str) -> float | None:
        """Returns the shortest gap that a service's streams expect.

        `None` if its engines' reading can't exceed it.
        """
        if not self.reading_can_break_pauses(service):
            return None
        return min(r.gap_target_s for r in self.list_stream_routes(service))

    def find_ranks(self, service: str) -> ranks_lib.Ranks | None:
        """Returns the ranks of a service's requests, if they differ."""
        if service not in self._ranks:
            self._ranks[service] = self._make_ranks(service)
        return self._ranks[service]

    def _make_ranks(self, service: str) -> ranks_lib.Ranks | None:
        if not self.has_ranks(service):
            return None
        return ranks_lib.Ranks(
            (
                route.priority
                for route in self.routes()
                if any(name == service for name, _ in route.split)
            ),
            (c.priority for c in (self._customers or {}).values()),
        )

    def reading_can_break_pauses(self, service: str) -> bool:
        """Returns whether reading can hold up a service's streams too long.

        That is so by the figures of its engines and the shortest of the gaps
        that its routes expect.
        """
        engine = self.services[service].engine
        gaps_s = [r.gap_target_s for r in self.list_stream_routes(service)]
        return bool(
            engine and gaps_s and engine.reading_can_break_pauses(min(gaps_s))
        )

    def routes(self) -> typing.Iterator[Route]:
        """Yields all routes."""
        for by_prefix in self._routes.values():
            yield from by_prefix.values()
