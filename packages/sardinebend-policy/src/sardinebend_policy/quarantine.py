"""Finds requests that crash endpoints, and refuses them.

When an endpoint dies, each request that it ran is a suspect. A request is
convicted when it was the only common suspect of a few crashes in as many
separate runs, or one of several common suspects of some more. Suspects are kept
apart in between where that is possible, so that the next crash points at one of
them. A run uses several endpoints, one for each stage; when a failure domain
goes, several of them die under one run, which is no evidence against it. Nor is
a crash evidence against a request that has just been served elsewhere.
"""

import collections
import hashlib
import hmac
import typing

MAX_RECORDS: typing.Final = 10_000
# A request that was served this recently doesn't crash what runs it.
PROVEN_S: typing.Final = 10.0
# Crashes that convict a lone common suspect, and any suspect.
LONE_CRASHES: typing.Final = 2
SHARED_CRASHES: typing.Final = 3
# Enough of a fingerprint to find the other lines that name it.
SHOWN_CHARS: typing.Final = 8


class Run(typing.NamedTuple):
    """One attempt of a request, as a suspect.

    Attributes:
        fingerprint: The request.
        run_id: The attempt; unique in the fleet.
    """

    fingerprint: str
    run_id: str


class Crash(typing.NamedTuple):
    """The death of one endpoint incarnation and what it was running.

    Attributes:
        crash_id: Endpoint and incarnation; two hosts that saw the same death
            use the same id, so that it counts once.
        runs: What ran there, as the reporting host knows.
    """

    crash_id: str
    runs: frozenset[Run]


class Quarantine:
    """Suspects and convicted requests, known by fingerprint."""

    def __init__(
        self,
        hold_s: float,
        lone_crashes: int = LONE_CRASHES,
        shared_crashes: int = SHARED_CRASHES,
    ) -> None:
        """Makes an empty quarantine.

        Args:
            hold_s: For how long a convicted request is refused.
            lone_crashes: Crashes that convict their only common suspect.
            shared_crashes: Crashes that convict each of their suspects.
        """
        self._hold_s = hold_s
        self._lone_crashes = lone_crashes
        self._shared_crashes = shared_crashes
        self._proven: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._crashes: collections.OrderedDict[str, set[Run]] = (
            collections.OrderedDict()
        )
        self._crashes_of: dict[str, dict[str, str]] = {}
        self._convicted: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_crash(self, crash: Crash, now: float) -> frozenset[str]:
        """Takes in a crash and returns the fingerprints that it convicts."""
        known = self._crashes.setdefault(crash.crash_id, set())
        for run in crash.runs:
            if self._proven.get(run.fingerprint, now) > now:
                continue
            crash_by_run = self._crashes_of.setdefault(run.fingerprint, {})
            # Of endpoints that die under one run only the first is evidence.
            if crash_by_run.setdefault(run.run_id, crash.crash_id) == (
                crash.crash_id
            ):
                known.add(run)
        self._trim()
        convicted = self._find_guilty(crash.crash_id)
        for fingerprint in convicted:
            self.convict(fingerprint, now + self._hold_s)
        return convicted

    def convict(self, fingerprint: str, until: float) -> None:
        """Refuses a fingerprint until a time, for instance on a peer's word."""
        self._convicted[fingerprint] = max(
            until, self._convicted.get(fingerprint, until)
        )
        if len(self._convicted) > MAX_RECORDS:
            self._convicted.popitem(last=False)

    def refused_until(self, fingerprint: str, now: float) -> float | None:
        """Returns when a convicted fingerprint is let in again."""
        until = self._convicted.get(fingerprint)
        if until is None or until <= now:
            return None
        return until

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether a crash is on record for a fingerprint."""
        return bool(self._crashes_of.get(fingerprint))

    def shares_crash(self, fingerprint: str, other: str) -> bool:
        """Tells whether two requests are suspects of the same crash."""
        mine = self._crashes_of.get(fingerprint, {})
        theirs = self._crashes_of.get(other, {})
        return not set(mine.values()).isdisjoint(theirs.values())

    def clear(self, fingerprint: str, now: float) -> None:
        """Drops the suspicion of a request that is served."""
        self._proven[fingerprint] = now + PROVEN_S
        self._proven.move_to_end(fingerprint)
        if len(self._proven) > MAX_RECORDS:
            self._proven.popitem(last=False)
        for crash_id in self._crashes_of.pop(fingerprint, {}).values():
            runs = self._crashes.get(crash_id, set())
            runs -= {run for run in runs if run.fingerprint == fingerprint}

    def _find_guilty(self, crash_id: str) -> frozenset[str]:
        crashes = {
            run.fingerprint: len(
                set(self._crashes_of[run.fingerprint].values())
            )
            for run in self._crashes.get(crash_id, ())
        }
        repeated = {f for f, n in crashes.items() if n >= self._lone_crashes}
        # Of common suspects that ran side by side in each crash, none is
        # convicted yet, and all go on apart.
        guilty = repeated if len(repeated) == 1 else set()
        guilty |= {f for f, n in crashes.items() if n >= self._shared_crashes}
        return frozenset(guilty)

    def _trim(self) -> None:
        while len(self._crashes) > MAX_RECORDS:
            _, runs = self._crashes.popitem(last=False)
            for run in runs:
                crash_by_run = self._crashes_of.get(run.fingerprint, {})
                crash_by_run.pop(run.run_id, None)
                if not crash_by_run:
                    self._crashes_of.pop(run.fingerprint, None)


def shorten(fingerprint: str) -> str:
    """Returns what log lines show of a fingerprint."""
    return fingerprint[:SHOWN_CHARS]


def make_fingerprint(
    secret: bytes, customer: str, kind: str, body: bytes
) -> str:
    """Returns a keyed hash that tells equal requests from others.

    The key keeps a reader of logs and peer messages from testing guesses of
    a body.
    """
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    for part in (customer.encode(), kind.encode(), body):
        mac.update(len(part).to_bytes(8, 'big'))
        mac.update(part)
    return mac.hexdigest()[:32]
