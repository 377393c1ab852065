"""One account of what the connections of all callers hold.

It bounds their memory by that of the host, and their number by its descriptors.
Who is over a bound doesn't matter: the connection that is worth least to an
ordinary caller is given up first, and never one whose request is being served.
"""

import abc
import enum
import functools
import resource
import typing

import trio

from sardinebend_gateway import audit
from sardinebend_gateway import events
from sardinebend_gateway import metrics as metrics_lib
from sardinebend_gateway import request_bodies

# What a connection takes without any bytes: tasks, parser, request, socket.
CONNECTION_BYTES: typing.Final = 24 * 1024
# Memory for connections on top of what bodies may take, as a share of that,
# and these bytes.
CONNECTIONS_SHARE: typing.Final = 0.125
MIN_CONNECTIONS_BYTES: typing.Final = 2_000_000
# Once over a bound, this share of it is made free, since finding those that are
# given up takes a look at all.
FREED_SHARE: typing.Final = 1 / 32
# Descriptors that aren't sockets: files, as the platform counts them.
FILE_DESCRIPTORS: typing.Final = 200
# Share of the sockets that callers may have; the rest is for the store, peers
# and endpoints.
CALLERS_SHARE: typing.Final = 0.75
MIN_CONNECTIONS: typing.Final = 16
# An incomplete body of which nothing has come for this long makes room for
# others that lack some.
STALLED_S: typing.Final = 1.0
# What the kernel takes of a new connection before it is read. Where that of all
# could take more than this share of the bytes, the host is crowded.
UNREAD_BYTES: typing.Final = 128 * 1024
CROWDED_SHARE: typing.Final = 0.25
MIN_CROWD: typing.Final = 32
# Pieces of chunked bodies, all callers together, that are decoded before other
# tasks run.
DECODED_AT_A_TIME: typing.Final = 2


class Stage(enum.IntEnum):
    """What a connection is worth; the lowest is given up first.

    The request of an `EARLY` one goes on: only what its caller has sent ahead
    is dropped. An `UNREAD` one has its answer, which the caller doesn't take.
    """

    ENDED = 0
    PARTIAL = 1
    SILENT = 2
    IDLE = 3
    EARLY = 4
    UNREAD = 5
    SERVED = 6


class Holder(abc.ABC):
    """A connection, as the account sees it.

    Attributes:
        held_bytes: What it holds besides its body; set by the account.
        stage_since: When its caller last sent or took anything, or its stage
            began, by trio's clock.
    """

    held_bytes = 0
    stage_since = 0.0

    @property
    @abc.abstractmethod
    def stage(self) -> Stage:
        """What the connection is worth."""

    @property
    @abc.abstractmethod
    def body_bytes(self) -> int:
        """What its body has of the budget for bodies."""

    @abc.abstractmethod
    def give_up(self) -> None:
        """Ends it, or drops what its caller has sent ahead."""


