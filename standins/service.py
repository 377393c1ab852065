"""Stand-in for a plain service that confirms and looks up bookings."""

import uuid

import defopt
import trio

from standins import web


class ServiceApp(web.WebApp):
    """Runs each call that reaches it and records the execution.

    It ignores the idempotency key, so a call that is sent twice runs twice,
    and the records show both executions.
    """

    def __init__(self, work_s: float) -> None:
        super().__init__()
        self._work_s = work_s
        self._incarnation = uuid.uuid4().hex
        self._runs: list[dict[str, str]] = []
        self.add('POST', '/operations/', self._run_call)
        self.add('GET', '/health', self._health)
        self.add('GET', '/records', self._records, subject_to_faults=False)

    async def _run_call(self, req: web.Request) -> tuple[int, object]:
        operation = req.path.rsplit('/', 1)[1]
        run = {
            'operation': operation,
            'key': req.headers.get('idempotency-key', ''),
            'body': req.body.decode(),
        }
        self._runs.append(run)
        await trio.sleep(self._work_s)
        number = len(self._runs)
        return 200, {'operation': operation, 'confirmation': f'C{number}'}

    async def _health(self, req: web.Request) -> tuple[int, object]:
        return 200, {'incarnation': self._incarnation, 'leaving': False}

    async def _records(self, req: web.Request) -> tuple[int, object]:
        return 200, self._runs


def main(
    *, address: str = '127.0.0.1', port: int = 0, work_s: float = 0.02
) -> None:
    """Runs the service.

    Args:
        address: IP address to listen on.
        port: Port to listen on.
        work_s: Time that each call takes, in seconds.
    """
    trio.run(web.run, ServiceApp(work_s), address, port)


if __name__ == '__main__':
    defopt.run(main)
