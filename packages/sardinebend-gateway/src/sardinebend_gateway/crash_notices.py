"""Crashes that hosts tell each other, each for a short while."""

import typing

from sardinebend_policy import quarantine

# Life signs reach 360 hosts, two at a time each half second, in some 4 s.
TOLD_S: typing.Final = 6.0
# Longer than any host goes on telling of a crash that this one has forgotten.
SEEN_S: typing.Final = 60.0
# With some 70 bytes each, 16 suspects fit into a datagram beside the rest.
MAX_RUNS: typing.Final = 16
MAX_SEEN: typing.Final = 10_000


class CrashNotices:
    """What has been heard of crashes, and what is still to be told."""

    def __init__(self) -> None:
        self._seen: dict[tuple[str, quarantine.Run], float] = {}

    def add(self, crash: quarantine.Crash, now: float) -> bool:
        """Takes in a crash; returns whether it holds anything new."""
        fresh = [
            (crash.crash_id, run)
            for run in crash.runs
            if (crash.crash_id, run) not in self._seen
        ]
        for key in fresh:
            self._seen[key] = now
            if len(self._seen) > MAX_SEEN:
                self._seen.pop(next(iter(self._seen)))
        return bool(fresh)

    def recent(self, now: float) -> tuple[quarantine.Crash, ...]:
        """Returns the newest suspects, by crash."""
        told = [key for key, at in self._seen.items() if now - at < TOLD_S]
        by_crash: dict[str, set[quarantine.Run]] = {}
        for crash_id, run in told[-MAX_RUNS:]:
            by_crash.setdefault(crash_id, set()).add(run)
        return tuple(
            quarantine.Crash(crash_id, frozenset(runs))
            for crash_id, runs in by_crash.items()
        )

    def forget_old(self, now: float) -> None:
        """Drops what no host tells of any more."""
        self._seen = {
            k: at for k, at in self._seen.items() if now - at < SEEN_S
        }
