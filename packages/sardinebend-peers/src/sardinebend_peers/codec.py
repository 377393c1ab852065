"""Encodes messages as thrift frames and decodes them."""

import math
import pathlib
import typing

import thriftpy2
from thriftpy2 import utils as thrift_utils
from thriftpy2.protocol import compact
from thriftpy2.transport import memory

from sardinebend_peers import compression
from sardinebend_peers import errors
from sardinebend_peers import messages
from sardinebend_policy import claims
from sardinebend_policy import fleet_shares
from sardinebend_policy import membership
from sardinebend_policy import outcomes
from sardinebend_policy import part_evidence
from sardinebend_policy import quarantine

MAX_FRAME_BYTES: typing.Final = 16 * 1024 * 1024

_IDL = thriftpy2.load(
    str(pathlib.Path(__file__).with_name('peers.thrift')),
    module_name='sardinebend_peers_thrift',
)
_PROTOCOL = compact.TCompactProtocolFactory()


class _BoundedProtocol(compact.TCompactProtocol):
    """Rejects collection sizes that are larger than the frame.

    The library trusts the size that precedes a list, and would try to read
    two thousand million elements from a frame of thirty bytes.
    """

    def __init__(self, transport: typing.Any, limit: int) -> None:
        super().__init__(transport)
        self._limit = limit

    def _read_size(self) -> int:
        size = super()._read_size()
        if size > self._limit:
            raise errors.MalformedFrame(f'a size of {size} exceeds the frame')
        return size


class Envelope(typing.NamedTuple):
    """A message with the number that matches a reply to its call."""

    call_id: int
    is_reply: bool
    message: messages.Message


def encode(envelope: Envelope) -> bytes:
    """Returns the bytes of one frame, without the length prefix."""
    frame = _IDL.Frame(call_id=envelope.call_id, is_reply=envelope.is_reply)
    _ENCODERS[type(envelope.message)](frame, envelope.message)
    return thrift_utils.serialize(frame, _PROTOCOL)


def decode(data: bytes) -> Envelope:
    """Returns the envelope decoded from a frame.

    Raises:
        errors.MalformedFrame: The bytes aren't a valid frame.
    """
    try:
        frame = _IDL.Frame()
        buffer = memory.TMemoryBuffer(data)
        _BoundedProtocol(buffer, len(data)).read_struct(frame)
        return Envelope(
            _check_type(frame.call_id, int),
            _check_type(frame.is_reply, bool),
            _decode_message(frame),
        )
    # Malformed bytes make the library raise EOFError, struct.error,
    # UnicodeDecodeError, MemoryError and others, without a common base.
    except Exception as exc:
        raise errors.MalformedFrame(f'{type(exc).__name__}: {exc}') from exc


def _check_type(value: typing.Any, expected_type: type) -> typing.Any:
    if not isinstance(value, expected_type):
        raise errors.MalformedFrame(
            f'{value!r} is not of type {expected_type.__name__}'
        )
    return value


def _encode_membership_heartbeat(
    frame: typing.Any, message: messages.MembershipHeartbeat
) -> None:
    frame.heartbeat = _IDL.Heartbeat(**message.heartbeat._asdict())


def _encode_claim_question(
    frame: typing.Any, message: messages.ClaimQuestion
) -> None:
    frame.claim_question = _IDL.ClaimQuestion(**message._asdict())


def _encode_claim_reply(
    frame: typing.Any, message: messages.ClaimReply
) -> None:
    reply = _IDL.ClaimReply(state=message.answer.state.value)
    outcome = message.answer.answer
    if outcome is not None:
        reply.status = outcome.status
        reply.content_type = outcome.content_type
        reply.body = outcome.body
    frame.claim_reply = reply


def _encode_crashes(frame: typing.Any, message: messages.CrashReports) -> None:
    frame.crashes = _make_crash_notices(message.crashes)


def _make_crash_notices(
    crashes: typing.Iterable[messages.CrashReport],
) -> list[typing.Any]:
    return [
        _IDL.CrashNotice(
            crash_id=crash.crash_id,
            runs=[_IDL.Run(**run._asdict()) for run in sorted(crash.runs)],
        )
        for crash in crashes
    ]


