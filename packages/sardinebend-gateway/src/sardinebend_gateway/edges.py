"""Interfaces to the platform, as abstract classes and their data types."""

import abc
import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints
from sardinebend_policy import paths
from sardinebend_store import feeds

Headers = typing.Sequence[tuple[bytes, bytes]]


class RequestFacts(typing.NamedTuple):
    """Values from the headers of a request.

    Attributes:
        request_id: Id of the request; empty if it has none.
        host: Value of the `Host` header.
        time_left_s: How long the caller will wait, if stated.
        key: The caller's key, if any.
        prompt_tokens: Number of tokens of the prompt.
        answer_tokens: Maximum number of tokens of the answer.
        expected_tokens: The caller's estimate of the answer's tokens.
        resume_after: Id of the last event that the caller has received.
        shared_parts: Ids of the parts of the prompt that other requests may
            share, in order; without the last part, which is the request's own.
    """

    request_id: str
    host: str
    time_left_s: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    expected_tokens: int | None = None
    resume_after: bytes | None = None
    shared_parts: tuple[str, ...] = ()


class Dispatch(typing.NamedTuple):
    """How a request is forwarded.

    Attributes:
        endpoint: The endpoint that receives it.
        path: The path through layers, if the service has any.
        time_left_s: How long the endpoint may work on it.
        customer: Name of the customer whose key it carries.
        resume_after: Id of the last event that the caller has received.
        priority: Between 0 (most urgent) and 9.
    """

    endpoint: endpoints.Endpoint
    path: paths.Path | None
    time_left_s: float
    customer: str | None
    resume_after: bytes | None
    priority: int


class AnswerFacts(typing.NamedTuple):
    """Values from the headers of an endpoint's answer.

    Attributes:
        request_id: The request that it answers.
        is_genuine: Whether it carries the endpoint's mark of origin.
        was_not_run: Whether the endpoint states that it ran nothing.
        answered_by: Id of the answering endpoint, if stated.
        faulty_address: Address of the endpoint that caused a refusal.
        is_leaving: Whether the endpoint announces that it is shutting down.
        backoff_s: How long this host must not send to the endpoint, if
            stated.
        limit_per_s: Requests per second that the endpoint takes from all hosts
            together, if stated.
        malformed_header: Headers with invalid values, as text for the log.
    """

    request_id: str
    is_genuine: bool
    was_not_run: bool
    answered_by: str | None
    faulty_address: str | None
    is_leaving: bool = False
    backoff_s: float | None = None
    limit_per_s: float | None = None
    malformed_header: str = ''

    def is_from_another(self, endpoint: endpoints.Endpoint) -> bool:
        """Returns whether the answer states another sender than an endpoint."""
        return self.answered_by not in (None, endpoint.endpoint_id)


class Report(typing.NamedTuple):
    """Status report of an endpoint.

    Attributes:
        is_busy: Whether it is carrying out an order.
        orders_begun: Number of orders begun since its start.
        stalled: Addresses of endpoints that its requests wait for.
        pace: Factor by which it is slower than published.
    """

    is_busy: bool
    orders_begun: int
    stalled: tuple[str, ...]
    pace: float = 1.0


class Call(typing.NamedTuple):
    """A call to an endpoint made by the gateway itself."""

    method: str
    target: str
    body: bytes = b''


class RequestCodec(abc.ABC):
    """Converts headers of requests and answers between wire and domain."""

    @abc.abstractmethod
    def decode_request(self, headers: Headers) -> RequestFacts:
        """Returns the values from the headers of a request.

        Raises:
            errors.BadRequest: A header is malformed.
        """

    @abc.abstractmethod
    def make_request_headers(
        self, headers: Headers, dispatch: Dispatch
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers to send to an endpoint."""

    @abc.abstractmethod
    def decode_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Returns the values from the head of an answer."""

    @abc.abstractmethod
    def make_answer_headers(
        self, headers: Headers
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an endpoint's answer to send to the caller."""

    @abc.abstractmethod
    def make_own_headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an answer made by the gateway."""


class EngineCodec(abc.ABC):
    """Encodes orders to engines and decodes their reports."""

    @abc.abstractmethod
    def make_headers(
        self, endpoint: endpoints.Endpoint
    ) -> list[tuple[bytes, bytes]]:
        """Returns headers with which any other endpoint refuses a call.

        An address may belong to another endpoint by the time of the call.
        """

    @abc.abstractmethod
    def place(self, span: endpoints.Span, orders_begun: int) -> Call:
        """Returns the order to hold a range of layers.

        Args:
            span: The layers.
            orders_begun: The engine refuses the order if it has begun a
                different number of orders.
        """

    @abc.abstractmethod
    def repath(self, request_id: str, path: paths.Path) -> Call:
        """Returns the order to continue a request along another path."""

    @abc.abstractmethod
    def decode_refusing_address(self, body: bytes) -> str | None:
        """Returns the address of the engine that caused a refused order."""

    @abc.abstractmethod
    def report(self) -> Call:
        """Returns the call that requests a report."""

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> Report:
        """Decodes a report.

        Raises:
            errors.Malformed: The body isn't a report.
        """


class StateCodec(abc.ABC):
    """Decodes rows of the platform's store.

    Attributes:
        catalog_table: Table that holds the configuration.
        catalog_key: Key of its row.
        endpoint_table: Table in which endpoints list themselves.
    """

    catalog_table: str
    catalog_key: str
    endpoint_table: str

    @abc.abstractmethod
    def decode_catalog(self, value: bytes) -> catalog.Catalog:
        """Decodes a configuration.

        Raises:
            errors.Malformed: The value isn't a configuration.
        """

    @abc.abstractmethod
    def decode_endpoint(self, key: str, value: bytes) -> endpoints.Endpoint:
        """Decodes an endpoint's listing.

        Raises:
            errors.Malformed: The value isn't a listing.
        """


class Edges(typing.NamedTuple):
    """All interfaces of a gateway to the platform."""

    requests: RequestCodec
    engines: EngineCodec
    state: StateCodec
    store: feeds.FeedStore
