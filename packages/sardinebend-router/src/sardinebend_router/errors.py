"""Errors of the router package."""


class RouterError(Exception):
    """Base of every error that this package raises."""


class CallerDisconnected(RouterError):
    """Raised when the caller closed its connection; no reply can be sent."""


class BadRequest(RouterError):
    """Raised for an invalid request, which the caller has to correct.

    Attributes:
        status: HTTP status.
        slug: Last part of the problem's type.
    """

    status = 400
    slug = 'bad-request'


class MalformedBody(BadRequest):
    """Raised when a body isn't JSON of the expected shape."""

    slug = 'malformed-body'


class BodyTooLarge(BadRequest):
    """Raised when a body is larger than the setting allows."""

    status = 413
    slug = 'body-too-large'

    def __init__(self, limit: int) -> None:
        super().__init__(f'the body is larger than {limit} bytes')


class BodyTooSlow(BadRequest):
    """Raised when a body didn't arrive in time."""

    status = 408
    slug = 'body-too-slow'

    def __init__(self, wait_s: float) -> None:
        super().__init__(f"the body didn't arrive within {wait_s:g} s")


class KeyRequired(BadRequest):
    """Raised when a call that isn't repeatable lacks an idempotency key."""

    slug = 'idempotency-key-required'


class Unauthenticated(BadRequest):
    """Raised when a request carries no valid key."""

    status = 401
    slug = 'not-authentic'


class Forbidden(BadRequest):
    """Raised when an operator's branches don't include what it changes."""

    status = 403
    slug = 'not-allowed'


class NotFound(BadRequest):
    """Raised when a path, route, service, operation or request is unknown."""

    status = 404
    slug = 'not-found'


class MethodNotAllowed(BadRequest):
    """Raised when a path doesn't support the request's method."""

    status = 405
    slug = 'method-not-allowed'


class StartFailed(RouterError):
    """Raised when a host can't start; the message names the cause."""
