"""Determines which hosts are live, from direct and relayed heartbeats.

Heartbeats are relayed with their age, a duration on the clock of the host that
received them, so that clocks of different hosts are never compared. Relayed
heartbeats let a host of a large fleet monitor all others while it receives
heartbeats directly from only a few of them.

A host uses two clocks. It measures the silence of others by one that stands
still while it is held up itself. The ages that it relays are of real time: too
low an age would make other hosts take a failed one for live.
"""

import random
import struct
import typing
import zlib

# Interval between heartbeats and the maximum number of peers that each one is
# sent to. A fleet with more peers is large and uses the `LARGE_` values.
HEARTBEAT_INTERVAL_S: typing.Final = 0.25
HEARTBEAT_PEERS: typing.Final = 8
LARGE_HEARTBEAT_INTERVAL_S: typing.Final = 0.5
LARGE_HEARTBEAT_PEERS: typing.Final = 2
# Heartbeats relayed in one datagram, and how many of those are the most recent
# ones: with five bytes each, four datagrams a second stay under 2 KB/s.
DIGEST_ITEMS: typing.Final = 90
DIGEST_RECENT_ITEMS: typing.Final = 45
# Silence after which a host is considered failed. Heartbeats are datagrams and
# may be lost, but four lost in a row are unlikely.
FAILURE_TIMEOUT_S: typing.Final = 1.2
# The same in a large fleet. While one datagram can list every host, a heartbeat
# reaches all hosts in a few rounds. In larger fleets each datagram lists only
# some of the hosts, so each additional host lengthens the time until a
# heartbeat has reached all of them; `TIMEOUT_PER_HOST_S` allows for this.
LARGE_FAILURE_TIMEOUT_S: typing.Final = 3.5
TIMEOUT_PER_HOST_S: typing.Final = 1 / 20

# Hash of an incarnation and the age of its heartbeat in tenths of a second.
_ITEM: typing.Final = struct.Struct('>IB')
_AGE_UNIT_S: typing.Final = 0.1
_MAX_AGE_UNITS: typing.Final = 255


def hash_incarnation(name: str, incarnation: str) -> int:
    """Returns a hash that identifies one incarnation of a host."""
    return zlib.crc32(f'{name} {incarnation}'.encode())


class Liveness:
    """Latest heartbeats of the other hosts, by hash of their incarnation.

    The parameter `peers` is the number of other hosts in the fleet.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._heartbeat_at: dict[int, float] = {}
        # The latest times at which they were sent, by real time.
        self._sent_at: dict[int, float] = {}
        self._first_checked_at: dict[int, float] = {}

    def is_large(self, peers: int) -> bool:
        """Returns whether a fleet is too large for heartbeats to every peer."""
        return peers > HEARTBEAT_PEERS

    def heartbeat_interval_s(self, peers: int) -> float:
        """Returns the interval between heartbeats."""
        return (
            LARGE_HEARTBEAT_INTERVAL_S
            if self.is_large(peers)
            else HEARTBEAT_INTERVAL_S
        )

    def failure_timeout_s(self, peers: int) -> float:
        """Returns the silence after which a host is considered failed."""
        if not self.is_large(peers):
            return FAILURE_TIMEOUT_S
        return LARGE_FAILURE_TIMEOUT_S + TIMEOUT_PER_HOST_S * max(
            0, peers - DIGEST_ITEMS
        )

    def choose_peers(self, names: typing.Sequence[str]) -> list[str]:
        """Returns the peers that the next heartbeat is sent to."""
        if not self.is_large(len(names)):
            return list(names)
        return self._rng.sample(names, LARGE_HEARTBEAT_PEERS)

    def record_heartbeat(
        self, incarnation_hash: int, at: float, sent_at: float | None = None
    ) -> None:
        """Records a heartbeat of an incarnation.

        Args:
            incarnation_hash: Hash of the incarnation.
            at: When it was received, by the clock of `is_live`.
            sent_at: When it was sent, at the earliest, by the clock of
                `digest`; `None` if it equals `at`.
        """
        _advance(self._heartbeat_at, incarnation_hash, at)
        _advance(
            self._sent_at, incarnation_hash, at if sent_at is None else sent_at
        )

    def digest(self, now: float, peers: int) -> bytes:
        """Returns an encoded selection of recent heartbeats to relay.

        Args:
            now: The real time, in seconds.
            peers: Number of other hosts in the fleet.
        """
        if not self.is_large(peers):
            return b''
        limit = now - self.failure_timeout_s(peers)
        live = [item for item in self._sent_at.items() if item[1] > limit]
        if len(live) > DIGEST_ITEMS:
            # The most recent ones, then a random choice of the others, so that
            # each of them is relayed at some time.
            live.sort(key=lambda item: -item[1])
            rest = self._rng.sample(
                live[DIGEST_RECENT_ITEMS:], DIGEST_ITEMS - DIGEST_RECENT_ITEMS
            )
            live = live[:DIGEST_RECENT_ITEMS] + rest
        return b''.join(
            _ITEM.pack(
                incarnation_hash,
                min(_MAX_AGE_UNITS, int((now - at) / _AGE_UNIT_S) + 1),
            )
            for incarnation_hash, at in live
        )

    def apply_digest(
        self, digest: bytes, now: float, sent_at: float | None = None
    ) -> None:
        """Records relayed heartbeats; a truncated last item is ignored.

        Args:
            digest: The encoded heartbeats.
            now: The time, by the clock of `is_live`.
            sent_at: When the digest was sent, at the earliest, by the clock of
                `digest`; `None` if it equals `now`.
        """
        sent_at = now if sent_at is None else sent_at
        complete = len(digest) - len(digest) % _ITEM.size
        for incarnation_hash, age in _ITEM.iter_unpack(digest[:complete]):
            age_s = age * _AGE_UNIT_S
            self.record_heartbeat(
                incarnation_hash, now - age_s, sent_at - age_s
            )

    def is_live(
        self, name: str, incarnation: str, now: float, peers: int
    ) -> bool:
        """Returns whether a listed incarnation of a host is considered live.

        An incarnation without any heartbeat counts as live until the failure
        timeout has passed since it was first checked.
        """
        incarnation_hash = hash_incarnation(name, incarnation)
        since = self._first_checked_at.setdefault(incarnation_hash, now)
        last = max(since, self._heartbeat_at.get(incarnation_hash, since))
        return now - last < self.failure_timeout_s(peers)

    def forget(self, listed: typing.Collection[int], now: float) -> None:
        """Drops unlisted incarnations; their heartbeats only once outdated.

        Args:
            listed: Hashes of the listed incarnations.
            now: The time, by the clock of `digest`.
        """
        for incarnation_hash in set(self._first_checked_at) - set(listed):
            del self._first_checked_at[incarnation_hash]
        for incarnation_hash, at in list(self._sent_at.items()):
            if (
                incarnation_hash not in listed
                and now - at > _MAX_AGE_UNITS * _AGE_UNIT_S
            ):
                del self._sent_at[incarnation_hash]
                del self._heartbeat_at[incarnation_hash]


def _advance(times: dict[int, float], incarnation_hash: int, at: float) -> None:
    if at > times.get(incarnation_hash, float('-inf')):
        times[incarnation_hash] = at
