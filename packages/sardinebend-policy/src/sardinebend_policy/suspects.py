"""Tracks which requests may have crashed an endpoint.

A request is a suspect from the moment it is sent until the endpoint shows that
it has survived it, by a part of the answer or by a refusal. An attempt that
ends without either stays a suspect for a while, since the failure of an
endpoint is often detected later than the end of the attempts that it ran.
"""

import typing

from sardinebend_policy import quarantine

# How long an ended attempt stays a suspect and a crash is remembered. Endpoints
# renew their listing every 1.2 s; it expires after three missed renewals, that
# is, 3.6 s. About twice that allows for a store that is slow or has just
# recovered from an outage.
SUSPECT_TTL_S: typing.Final = 8.0

Incarnation = tuple[str, int]


def make_crash_id(incarnation: Incarnation) -> str:
    """Returns the id of an endpoint's crash, the same on every host."""
    name, born = incarnation
    return f'{name}/{born}'


class _Suspect(typing.NamedTuple):
    """A run at an endpoint.

    Attributes:
        shared_parts: Fingerprints of the parts of its prompt that other
            requests may share.
        until: When an ended run stops being a suspect.
    """

    shared_parts: tuple[str, ...]
    until: float = float('inf')


class Suspects:
    """Runs that may have crashed an endpoint, by its incarnation.

    A run is one attempt of a request.
    """

    def __init__(self) -> None:
        self._uncleared: dict[Incarnation, dict[quarantine.Run, _Suspect]] = {}
        self._ended: dict[Incarnation, dict[quarantine.Run, _Suspect]] = {}
        self._crashed: dict[Incarnation, float] = {}

    def begin(
        self,
        run: quarantine.Run,
        incarnations: typing.Iterable[Incarnation],
        shared_parts: tuple[str, ...] = (),
    ) -> None:
        """Records that a request is about to be sent to endpoints.

        A request sent to an endpoint that has crashed already is no suspect,
        since it can't be the cause.

        Args:
            run: The attempt.
            incarnations: The endpoints.
            shared_parts: Fingerprints of the parts of its prompt that other
                requests may share.
        """
        for incarnation in set(incarnations) - self._crashed.keys():
            runs = self._uncleared.setdefault(incarnation, {})
            runs[run] = _Suspect(shared_parts)

    def clear(
        self, run: quarantine.Run, incarnations: typing.Iterable[Incarnation]
    ) -> None:
        """Clears a request that endpoints have answered in part or refused.

        An endpoint that answers is evidently live, so its recorded crash is
        dropped.
        """
        for incarnation in incarnations:
            _discard(self._uncleared, incarnation, run)
            self._crashed.pop(incarnation, None)

    def end(
        self,
        run: quarantine.Run,
        incarnations: typing.Iterable[Incarnation],
        now: float,
    ) -> None:
        """Records the end of an attempt; if not cleared, it stays suspect."""
        for incarnation in incarnations:
            suspect = _discard(self._uncleared, incarnation, run)
            if suspect is not None:
                ended = self._ended.setdefault(incarnation, {})
                ended[run] = suspect._replace(until=now + SUSPECT_TTL_S)

    def record_crash(
        self,
        incarnation: Incarnation,
        now: float,
        only_finished_attempts: bool = False,
    ) -> quarantine.Crash | None:
        """Records a crash; returns it, or `None` if it has no suspects.

        Each suspect is returned once, however often the crash is detected.

        Args:
            incarnation: The incarnation of the endpoint that has crashed.
            now: The time.
            only_finished_attempts: Whether to return only ended attempts as
                suspects, and none that still run.
        """
        self._crashed[incarnation] = now + SUSPECT_TTL_S
        suspects = {
            run: suspect
            for run, suspect in self._ended.pop(incarnation, {}).items()
            if suspect.until > now
        }
        if not only_finished_attempts:
            suspects |= self._uncleared.pop(incarnation, {})
        if not suspects:
            return None
        return quarantine.Crash(
            make_crash_id(incarnation),
            frozenset(suspects),
            frozenset(
                quarantine.PartUse(part, run.fingerprint)
                for run, suspect in suspects.items()
                for part in suspect.shared_parts
            ),
        )

    def drop_expired(self, now: float) -> None:
        """Drops ended attempts that no crash has followed in time."""
        self._crashed = {k: t for k, t in self._crashed.items() if t > now}
        for incarnation, runs in list(self._ended.items()):
            for run in [r for r, s in runs.items() if s.until <= now]:
                _discard(self._ended, incarnation, run)

    def __len__(self) -> int:
        return sum(
            len(runs)
            for table in (self._uncleared, self._ended)
            for runs in table.values()
        )


def _discard(
    table: dict[Incarnation, dict[quarantine.Run, _Suspect]],
    incarnation: Incarnation,
    run: quarantine.Run,
) -> _Suspect | None:
    """Removes a run; returns its record, or `None` if it wasn't there."""
    runs = table.get(incarnation)
    suspect = None if runs is None else runs.pop(run, None)
    if not runs and runs is not None:
        del table[incarnation]
    return suspect
