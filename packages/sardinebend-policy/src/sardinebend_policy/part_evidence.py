"""Finds parts of prompts that crash the endpoints that run them.

No two requests with such a part are alike, so `quarantine`, which compares
whole requests, learns nothing from one about the next. And the requests that
crash have other parts in common with sound ones, so crashes alone don't
identify the part. What does is that no request with it is ever served:

- A request that is served clears each of its parts of the crashes so far.
- A part that has been served before needs more crashes than one that hasn't.
- Crashes that a quarantined part explains are no evidence against others.
"""

import collections
import typing

MAX_PARTS: typing.Final = 4096
# How long a crash stays evidence. Requests with a crashing part may be rare.
EVIDENCE_TTL_S: typing.Final = 600.0
# Crashes closer together than this count as one: endpoints that fail together
# for another reason are evidence only once against what ran there.
MIN_SPACING_S: typing.Final = 0.2
# Crashes must be those of different requests; a single request that crashes
# endpoints is quarantined by itself.
MIN_REQUESTS: typing.Final = 2
# Crashes after which a part is quarantined: one that is the only common part
# without a served request, any other one, and one that has been served before.
SOLE_PART_CRASHES: typing.Final = 3
ANY_PART_CRASHES: typing.Final = 5
SERVED_PART_CRASHES: typing.Final = 6
# Time after a host records its first crash against a part in which other hosts
# can object that they have served it.
OBJECTION_S: typing.Final = 0.4
# Spacing of restored crashes, whose times aren't known; certainly more than
# MIN_SPACING_S.
RESTORED_SPACING_S: typing.Final = 2 * MIN_SPACING_S
# Crashes after which the evidence against a part is stored, so that it survives
# a restart of all hosts.
STORED_CRASHES: typing.Final = 2


class PartCrash(typing.NamedTuple):
    """A crash of an endpoint that was running a request with a part.

    Attributes:
        part: Fingerprint of the part, see `quarantine.make_part_fingerprint`.
        crash_id: Identifies the crash, as in `quarantine.Crash`.
        request: Abbreviated fingerprint of one such request.
    """

    part: str
    crash_id: str
    request: str


class PartServed(typing.NamedTuple):
    """An objection to quarantining a part: a request with it was served.

    Attributes:
        part: Fingerprint of the part, see `quarantine.make_part_fingerprint`.
        crash_id: The crash after which it was served; empty if it was served
            at some time before.
    """

    part: str
    crash_id: str = ''


class _Observation(typing.NamedTuple):
    """A crash as this host knows it.

    Attributes:
        request: Abbreviated fingerprint of the request.
        at: When it was first observed by any host.
        recorded_at: When this host heard of it.
    """

    request: str
    at: float
    recorded_at: float


