"""What the gateway needs of the systems around it, as abstract classes."""

import abc
import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints
from sardinebend_policy import paths
from sardinebend_store import feeds

Headers = typing.Sequence[tuple[bytes, bytes]]


class RequestFacts(typing.NamedTuple):
    """What a request says of itself in its headers.

    Attributes:
        request_id: Its id; empty if it has none.
        host: Value of the `Host` header.
        patience_s: How long the caller will wait, if it says so.
        key: The caller's key, if any.
        prompt_tokens: Tokens to read.
        answer_tokens: Most tokens to write.
        expected_tokens: The caller's estimate of tokens to write.
        resume_after: Id of the last event that the caller holds.
    """

    request_id: str
    host: str
    patience_s: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    expected_tokens: int | None = None
    resume_after: bytes | None = None


class Dispatch(typing.NamedTuple):
    """How a request is sent on.

    Attributes:
        endpoint: The endpoint that gets it.
        path: The path through layers, if the service has any.
        time_left_s: How long the endpoint may work on it.
        customer: Name of the customer whose key it bears.
        resume_after: Id of the last event that the caller holds.
        urgency: 0 for the most urgent up to 9.
    """

    endpoint: endpoints.Endpoint
    path: paths.Path | None
    time_left_s: float
    customer: str | None
    resume_after: bytes | None
    urgency: int


class AnswerFacts(typing.NamedTuple):
    """What an endpoint's answer says of itself in its headers.

    Attributes:
        request_id: The request that it answers.
        is_genuine: Whether it bears the endpoint's mark of origin.
        was_not_run: Whether the endpoint states that it ran nothing.
        answered_by: Name of the endpoint that answers, if it gives one.
        at_fault: Address of the endpoint that caused a refusal.
        is_leaving: Whether the endpoint says that it is about to end.
        backoff_s: For how long the endpoint wants nothing from this host.
        unread: Headers whose values can't be read, as text for the log.
    """

    request_id: str
    is_genuine: bool
    was_not_run: bool
    answered_by: str | None
    at_fault: str | None
    is_leaving: bool = False
    backoff_s: float | None = None
    unread: str = ''


class Report(typing.NamedTuple):
    """What an endpoint reports of itself when asked.

    Attributes:
        is_busy: Whether it carries out an order.
        orders_begun: Orders begun since its start.
        stalled: Addresses of endpoints that its requests wait for.
    """

    is_busy: bool
    orders_begun: int
    stalled: tuple[str, ...]


class Call(typing.NamedTuple):
    """A call to an endpoint besides requests of callers."""

    method: str
    target: str
    body: bytes = b''


class RequestCodec(abc.ABC):
    """Headers of requests and answers, between wire and domain."""

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> RequestFacts:
        """Returns what a request says of itself.

        Raises:
            errors.BadRequest: A header is malformed.
        """

    @abc.abstractmethod
    def make_request_headers(
        self, headers: Headers, dispatch: Dispatch
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers that an endpoint gets."""

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Returns what an answer says of itself."""

    @abc.abstractmethod
    def make_answer_headers(
        self, headers: Headers
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an endpoint's answer that callers get."""

    @abc.abstractmethod
    def make_own_headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Returns headers for an answer of the gateway's own."""


class EngineCodec(abc.ABC):
    """Orders to model engines and their reports."""

    @abc.abstractmethod
    def place(self, span: endpoints.Span, orders_begun: int) -> Call:
        """Returns the order to hold a range of layers.

        Args:
            span: The layers.
            orders_begun: The order is refused if the engine has begun another
                number of orders.
        """

    @abc.abstractmethod
    def repath(self, request_id: str, path: paths.Path) -> Call:
        """Returns the order to continue a request over another path."""

    @abc.abstractmethod
    def read_fault(self, body: bytes) -> str | None:
        """Returns the address of the part for which an order was refused."""

    @abc.abstractmethod
    def report(self) -> Call:
        """Returns the call that asks for a report."""

    @abc.abstractmethod
    def read_report(self, body: bytes) -> Report:
        """Returns a report.

        Raises:
            errors.Malformed: The body isn't a report.
        """


class StateCodec(abc.ABC):
    """Rows of the platform's store, between wire and domain.

    Attributes:
        catalog_table: Table that holds the configuration.
        catalog_key: Its row there.
        endpoint_table: Table that endpoints list themselves in.
    """

    catalog_table: str
    catalog_key: str
    endpoint_table: str

    @abc.abstractmethod
    def read_catalog(self, value: bytes) -> catalog.Catalog:
        """Returns a configuration.

        Raises:
            errors.Malformed: The value isn't a configuration.
        """

    @abc.abstractmethod
    def read_endpoint(self, key: str, value: bytes) -> endpoints.Endpoint:
        """Returns an endpoint's listing.

        Raises:
            errors.Malformed: The value isn't a listing.
        """


class Edges(typing.NamedTuple):
    """All edges of a gateway."""

    requests: RequestCodec
    engines: EngineCodec
    state: StateCodec
    store: feeds.FeedStore
