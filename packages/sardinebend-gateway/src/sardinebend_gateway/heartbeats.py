"""Heartbeats between hosts, sent as datagrams."""

import math
import socket
import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import members as members_lib
from sardinebend_gateway import settings as settings_lib
from sardinebend_gateway import shared_part_evidence
from sardinebend_gateway import shared_quarantine
from sardinebend_gateway import state as state_lib
from sardinebend_peers import codec
from sardinebend_peers import errors as peer_errors
from sardinebend_peers import messages
from sardinebend_policy import errors as policy_errors
from sardinebend_policy import inflight as inflight_lib
from sardinebend_policy import quarantine
from sardinebend_policy import slowness

MAX_DATAGRAM_BYTES: typing.Final = 65536
# More loads would make a datagram that networks fragment.
MAX_REPORTED_LOADS: typing.Final = 40
# The field has 32 bits.
MAX_CROSSING_TOKENS: typing.Final = 2**31 - 1
# More limits would also make it too long; others are sent next time.
MAX_REPORTED_LIMITS: typing.Final = 12
# Statements on slow engines take some 16 bytes each.
MAX_REPORTED_SLOWNESS: typing.Final = 16
MAX_SLOWNESS_AGE_MS: typing.Final = int(slowness.MAX_AGE_S * 1000)
# Shortest time between heartbeats, however much there is to report.
MIN_INTERVAL_S: typing.Final = 0.05
# Datagrams that are applied before another task of the host runs. A host whose
# passes take 0.3 s gets some ten in each from a fleet that isn't large.
MAX_AT_A_TIME: typing.Final = 64


