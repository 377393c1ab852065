"""The entry hosts as one of them sees the others.

Addresses come from the platform's lagging list; life signs, settings versions
and leaving marks come from heartbeats. Nothing here needs agreement: a host
that is wrong about another sends a caller to an address that doesn't answer,
and the caller goes on to the next.
"""

import random
import typing

from sardinebend_policy import errors

DEAD_AFTER_S: typing.Final = 3.0
FULL_MESH_SIZE: typing.Final = 8
PEERS_PER_ROUND: typing.Final = 8
MIN_DOMAINS: typing.Final = 2


class Member(typing.NamedTuple):
    """An entry host as the platform lists it."""

    host_id: str
    failure_domain: str
    caller_url: str
    peer_address: str


class Heartbeat(typing.NamedTuple):
    """A life sign of a host.

    Attributes:
        host_id: The sender.
        incarnation: Changes with each start of the sender's process.
        settings_version: Version in force at the sender.
        running: Requests that the sender runs.
        is_leaving: Whether a planned stop has begun.
        is_ready: Whether it takes new requests.
    """

    host_id: str
    incarnation: str
    settings_version: int
    running: int
    is_leaving: bool
    is_ready: bool


class _Seen:
    """What is known of one member."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.heartbeat: Heartbeat | None = None
        self.heard_at = float('-inf')
        self.listed_leaving = False
        self.left_incarnations: set[str] = set()

    @property
    def is_leaving(self) -> bool:
        if self.heartbeat is None:
            return self.listed_leaving
        return (
            self.listed_leaving
            or self.heartbeat.incarnation in self.left_incarnations
        )


class Membership:
    """This host's view of all entry hosts."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.is_leaving = False
        self._seen: dict[str, _Seen] = {}

    def apply_listing(
        self, members: typing.Iterable[tuple[Member, bool]]
    ) -> None:
        """Takes in the platform's list of members and their leaving marks."""
        fresh = {}
        for member, leaving in members:
            if member.host_id == self.own.host_id:
                continue
            seen = self._seen.get(member.host_id)
            if seen is None or seen.member != member:
                seen = _Seen(member)
            seen.listed_leaving = leaving
            fresh[member.host_id] = seen
        self._seen = fresh

    def take_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Takes in a life sign; a leaving mark sticks to its incarnation."""
        seen = self._seen.get(heartbeat.host_id)
        if seen is None:
            return
        if heartbeat.is_leaving:
            seen.left_incarnations.add(heartbeat.incarnation)
        seen.heartbeat = heartbeat
        seen.heard_at = now

    def get_member(self, host_id: str) -> Member | None:
        """Returns a member's addresses."""
        seen = self._seen.get(host_id)
        return seen.member if seen else None

    def list_members(self) -> list[Member]:
        """Returns all other members that the platform lists."""
        return [seen.member for seen in self._seen.values()]

    def list_alive(self, now: float) -> list[Member]:
        """Returns the other members that were heard of lately."""
        limit_s = self._silence_limit_s()
        return [
            seen.member
            for seen in self._seen.values()
            if now - seen.heard_at <= limit_s
        ]

    def highest_version(self) -> int:
        """Returns the highest settings version that a heartbeat named."""
        return max(
            (
                seen.heartbeat.settings_version
                for seen in self._seen.values()
                if seen.heartbeat
            ),
            default=0,
        )

    def _silence_limit_s(self) -> float:
        """Returns the silence after which a member isn't called alive.

        Beyond the full mesh a member is heard of once in as many rounds as
        it takes to draw everyone.
        """
        return DEAD_AFTER_S * max(1.0, len(self._seen) / PEERS_PER_ROUND)

    def draw_round(self, rng: random.Random) -> list[Member]:
        """Returns the peers of one heartbeat round.

        Everyone up to `FULL_MESH_SIZE` hosts; beyond that a fixed number
        drawn by chance, so that a host's cost doesn't grow with the fleet.
        """
        members = self.list_members()
        if len(members) < FULL_MESH_SIZE:
            return members
        return rng.sample(members, PEERS_PER_ROUND)

    def order_addresses(
        self, failure_domain: str, limit: int, now: float, rng: random.Random
    ) -> list[Member]:
        """Returns the members that a caller should try, best first.

        Args:
            failure_domain: The caller's failure domain, or this host's.
            limit: Largest number of addresses.
            now: The time.
            rng: Spreads callers over equal addresses.
        """
        if limit < 1:
            raise errors.InvalidArgument('limit', limit, '1 or more')
        limit_s = self._silence_limit_s()
        members = [
            seen.member
            for seen in self._seen.values()
            if not seen.is_leaving
            and now - seen.heard_at <= limit_s
            and seen.heartbeat is not None
            and seen.heartbeat.is_ready
        ]
        if not self.is_leaving:
            members.append(self.own)
        rng.shuffle(members)
        members.sort(key=lambda item: item.failure_domain != failure_domain)
        return _spread(members, limit)


def _spread(members: list[Member], limit: int) -> list[Member]:
    """Cuts a list short without falling below two failure domains."""
    chosen = members[:limit]
    domains = {member.failure_domain for member in chosen}
    if len(domains) >= MIN_DOMAINS or limit < MIN_DOMAINS:
        return chosen
    for member in members[limit:]:
        if member.failure_domain not in domains:
            return [*chosen[:-1], member]
    return chosen
