"""Turns messages into thrift frames and back."""

import pathlib
import typing

import thriftpy2
from thriftpy2 import utils as thrift_utils
from thriftpy2.protocol import compact
from thriftpy2.transport import memory

from sardinebend_peers import errors
from sardinebend_peers import messages
from sardinebend_policy import claims
from sardinebend_policy import membership
from sardinebend_policy import outcomes
from sardinebend_policy import quarantine

MAX_FRAME_BYTES: typing.Final = 16 * 1024 * 1024

_IDL = thriftpy2.load(
    str(pathlib.Path(__file__).with_name('peers.thrift')),
    module_name='sardinebend_peers_thrift',
)
_PROTOCOL = compact.TCompactProtocolFactory()


class _BoundedProtocol(compact.TCompactProtocol):
    """Refuses sizes that can't fit the frame.

    The library believes the size that stands in front of a list, and would
    read two thousand million elements out of a frame of thirty bytes.
    """

    def __init__(self, transport: typing.Any, limit: int) -> None:
        super().__init__(transport)
        self._limit = limit

    def _read_size(self) -> int:
        size = super()._read_size()
        if size > self._limit:
            raise errors.MalformedFrame(f'a size of {size} in a frame')
        return size


class Envelope(typing.NamedTuple):
    """A message with the number that pairs a reply with its call."""

    call_id: int
    is_reply: bool
    message: messages.Message


def encode(envelope: Envelope) -> bytes:
    """Returns the bytes of one frame, without its length."""
    frame = _IDL.Frame(call_id=envelope.call_id, is_reply=envelope.is_reply)
    _ENCODERS[type(envelope.message)](frame, envelope.message)
    return thrift_utils.serialize(frame, _PROTOCOL)


def decode(data: bytes) -> Envelope:
    """Returns the envelope held by a frame.

    Raises:
        errors.MalformedFrame: The bytes aren't a frame of the protocol.
    """
    try:
        frame = _IDL.Frame()
        buffer = memory.TMemoryBuffer(data)
        _BoundedProtocol(buffer, len(data)).read_struct(frame)
        return Envelope(
            _need(frame.call_id, int),
            _need(frame.is_reply, bool),
            _decode_message(frame),
        )
    # The library raises whatever its reading of hostile bytes runs into:
    # EOFError, struct.error, UnicodeDecodeError, MemoryError and others.
    except Exception as exc:
        raise errors.MalformedFrame(f'{type(exc).__name__}: {exc}') from exc


def _need(value: typing.Any, kind: type) -> typing.Any:
    if not isinstance(value, kind):
        raise errors.MalformedFrame(f'{value!r} is not of type {kind.__name__}')
    return value


def _put_beat(frame: typing.Any, message: messages.Beat) -> None:
    frame.heartbeat = _IDL.Heartbeat(**message.heartbeat._asdict())


def _put_claim_question(
    frame: typing.Any, message: messages.ClaimQuestion
) -> None:
    frame.claim_question = _IDL.ClaimQuestion(**message._asdict())


def _put_claim_reply(frame: typing.Any, message: messages.ClaimReply) -> None:
    reply = _IDL.ClaimReply(state=message.answer.state.value)
    answer = message.answer.answer
    if answer is not None:
        reply.status = answer.status
        reply.content_type = answer.content_type
        reply.body = answer.body
    frame.claim_reply = reply


def _put_crashes(frame: typing.Any, message: messages.CrashNotices) -> None:
    frame.crashes = _make_crashes(message.crashes)


def _make_crashes(
    crashes: typing.Iterable[messages.CrashNotice],
) -> list[typing.Any]:
    return [
        _IDL.CrashNotice(
            crash_id=crash.crash_id,
            runs=[_IDL.Run(**run._asdict()) for run in sorted(crash.runs)],
        )
        for crash in crashes
    ]


def _put_leaving(frame: typing.Any, message: messages.LeavingNotice) -> None:
    frame.leaving = _IDL.LeavingNotice(**message._asdict())


def _put_settings_question(
    frame: typing.Any, message: messages.SettingsQuestion
) -> None:
    frame.settings_question = _IDL.SettingsQuestion(**message._asdict())


def _put_settings_reply(
    frame: typing.Any, message: messages.SettingsReply
) -> None:
    frame.settings_reply = _IDL.SettingsReply(**message._asdict())


def _put_host_beat(frame: typing.Any, message: messages.HostBeat) -> None:
    frame.host_beat = _IDL.HostBeat(
        host=message.host,
        incarnation=message.incarnation,
        is_leaving=message.is_leaving,
        loads=[_IDL.EndpointLoad(**load._asdict()) for load in message.loads],
        heard=message.heard,
        crossing_tokens=message.crossing_tokens,
        crashes=_make_crashes(message.crashes),
        leaving=_make_starts(message.leaving),
        unreachable=_make_starts(message.unreachable),
    )


def _make_starts(
    starts: typing.Iterable[messages.EndpointStart],
) -> list[typing.Any]:
    return [_IDL.EndpointStart(**start._asdict()) for start in starts]


def _put_feed_question(
    frame: typing.Any, message: messages.FeedQuestion
) -> None:
    frame.feed_question = _IDL.FeedQuestion(**message._asdict())


