"""The typed ends of a request, and the reasons for them."""

import enum
import typing


class Reason(enum.StrEnum):
    """Why a request ended without a whole answer."""

    ATTEMPTS_EXHAUSTED = 'attempts-exhausted'
    CALLER_LEFT = 'caller-left'
    CLAIM_HELD = 'claim-held'
    CLAIMANT_LOST = 'claimant-lost'
    DEADLINE = 'deadline-passed'
    DRAINING = 'host-draining'
    ENDPOINT_ERROR = 'endpoint-error'
    ENDPOINT_REFUSED = 'endpoint-refused'
    KEY_REUSED = 'idempotency-key-reused'
    NO_ROUTE = 'no-route'
    QUARANTINED = 'quarantined'
    QUEUE_FULL = 'queue-full'
    REPLY_LOST = 'reply-lost'
    RETRY_BUDGET = 'retry-budget-spent'
    SETTINGS_STALE = 'settings-stale'
    TABLE_UNAVAILABLE = 'table-unavailable'


class Answered(typing.NamedTuple):
    """The caller has its whole answer.

    Attributes:
        tokens: Number of tokens of a draft; 0 for a plain service.
        status: HTTP status of a plain service's reply; 200 for a draft.
        content_type: Content type of a plain service's reply.
        body: Body of a plain service's reply.
    """

    tokens: int = 0
    status: int = 200
    content_type: str = ''
    body: bytes = b''


class NotRun(typing.NamedTuple):
    """No endpoint ran any part of the request.

    Attributes:
        reason: Why.
        retry_after_s: When a repeat makes sense; `None` if it doesn't.
    """

    reason: Reason
    retry_after_s: float | None = None


class Incomplete(typing.NamedTuple):
    """The request may have run in part.

    Attributes:
        reason: Why it couldn't be completed.
        delivered: Number of tokens that the caller was given.
        retry_after_s: When a repeat makes sense; `None` if it doesn't.
    """

    reason: Reason
    delivered: int = 0
    retry_after_s: float | None = None


class OutcomeUnknown(typing.NamedTuple):
    """The request may have run to its end, and the answer is lost.

    Attributes:
        reason: Why it isn't known.
    """

    reason: Reason


Outcome = Answered | NotRun | Incomplete | OutcomeUnknown