class Heartbeats:
    """Sends this host's heartbeats and applies those of other hosts."""

    def __init__(
        self,
        state: state_lib.State,
        members: members_lib.Members,
        shared: shared_quarantine.SharedQuarantine,
        shared_evidence: shared_part_evidence.SharedPartEvidence,
        address: settings_lib.Address,
        incarnation: str,
    ) -> None:
        self._state = state
        self._members = members
        self._quarantine = shared
        self._shared_evidence = shared_evidence
        self._address = address
        self._incarnation = incarnation

    async def run(self) -> None:
        """Runs until cancelled."""
        # Only this one can be read without waiting; both are one socket.
        waiting = socket.socket(type=socket.SOCK_DGRAM)
        with trio.socket.from_stdlib_socket(waiting) as sock:
            await sock.bind((self._address.ip, self._address.port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, waiting)
                nursery.start_soon(self._send, sock)

    async def _send(self, sock: trio.socket.SocketType) -> None:
        liveness = self._members.liveness
        while True:
            peers = self._members.peers()
            self._members.refresh_live_peers()
            self._quarantine.take_news()
            data = self._encode()
            now = clocks.now()
            self._state.drop_expired_limits()
            self._state.leaving.drop_expired(now)
            self._state.unreachable.drop_expired(now)
            self._state.peer_reports.drop_expired(now)
            for name in liveness.choose_peers(sorted(peers)):
                address = settings_lib.Address.parse(peers[name]['beats'])
                try:
                    await sock.sendto(data, (address.ip, address.port))
                except OSError as exc:
                    # The host or the route to it is down. No further action:
                    # missing heartbeats already show that.
                    self._state.metrics.count(
                        'beats_unsent', reason=type(exc).__name__
                    )
            await trio.sleep(MIN_INTERVAL_S)
            interval_s = liveness.heartbeat_interval_s(len(peers))
            with trio.move_on_after(interval_s - MIN_INTERVAL_S):
                await self._quarantine.has_news.wait()

    def _encode(self) -> bytes:
        now = clocks.now()
        inflight = self._state.inflight
        largest = sorted(
            inflight.token_layers, key=inflight.token_layers.__getitem__
        )[-MAX_REPORTED_LOADS:]
        statements = self._state.endpoint_limits.statements_to_send(now)
        if len(statements) > MAX_REPORTED_LIMITS:
            statements = self._state.rng.sample(statements, MAX_REPORTED_LIMITS)
        heartbeat = messages.LoadHeartbeat(
            self._state.cfg.name,
            self._incarnation,
            self._state.is_stopping,
            tuple(
                messages.EndpointLoad(
                    name,
                    inflight.requests.get(name, 0),
                    inflight.token_layers[name],
                    inflight.reading_token_layers.get(name, 0),
                    inflight.first_requests.get(name, 0),
                )
                for name in largest
            ),
            self._members.liveness.digest(now, len(self._members.peers())),
            min(MAX_CROSSING_TOKENS, int(inflight.crossings.read(now))),
            tuple(
                messages.CrashReport(crash.crash_id, crash.runs)
                for crash in self._quarantine.recent()
            ),
            tuple(
                messages.EndpointStart(*incarnation)
                for incarnation in self._state.leaving.recent(now)
            ),
            tuple(
                messages.EndpointStart(*incarnation)
                for incarnation in self._state.unreachable.recent(now)
            ),
            self._shared_evidence.crashes_to_send(),
            self._shared_evidence.objections_to_send(),
            tuple(
                messages.Verdict(fingerprint, int(left_s * 1000))
                for fingerprint, left_s in self._quarantine.verdicts_to_send()
            ),
            tuple(
                messages.EndpointLimit(
                    *s.incarnation,
                    s.rate_per_s,
                    # Rounded up, so that no statement seems newer than it is.
                    math.ceil((now - s.stated_at) * 1000),
                )
                for s in statements
            ),
            self._state.shares.report(),
            self._make_slowness(now),
        )
        return codec.encode(codec.Envelope(0, False, heartbeat))

    def _make_slowness(
        self, now: float
    ) -> tuple[messages.EndpointSlowness, ...]:
        """Returns some of what is known of slow engines."""
        known = self._state.slowness.statements_to_send(
            now, MAX_REPORTED_SLOWNESS, self._state.rng
        )
        return tuple(
            messages.EndpointSlowness(
                s.endpoint_id,
                round(s.factor * 100),
                math.ceil((now - s.at) * 1000),
                s.number,
            )
            for s in known
        )

    def _apply_slowness(
        self, slow: messages.EndpointSlowness, now: float
    ) -> None:
        if slow.age_ms <= MAX_SLOWNESS_AGE_MS:
            self._state.record_peer_slowness(
                slowness.Statement(
                    slow.endpoint_id,
                    slow.percent / 100,
                    now - slow.age_ms / 1000,
                    slow.number,
                )
            )

    async def _receive(self, sock: socket.socket) -> None:
        while True:
            await trio.lowlevel.wait_readable(sock)
            # One for each pass through all tasks would let them pile up at a
            # host that is late, which would then apply what is long outdated.
            for _ in range(MAX_AT_A_TIME):
                try:
                    data = sock.recv(MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError as exc:
                    # An earlier datagram was sent to a closed port.
                    self._state.metrics.count(
                        'beats_refused', reason=type(exc).__name__
                    )
                    continue
                self._take(data)

    def _take(self, data: bytes) -> None:
        """Applies a datagram if it is a heartbeat; logs one that isn't."""
        try:
            message = codec.decode(data).message
        except peer_errors.MalformedFrame as exc:
            self._state.audit.log(
                events.ENTRY_SKIPPED, table='beats', key='', reason=str(exc)
            )
            return
        if isinstance(message, messages.LoadHeartbeat):
            self._apply(message)

    def _apply(self, heartbeat: messages.LoadHeartbeat) -> None:
        now = clocks.now()
        if heartbeat.host == self._state.cfg.name:
            return
        self._members.record_heartbeat(heartbeat)
        if heartbeat.is_leaving:
            self._members.mark_leaving(heartbeat.host, heartbeat.incarnation)
        for start in heartbeat.leaving:
            incarnation = (start.endpoint_id, start.born)
            self._state.mark_leaving(incarnation, 'another host')
        for start in heartbeat.unreachable:
            incarnation = (start.endpoint_id, start.born)
            self._state.record_peer_report(incarnation, heartbeat.host)
        for notice in heartbeat.crashes:
            self._quarantine.record(quarantine.Crash(*notice))
        self._shared_evidence.apply_reports(heartbeat)
        for verdict in heartbeat.verdicts:
            self._quarantine.apply_verdict(
                verdict.fingerprint, verdict.left_ms / 1000
            )
        for limit in heartbeat.limits:
            incarnation = (limit.endpoint_id, limit.born)
            self._state.record_peer_limit(
                incarnation, limit.rate_per_s, limit.age_ms
            )
        for slow in heartbeat.slowness:
            self._apply_slowness(slow, now)
        self._state.inflight.record_peer_counts(
            heartbeat.host,
            inflight_lib.PeerCounts(
                now,
                {load.endpoint_id: load.requests for load in heartbeat.loads},
                {
                    load.endpoint_id: load.token_layers
                    for load in heartbeat.loads
                },
                heartbeat.crossing_tokens,
                {
                    load.endpoint_id: load.reading_token_layers
                    for load in heartbeat.loads
                    if load.reading_token_layers > 0
                },
                {
                    load.endpoint_id: load.first_requests
                    for load in heartbeat.loads
                    if load.first_requests > 0
                },
            ),
        )
        self._record_shares(heartbeat, now)

    def _record_shares(
        self, heartbeat: messages.LoadHeartbeat, now: float
    ) -> None:
        """Records a peer's shares; logs ones that can't be right."""
        try:
            self._state.shares.record_peer(
                heartbeat.host, heartbeat.shares, now
            )
        except policy_errors.InvalidArgument as exc:
            self._state.audit.log(
                events.ENTRY_SKIPPED,
                table='shares',
                key=heartbeat.host,
                reason=str(exc),
            )
