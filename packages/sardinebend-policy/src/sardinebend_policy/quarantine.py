"""Finds requests that crash endpoints, and refuses them.

When an endpoint dies, each request that it ran is a suspect. A request is
convicted when it was the only common suspect of two separate crashes. Suspects
are kept apart in between, so that the second crash points at one of them.
"""

import collections
import hashlib
import hmac
import typing

MAX_RECORDS: typing.Final = 10_000


class Crash(typing.NamedTuple):
    """The death of one endpoint incarnation and what it was running.

    Attributes:
        crash_id: Endpoint and incarnation; two hosts that saw the same death
            use the same id, so that it counts once.
        fingerprints: Requests that ran there, as the reporting host knows.
        at: When it was noticed, in seconds of the reporting host's clock.
    """

    crash_id: str
    fingerprints: frozenset[str]
    at: float


class Quarantine:
    """Suspects and convicted requests, known by fingerprint."""

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        self._crashes: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )
        self._crashes_of: dict[str, set[str]] = {}
        self._convicted: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_crash(self, crash: Crash, now: float) -> frozenset[str]:
        """Takes in a crash and returns the fingerprints that it convicts."""
        known = self._crashes.setdefault(crash.crash_id, set())
        known |= crash.fingerprints
        for fingerprint in crash.fingerprints:
            of = self._crashes_of.setdefault(fingerprint, set())
            of.add(crash.crash_id)
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

    def clear(self, fingerprint: str) -> None:
        """Drops the suspicion of a request that ended well."""
        for crash_id in self._crashes_of.pop(fingerprint, set()):
            suspects = self._crashes.get(crash_id)
            if suspects is not None:
                suspects.discard(fingerprint)

    def _find_guilty(self, crash_id: str) -> frozenset[str]:
        repeated = {
            fingerprint
            for fingerprint in self._crashes[crash_id]
            if len(self._crashes_of[fingerprint]) >= 2
        }
        # Two common suspects ran side by side in both crashes (a rack went,
        # for instance); neither is convicted, and both go on apart.
        return frozenset(repeated) if len(repeated) == 1 else frozenset()

    def _trim(self) -> None:
        while len(self._crashes) > MAX_RECORDS:
            crash_id, fingerprints = self._crashes.popitem(last=False)
            for fingerprint in fingerprints:
                of = self._crashes_of.get(fingerprint, set())
                of.discard(crash_id)
                if not of:
                    self._crashes_of.pop(fingerprint, None)


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
