"""Detects requests that crash endpoints, and quarantines them.

When an endpoint crashes, each request that it was running is a suspect. A
request is quarantined if it was the only common suspect of a few crashes in as
many separate runs, or one of several common suspects of a few more crashes.
Between crashes, suspects are routed to separate endpoints where possible, so
that the next crash has only one of them as a suspect. A run uses several
endpoints, one for each stage; when a failure domain fails, several of them
crash during one run, which is no evidence against that run. Nor is a crash
evidence against a request that has just been served elsewhere.
"""

import collections
import hashlib
import hmac
import re
import typing

MAX_RECORDS: typing.Final = 10_000
# For how long after being served a request can't become a suspect: one that
# was served this recently doesn't crash the endpoint that runs it.
CLEARED_S: typing.Final = 10.0
# Number of crashes after which the only common suspect is quarantined, and
# after which any suspect is.
SOLE_SUSPECT_CRASHES: typing.Final = 2
ANY_SUSPECT_CRASHES: typing.Final = 3
# Length of a logged fingerprint; enough to find other log lines about it.
LOGGED_CHARS: typing.Final = 8
# Begins the fingerprint of a part of a prompt.
PART_PREFIX: typing.Final = 'part/'
_PLAIN_ID_RE: typing.Final = re.compile('[0-9a-f]{1,32}')


class Run(typing.NamedTuple):
    """One attempt of a request, which may be a suspect of a crash.

    Attributes:
        fingerprint: Fingerprint of the request.
        run_id: Identifier of the attempt; unique in the fleet.
    """

    fingerprint: str
    run_id: str


class PartUse(typing.NamedTuple):
    """The use of a part of a prompt by a request.

    Attributes:
        part: Fingerprint of the part, which other requests may share.
        fingerprint: Fingerprint of the request.
    """

    part: str
    fingerprint: str


class Crash(typing.NamedTuple):
    """The crash of one endpoint incarnation and the runs it was serving.

    Attributes:
        crash_id: Endpoint and incarnation. Two hosts that observe the same
            crash use the same id, so it counts once.
        runs: Runs at the endpoint that the reporting host knows of.
        part_uses: The shared parts of the prompts of these runs.
    """

    crash_id: str
    runs: frozenset[Run]
    part_uses: frozenset[PartUse] = frozenset()


