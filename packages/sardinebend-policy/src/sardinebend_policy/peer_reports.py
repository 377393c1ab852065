"""Peer reports of endpoints that other hosts can't reach.

A host that is partitioned from the network reports every endpoint as
unreachable, so peer reports make an endpoint unhealthy only if several hosts
agree.
"""

import typing

# Hosts that must report an endpoint before it is taken to be unreachable.
MIN_REPORTERS: typing.Final = 2
# Age from which a report no longer counts.
REPORT_TTL_S: typing.Final = 4.0

Incarnation = tuple[str, int]


class PeerReports:
    """Latest peer reports of unreachable endpoints, by incarnation."""

    def __init__(self) -> None:
        self._reports: dict[Incarnation, dict[str, float]] = {}

    def record(
        self,
        incarnation: Incarnation,
        host: str,
        now: float,
        age_s: float = 0.0,
    ) -> bool:
        """Records a report; returns whether enough hosts now agree.

        Args:
            incarnation: The endpoint.
            host: The host that reports it.
            now: The time.
            age_s: Time since the report was sent, at most.
        """
        by_host = self._reports.setdefault(incarnation, {})
        by_host[host] = max(now - age_s, by_host.get(host, float('-inf')))
        fresh = sum(now - at < REPORT_TTL_S for at in by_host.values())
        return fresh >= MIN_REPORTERS

    def drop_expired(self, now: float) -> None:
        """Drops incarnations whose reports have all expired."""
        for incarnation, by_host in list(self._reports.items()):
            if all(now - at >= REPORT_TTL_S for at in by_host.values()):
                del self._reports[incarnation]
