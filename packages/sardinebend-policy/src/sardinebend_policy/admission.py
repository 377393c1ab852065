"""Admission: a bounded, weighted fair queue over customers."""

import collections
import enum
import math
import typing

from sardinebend_policy import errors
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
    """A weighted fair queue over customers, bounded for each customer.

    Each customer has a queue of its own and a virtual time that advances by
    1 / weight with each request started. The customer with the smallest
    virtual time is served next, so a customer that sends ten times its share
    waits only behind its own requests.
    """

    def __init__(self, max_running: int) -> None:
        if max_running < 1:
            raise errors.InvalidArgument(
                'max_running', max_running, '1 or more'
            )
        self._max_running = max_running
        self._running: dict[str, float] = {}
        self._queues: dict[str, collections.OrderedDict[str, Ticket]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
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
        return sum(len(queue) for queue in self._queues.values())

    def offer(self, ticket: Ticket, now: float) -> Verdict | outcomes.NotRun:
        """Starts, queues or refuses a request.

        A request is refused at once if its customer's queue is full or if it
        isn't expected to start before its deadline.
        """
        if ticket.deadline <= now:
            return outcomes.NotRun(outcomes.Reason.DEADLINE)
        if len(self._running) < self._max_running and not self._queues:
            self._start(ticket, now)
            return Verdict.RUN
        queue = self._queues.get(ticket.customer, collections.OrderedDict())
        wait_s = self.expected_wait_s(ticket.customer)
        if len(queue) >= ticket.max_queued or now + wait_s > ticket.deadline:
            retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
            return outcomes.NotRun(outcomes.Reason.QUEUE_FULL, retry_after_s)
        queue[ticket.request_id] = ticket
        self._queues[ticket.customer] = queue
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
        queue = self._queues.get(customer)
        if queue is None or request_id not in queue:
            return False
        del queue[request_id]
        if not queue:
            del self._queues[customer]
        return True

    def expected_wait_s(self, customer: str) -> float:
        """Estimates the waiting time of a new request of a customer."""
        ahead = len(self._queues.get(customer, ())) + 1
        share = max(1, len(set(self._queues) | {customer}))
        rounds = ahead * share / self._max_running
        return rounds * self._mean_service_s

    def fill(self, now: float) -> list[Ticket]:
        """Starts as many waiting requests as may run."""
        started = []
        while self._queues and len(self._running) < self._max_running:
            customer = min(self._queues, key=self._start_tag)
            queue = self._queues[customer]
            _, ticket = queue.popitem(last=False)
            if not queue:
                del self._queues[customer]
            if ticket.deadline > now:
                self._start(ticket, now)
                started.append(ticket)
        return started

    def _start_tag(self, customer: str) -> float:
        return max(self._virtual_time, self._finish_tags.get(customer, 0.0))

    def _start(self, ticket: Ticket, now: float) -> None:
        self._running[ticket.request_id] = now
        self._virtual_time = self._start_tag(ticket.customer)
        finish_tag = self._virtual_time + 1 / ticket.weight
        self._finish_tags[ticket.customer] = finish_tag
        if len(self._finish_tags) > 2 * len(self._queues) + 1024:
            self._finish_tags = {
                name: finish
                for name, finish in self._finish_tags.items()
                if finish > self._virtual_time
            }