def _encode_leaving_notice(
    frame: typing.Any, message: messages.LeavingNotice
) -> None:
    frame.leaving = _IDL.LeavingNotice(**message._asdict())


def _encode_settings_question(
    frame: typing.Any, message: messages.SettingsQuestion
) -> None:
    frame.settings_question = _IDL.SettingsQuestion(**message._asdict())


def _encode_settings_reply(
    frame: typing.Any, message: messages.SettingsReply
) -> None:
    frame.settings_reply = _IDL.SettingsReply(**message._asdict())


def _encode_load_heartbeat(
    frame: typing.Any, message: messages.LoadHeartbeat
) -> None:
    frame.host_beat = _IDL.HostBeat(
        host=message.host,
        incarnation=message.incarnation,
        is_leaving=message.is_leaving,
        loads=[
            _IDL.EndpointLoad(
                load.endpoint_id,
                load.requests,
                load.token_layers,
                # Left out if 0: heartbeats have to be small.
                load.reading_token_layers or None,
                load.first_requests or None,
            )
            for load in message.loads
        ],
        heard=message.heard,
        crossing_tokens=message.crossing_tokens,
        crashes=_make_crash_notices(message.crashes),
        leaving=_make_endpoint_starts(message.leaving),
        unreachable=_make_endpoint_starts(message.unreachable),
        part_crashes=[
            _IDL.PartCrash(**report.crash._asdict(), age_ms=report.age_ms)
            for report in message.part_crashes
        ],
        parts_served=[
            _IDL.PartServed(**served._asdict())
            for served in message.parts_served
        ],
        verdicts=[
            _IDL.Verdict(**verdict._asdict()) for verdict in message.verdicts
        ],
        limits=[
            _IDL.EndpointLimit(**limit._asdict()) for limit in message.limits
        ],
        shares=None
        if message.shares is None
        else [_make_shares(shares) for shares in message.shares],
        slowness=[
            _IDL.EndpointSlowness(**slow._asdict()) for slow in message.slowness
        ],
    )


def _make_shares(shares: fleet_shares.ServiceShares) -> typing.Any:
    return _IDL.ServiceShares(
        name_hash=shares.service,
        ranks=[n for rank, use in shares.ranks for n in (rank, *use)],
        customers=[n for name, use in shares.customers for n in (name, *use)],
    )


def _make_endpoint_starts(
    starts: typing.Iterable[messages.EndpointStart],
) -> list[typing.Any]:
    return [_IDL.EndpointStart(**start._asdict()) for start in starts]


def _encode_feed_question(
    frame: typing.Any, message: messages.FeedQuestion
) -> None:
    frame.feed_question = _IDL.FeedQuestion(**message._asdict())


def _encode_feed_reply(frame: typing.Any, message: messages.FeedReply) -> None:
    frame.feed_reply = _IDL.FeedReply(
        version=message.version,
        age_ms=message.age_ms,
        is_whole=message.is_whole,
        rows=[_IDL.FeedRow(**row._asdict()) for row in message.rows],
        waited_ms=message.waited_ms,
        regained_ms=message.regained_ms,
        era=message.era,
        catalog_version=message.catalog_version,
    )


def _encode_ack(frame: typing.Any, message: messages.Ack) -> None:
    """Sets no field; a frame without a message is decoded as an `Ack`."""


_ENCODERS: typing.Final[dict[type, typing.Callable]] = {
    messages.MembershipHeartbeat: _encode_membership_heartbeat,
    messages.ClaimQuestion: _encode_claim_question,
    messages.ClaimReply: _encode_claim_reply,
    messages.CrashReports: _encode_crashes,
    messages.LeavingNotice: _encode_leaving_notice,
    messages.SettingsQuestion: _encode_settings_question,
    messages.SettingsReply: _encode_settings_reply,
    messages.LoadHeartbeat: _encode_load_heartbeat,
    messages.FeedQuestion: _encode_feed_question,
    messages.FeedReply: _encode_feed_reply,
    messages.Ack: _encode_ack,
}


