"""Lets tasks wait for their turn as the admission policy decides."""

import collections.abc
import contextlib

import trio

from sardinebend_policy import admission
from sardinebend_policy import outcomes


class Gate:
    """The admission policy with tasks that wait."""

    def __init__(self, max_running: int) -> None:
        self._admission = admission.Admission(max_running)
        self._turns: dict[str, trio.Event] = {}

    @property
    def running(self) -> int:
        """Number of requests that run."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return self._admission.waiting

    def set_max_running(self, max_running: int) -> None:
        """Changes how many requests run at once."""
        self._admission.set_max_running(max_running)
        if self._admission.waiting:
            self._wake(self._admission.fill(trio.current_time()))

    @contextlib.asynccontextmanager
    async def enter(
        self, ticket: admission.Ticket, left: trio.Event
    ) -> collections.abc.AsyncGenerator[outcomes.NotRun | None, None]:
        """Waits for a turn, and gives it back at the end.

        Args:
            ticket: The request's place.
            left: Set when the caller leaves; the place is free at once.

        Yields:
            `None` when the request may run, else why it may not.
        """
        verdict = self._admission.offer(ticket, trio.current_time())
        refusal: outcomes.NotRun | None = None
        if isinstance(verdict, outcomes.NotRun):
            yield verdict
            return
        try:
            if verdict is admission.Verdict.WAIT:
                refusal = await self._wait(ticket, left)
            yield refusal
        finally:
            self._turns.pop(ticket.request_id, None)
            self._admission.withdraw(ticket.request_id, ticket.customer)
            started = self._admission.release(
                ticket.request_id, trio.current_time()
            )
            self._wake(started)

    async def _wait(
        self, ticket: admission.Ticket, left: trio.Event
    ) -> outcomes.NotRun | None:
        turn = trio.Event()
        self._turns[ticket.request_id] = turn
        async with trio.open_nursery() as nursery:

            async def stop_when_left() -> None:
                await left.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(stop_when_left)
            nursery.cancel_scope.deadline = ticket.deadline
            await turn.wait()
            nursery.cancel_scope.cancel()
        if turn.is_set():
            return None
        if left.is_set():
            return outcomes.NotRun(outcomes.Reason.CALLER_LEFT)
        return outcomes.NotRun(outcomes.Reason.DEADLINE)

    def _wake(self, started: list[admission.Ticket]) -> None:
        for ticket in started:
            turn = self._turns.get(ticket.request_id)
            if turn is not None:
                turn.set()
