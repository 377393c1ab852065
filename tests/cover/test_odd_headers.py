"""Absurd numbers in the headers of callers and of engines' answers."""

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from sardinebend_adapter import request_codec
from sardinebend_gateway import errors
from tests.common import gateway_world as world_lib


# Guards against an OverflowError in place of an answer.
@pytest.mark.parametrize(
    'value',
    [
        b'Fri, 04 Dec 2026 10:00:00 +99999999999999',
        b'Fri, 04 Dec 99999999 10:00:00 GMT',
        b'9' * 5000,
        '\u0663'.encode(),
        b'1e999',
        b'\xff',
    ],
)
def test_no_back_off_of_an_answer_raises(value):
    date = (b'Date', b'Fri, 04 Dec 2026 10:00:00 GMT')
    facts = request_codec.PlatformRequests().decode_answer(
        503, [(b'Retry-After', value), date]
    )
    assert facts.backoff_s is None or (
        0 <= facts.backoff_s <= request_codec.MAX_BACKOFF_S
    )


HEADER_NAMES = st.sampled_from(
    [
        b'retry-after',
        b'date',
        b'request-id',
        b'instance-id',
        b'at-server',
        b'server-leaving',
        b'deadline-ms',
        b'token-usage',
        b'length-hint',
        b'prefix-hash',
    ]
)
HEADER_VALUES = (
    st.binary(max_size=20)
    | st.integers().map(lambda n: str(n).encode())
    | st.sampled_from([b'9' * 400, b'9' * 5000, b'9' * 400 + b',' + b'9' * 400])
)


@hypothesis.given(
    st.lists(st.tuples(HEADER_NAMES, HEADER_VALUES), max_size=5),
    st.sampled_from([200, 421, 503]),
)
@hypothesis.settings(
    derandomize=True, max_examples=500, deadline=None, database=None
)
def test_no_headers_make_the_codec_raise_anything_unexpected(headers, status):
    codec = request_codec.PlatformRequests()
    codec.decode_answer(status, headers)
    try:
        facts = codec.decode_request(headers)
    except errors.BadRequest:
        return
    assert facts.prompt_tokens <= request_codec.MAX_TOKENS
    assert facts.answer_tokens <= request_codec.MAX_TOKENS


# Guards against a caller whose numbers end the heartbeats of its host.
async def test_absurd_numbers_of_a_caller_do_not_stop_heartbeats(clock):
    async def answer(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        head = world_lib.head(200, fixed, 'chunked')
        return world_lib.Answer(
            head, world_lib.chunk(world_lib.event(1)), 2.0, b'0\r\n\r\n'
        )

    engines = world_lib.engines((0, 4), script=answer)
    async with world_lib.running(*engines) as world:
        for usage in ('9' * 400 + ',1', '1,' + '9' * 400, '10,10'):
            with trio.fail_after(20):
                await world.ask(
                    '/draft/x',
                    'POST',
                    b'p',
                    token_usage=usage,
                    deadline_ms='9' * 400,
                    length_hint='9' * 400,
                )
            world.gateway._heartbeats._encode()
        await trio.sleep(3.0)
        assert world.gateway.supervisor._failures == {}
        assert world.gateway.is_ready()