def _decode_message(frame: typing.Any) -> messages.Message:
    if frame.heartbeat is not None:
        return messages.MembershipHeartbeat(
            _decode_membership_heartbeat(frame.heartbeat)
        )
    if frame.claim_question is not None:
        item = frame.claim_question
        return messages.ClaimQuestion(
            _check_type(item.incarnation, str), _check_type(item.nonce, str)
        )
    if frame.claim_reply is not None:
        return messages.ClaimReply(_decode_claim_reply(frame.claim_reply))
    if frame.crashes is not None:
        return messages.CrashReports(_decode_crash_notices(frame.crashes))
    if frame.leaving is not None:
        return messages.LeavingNotice(
            _check_type(frame.leaving.endpoint_id, str),
            _check_type(frame.leaving.incarnation, str),
        )
    return _decode_settings_or_gateway_message(frame)


def _decode_run(item: typing.Any) -> quarantine.Run:
    return quarantine.Run(
        _check_type(item.fingerprint, str), _check_type(item.run_id, str)
    )


def _decode_settings_or_gateway_message(
    frame: typing.Any,
) -> messages.Message:
    if frame.settings_question is not None:
        have_version = _check_type(frame.settings_question.have_version, int)
        return messages.SettingsQuestion(have_version)
    if frame.settings_reply is not None:
        item = frame.settings_reply
        return messages.SettingsReply(
            _check_type(item.version, int),
            _check_type(item.base_version, int),
            _check_type(item.nodes, bytes),
        )
    return _decode_gateway_message_or_ack(frame)


def _decode_gateway_message_or_ack(frame: typing.Any) -> messages.Message:
    if frame.host_beat is not None:
        return _decode_load_heartbeat(frame.host_beat)
    if frame.feed_question is not None:
        question = frame.feed_question
        return messages.FeedQuestion(
            _check_type(question.table, str),
            _check_type(question.after, int),
            _check_type(question.wait_ms, int),
            _check_optional_count(question.era),
            bool(question.may_compress),
        )
    if frame.feed_reply is not None:
        reply = frame.feed_reply
        return messages.FeedReply(
            _check_type(reply.version, int),
            _check_type(reply.age_ms, int),
            _check_type(reply.is_whole, bool),
            tuple(_decode_feed_row(row) for row in reply.rows),
            # Hosts of the previous release don't send these fields.
            _check_type(reply.waited_ms or 0, int),
            _check_type(
                -1 if reply.regained_ms is None else reply.regained_ms, int
            ),
            _check_optional_count(reply.era),
            _check_optional_count(reply.catalog_version),
        )
    return messages.Ack()


def _check_optional_count(value: typing.Any) -> int | None:
    if value is None:
        return None
    if _check_type(value, int) < 0:
        raise errors.MalformedFrame(f'{value} is negative')
    return value


def _decode_feed_row(row: typing.Any) -> messages.FeedRow:
    value = None if row.value is None else _check_type(row.value, bytes)
    if value is not None and row.is_compressed:
        value = compression.decompress(value)
    return messages.FeedRow(
        _check_type(row.key, str), _check_type(row.version, int), value
    )


def _decode_load_heartbeat(item: typing.Any) -> messages.LoadHeartbeat:
    return messages.LoadHeartbeat(
        _check_type(item.host, str),
        _check_type(item.incarnation, str),
        _check_type(item.is_leaving, bool),
        tuple(
            messages.EndpointLoad(
                _check_type(load.endpoint_id, str),
                _check_type(load.requests, int),
                _check_type(load.token_layers, int),
                _check_type(load.reading_token_layers or 0, int),
                _check_type(load.first_requests or 0, int),
            )
            for load in item.loads
        ),
        _check_type(item.heard, bytes),
        item.crossing_tokens or 0,
        _decode_crash_notices(item.crashes or ()),
        _decode_endpoint_starts(item.leaving or ()),
        # Hosts of the previous release don't send the following fields.
        _decode_endpoint_starts(item.unreachable or ()),
        tuple(_decode_part_crash(crash) for crash in item.part_crashes or ()),
        tuple(
            part_evidence.PartServed(
                _check_type(served.part, str),
                _check_type(served.crash_id, str),
            )
            for served in item.parts_served or ()
        ),
        tuple(
            messages.Verdict(
                _check_type(verdict.fingerprint, str),
                _check_type(verdict.left_ms, int),
            )
            for verdict in item.verdicts or ()
        ),
        tuple(_decode_endpoint_limit(limit) for limit in item.limits or ()),
        None
        if item.shares is None
        else tuple(_decode_shares(shares) for shares in item.shares),
        tuple(_decode_slowness(slow) for slow in item.slowness or ()),
    )