class PartEvidence:
    """Crashes and served requests, by part of their prompts."""

    def __init__(self) -> None:
        self._crashes: dict[str, dict[str, _Observation]] = {}
        self._last_served_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._objections: dict[PartServed, float] = {}
        self._explained: dict[str, float] = {}
        self._selected: dict[str, float] = {}

    def record_crash(
        self, crash: PartCrash, now: float, age_s: float = 0.0
    ) -> tuple[bool, PartServed | None]:
        """Records a crash that this host or a peer observed.

        Args:
            crash: The crash.
            now: The time.
            age_s: Time since it was first observed.

        Returns:
            Whether it is new evidence, and an objection if a request with the
            part has been served.
        """
        at = now - age_s
        served = PartServed(crash.part, crash.crash_id)
        if crash.part in self._selected:
            self._explain(crash.crash_id, now)
        if served in self._objections:
            return False, served
        if crash.crash_id in self._explained:
            return False, None
        served_at = self._last_served_at.get(crash.part)
        if served_at is not None and served_at > at:
            self._objections[served] = served_at
            return False, served
        crashes = self._crashes.setdefault(crash.part, {})
        is_new = crash.crash_id not in crashes
        crashes.setdefault(crash.crash_id, _Observation(crash.request, at, now))
        if len(self._crashes) > MAX_PARTS:
            self._crashes.pop(next(iter(self._crashes)))
        has_been_served = served_at is not None
        return is_new, PartServed(crash.part) if has_been_served else None

    def restore_crash(
        self, crash: PartCrash, now: float
    ) -> tuple[bool, PartServed | None]:
        """Records a crash that the store holds; returns as `record_crash`.

        When it was observed isn't known. Stored crashes were apart in time.
        """
        known = self._crashes.get(crash.part, {}).values()
        earliest = min((seen.at for seen in known), default=now)
        return self.record_crash(
            crash, now, now - earliest + RESTORED_SPACING_S
        )

    def list_to_store(self) -> dict[str, dict[str, str]]:
        """Returns the parts whose evidence is to be stored.

        Returns:
            The requests of the crashes of each part, by crash.
        """
        parts = {}
        for part, crashes in self._crashes.items():
            spaced = _select_spaced(crashes)
            if len(spaced) >= STORED_CRASHES:
                parts[part] = {
                    crash_id: crashes[crash_id].request for crash_id in spaced
                }
        return parts

    def forget(self, part: str, crash_ids: typing.Collection[str]) -> None:
        """Drops crashes of a part for which they are no evidence any more."""
        for crash_id in crash_ids:
            self._drop(part, crash_id)

    def accept_verdict(self, part: str, now: float) -> None:
        """Records that a part is quarantined, by whatever host.

        Its crashes are then no evidence against other parts.
        """
        self._selected[part] = now
        for crash_id in self._crashes.pop(part, {}):
            self._explain(crash_id, now)

    def record_served(self, part: str, now: float) -> list[PartServed]:
        """Records that a request with a part was served without a crash.

        Returns:
            Objections to the crashes that this clears the part of.
        """
        self._last_served_at[part] = now
        self._last_served_at.move_to_end(part)
        if len(self._last_served_at) > MAX_PARTS:
            self._last_served_at.popitem(last=False)
        objections = [
            PartServed(part, crash_id)
            for crash_id in self._crashes.pop(part, {})
        ]
        self._objections |= dict.fromkeys(objections, now)
        return objections

    def record_objection(self, served: PartServed, now: float) -> bool:
        """Records a peer's objection; returns whether it is new."""
        is_new = served not in self._objections
        self._objections[served] = now
        self._drop(served.part, served.crash_id)
        return is_new

    def select(self, now: float) -> list[str]:
        """Returns the parts to quarantine; their crashes are then explained."""
        selected = []
        for part in sorted(self._crashes, key=self._has_been_served):
            if not self._is_due(part, now):
                continue
            selected.append(part)
            self.accept_verdict(part, now)
        return selected

    def explains(self, crash_id: str) -> bool:
        """Returns whether a selected part accounts for a crash.

        Other parts and requests at that endpoint are then no suspects.
        """
        return crash_id in self._explained

    def _explain(self, crash_id: str, now: float) -> None:
        self._explained[crash_id] = now
        for part in list(self._crashes):
            self._drop(part, crash_id)

    def items(self) -> list[tuple[PartCrash, float]]:
        """Returns the recorded crashes and when they were observed."""
        return [
            (PartCrash(part, crash_id, observation.request), observation.at)
            for part, crashes in self._crashes.items()
            for crash_id, observation in crashes.items()
        ]

    def drop_expired(self, now: float) -> None:
        """Drops evidence older than `EVIDENCE_TTL_S`."""
        oldest = now - EVIDENCE_TTL_S
        for crash, at in self.items():
            if at < oldest:
                self._drop(crash.part, crash.crash_id)
        _drop_older(self._objections, oldest)
        _drop_older(self._explained, oldest)
        _drop_older(self._selected, oldest)

    def _is_due(self, part: str, now: float) -> bool:
        crashes = self._crashes.get(part, {})
        if len({seen.request for seen in crashes.values()}) < MIN_REQUESTS:
            return False
        heard_at = min(seen.recorded_at for seen in crashes.values())
        if now - heard_at < OBJECTION_S:
            return False
        count = len(_select_spaced(crashes))
        if self._has_been_served(part):
            return count >= SERVED_PART_CRASHES
        if count >= ANY_PART_CRASHES:
            return True
        return count >= SOLE_PART_CRASHES and not self._has_rival(part)

    def _has_rival(self, part: str) -> bool:
        """Returns whether another unserved part fits the same crashes."""
        crash_ids = self._crashes[part].keys()
        return any(
            other != part
            and crash_ids <= crashes.keys()
            and not self._has_been_served(other)
            for other, crashes in self._crashes.items()
        )

    def _has_been_served(self, part: str) -> bool:
        return (
            part in self._last_served_at or PartServed(part) in self._objections
        )

    def _drop(self, part: str, crash_id: str) -> None:
        crashes = self._crashes.get(part, {})
        crashes.pop(crash_id, None)
        if not crashes:
            self._crashes.pop(part, None)


def _select_spaced(crashes: typing.Mapping[str, _Observation]) -> list[str]:
    """Returns the ids of crashes that are `MIN_SPACING_S` apart."""
    selected, last = [], float('-inf')
    for crash_id, seen in sorted(crashes.items(), key=lambda item: item[1].at):
        if seen.at - last >= MIN_SPACING_S:
            selected.append(crash_id)
            last = seen.at
    return selected


def _drop_older(times: dict[typing.Any, float], oldest: float) -> None:
    for key in [key for key, at in times.items() if at < oldest]:
        del times[key]
