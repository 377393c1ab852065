"""Keeps a fault in one background task from ending the process.

The task is started again, and a host whose tasks go on failing isn't ready.
"""

import logging
import typing

import trio

from sardinebend_gateway import audit as audit_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import metrics as metrics_lib

_LOGGER = logging.getLogger(__name__)

FIRST_PAUSE_S: typing.Final = 0.1
MAX_PAUSE_S: typing.Final = 2.0
# Failures within this time that make a host unready; a single bad message
# makes one.
WINDOW_S: typing.Final = 10.0
FAILURES_BORNE: typing.Final = 3

Job = typing.Callable[[], typing.Awaitable[None]]


class Supervisor:
    """Runs background tasks, and counts how often they fail."""

    def __init__(
        self, audit: audit_lib.Audit, metrics: metrics_lib.Metrics
    ) -> None:
        self._audit = audit
        self._metrics = metrics
        self._failures: dict[str, list[float]] = {}

    def is_healthy(self) -> bool:
        """Tells whether no task has failed again and again of late."""
        now = clocks.now()
        return all(
            sum(now - at < WINDOW_S for at in failed) < FAILURES_BORNE
            for failed in self._failures.values()
        )

    async def run(self, name: str, job: Job) -> None:
        """Runs a task until it returns; starts it again after a failure.

        Args:
            name: What the task is, for the log.
            job: Starts it.
        """
        pause_s = FIRST_PAUSE_S
        while True:
            began_at = clocks.now()
            try:
                await job()
            except Exception as exc:
                if clocks.now() - began_at > WINDOW_S:
                    pause_s = FIRST_PAUSE_S
                self._note(name, exc, pause_s)
            else:
                return
            await trio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)

    def _note(self, name: str, exc: Exception, pause_s: float) -> None:
        failed = self._failures.setdefault(name, [])
        failed.append(clocks.now())
        del failed[:-FAILURES_BORNE]
        self._metrics.count('task_failures', task=name)
        self._audit.log(
            events.TASK_FAILED,
            task=name,
            error=repr(exc),
            again_in_s=pause_s,
        )
        _LOGGER.error('task %s failed', name, exc_info=exc)
