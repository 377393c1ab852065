"""Restarts background tasks, so that a fault in one doesn't end the process.

A host whose tasks fail repeatedly reports that it isn't ready.
"""

import logging
import typing

import trio

from sardinebend_gateway import audit as audit_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import metrics as metrics_lib

_LOGGER = logging.getLogger(__name__)

MIN_RESTART_DELAY_S: typing.Final = 0.1
MAX_RESTART_DELAY_S: typing.Final = 2.0
# So many failures of one task within this time make a host unready. The limit
# is above 1 because a single bad message causes one failure.
WINDOW_S: typing.Final = 10.0
UNREADY_FAILURES: typing.Final = 3

Job = typing.Callable[[], typing.Awaitable[None]]


class Supervisor:
    """Runs background tasks and counts their failures."""

    def __init__(
        self, audit: audit_lib.Audit, metrics: metrics_lib.Metrics
    ) -> None:
        self._audit = audit
        self._metrics = metrics
        self._failures: dict[str, list[float]] = {}

    def is_healthy(self) -> bool:
        """Returns whether no task has failed repeatedly in recent seconds."""
        now = clocks.now()
        return all(
            sum(now - at < WINDOW_S for at in failure_times) < UNREADY_FAILURES
            for failure_times in self._failures.values()
        )

    async def run(self, name: str, job: Job) -> None:
        """Runs a task until it returns; restarts it after a failure.

        Args:
            name: Name of the task, for the log.
            job: Function that starts the task.
        """
        restart_delay_s = MIN_RESTART_DELAY_S
        while True:
            started_at = clocks.now()
            try:
                await job()
            except Exception as exc:
                if clocks.now() - started_at > WINDOW_S:
                    restart_delay_s = MIN_RESTART_DELAY_S
                self._record_failure(name, exc, restart_delay_s)
            else:
                return
            await trio.sleep(restart_delay_s)
            restart_delay_s = min(MAX_RESTART_DELAY_S, 2 * restart_delay_s)

    def _record_failure(
        self, name: str, exc: Exception, restart_delay_s: float
    ) -> None:
        failure_times = self._failures.setdefault(name, [])
        failure_times.append(clocks.now())
        del failure_times[:-UNREADY_FAILURES]
        self._metrics.count('task_failures', task=name)
        self._audit.log(
            events.TASK_FAILED,
            task=name,
            error=repr(exc),
            again_in_s=restart_delay_s,
        )
        _LOGGER.error('task %s failed', name, exc_info=exc)