class CallerAccount:
    """Accounts for the connections of all callers of a host.

    Attributes:
        bodies: The budget of the bodies.
        size: Bytes that the connections hold besides bodies.
        given_up: Number of connections that were given up, by stage.
        decoding: Lets a few pieces of chunked bodies be decoded in turn.
    """

    def __init__(
        self,
        bodies: request_bodies.RequestBodies,
        max_fds: typing.Callable[[], int] = lambda: 0,
        count_answer_bytes: typing.Callable[[], int] = lambda: 0,
    ) -> None:
        """Creates an account without connections.

        Args:
            bodies: The budget of the bodies.
            max_fds: Returns the descriptors of the process; 0 if its limit
                is to be asked for.
            count_answer_bytes: Returns the bytes of the incomplete answers
                that the host reads for callers.
        """
        self.bodies = bodies
        self.size = 0
        self.given_up = dict.fromkeys(Stage, 0)
        self.decoding = trio.Semaphore(DECODED_AT_A_TIME)
        self._max_fds = max_fds
        self._count_answer_bytes = count_answer_bytes
        self._audit = audit.Audit()
        # A dictionary for its order, which a set lacks.
        self._holders: dict[Holder, None] = {}
        bodies.make_room = self._make_room_for_body

    def register_gauges(self, metrics: metrics_lib.Metrics) -> None:
        """Shows what is in use on the metrics page."""
        gauges: dict[str, typing.Callable[[], float]] = {
            'caller_connections': lambda: len(self._holders),
            'caller_connections_limit': self.max_connections,
            'caller_bytes': self._count_bytes,
            'caller_bytes_limit': self._max_bytes,
        }
        for name, gauge in gauges.items():
            metrics.register_gauge(name, gauge)
        for stage in Stage:
            metrics.register_gauge(
                f'caller_connections_given_up_{stage.name.lower()}',
                functools.partial(self.given_up.__getitem__, stage),
            )

    def max_connections(self) -> int:
        """Returns how many connections callers may have."""
        fds = self._max_fds()
        if not fds:
            fds = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        sockets = max(0, fds - FILE_DESCRIPTORS)
        return max(MIN_CONNECTIONS, int(sockets * CALLERS_SHARE))

    @property
    def is_crowded(self) -> bool:
        """Whether the kernel is to hold little of a new connection."""
        count = len(self._holders)
        unread = count * UNREAD_BYTES
        return count > MIN_CROWD and unread > CROWDED_SHARE * self._max_bytes()

    def add(self, holder: Holder) -> bool:
        """Adds a new connection.

        Returns:
            Whether there is room; otherwise it is to be closed.
        """
        limit = self.max_connections()
        excess = len(self._holders) + 1 - limit
        if excess > 0:
            self._give_up(excess + int(limit * FREED_SHARE), 0, 'descriptors')
        if len(self._holders) >= limit:
            return False
        self._holders[holder] = None
        self.set_size(holder, CONNECTION_BYTES)
        return True

    def remove(self, holder: Holder) -> None:
        """Removes a connection that has been closed; does so once only."""
        if holder in self._holders:
            del self._holders[holder]
            self.size -= holder.held_bytes
            holder.held_bytes = 0

    def set_size(self, holder: Holder, size: int) -> None:
        """Sets what a connection holds; may give up connections, also it."""
        if holder not in self._holders:
            return
        self.size += size - holder.held_bytes
        is_more = size > holder.held_bytes
        holder.held_bytes = size
        limit = self._max_bytes()
        excess = self._count_bytes() - limit
        if is_more and excess > 0:
            self._give_up(0, excess + int(limit * FREED_SHARE), 'memory')

    def _count_bytes(self) -> int:
        return self.size + self.bodies.size + self._count_answer_bytes()

    def _max_bytes(self) -> int:
        limit = self.bodies.limit
        return int(limit * (1 + CONNECTIONS_SHARE)) + MIN_CONNECTIONS_BYTES

    def _make_room_for_body(self, size: int) -> None:
        """Gives up bodies that have stalled."""
        stalled_at = trio.current_time() - STALLED_S
        self._give_up(
            0,
            size,
            'bodies',
            lambda holder: (
                holder.body_bytes > 0
                and holder.stage is Stage.PARTIAL
                and holder.stage_since <= stalled_at
            ),
        )

    def _give_up(
        self,
        count: int,
        size: int,
        reason: str,
        is_meant: typing.Callable[[Holder], bool] | None = None,
    ) -> None:
        """Gives up connections until so many, or so many bytes, are free.

        For descriptors they go by their stage. For memory only the first stage
        counts, as a new caller holds little. Otherwise those go first that have
        held most for longest.
        """
        now = trio.current_time()

        def rank(holder: Holder) -> tuple[int, float]:
            held = holder.held_bytes + holder.body_bytes
            stage = min(holder.stage, Stage.PARTIAL) if size else holder.stage
            return (stage, -held * (now - holder.stage_since))

        given_up = freed = 0
        for holder in sorted(self._holders, key=rank):
            stage = holder.stage
            if given_up >= count and freed >= size:
                break
            if stage is Stage.SERVED or (
                is_meant is not None and not is_meant(holder)
            ):
                continue
            # This frees no descriptor.
            if stage is Stage.EARLY and not size:
                continue
            before = holder.held_bytes + holder.body_bytes
            holder.give_up()
            freed += before - holder.held_bytes - holder.body_bytes
            given_up += stage is not Stage.EARLY
            self.given_up[stage] += 1
        if given_up or freed:
            self._audit.log(
                events.CALLERS_GIVEN_UP,
                reason=reason,
                connections=given_up,
                freed_bytes=freed,
                open=len(self._holders),
            )