def _decode_shares(item: typing.Any) -> fleet_shares.ServiceShares:
    return fleet_shares.ServiceShares(
        _check_type(item.name_hash, int),
        _decode_uses(item.ranks or ()),
        _decode_uses(item.customers or ()),
    )


def _decode_uses(
    numbers: typing.Sequence[int],
) -> tuple[tuple[int, fleet_shares.Use], ...]:
    """Returns use by rank or customer; an incomplete last item is ignored."""
    fields = iter(numbers)
    return tuple(
        (key, fleet_shares.Use(requests, tokens))
        for key, requests, tokens in zip(fields, fields, fields, strict=False)
    )


def _decode_endpoint_limit(item: typing.Any) -> messages.EndpointLimit:
    rate_per_s = item.rate_per_s
    if rate_per_s is not None and not (
        0 <= _check_type(rate_per_s, float) < math.inf
    ):
        raise errors.MalformedFrame(f'{rate_per_s} is not a limit')
    age_ms = _check_optional_count(item.age_ms)
    return messages.EndpointLimit(
        _check_type(item.endpoint_id, str),
        _check_type(item.born, int),
        rate_per_s,
        _check_type(age_ms, int),
    )


def _decode_slowness(item: typing.Any) -> messages.EndpointSlowness:
    percent, age_ms = _check_optional_count(item.percent), item.age_ms
    return messages.EndpointSlowness(
        _check_type(item.endpoint_id, str),
        _check_type(percent, int),
        _check_type(_check_optional_count(age_ms), int),
        _check_type(_check_optional_count(item.number), int),
    )


def _decode_part_crash(item: typing.Any) -> messages.PartCrashReport:
    crash = part_evidence.PartCrash(
        _check_type(item.part, str),
        _check_type(item.crash_id, str),
        _check_type(item.request, str),
    )
    return messages.PartCrashReport(crash, _check_type(item.age_ms, int))


def _decode_endpoint_starts(
    items: typing.Iterable[typing.Any],
) -> tuple[messages.EndpointStart, ...]:
    return tuple(
        messages.EndpointStart(
            _check_type(start.endpoint_id, str), _check_type(start.born, int)
        )
        for start in items
    )


def _decode_crash_notices(
    items: typing.Iterable[typing.Any],
) -> tuple[messages.CrashReport, ...]:
    return tuple(
        messages.CrashReport(
            _check_type(item.crash_id, str),
            frozenset(_decode_run(run) for run in item.runs),
        )
        for item in items
    )


def _decode_membership_heartbeat(item: typing.Any) -> membership.Heartbeat:
    return membership.Heartbeat(
        _check_type(item.host_id, str),
        _check_type(item.incarnation, str),
        _check_type(item.settings_version, int),
        _check_type(item.running, int),
        _check_type(item.is_leaving, bool),
        _check_type(item.is_ready, bool),
    )


def _decode_claim_reply(item: typing.Any) -> claims.ClaimantAnswer:
    state = claims.ClaimantState(_check_type(item.state, str))
    if item.status is None:
        return claims.ClaimantAnswer(state)
    # The number of tokens, which isn't sent, is 0 for a plain service's reply.
    outcome = outcomes.Answered(
        0, item.status, item.content_type or '', item.body or b''
    )
    return claims.ClaimantAnswer(state, outcome)
