"""Which requests were at an endpoint when it ended, and may have caused it.

A request is a suspect from its send until something shows that it runs there
without harm: a part of its answer, or a refusal. An attempt that ends without
either stays a suspect for a while, since the end of an endpoint is often
noticed later than the end of what it ran.
"""

import typing

from sardinebend_policy import quarantine

# A silent endpoint's listing lapses after three heartbeats of 1.2 s; twice
# that, for a store that is slow or just back.
UNSETTLED_S: typing.Final = 8.0

Incarnation = tuple[str, int]


def make_crash_id(incarnation: Incarnation) -> str:
    """Returns the name of an endpoint's end, the same on every host."""
    name, born = incarnation
    return f'{name}/{born}'


class Suspects:
    """Runs that an endpoint may have ended under, by its start."""

    def __init__(self) -> None:
        self._unproven: dict[Incarnation, dict[quarantine.Run, float]] = {}
        self._ended: dict[Incarnation, dict[quarantine.Run, float]] = {}
        self._crashed: dict[Incarnation, float] = {}

    def begin(
        self, run: quarantine.Run, incarnations: typing.Iterable[Incarnation]
    ) -> None:
        """Notes that a request is about to reach endpoints.

        What is sent to an endpoint that has ended already can't have ended it.
        """
        for incarnation in set(incarnations) - self._crashed.keys():
            self._unproven.setdefault(incarnation, {})[run] = 0.0

    def prove(
        self, run: quarantine.Run, incarnations: typing.Iterable[Incarnation]
    ) -> None:
        """Notes that endpoints run a request, or refused it, without harm."""
        for incarnation in incarnations:
            _discard(self._unproven, incarnation, run)
            self._crashed.pop(incarnation, None)

    def end(
        self,
        run: quarantine.Run,
        incarnations: typing.Iterable[Incarnation],
        now: float,
    ) -> None:
        """Notes that an attempt has ended; where unproven, it stays suspect."""
        for incarnation in incarnations:
            if _discard(self._unproven, incarnation, run):
                ended = self._ended.setdefault(incarnation, {})
                ended[run] = now + UNSETTLED_S

    def record_crash(
        self, incarnation: Incarnation, now: float, ended_only: bool = False
    ) -> quarantine.Crash | None:
        """Returns a crash with its suspects, or `None` if there are none.

        Each suspect is told of once, however often the end is noticed.

        Args:
            incarnation: The endpoint's start that has ended.
            now: The time.
            ended_only: Whether attempts that still run are no suspects.
        """
        self._crashed[incarnation] = now + UNSETTLED_S
        ended = self._ended.pop(incarnation, {})
        runs = {run for run, until in ended.items() if until > now}
        if not ended_only:
            runs |= self._unproven.pop(incarnation, {}).keys()
        if not runs:
            return None
        return quarantine.Crash(make_crash_id(incarnation), frozenset(runs))

    def forget_old(self, now: float) -> None:
        """Drops ended attempts whose endpoints have outlived them."""
        self._crashed = {k: t for k, t in self._crashed.items() if t > now}
        for incarnation, runs in list(self._ended.items()):
            for run in [r for r, until in runs.items() if until <= now]:
                _discard(self._ended, incarnation, run)

    def __len__(self) -> int:
        return sum(
            len(runs)
            for table in (self._unproven, self._ended)
            for runs in table.values()
        )


def _discard(
    table: dict[Incarnation, dict[quarantine.Run, float]],
    incarnation: Incarnation,
    run: quarantine.Run,
) -> bool:
    """Drops a run; returns whether it was there."""
    runs = table.get(incarnation)
    if runs is None or runs.pop(run, None) is None:
        return False
    if not runs:
        del table[incarnation]
    return True
