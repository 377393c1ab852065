"""Admission: a bound on running requests, before a fair queue."""

import enum
import math
import typing

from sardinebend_policy import errors
from sardinebend_policy import fair_queue
from sardinebend_policy import outcomes

MIN_RETRY_AFTER_S: typing.Final = 1.0
SERVICE_TIME_DECAY: typing.Final = 0.1


def share_limit(
    pipelines: float, live_hosts: int, largest: int, headroom: float
) -> int:
    """Returns how many requests one host runs at once.

    Each host takes an equal share of the capacity of the engines, so that the
    hosts need no coordination; a host that knows of fewer live hosts takes a
    larger share. If no capacity is known, the largest number applies.

    Args:
        pipelines: Requests that all engines can run at full speed.
        live_hosts: Live entry hosts, including this one.
        largest: Largest number that the settings allow.
        headroom: Requests admitted for each that the engines can run.
    """
    if pipelines <= 0:
        return largest
    share = math.ceil(pipelines * headroom / max(1, live_hosts))
    return max(1, min(largest, share))


class Verdict(enum.Enum):
    """Whether an admitted request runs at once or waits."""

    RUN = 'run'
    WAIT = 'wait'


class Ticket(typing.NamedTuple):
    """A request that is offered for admission.

    Attributes:
        request_id: The request.
        customer: Its customer.
        weight: The customer's weight.
        max_queued: Largest number of waiting requests of the customer.
        deadline: When the caller no longer needs an answer.
    """

    request_id: str
    customer: str
    weight: float
    max_queued: int
    deadline: float


class Admission:
    """Admits a bounded number of requests, in the order of a fair queue.

    The queue is bounded for each customer. A request costs its customer
    1 / weight of its share.
    """

    def __init__(self, max_running: int) -> None:
        if max_running < 1:
            raise errors.InvalidArgument(
                'max_running', max_running, '1 or more'
            )
        self._max_running = max_running
        self._running: dict[str, float] = {}
        self._queue = fair_queue.FairQueue()
        self._tickets: dict[str, Ticket] = {}
        self._mean_service_s = 0.5

    def set_max_running(self, max_running: int) -> None:
        """Changes how many requests run at once."""
        self._max_running = max_running

    @property
    def running(self) -> int:
        """Number of requests that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    def offer(self, ticket: Ticket, now: float) -> Verdict | outcomes.NotRun:
        """Starts, queues or refuses a request.

        A request is refused at once if its customer's queue is full or if it
        isn't expected to start before its deadline.
        """
        if ticket.deadline <= now:
            return outcomes.NotRun(outcomes.Reason.DEADLINE)
        if len(self._running) < self._max_running and not self._queue:
            self._start(_make_entry(ticket), now)
            return Verdict.RUN
        queued = self._queue.count(ticket.customer)
        wait_s = self.expected_wait_s(ticket.customer)
        if queued >= ticket.max_queued or now + wait_s > ticket.deadline:
            retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
            return outcomes.NotRun(outcomes.Reason.QUEUE_FULL, retry_after_s)
        self._queue.add(_make_entry(ticket))
        self._tickets[ticket.request_id] = ticket
        return Verdict.WAIT

    def release(self, request_id: str, now: float) -> list[Ticket]:
        """Ends a running request; returns waiting ones that start instead."""
        started = self._running.pop(request_id, None)
        if started is not None and now >= started:
            self._mean_service_s += SERVICE_TIME_DECAY * (
                now - started - self._mean_service_s
            )
        return self.fill(now)

    def withdraw(self, request_id: str, customer: str) -> bool:
        """Removes a waiting request; returns whether it was waiting."""
        ticket = self._tickets.get(request_id)
        if ticket is None or ticket.customer != customer:
            return False
        del self._tickets[request_id]
        return self._queue.remove(request_id)

    def expected_wait_s(self, customer: str) -> float:
        """Estimates the waiting time of a new request of a customer."""
        ahead = self._queue.count(customer) + 1
        share = max(1, len(self._queue.customers() | {customer}))
        rounds = ahead * share / self._max_running
        return rounds * self._mean_service_s

    def fill(self, now: float) -> list[Ticket]:
        """Starts as many waiting requests as may run."""
        started = []
        while self._queue and len(self._running) < self._max_running:
            entry = next(self._queue.in_order())
            ticket = self._tickets.pop(entry.request_id)
            if ticket.deadline > now:
                self._start(entry, now)
                started.append(ticket)
            else:
                self._queue.remove(entry.request_id)
        return started

    def _start(self, entry: fair_queue.Entry, now: float) -> None:
        self._running[entry.request_id] = now
        self._queue.start(entry)


def _make_entry(ticket: Ticket) -> fair_queue.Entry:
    return fair_queue.Entry(
        ticket.request_id, ticket.customer, 0, 1 / ticket.weight
    )
