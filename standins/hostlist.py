"""Stand-in of the platform's lagging list of hosts and endpoints."""

import collections
import typing

import defopt
import trio

from standins import web


class HostListApp(web.WebApp):
    """Serves the list as it was a while ago."""

    def __init__(self, lag_s: float) -> None:
        super().__init__()
        self._lag_s = lag_s
        self._history: collections.deque[tuple[float, typing.Any]] = (
            collections.deque([(0.0, {'hosts': [], 'endpoints': []})])
        )
        self.add('GET', '/v1/list', self._get)
        self.add('PUT', '/v1/list', self._put, faulty=False)

    async def _get(self, req: web.Request) -> tuple[int, object]:
        seen = trio.current_time() - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= seen:
            self._history.popleft()
        return 200, self._history[0][1]

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
        lag_s: How far the list lags behind, in seconds.
    """
    trio.run(web.run, HostListApp(lag_s), address, port)


if __name__ == '__main__':
    defopt.run(main)
