"""The possible outcomes of a request and the reasons for them."""

import enum
import typing


class Reason(enum.StrEnum):
    """Reason why a request ended without a complete answer."""

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
    """The caller received the complete answer.

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
        reason: Why the request wasn't run.
        retry_after_s: Delay after which a repeat may succeed; `None` if a
            repeat is pointless.
    """

    reason: Reason
    retry_after_s: float | None = None


class Incomplete(typing.NamedTuple):
    """The request may have run in part.

    Attributes:
        reason: Why the request wasn't completed.
        delivered: Number of tokens delivered to the caller.
        retry_after_s: Delay after which a repeat may succeed; `None` if a
            repeat is pointless.
    """

    reason: Reason
    delivered: int = 0
    retry_after_s: float | None = None


class OutcomeUnknown(typing.NamedTuple):
    """The request may have run to completion, but its answer is lost.

    Attributes:
        reason: Why the outcome isn't known.
    """

    reason: Reason


Outcome = Answered | NotRun | Incomplete | OutcomeUnknown
