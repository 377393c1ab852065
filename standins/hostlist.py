"""Stand-in for the platform's list of hosts and endpoints, which lags."""

import collections
import hashlib
import typing

import defopt
import msgspec
import trio

from sardinebend_router import asgi
from standins import web


class HostListApp(web.WebApp):
    """Serves the list as it was `lag_s` seconds ago."""

    def __init__(self, lag_s: float) -> None:
        super().__init__()
        self._lag_s = lag_s
        self._history: collections.deque[tuple[float, typing.Any]] = (
            collections.deque([(0.0, {'hosts': [], 'endpoints': []})])
        )
        self.add('GET', '/v1/list', self._get)
        self.add('PUT', '/v1/list', self._put, subject_to_faults=False)

    async def _get(self, req: web.Request) -> None:
        listed_at = trio.current_time() - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= listed_at:
            self._history.popleft()
        body = msgspec.json.encode(self._history[0][1])
        etag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        status = 200
        if req.headers.get('if-none-match') == etag:
            status, body = 304, b''
        headers = [(b'etag', etag.encode())]
        await asgi.send_reply(
            req.send, status, 'application/json', body, headers
        )

    async def _put(self, req: web.Request) -> tuple[int, object]:
        self._history.append((trio.current_time(), req.json()))
        return 200, None


def main(
    *, address: str = '127.0.0.1', port: int = 0, lag_s: float = 1.0
) -> None:
    """Runs the host list.

    Args:
        address: IP address to listen on.
        port: Port to listen on.
        lag_s: Age of the list that is served, in seconds.
    """
    trio.run(web.run, HostListApp(lag_s), address, port)


if __name__ == '__main__':
    defopt.run(main)
