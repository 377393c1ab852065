"""Makes tasks wait until the admission policy admits their requests."""

import collections.abc
import contextlib
import typing

import trio

from sardinebend_policy import admission
from sardinebend_policy import outcomes

DRAINING_RETRY_AFTER_S: typing.Final = 1.0


class Gate:
    """Applies the admission policy to the tasks that serve requests."""

    def __init__(self, max_running: int) -> None:
        self._admission = admission.Admission(max_running)
        self._admitted_events: dict[str, trio.Event] = {}
        self._is_closed = False

    @property
    def running(self) -> int:
        """Number of requests that were admitted and have not ended."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Number of requests that wait to be admitted."""
        return self._admission.waiting

    def set_max_running(self, max_running: int) -> None:
        """Sets how many requests may run at once; admits waiting ones."""
        self._admission.set_max_running(max_running)
        if self._admission.waiting:
            self._wake_tasks(self._admission.fill(trio.current_time()))

    def close(self) -> None:
        """Refuses all further requests, and those that wait."""
        self._is_closed = True
        for admitted in self._admitted_events.values():
            admitted.set()

    @contextlib.asynccontextmanager
    async def enter(
        self, ticket: admission.Ticket, disconnected: trio.Event
    ) -> collections.abc.AsyncGenerator[outcomes.NotRun | None, None]:
        """Waits for admission, and releases the slot on exit.

        Args:
            ticket: The request that asks for a slot.
            disconnected: Set when the caller disconnects; the request then
                stops waiting and gives up its place in the queue.

        Yields:
            `None` if the request may run, else the refusal.
        """
        if self._is_closed:
            yield _make_draining_refusal()
            return
        verdict = self._admission.offer(ticket, trio.current_time())
        refusal: outcomes.NotRun | None = None
        if isinstance(verdict, outcomes.NotRun):
            yield verdict
            return
        try:
            if verdict is admission.Verdict.WAIT:
                refusal = await self._wait(ticket, disconnected)
            yield refusal
        finally:
            self._admitted_events.pop(ticket.request_id, None)
            self._admission.withdraw(ticket.request_id, ticket.customer)
            started = self._admission.release(
                ticket.request_id, trio.current_time()
            )
            self._wake_tasks(started)

    async def _wait(
        self, ticket: admission.Ticket, disconnected: trio.Event
    ) -> outcomes.NotRun | None:
        admitted = trio.Event()
        self._admitted_events[ticket.request_id] = admitted
        async with trio.open_nursery() as nursery:

            async def cancel_when_left() -> None:
                await disconnected.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_when_left)
            nursery.cancel_scope.deadline = ticket.deadline
            await admitted.wait()
            nursery.cancel_scope.cancel()
        if self._is_closed:
            return _make_draining_refusal()
        if admitted.is_set():
            return None
        if disconnected.is_set():
            return outcomes.NotRun(outcomes.Reason.CALLER_LEFT)
        return outcomes.NotRun(outcomes.Reason.DEADLINE)

    def _wake_tasks(self, started: list[admission.Ticket]) -> None:
        for ticket in started:
            admitted = self._admitted_events.get(ticket.request_id)
            if admitted is not None:
                admitted.set()


def _make_draining_refusal() -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.DRAINING, DRAINING_RETRY_AFTER_S)
