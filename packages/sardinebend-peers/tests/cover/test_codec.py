"""Tests of frames: round trips, malformed bytes, other releases."""

import contextlib
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import thriftpy2
from thriftpy2 import utils as thrift_utils
from thriftpy2.protocol import compact

from sardinebend_peers import codec
from sardinebend_peers import errors
from sardinebend_peers import messages
from sardinebend_policy import claims
from sardinebend_policy import fleet_shares
from sardinebend_policy import liveness
from sardinebend_policy import membership
from sardinebend_policy import outcomes
from sardinebend_policy import part_evidence
from sardinebend_policy import quarantine

TEXT = st.text(max_size=20)
NUMBER = st.integers(0, 2**31 - 1)
HEARTBEATS = st.builds(
    membership.Heartbeat,
    TEXT,
    TEXT,
    NUMBER,
    NUMBER,
    st.booleans(),
    st.booleans(),
)
ANSWERS = st.builds(
    claims.ClaimantAnswer,
    st.sampled_from(list(claims.ClaimantState)),
    st.one_of(
        st.none(),
        st.builds(
            outcomes.Answered,
            st.just(0),
            st.integers(100, 599),
            TEXT,
            st.binary(max_size=50),
        ),
    ),
)
USES = st.lists(
    st.tuples(
        st.integers(-9, 2**32), st.builds(fleet_shares.Use, NUMBER, NUMBER)
    ),
    max_size=3,
).map(tuple)
RUNS = st.builds(quarantine.Run, TEXT, TEXT)
CRASH_REPORTS = st.builds(
    messages.CrashReport, TEXT, st.frozensets(RUNS, max_size=4)
)
MESSAGES = st.one_of(
    st.builds(messages.MembershipHeartbeat, HEARTBEATS),
    st.builds(messages.ClaimQuestion, TEXT, TEXT),
    st.builds(messages.ClaimReply, ANSWERS),
    st.builds(
        messages.CrashReports, st.lists(CRASH_REPORTS, max_size=3).map(tuple)
    ),
    st.builds(messages.LeavingNotice, TEXT, TEXT),
    st.builds(messages.SettingsQuestion, NUMBER),
    st.builds(messages.SettingsReply, NUMBER, NUMBER, st.binary(max_size=99)),
    st.builds(
        messages.LoadHeartbeat,
        TEXT,
        TEXT,
        st.booleans(),
        st.lists(
            st.builds(messages.EndpointLoad, TEXT, *[NUMBER] * 4),
            max_size=3,
        ).map(tuple),
        st.binary(max_size=20),
        NUMBER,
        st.lists(CRASH_REPORTS, max_size=3).map(tuple),
        st.lists(
            st.builds(messages.EndpointStart, TEXT, NUMBER), max_size=3
        ).map(tuple),
        st.lists(
            st.builds(messages.EndpointStart, TEXT, NUMBER), max_size=3
        ).map(tuple),
        st.lists(
            st.builds(
                messages.PartCrashReport,
                st.builds(part_evidence.PartCrash, TEXT, TEXT, TEXT),
                NUMBER,
            ),
            max_size=3,
        ).map(tuple),
        st.lists(
            st.builds(part_evidence.PartServed, TEXT, TEXT), max_size=3
        ).map(tuple),
        st.lists(st.builds(messages.Verdict, TEXT, NUMBER), max_size=3).map(
            tuple
        ),
        st.lists(
            st.builds(
                messages.EndpointLimit,
                TEXT,
                NUMBER,
                st.none() | st.floats(0, 1e6),
                NUMBER,
            ),
            max_size=3,
        ).map(tuple),
        st.none()
        | st.lists(
            st.builds(fleet_shares.ServiceShares, NUMBER, USES, USES),
            max_size=3,
        ).map(tuple),
        st.lists(
            st.builds(messages.EndpointSlowness, TEXT, NUMBER, NUMBER, NUMBER),
            max_size=3,
        ).map(tuple),
    ),
    st.just(messages.Ack()),
)
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


@SETTINGS
@hypothesis.given(MESSAGES, NUMBER, st.booleans())
def test_an_encoded_message_decodes_to_an_equal_message(
    message, call_id, is_reply
):
    envelope = codec.Envelope(call_id, is_reply, message)
    assert codec.decode(codec.encode(envelope)) == envelope


@SETTINGS
@hypothesis.given(st.binary(max_size=200))
def test_decoding_arbitrary_bytes_raises_only_malformed_frame(data):
    with contextlib.suppress(errors.MalformedFrame):
        codec.decode(data)


@SETTINGS
@hypothesis.given(MESSAGES, st.data())
def test_decoding_a_corrupted_frame_raises_only_malformed_frame(message, data):
    frame = bytearray(codec.encode(codec.Envelope(1, False, message)))
    offset = data.draw(st.integers(0, len(frame) - 1))
    frame[offset] ^= data.draw(st.integers(1, 255))
    with contextlib.suppress(errors.MalformedFrame):
        codec.decode(bytes(frame))


