"""Runs the session of one booking: claim row, a single send, outcome.

A booking is any call to a service that must not be repeated. Before it is
sent, a row in the platform's table claims the caller's idempotency key. The
row's nonce identifies the claim: it is unique for the request that made it.
"""

import typing

import result
import trio

from sardinebend_peers import errors as peer_errors
from sardinebend_policy import booking_messages as msg
from sardinebend_policy import bookings
from sardinebend_policy import claims
from sardinebend_policy import errors as policy_errors
from sardinebend_policy import outcomes
from sardinebend_policy import quarantine
from sardinebend_router import claim_recovery
from sardinebend_router import logs
from sardinebend_router import services
from sardinebend_router import session_runner
from sardinebend_router import state as state_lib
from sardinebend_store import documents
from sardinebend_store import errors as platform_errors
from sardinebend_store import store

QueryClaimant = typing.Callable[
    [str, str, str], typing.Awaitable[claims.ClaimantAnswer]
]


# Timers that limit how long a service may be silent.
WAITS: typing.Final = frozenset((msg.Timer('reply'),))


class PlatformStores(typing.NamedTuple):
    """Clients of the platform's table and object stores.

    Attributes:
        table: The table.
        objects: The object store.
        recovery: Tells whether the table has the claims of all hosts.
    """

    table: store.TableStore
    objects: store.ObjectStore
    recovery: claim_recovery.ClaimRecovery


class ServiceCall(typing.NamedTuple):
    """The service that a booking or lookup is sent to, and the call.

    Attributes:
        service: Name of the service, which is not a model engine.
        call: The call.
        connect_s: Longest wait for a connection, in seconds.
    """

    service: str
    call: services.Call
    connect_s: float


