"""Stand-in for the platform's object store."""

import defopt
import trio

from sardinebend_router import asgi
from standins import web

PATH_PREFIX = '/v1/objects/'


class ObjectApp(web.WebApp):
    """Serves in-memory objects over HTTP."""

    def __init__(self) -> None:
        super().__init__()
        self.objects: dict[str, bytes] = {}
        self.add('PUT', PATH_PREFIX, self._put)
        self.add('GET', PATH_PREFIX, self._get)

    async def _put(self, req: web.Request) -> tuple[int, object]:
        self.objects[req.path.removeprefix(PATH_PREFIX)] = req.body
        return 200, None

    async def _get(self, req: web.Request) -> tuple[int, object] | None:
        data = self.objects.get(req.path.removeprefix(PATH_PREFIX))
        if data is None:
            return 404, None
        content_type = 'application/octet-stream'
        await asgi.send_reply(req.send, 200, content_type, data)
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