NEWER_IDL = """
struct Heartbeat {
  1: string host_id, 2: string incarnation, 3: i64 settings_version,
  4: i32 running, 5: bool is_leaving, 6: bool is_ready, 7: string release,
}
struct Frame {
  1: i64 call_id, 2: bool is_reply, 3: optional Heartbeat heartbeat,
  10: optional string added_later,
}
"""


def test_a_frame_with_fields_of_a_newer_release_is_decoded(tmp_path):
    path = tmp_path / 'newer.thrift'
    path.write_text(NEWER_IDL)
    idl = thriftpy2.load(str(path), module_name='newer_thrift')
    heartbeat = idl.Heartbeat(
        host_id='h',
        incarnation='i',
        settings_version=3,
        running=1,
        is_leaving=False,
        is_ready=True,
        release='9.9',
    )
    frame = idl.Frame(
        call_id=4, is_reply=False, heartbeat=heartbeat, added_later='x'
    )
    data = thrift_utils.serialize(frame, compact.TCompactProtocolFactory())
    expected = membership.Heartbeat('h', 'i', 3, 1, False, True)
    assert codec.decode(data).message == messages.MembershipHeartbeat(expected)


def test_a_message_type_of_a_newer_release_is_decoded_as_an_ack(tmp_path):
    path = tmp_path / 'unknown.thrift'
    path.write_text(NEWER_IDL)
    idl = thriftpy2.load(str(path), module_name='unknown_thrift')
    frame = idl.Frame(call_id=4, is_reply=False, added_later='x')
    data = thrift_utils.serialize(frame, compact.TCompactProtocolFactory())
    assert codec.decode(data).message == messages.Ack()


def test_a_heartbeat_without_its_fields_is_malformed():
    idl = codec._IDL
    frame = idl.Frame(call_id=1, is_reply=False, heartbeat=idl.Heartbeat())
    data = thrift_utils.serialize(frame, compact.TCompactProtocolFactory())
    with pytest.raises(errors.MalformedFrame):
        codec.decode(data)


def test_a_list_size_larger_than_the_frame_is_malformed():
    run = quarantine.Run('f', 'r')
    notice = messages.CrashReport('c', frozenset({run}))
    message = messages.CrashReports((notice,))
    frame = codec.encode(codec.Envelope(1, False, message))
    # A list of one struct starts with 0x1c; 0xfc means that the size follows
    # as a varint.
    for offset in [i for i, byte in enumerate(frame) if byte == 0x1C]:
        huge = (
            frame[:offset] + b'\xfc\xff\xff\xff\xff\x07' + frame[offset + 1 :]
        )
        with pytest.raises(errors.MalformedFrame):
            codec.decode(huge)


def test_the_version_that_a_peer_states_is_optional_and_not_negative():
    # Guards against a host that can't read the answers of another release.
    reply = messages.FeedReply(7, 30, True, (), 5, -1, 2, 2**62)
    data = codec.encode(codec.Envelope(1, True, reply))
    assert codec.decode(data).message == reply
    previous = reply._replace(era=None, catalog_version=None)
    data = codec.encode(codec.Envelope(1, True, previous))
    assert codec.decode(data).message == previous
    for field in ('era', 'catalog_version'):
        data = codec.encode(
            codec.Envelope(1, True, reply._replace(**{field: -1}))
        )
        with pytest.raises(errors.MalformedFrame):
            codec.decode(data)


def make_full_shares(services, ranks, customers=280):
    """Returns the shares of a host with 750 streams of 2,000 tokens."""
    shares = fleet_shares.FleetShares()
    shares.configure([f'model-{n}' for n in range(services)], ())
    for n in range(750):
        shares.begin(
            f'model-{n % services}',
            n % ranks,
            f'customer-{n % customers}',
            2000,
        )
    return shares.report()


@pytest.mark.parametrize(
    ('services', 'ranks'), [(1, 2), (1, 9), (4, 3), (14, 2), (14, 3)]
)
def test_shares_take_at_most_2_kb_a_second_at_360_hosts(services, ranks):
    peers = 359
    rate_per_s = liveness.LARGE_HEARTBEAT_PEERS / liveness.Liveness(
        random.Random(1)
    ).heartbeat_interval_s(peers)
    beat = messages.LoadHeartbeat('host', 'i', False, (), b'')
    sizes = [
        len(codec.encode(codec.Envelope(0, False, message)))
        for message in (
            beat,
            beat._replace(shares=make_full_shares(services, ranks)),
        )
    ]
    assert (sizes[1] - sizes[0]) * rate_per_s <= 2048


def test_shares_with_an_incomplete_item_keep_the_others():
    idl = codec._IDL
    beat = messages.LoadHeartbeat('host', 'i', False, (), b'')
    frame = idl.Frame(call_id=0, is_reply=False)
    codec._ENCODERS[messages.LoadHeartbeat](frame, beat)
    frame.host_beat.shares = [
        idl.ServiceShares(name_hash=7, ranks=[3, 1, 90, 4], customers=None)
    ]
    data = thrift_utils.serialize(frame, compact.TCompactProtocolFactory())
    use = fleet_shares.Use(1, 90)
    assert codec.decode(data).message == beat._replace(
        shares=(fleet_shares.ServiceShares(7, ((3, use),), ()),)
    )
