"""One entry host's view of the other entry hosts.

Addresses come from the platform's list, which lags behind. Heartbeats show
which hosts are live and carry their settings versions and leaving marks. The
hosts need not agree on the membership: if a host's view of another is wrong,
it sends a caller to an address that doesn't answer, and the caller tries the
next address.
"""

import random
import typing

from sardinebend_policy import errors

HEARTBEAT_TIMEOUT_S: typing.Final = 3.0
FULL_MESH_SIZE: typing.Final = 8
PEERS_PER_ROUND: typing.Final = 8
MIN_DOMAINS: typing.Final = 2


class Member(typing.NamedTuple):
    """An entry host in the platform's list."""

    host_id: str
    failure_domain: str
    caller_url: str
    peer_address: str


class Heartbeat(typing.NamedTuple):
    """A heartbeat of a host.

    Attributes:
        host_id: Identifier of the sender.
        incarnation: Changes with each start of the sender's process.
        settings_version: Settings version in force at the sender.
        running: Number of requests running at the sender.
        is_leaving: Whether the sender's planned stop has begun.
        is_ready: Whether the sender accepts new requests.
    """

    host_id: str
    incarnation: str
    settings_version: int
    running: int
    is_leaving: bool
    is_ready: bool


class _MemberState:
    """The listing and the last heartbeat of one member."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.heartbeat: Heartbeat | None = None
        self.received_at = float('-inf')
        self.is_listed_leaving = False
        self.leaving_incarnations: set[str] = set()

    @property
    def is_leaving(self) -> bool:
        if self.heartbeat is None:
            return self.is_listed_leaving
        return (
            self.is_listed_leaving
            or self.heartbeat.incarnation in self.leaving_incarnations
        )


class Membership:
    """This host's view of all entry hosts."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.is_leaving = False
        self._states: dict[str, _MemberState] = {}

    def apply_listing(
        self, members: typing.Iterable[tuple[Member, bool]]
    ) -> None:
        """Applies the platform's list of members and their leaving marks."""
        new_states = {}
        for member, leaving in members:
            if member.host_id == self.own.host_id:
                continue
            state = self._states.get(member.host_id)
            if state is None or state.member != member:
                state = _MemberState(member)
            state.is_listed_leaving = leaving
            new_states[member.host_id] = state
        self._states = new_states

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Records a heartbeat.

        A leaving mark remains in force for its incarnation.
        """
        state = self._states.get(heartbeat.host_id)
        if state is None:
            return
        if heartbeat.is_leaving:
            state.leaving_incarnations.add(heartbeat.incarnation)
        state.heartbeat = heartbeat
        state.received_at = now

    def get_member(self, host_id: str) -> Member | None:
        """Returns a member; `None` if the platform doesn't list it."""
        state = self._states.get(host_id)
        return state.member if state else None

    def list_members(self) -> list[Member]:
        """Returns all other members in the platform's list."""
        return [state.member for state in self._states.values()]

    def list_incarnations(self) -> dict[str, str]:
        """Returns the incarnation of each other host; empty if not known."""
        return {
            host_id: state.heartbeat.incarnation if state.heartbeat else ''
            for host_id, state in self._states.items()
        }

    def list_live(self, now: float) -> list[Member]:
        """Returns the other members that sent a heartbeat recently."""
        timeout_s = self._heartbeat_timeout_s()
        return [
            state.member
            for state in self._states.values()
            if now - state.received_at <= timeout_s
        ]

    def highest_version(self) -> int:
        """Returns the highest settings version in the members' heartbeats."""
        return max(
            (
                state.heartbeat.settings_version
                for state in self._states.values()
                if state.heartbeat
            ),
            default=0,
        )

    def _heartbeat_timeout_s(self) -> float:
        """Returns the time without heartbeats after which a member isn't live.

        Beyond the full mesh, a member sends this host a heartbeat only once in
        as many rounds as it takes to select every peer, on average.
        """
        return HEARTBEAT_TIMEOUT_S * max(
            1.0, len(self._states) / PEERS_PER_ROUND
        )

    def sample_peers(self, rng: random.Random) -> list[Member]:
        """Returns the peers that receive this round's heartbeat.

        These are all peers if the fleet has at most `FULL_MESH_SIZE` hosts,
        and otherwise a random sample of fixed size, so that a host's cost
        doesn't grow with the fleet.
        """
        members = self.list_members()
        if len(members) < FULL_MESH_SIZE:
            return members
        return rng.sample(members, PEERS_PER_ROUND)

    def order_addresses(
        self, failure_domain: str, limit: int, now: float, rng: random.Random
    ) -> list[Member]:
        """Returns the members that a caller should try, in order.

        Members in the failure domain come first.

        Args:
            failure_domain: The caller's failure domain, or this host's.
            limit: Maximum number of members.
            now: Current time.
            rng: Distributes callers over equivalent members.
        """
        if limit < 1:
            raise errors.InvalidArgument('limit', limit, '1 or more')
        timeout_s = self._heartbeat_timeout_s()
        members = [
            state.member
            for state in self._states.values()
            if not state.is_leaving
            and now - state.received_at <= timeout_s
            and state.heartbeat is not None
            and state.heartbeat.is_ready
        ]
        if not self.is_leaving:
            members.append(self.own)
        rng.shuffle(members)
        members.sort(key=lambda item: item.failure_domain != failure_domain)
        return _truncate_across_domains(members, limit)


def _truncate_across_domains(members: list[Member], limit: int) -> list[Member]:
    """Truncates a list but keeps two failure domains if it has them."""
    chosen = members[:limit]
    domains = {member.failure_domain for member in chosen}
    if len(domains) >= MIN_DOMAINS or limit < MIN_DOMAINS:
        return chosen
    for member in members[limit:]:
        if member.failure_domain not in domains:
            return [*chosen[:-1], member]
    return chosen