class BookingSessionRunner(session_runner.SessionRunner):
    """Performs the actions of one booking's session.

    Attributes:
        outcome: The outcome for the caller; `None` until `has_outcome` is set.
        has_outcome: Set once `outcome` is known.
    """

    def __init__(
        self,
        session: bookings.BookingSession,
        state: state_lib.HostState,
        client: services.ServiceClient,
        platform: PlatformStores,
        query_claimant: QueryClaimant,
        plan: ServiceCall,
    ) -> None:
        super().__init__(session, state.host_clock, WAITS)
        self.outcome: outcomes.Outcome | None = None
        self.has_outcome = trio.Event()
        self._session = session
        self._state = state
        self._client = client
        self._platform = platform
        self._query_claimant = query_claimant
        self._plan = plan
        self._connection: services.ServiceConnection | None = None
        self._endpoint_id = ''
        self._handlers: dict[type, typing.Callable[..., None]] = {
            msg.Connect: self._connect,
            msg.WriteClaim: lambda a: self.start_task(self._write_claim, a),
            msg.Send: lambda a: self._begin_send(),
            msg.CloseConnection: self._close_connection,
            msg.QueryClaimant: lambda a: self.start_task(
                self._ask_other_host, a
            ),
            msg.ReadRow: lambda a: self.start_task(self._read_row),
            msg.WriteOutcome: lambda a: self.start_task(self._write_outcome, a),
            msg.SetClaimState: self._set_claim_state,
            msg.ReplayAnswer: lambda a: self._keep_row_to_replay(a),
            msg.SetTimer: lambda a: self.set_timer(a.timer, a.at),
            msg.End: lambda a: self._set_outcome(a.outcome),
            msg.Done: lambda a: self._finish(),
        }
        self._row_to_replay: claims.ClaimRow | None = None
        self._claim: claims.ClaimRow | None = None

    async def run(self, first_event: msg.Event) -> None:
        """Runs the session to its end, then loads an answer to replay, if any.

        The session may go on after `has_outcome` is set, to record the outcome.
        """
        try:
            await super().run(first_event)
        finally:
            if self._connection is not None:
                await self._connection.close()
        if self._row_to_replay is not None:
            self._set_outcome(await self._load_answer(self._row_to_replay))

    def perform(self, action: msg.Action) -> None:
        """Performs an action without blocking; longer work gets a task."""
        self._handlers[type(action)](action)

    def on_delay(self, delay_s: float) -> None:
        """Counts a delay of the host as no silence of services or hosts."""
        self._session.add_delay(delay_s)

    def make_timer_event(self, timer: msg.Timer) -> msg.Event:
        """Returns the event that a timer posts when it is due."""
        return msg.TimerDue(timer)

    # Connection and call.

    def _connect(self, action: msg.Connect) -> None:
        endpoint_id = services.choose_endpoint(
            self._state.fleet, self._plan.service, action.avoid
        )
        if endpoint_id is None:
            self.post(msg.NoEndpoint())
        else:
            self.start_task(self._open_connection, endpoint_id)

    async def _open_connection(self, endpoint_id: str) -> None:
        try:
            connection = await self._client.connect(
                endpoint_id, self._plan.connect_s
            )
        except platform_errors.ConnectFailed:
            self._state.fleet.mark_unhealthy(endpoint_id, trio.current_time())
            self.post(msg.ConnectFailed(endpoint_id))
            return
        self._connection = connection
        self._endpoint_id = endpoint_id
        self.post(msg.Connected(endpoint_id))

    def _close_connection(self, action: msg.CloseConnection) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self.start_task(connection.close)

    def _begin_send(self) -> None:
        if self._claim is not None:
            self._keep_claim(self._claim)
        self.start_task(self._send)

    async def _send(self) -> None:
        if self._connection is None:
            return
        request_id = self._session.request.request_id
        run = quarantine.Run(request_id, request_id)
        self._state.fleet.begin(self._endpoint_id, run)
        try:
            reply = await self._connection.send(self._plan.call)
        except platform_errors.PlatformError:
            self.post(msg.ReplyLost())
            return
        finally:
            self._state.fleet.finish(self._endpoint_id, run)
        content_type = reply.headers.get('content-type', '')
        self.post(msg.Replied(reply.status, content_type, reply.body))

    # The claim row.

    async def _write_claim(self, action: msg.WriteClaim) -> None:
        self._claim = action.row
        if not self._platform.recovery.is_complete:
            found = await self._read_other_claim()
            if found is not None:
                self.post(found)
                return
            if not await self._platform.recovery.wait_until_complete():
                self.post(msg.TableUnavailable())
                return
        write = store.Write(
            self._session.request.row_key,
            action.expected_version,
            typing.cast(dict, action.row),
        )
        era = self._platform.table.era
        answer = await self._platform.table.transact([write])
        if self._platform.table.era != era:
            # This host may have confirmed the new era without this claim.
            self.post(msg.ClaimUnclear())
            return
        if isinstance(answer, result.Ok):
            self.post(msg.ClaimWritten(answer.ok_value.versions[write.key]))
            return
        error = answer.err_value
        if isinstance(error, platform_errors.Conflict):
            row = error.rows.get(write.key)
            claim = self._read_claim(row) if row else None
            self.post(msg.ClaimConflict(claim, row.version if row else 0))
        elif isinstance(error, platform_errors.Unclear):
            self.post(msg.ClaimUnclear())
        else:
            self.post(msg.TableUnavailable())

    async def _read_other_claim(self) -> msg.ClaimConflict | None:
        """Returns another request's claim of the key, unless it was released.

        No claim that the table may lack changes what it leads to: a replay, or
        a question to its host. A claim may have been lost after a release.
        """
        answer = await self._platform.table.read(self._session.request.row_key)
        row = answer.ok_value if isinstance(answer, result.Ok) else None
        if row is None:
            return None
        claim = self._read_claim(row)
        is_own = claim['nonce'] == self._session.request.nonce
        if is_own or claim['state'] == claims.RowState.RELEASED:
            return None
        return msg.ClaimConflict(claim, row.version)

    def _read_claim(self, row: store.Row) -> claims.ClaimRow:
        """Returns the claim that a row holds.

        A row that another program wrote may stand for a booking that ran, so it
        counts as a claim of unknown outcome.
        """
        try:
            claim = documents.convert(row.value, claims.ClaimRow)
            claims.check_row(claim)
        except (
            platform_errors.MalformedDocument,
            policy_errors.MalformedClaim,
        ) as exc:
            logs.get().warning(
                'claim is malformed', extra={'key': row.key, 'error': str(exc)}
            )
            return {
                'host': '',
                'incarnation': '',
                'nonce': '',
                'digest': self._session.request.digest,
                'state': claims.RowState.UNKNOWN,
            }
        return claim

    async def _read_row(self) -> None:
        answer = await self._platform.table.read(self._session.request.row_key)
        row = answer.ok_value if isinstance(answer, result.Ok) else None
        if row is None:
            self.post(msg.RowRead(None, 0))
        else:
            self.post(msg.RowRead(self._read_claim(row), row.version))

    async def _write_outcome(self, action: msg.WriteOutcome) -> None:
        written = await self._try_write_outcome(action)
        self.post(msg.OutcomeWritten() if written else msg.OutcomeNotWritten())

    async def _try_write_outcome(self, action: msg.WriteOutcome) -> bool:
        """Writes the outcome if the row is still claimed under this nonce.

        Returns:
            True if nothing is left to write: the outcome was written, or the
            row is gone, holds another request's claim, or has an outcome
            already. False if the write has to be tried again.
        """
        key, nonce = self._session.request.row_key, self._session.request.nonce
        if action.state is claims.RowState.RELEASED:
            self._state.claims.drop_row(nonce)
        read = await self._platform.table.read(key)
        if isinstance(read, result.Err):
            return False
        row = read.ok_value
        if (
            row is None
            and self._claim is not None
            and self._state.claims.has_row(nonce)
        ):
            # The table came back from a copy without the claim.
            claim = typing.cast(dict[str, typing.Any], self._claim)
            row = store.Row(key, 0, claim)
        if row is None:
            return True
        found = self._read_claim(row)
        if found['nonce'] != nonce or found['state'] != claims.RowState.CLAIMED:
            return True
        value: dict[str, typing.Any] = {**row.value, 'state': action.state}
        answer = action.answer
        if answer is not None and not await self._put_answer(value, answer):
            return False
        write = store.Write(key, row.version, value)
        if self._state.claims.has_row(nonce):
            self._keep_claim(typing.cast(claims.ClaimRow, value))
        written = await self._platform.table.transact([write])
        return isinstance(written, result.Ok)

    def _keep_claim(self, claim: claims.ClaimRow) -> None:
        key = self._session.request.row_key
        self._state.claims.keep_row(key, claim, trio.current_time())

    async def _put_answer(
        self, value: dict[str, typing.Any], answer: outcomes.Answered
    ) -> bool:
        value['status'] = answer.status
        value['content_type'] = answer.content_type
        is_large = len(answer.body) > claims.MAX_INLINE_BODY_BYTES
        text = None if is_large else _decode_text(answer.body)
        if text is not None:
            value['body'] = text
            return True
        value['object_key'] = f'answers/{self._session.request.nonce}'
        put = await self._platform.objects.put(value['object_key'], answer.body)
        return isinstance(put, result.Ok)

    def _keep_row_to_replay(self, action: msg.ReplayAnswer) -> None:
        self._row_to_replay = action.row

    async def _load_answer(self, row: claims.ClaimRow) -> outcomes.Outcome:
        """Returns a recorded answer; its body may be in the object store."""
        body = row.get('body', '').encode()
        if 'object_key' in row:
            loaded = await self._platform.objects.get(row['object_key'])
            if isinstance(loaded, result.Err) or loaded.ok_value is None:
                reason = outcomes.Reason.TABLE_UNAVAILABLE
                return outcomes.OutcomeUnknown(reason)
            body = loaded.ok_value
        return outcomes.Answered(0, row['status'], row['content_type'], body)

    # Requests to other hosts.

    async def _ask_other_host(self, action: msg.QueryClaimant) -> None:
        try:
            answer = await self._query_claimant(
                action.host, action.incarnation, action.nonce
            )
        except peer_errors.PeerError:
            self.post(msg.ClaimantUnreachable(action.nonce))
            return
        self.post(msg.ClaimantAnswered(action.nonce, answer))

    def _set_claim_state(self, action: msg.SetClaimState) -> None:
        self._state.claims.set_state(
            self._session.request.nonce, action.state, action.answer
        )

    # Outcome and end of the session.

    def _set_outcome(self, outcome: outcomes.Outcome) -> None:
        self.outcome = outcome
        self.has_outcome.set()
        request = self._session.request
        logs.get().info(
            'booking ended',
            extra={
                'request_id': request.request_id,
                'customer': request.customer,
                'endpoint': self._endpoint_id,
                'outcome': type(outcome).__name__,
                'reason': getattr(outcome, 'reason', ''),
            },
        )

    def _finish(self) -> None:
        self.stop()


def _decode_text(body: bytes) -> str | None:
    try:
        return body.decode()
    except UnicodeDecodeError:
        return None
