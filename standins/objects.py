"""Stand-in of the platform's object store."""

import defopt
import trio

from sardinebend_router import asgi
from standins import web

PREFIX = '/v1/objects/'


class ObjectApp(web.WebApp):
    """Serves byte strings in memory over HTTP."""

    def __init__(self) -> None:
        super().__init__()
        self.objects: dict[str, bytes] = {}
        self.add('PUT', PREFIX, self._put)
        self.add('GET', PREFIX, self._get)

    async def _put(self, req: web.Request) -> tuple[int, object]:
        self.objects[req.path.removeprefix(PREFIX)] = req.body
        return 200, None

    async def _get(self, req: web.Request) -> tuple[int, object] | None:
        data = self.objects.get(req.path.removeprefix(PREFIX))
        if data is None:
            return 404, None
        kind = 'application/octet-stream'
        await asgi.send_reply(req.send, 200, kind, data)
        return None


def main(*, address: str = '127.0.0.1', port: int = 0) -> None:
    """Runs the object store.

    Args:
        address: IP address to listen on.
        port: Port to listen on.
    """
    trio.run(web.run, ObjectApp(), address, port)


if __name__ == '__main__':
    defopt.run(main)
