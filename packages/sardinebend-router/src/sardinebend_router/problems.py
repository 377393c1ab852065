"""Problem details (RFC 9457) for failed and refused requests."""

import math
import typing

from sardinebend_policy import outcomes
from sardinebend_router import errors

CONTENT_TYPE: typing.Final = 'application/problem+json'
TYPE_PREFIX: typing.Final = 'urn:sardinebend:problem:'


class Problem(typing.TypedDict, total=False):
    """The body of a refusal.

    Attributes:
        type: A URI that names the problem.
        title: The name of the problem in words.
        status: HTTP status.
        detail: Explanation of this occurrence.
        outcome: `not_run`, `incomplete` or `unknown`.
        delivered_tokens: Number of tokens that were sent to the caller.
        retry_after_s: How long to wait before the next try, in seconds.
        request_id: Identifier of the request.
    """

    type: typing.Required[str]
    title: typing.Required[str]
    status: typing.Required[int]
    detail: str
    outcome: str
    delivered_tokens: int
    retry_after_s: float
    request_id: str


_STATUS: typing.Final[dict[outcomes.Reason, int]] = {
    outcomes.Reason.DEADLINE: 504,
    outcomes.Reason.KEY_REUSED: 422,
    outcomes.Reason.QUARANTINED: 422,
    outcomes.Reason.QUEUE_FULL: 429,
    outcomes.Reason.RETRY_BUDGET: 429,
    outcomes.Reason.CALLER_LEFT: 499,
}
_DEFAULT_STATUS: typing.Final = 503
_UNKNOWN_STATUS: typing.Final = 504


def from_outcome(
    outcome: outcomes.NotRun | outcomes.Incomplete | outcomes.OutcomeUnknown,
    request_id: str,
) -> Problem:
    """Returns the problem for a request that has no complete answer."""
    reason = outcome.reason
    problem: Problem = {
        'type': f'{TYPE_PREFIX}{reason.value}',
        'title': reason.value.replace('-', ' '),
        'status': _STATUS.get(reason, _DEFAULT_STATUS),
        'request_id': request_id,
    }
    if isinstance(outcome, outcomes.OutcomeUnknown):
        problem['outcome'] = 'unknown'
        problem['status'] = _UNKNOWN_STATUS
        problem['detail'] = (
            'The call may have run. Repeat it with the same Idempotency-Key '
            'to get the outcome once it is recorded.'
        )
        return problem
    if outcome.retry_after_s is not None:
        problem['retry_after_s'] = round(outcome.retry_after_s, 3)
    if isinstance(outcome, outcomes.Incomplete):
        problem['outcome'] = 'incomplete'
        problem['delivered_tokens'] = outcome.delivered
        problem['detail'] = 'A part of the request was run.'
    else:
        problem['outcome'] = 'not_run'
        problem['detail'] = 'No part of the request was run.'
    return problem


def from_error(exc: errors.BadRequest, request_id: str) -> Problem:
    """Returns the problem for a request that was refused before it ran."""
    return {
        'type': f'{TYPE_PREFIX}{exc.slug}',
        'title': exc.slug.replace('-', ' '),
        'status': exc.status,
        'detail': str(exc),
        'outcome': 'not_run',
        'request_id': request_id,
    }


def make_headers(problem: Problem) -> list[tuple[bytes, bytes]]:
    """Returns the headers that go with a problem."""
    headers = []
    if 'retry_after_s' in problem:
        seconds = max(1, math.ceil(problem['retry_after_s']))
        headers.append((b'retry-after', str(seconds).encode()))
    if problem['status'] == 401:
        headers.append((b'www-authenticate', b'Bearer'))
    return headers