class Quarantine:
    """Suspected and quarantined requests, identified by fingerprint."""

    def __init__(
        self,
        hold_s: float,
        sole_suspect_crashes: int = SOLE_SUSPECT_CRASHES,
        any_suspect_crashes: int = ANY_SUSPECT_CRASHES,
    ) -> None:
        """Creates an empty quarantine.

        Args:
            hold_s: For how long a quarantined request is refused.
            sole_suspect_crashes: Number of crashes after which their only
                common suspect is quarantined.
            any_suspect_crashes: Number of crashes after which each of their
                common suspects is quarantined.
        """
        self._hold_s = hold_s
        self._sole_suspect_crashes = sole_suspect_crashes
        self._any_suspect_crashes = any_suspect_crashes
        self._cleared_until: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._suspects_by_crash: collections.OrderedDict[str, set[Run]] = (
            collections.OrderedDict()
        )
        self._crashes_by_fingerprint: dict[str, dict[str, str]] = {}
        self._quarantined_until: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_crash(self, crash: Crash, now: float) -> frozenset[str]:
        """Records a crash; returns the fingerprints it puts in quarantine."""
        suspects = self._suspects_by_crash.setdefault(crash.crash_id, set())
        for run in crash.runs:
            if self._cleared_until.get(run.fingerprint, now) > now:
                continue
            crash_by_run = self._crashes_by_fingerprint.setdefault(
                run.fingerprint, {}
            )
            # If several endpoints crash during one run, only the first crash
            # is evidence against it.
            if crash_by_run.setdefault(run.run_id, crash.crash_id) == (
                crash.crash_id
            ):
                suspects.add(run)
        self._trim()
        to_quarantine = self._select_to_quarantine(crash.crash_id)
        for fingerprint in to_quarantine:
            self.quarantine_until(fingerprint, now + self._hold_s)
        return to_quarantine

    def quarantine_until(self, fingerprint: str, until: float) -> None:
        """Quarantines a fingerprint until a time, e.g. after a peer report."""
        self._quarantined_until[fingerprint] = max(
            until, self._quarantined_until.get(fingerprint, until)
        )
        if len(self._quarantined_until) > MAX_RECORDS:
            self._quarantined_until.popitem(last=False)

    def refused_until(self, fingerprint: str, now: float) -> float | None:
        """Returns when the quarantine ends; `None` if it isn't in force."""
        until = self._quarantined_until.get(fingerprint)
        if until is None or until <= now:
            return None
        return until

    def list_refused(self, now: float) -> list[tuple[str, float]]:
        """Returns the quarantined fingerprints and when each is released."""
        return [
            (fingerprint, until)
            for fingerprint, until in self._quarantined_until.items()
            if until > now
        ]

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a fingerprint is a suspect of a recorded crash."""
        return bool(self._crashes_by_fingerprint.get(fingerprint))

    def shares_crash(self, fingerprint: str, other: str) -> bool:
        """Returns whether two requests are suspects of the same crash."""
        own_crashes = self._crashes_by_fingerprint.get(fingerprint, {})
        other_crashes = self._crashes_by_fingerprint.get(other, {})
        return not set(own_crashes.values()).isdisjoint(other_crashes.values())

    def clear(self, fingerprint: str, now: float) -> None:
        """Clears a served request.

        Drops its past suspicions for good and ignores new crashes for
        `CLEARED_S`.
        """
        self._cleared_until[fingerprint] = now + CLEARED_S
        self._cleared_until.move_to_end(fingerprint)
        if len(self._cleared_until) > MAX_RECORDS:
            self._cleared_until.popitem(last=False)
        for crash_id in self._crashes_by_fingerprint.pop(
            fingerprint, {}
        ).values():
            runs = self._suspects_by_crash.get(crash_id, set())
            runs -= {run for run in runs if run.fingerprint == fingerprint}

    def _select_to_quarantine(self, crash_id: str) -> frozenset[str]:
        crashes = {
            run.fingerprint: len(
                set(self._crashes_by_fingerprint[run.fingerprint].values())
            )
            for run in self._suspects_by_crash.get(crash_id, ())
        }
        repeat_suspects = {
            f for f, n in crashes.items() if n >= self._sole_suspect_crashes
        }
        # If several common suspects ran at the same endpoint in each crash,
        # none is quarantined yet; they are routed separately from now on.
        selected = repeat_suspects if len(repeat_suspects) == 1 else set()
        selected |= {
            f for f, n in crashes.items() if n >= self._any_suspect_crashes
        }
        return frozenset(selected)

    def _trim(self) -> None:
        while len(self._suspects_by_crash) > MAX_RECORDS:
            _, runs = self._suspects_by_crash.popitem(last=False)
            for run in runs:
                crash_by_run = self._crashes_by_fingerprint.get(
                    run.fingerprint, {}
                )
                crash_by_run.pop(run.run_id, None)
                if not crash_by_run:
                    self._crashes_by_fingerprint.pop(run.fingerprint, None)


def abbreviate_fingerprint(fingerprint: str) -> str:
    """Returns the beginning of a fingerprint, as log lines show it."""
    return fingerprint.removeprefix(PART_PREFIX)[:LOGGED_CHARS]


def make_part_fingerprint(part: str) -> str:
    """Returns the fingerprint under which a part of a prompt is quarantined.

    It is the part's id, or a hash where that isn't a plain hexadecimal number,
    since callers choose the id and it becomes the key of a row. Customer and
    service don't enter: a crashing part does so whatever else a request holds.
    """
    if not _PLAIN_ID_RE.fullmatch(part):
        part = hashlib.sha256(part.encode()).hexdigest()[:32]
    return PART_PREFIX + part


def make_fingerprint(
    secret: bytes,
    customer: str,
    kind: str,
    body: bytes | typing.Sequence[bytes],
) -> str:
    """Returns a keyed hash that is the same for equal requests only.

    Without the key, a reader of logs and peer messages can't verify a guessed
    request body against its fingerprint.

    Args:
        secret: The key.
        customer: Name of the customer.
        kind: What is asked for.
        body: The request body, whole or in pieces.
    """
    pieces = [body] if isinstance(body, bytes) else body
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    for parts in ([customer.encode()], [kind.encode()], pieces):
        mac.update(sum(map(len, parts)).to_bytes(8, 'big'))
        for part in parts:
            mac.update(part)
    return mac.hexdigest()[:32]