def _put_feed_reply(frame: typing.Any, message: messages.FeedReply) -> None:
    frame.feed_reply = _IDL.FeedReply(
        version=message.version,
        age_ms=message.age_ms,
        is_whole=message.is_whole,
        rows=[_IDL.FeedRow(**row._asdict()) for row in message.rows],
        waited_ms=message.waited_ms,
        regained_ms=message.regained_ms,
    )


def _put_ack(frame: typing.Any, message: messages.Ack) -> None:
    """Leaves the frame empty; a frame without a body is an `Ack`."""


_ENCODERS: typing.Final[dict[type, typing.Callable]] = {
    messages.Beat: _put_beat,
    messages.ClaimQuestion: _put_claim_question,
    messages.ClaimReply: _put_claim_reply,
    messages.CrashNotices: _put_crashes,
    messages.LeavingNotice: _put_leaving,
    messages.SettingsQuestion: _put_settings_question,
    messages.SettingsReply: _put_settings_reply,
    messages.HostBeat: _put_host_beat,
    messages.FeedQuestion: _put_feed_question,
    messages.FeedReply: _put_feed_reply,
    messages.Ack: _put_ack,
}


def _decode_message(frame: typing.Any) -> messages.Message:
    if frame.heartbeat is not None:
        return messages.Beat(_decode_heartbeat(frame.heartbeat))
    if frame.claim_question is not None:
        item = frame.claim_question
        return messages.ClaimQuestion(
            _need(item.incarnation, str), _need(item.nonce, str)
        )
    if frame.claim_reply is not None:
        return messages.ClaimReply(_decode_claim(frame.claim_reply))
    if frame.crashes is not None:
        return messages.CrashNotices(_decode_crashes(frame.crashes))
    if frame.leaving is not None:
        return messages.LeavingNotice(
            _need(frame.leaving.endpoint_id, str),
            _need(frame.leaving.incarnation, str),
        )
    return _decode_settings(frame)


def _decode_run(item: typing.Any) -> quarantine.Run:
    return quarantine.Run(_need(item.fingerprint, str), _need(item.run_id, str))


def _decode_settings(frame: typing.Any) -> messages.Message:
    if frame.settings_question is not None:
        have = _need(frame.settings_question.have_version, int)
        return messages.SettingsQuestion(have)
    if frame.settings_reply is not None:
        item = frame.settings_reply
        return messages.SettingsReply(
            _need(item.version, int),
            _need(item.base_version, int),
            _need(item.nodes, bytes),
        )
    return _decode_between_gateways(frame)


def _decode_between_gateways(frame: typing.Any) -> messages.Message:
    if frame.host_beat is not None:
        return _decode_host_beat(frame.host_beat)
    if frame.feed_question is not None:
        question = frame.feed_question
        return messages.FeedQuestion(
            _need(question.table, str),
            _need(question.after, int),
            _need(question.wait_ms, int),
        )
    if frame.feed_reply is not None:
        reply = frame.feed_reply
        return messages.FeedReply(
            _need(reply.version, int),
            _need(reply.age_ms, int),
            _need(reply.is_whole, bool),
            tuple(_decode_row(row) for row in reply.rows),
            # Hosts of the release before leave these out.
            _need(reply.waited_ms or 0, int),
            _need(-1 if reply.regained_ms is None else reply.regained_ms, int),
        )
    return messages.Ack()


def _decode_row(row: typing.Any) -> messages.FeedRow:
    value = None if row.value is None else _need(row.value, bytes)
    return messages.FeedRow(_need(row.key, str), _need(row.version, int), value)


def _decode_host_beat(item: typing.Any) -> messages.HostBeat:
    return messages.HostBeat(
        _need(item.host, str),
        _need(item.incarnation, str),
        _need(item.is_leaving, bool),
        tuple(
            messages.EndpointLoad(
                _need(load.endpoint_id, str),
                _need(load.requests, int),
                _need(load.token_layers, int),
            )
            for load in item.loads
        ),
        _need(item.heard, bytes),
        item.crossing_tokens or 0,
        _decode_crashes(item.crashes or ()),
        _decode_starts(item.leaving or ()),
        # Hosts of the release before leave these out.
        _decode_starts(item.unreachable or ()),
    )


def _decode_starts(
    items: typing.Iterable[typing.Any],
) -> tuple[messages.EndpointStart, ...]:
    return tuple(
        messages.EndpointStart(
            _need(start.endpoint_id, str), _need(start.born, int)
        )
        for start in items
    )


def _decode_crashes(
    items: typing.Iterable[typing.Any],
) -> tuple[messages.CrashNotice, ...]:
    return tuple(
        messages.CrashNotice(
            _need(item.crash_id, str),
            frozenset(_decode_run(run) for run in item.runs),
        )
        for item in items
    )


def _decode_heartbeat(item: typing.Any) -> membership.Heartbeat:
    return membership.Heartbeat(
        _need(item.host_id, str),
        _need(item.incarnation, str),
        _need(item.settings_version, int),
        _need(item.running, int),
        _need(item.is_leaving, bool),
        _need(item.is_ready, bool),
    )


def _decode_claim(item: typing.Any) -> claims.ClaimantAnswer:
    state = claims.ClaimantState(_need(item.state, str))
    if item.status is None:
        return claims.ClaimantAnswer(state)
    answer = outcomes.Answered(
        0, item.status, item.content_type or '', item.body or b''
    )
    return claims.ClaimantAnswer(state, answer)
