"""HTTP client for the administration interface of an entry host."""

import typing
import urllib.parse

import httpcore
import msgspec

from sardinebend_admin import errors

TIMEOUT_S: typing.Final = 15.0
CHANGE_ATTEMPTS: typing.Final = 3


class Client:
    """Sends requests to one entry host with the key of one operator."""

    def __init__(
        self, url: str, key: str, pool: httpcore.ConnectionPool | None = None
    ) -> None:
        self._url = url.rstrip('/')
        self._key = key
        self._pool = pool or httpcore.ConnectionPool(retries=0)

    def get(self, path: str, **query: str) -> typing.Any:
        """Returns the value at a path; empty query parameters are left out."""
        parameters = {name: value for name, value in query.items() if value}
        query_string = (
            f'?{urllib.parse.urlencode(parameters)}' if parameters else ''
        )
        return self._call('GET', f'{path}{query_string}', b'')

    def post(self, path: str, body: typing.Any = None) -> typing.Any:
        """Posts a value to a path and returns the response."""
        data = b'' if body is None else msgspec.json.encode(body)
        return self._call('POST', path, data)

    def submit_change(self, change: dict[str, typing.Any]) -> typing.Any:
        """Submits a change, and retries it while its outcome is unknown.

        The change id makes retries safe after a lost reply: the change is
        applied once. If a retry finds the host unavailable, an earlier attempt
        may still have been applied, so the outcome stays unknown.
        """
        for attempt in range(CHANGE_ATTEMPTS):
            try:
                return self.post('settings/changes', change)
            except errors.OutcomeUnknown:
                continue
            except errors.Unavailable:
                if attempt == 0:
                    raise
        raise errors.OutcomeUnknown(
            f'the change may have been applied; retry it with --change-id '
            f'{change["change_id"]}'
        )

    def _call(self, method: str, path: str, body: bytes) -> typing.Any:
        timeouts = dict.fromkeys(('connect', 'read', 'write'), TIMEOUT_S)
        try:
            response = self._pool.request(
                method,
                f'{self._url}/admin/v1/{path}',
                headers={
                    'Authorization': f'Bearer {self._key}',
                    'Content-Type': 'application/json',
                    'Content-Length': str(len(body)),
                },
                content=body,
                extensions={'timeout': timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise errors.Unavailable(f'{self._url}: {exc}') from exc
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as exc:
            raise errors.OutcomeUnknown(f'{self._url}: {exc}') from exc
        data = response.content
        try:
            value = msgspec.json.decode(data) if data else {}
        except msgspec.MsgspecError as exc:
            text = data[:200].decode('utf-8', 'replace')
            if response.status < 300:
                raise errors.OutcomeUnknown(
                    f'{self._url}: the reply is not whole: {text}'
                ) from exc
            value = {'detail': text}
        if response.status < 300:
            return value
        raise _make_error(response.status, value)


def _make_error(status: int, problem: typing.Any) -> errors.AdminError:
    detail = str(problem.get('detail') or problem)
    if status == 409:
        return errors.Conflict(problem)
    if problem.get('outcome') == 'unknown':
        return errors.OutcomeUnknown(detail)
    if status == 503:
        return errors.Unavailable(detail)
    return errors.Refused(f'{status}: {detail}')
