"""Calls between entry hosts: heartbeats, claims, settings and reports."""

import ssl
import typing

import trio

from sardinebend_peers import errors as peer_errors
from sardinebend_peers import links
from sardinebend_peers import messages
from sardinebend_policy import claims
from sardinebend_policy import membership
from sardinebend_policy import quarantine
from sardinebend_router import logs
from sardinebend_router import state as state_lib
from sardinebend_settings import errors as settings_errors
from sardinebend_store import errors as platform_errors

HEARTBEAT_S: typing.Final = 1.0
CALL_TIMEOUT_S: typing.Final = 1.0
SETTINGS_TIMEOUT_S: typing.Final = 5.0
# How often a report is sent to a peer that doesn't answer it, and the pause
# before it is sent again.
MAX_REPORTS: typing.Final = 3
REPORT_PAUSE_S: typing.Final = 0.1


class Peering:
    """Calls the other hosts and answers their calls."""

    def __init__(
        self,
        state: state_lib.HostState,
        secret: bytes,
        nursery: trio.Nursery,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._state = state
        self._secret = secret
        self._nursery = nursery
        self._tls = tls
        self._links: dict[str, links.PeerLink] = {}
        self._handlers: dict[type, typing.Callable[..., messages.Message]] = {
            messages.MembershipHeartbeat: self._on_heartbeat,
            messages.ClaimQuestion: self._on_claim_question,
            messages.CrashReports: self._on_crashes,
            messages.LeavingNotice: self._on_leaving,
            messages.SettingsQuestion: self._on_settings_question,
            messages.SettingsReply: self._on_settings,
        }

    # Answers.

    async def answer(self, message: messages.Message) -> messages.Message:
        """Answers a call of another host."""
        handler = self._handlers.get(type(message))
        return handler(message) if handler else messages.Ack()

    def _on_heartbeat(
        self, message: messages.MembershipHeartbeat
    ) -> messages.Message:
        self._record_heartbeat(message.heartbeat)
        return messages.MembershipHeartbeat(self.make_heartbeat())

    def _on_claim_question(
        self, message: messages.ClaimQuestion
    ) -> messages.Message:
        if message.incarnation != self._state.incarnation:
            unknown = claims.ClaimantAnswer(claims.ClaimantState.UNKNOWN)
            return messages.ClaimReply(unknown)
        return messages.ClaimReply(self._state.claims.describe(message.nonce))

    def _on_crashes(self, message: messages.CrashReports) -> messages.Message:
        now = trio.current_time()
        for notice in message.crashes:
            crash = quarantine.Crash(notice.crash_id, notice.runs)
            self._state.drafts.quarantine.record_crash(crash, now)
        return messages.Ack()

    def _on_leaving(self, message: messages.LeavingNotice) -> messages.Message:
        self._state.fleet.mark_leaving(message.endpoint_id, message.incarnation)
        return messages.Ack()

    def _on_settings_question(
        self, message: messages.SettingsQuestion
    ) -> messages.Message:
        return self._state.settings.make_reply(message.have_version)

    def _on_settings(self, message: messages.SettingsReply) -> messages.Message:
        """Applies settings that a peer pushed; see `push_settings`.

        A `SettingsReply` answers a `SettingsQuestion`, and is also sent unasked
        when an operator has changed the settings at the peer.
        """
        self._apply_settings(message)
        return messages.MembershipHeartbeat(self.make_heartbeat())

    def _apply_settings(self, reply: messages.SettingsReply) -> bool:
        try:
            return self._state.settings.apply_reply(reply)
        except (
            settings_errors.SettingsError,
            platform_errors.MalformedDocument,
        ) as exc:
            # The settings may come from a newer release and use keys that this
            # one doesn't know. The host stays at its version, which each of its
            # heartbeats reports.
            logs.get().error(
                'settings from a peer are refused',
                extra={'version': reply.version, 'error': str(exc)},
            )
            return False

    # Calls.

    def make_heartbeat(self) -> membership.Heartbeat:
        """Returns a heartbeat with this host's current state."""
        return membership.Heartbeat(
            self._state.own.host_id,
            self._state.incarnation,
            self._state.settings.tree.version,
            len(self._state.in_flight),
            self._state.is_draining,
            self._state.is_ready,
        )

    async def run_heartbeats(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            await self.send_heartbeats()
            await trio.sleep(HEARTBEAT_S)

    async def send_heartbeats(self) -> None:
        """Sends one round of heartbeats."""
        members = self._state.membership.sample_peers(self._state.rng)
        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(self._send_heartbeat, member)

    async def _send_heartbeat(self, member: membership.Member) -> None:
        beat = messages.MembershipHeartbeat(self.make_heartbeat())
        reply = await self._try_call(member, beat, CALL_TIMEOUT_S)
        if not isinstance(reply, messages.MembershipHeartbeat):
            return
        self._record_heartbeat(reply.heartbeat)
        if reply.heartbeat.settings_version > self._state.settings.tree.version:
            await self.fetch_settings(member)

    async def fetch_settings(self, member: membership.Member) -> None:
        """Fetches and applies a peer's settings.

        Asks for the changes since the version in force first, and for the
        whole tree if those can't be applied.
        """
        for known_version in (self._state.settings.tree.version, 0):
            reply = await self._try_call(
                member,
                messages.SettingsQuestion(known_version),
                SETTINGS_TIMEOUT_S,
            )
            if not isinstance(reply, messages.SettingsReply):
                return
            if self._apply_settings(reply):
                return

    async def push_settings(
        self, known_version: int, version: int
    ) -> list[str]:
        """Sends the settings in force here to all peers.

        Args:
            known_version: Version that the peers are likely to have.
            version: Version that the peers are to confirm.

        Returns:
            The hosts that have that version or a newer one, sorted.
        """
        reply = self._state.settings.make_reply(known_version)
        confirmed = []
        if self._state.settings.tree.version >= version:
            confirmed.append(self._state.own.host_id)

        async def push(member: membership.Member) -> None:
            answer = await self._try_call(member, reply, CALL_TIMEOUT_S)
            if not isinstance(answer, messages.MembershipHeartbeat):
                return
            self._record_heartbeat(answer.heartbeat)
            if answer.heartbeat.settings_version >= version:
                confirmed.append(member.host_id)

        async with trio.open_nursery() as nursery:
            for member in self._state.membership.list_members():
                nursery.start_soon(push, member)
        return sorted(confirmed)

    async def query_claimant(
        self, host_id: str, incarnation: str, nonce: str
    ) -> claims.ClaimantAnswer:
        """Returns the state of a claim, as the host that holds it reports it.

        Raises:
            sardinebend_peers.errors.PeerUnreachable: The host did not answer.
        """
        if incarnation == self._state.incarnation:
            return self._state.claims.describe(nonce)
        member = self._state.membership.get_member(host_id)
        if member is None:
            raise peer_errors.PeerUnreachable(f'{host_id} is not listed')
        question = messages.ClaimQuestion(incarnation, nonce)
        reply = await self._link(member).call(question, CALL_TIMEOUT_S)
        if not isinstance(reply, messages.ClaimReply):
            raise peer_errors.PeerUnreachable(f'{host_id} gave no answer')
        return reply.answer

    async def report_crashes(
        self, crashes: tuple[quarantine.Crash, ...]
    ) -> None:
        """Reports crashes to all live peers and waits for their answers.

        The calls run in the host's nursery, so they continue if the waiting
        request ends first. This matters most if that request was refused, as
        its caller may retry it at one of the peers.
        """
        notices = messages.CrashReports(
            tuple(
                messages.CrashReport(crash.crash_id, crash.runs)
                for crash in crashes
            )
        )
        done = trio.Event()
        self._nursery.start_soon(self._call_live_peers, notices, done)
        await done.wait()

    async def report_leaving(self, endpoint_id: str, incarnation: str) -> None:
        """Reports to all live peers that an endpoint is leaving."""
        notice = messages.LeavingNotice(endpoint_id, incarnation)
        await self._call_live_peers(notice, trio.Event())

    async def _call_live_peers(
        self, message: messages.Message, done: trio.Event
    ) -> None:
        now = self._state.host_clock.now()
        async with trio.open_nursery() as nursery:
            for member in self._state.membership.list_live(now):
                nursery.start_soon(self._report, member, message)
        done.set()

    async def _report(
        self, member: membership.Member, message: messages.Message
    ) -> None:
        """Sends a report until the peer answers, a few times at most.

        A link that another call closes, such as a heartbeat that timed out,
        takes the report with it. All sends together take as long as one may.
        """
        clock = self._state.host_clock
        deadline = clock.now() + CALL_TIMEOUT_S
        for _ in range(MAX_REPORTS):
            left_s = deadline - clock.now()
            if left_s <= 0:
                return
            reply = await self._try_call(member, message, left_s)
            if reply is not None:
                return
            await trio.sleep(REPORT_PAUSE_S)

    async def close(self) -> None:
        """Closes all links."""
        for link in self._links.values():
            await link.close()

    async def _try_call(
        self,
        member: membership.Member,
        message: messages.Message,
        timeout_s: float,
    ) -> messages.Message | None:
        try:
            return await self._link(member).call(message, timeout_s)
        except peer_errors.PeerError:
            self._state.metrics.count('peer_calls_failed', peer=member.host_id)
            return None

    def _link(self, member: membership.Member) -> links.PeerLink:
        address = member.peer_address
        link = self._links.get(address)
        if link is None:
            link = links.PeerLink(
                address,
                self._secret,
                self._nursery,
                self._tls,
                self._state.host_clock.fail_after,
            )
            self._links[address] = link
        return link

    def _record_heartbeat(self, heartbeat: membership.Heartbeat) -> None:
        now = self._state.host_clock.now()
        self._state.membership.record_heartbeat(heartbeat, now)
        self._state.peer_heard_at = trio.current_time()
