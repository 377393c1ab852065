"""Reads the answers of endpoints and classifies them."""

import typing

from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import errors
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_gateway import state as state_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import forwarding
from sardinebend_store import connections

# Wait for bytes that follow a refusal. An earlier refusal that is written once
# more is followed by the real answer, at the latest when the request has run.
# No wait rules that out; this one finds those that were sent together.
FURTHER_BYTES_WAIT_S: typing.Final = 0.005
# A process that ends closes hundreds of sockets within a few ms.
RESET_WAIT_S: typing.Final = 0.01


def decode_answer(
    exchange: exchange_lib.Exchange,
    endpoint: endpoints_lib.Endpoint,
    response: typing.Any,
) -> edges_lib.AnswerFacts:
    """Returns the values from the head of an answer.

    What it states about the endpoint is applied if it is an answer to this
    request.
    """
    codec = exchange.state.edges.requests
    facts = codec.decode_answer(response.status, response.headers)
    if exchange.is_answered_by(facts):
        exchange.state.apply_answer_facts(endpoint, facts)
    return facts


async def read_reply(
    exchange: exchange_lib.Exchange,
    conn: connections.Connection,
    endpoint: endpoints_lib.Endpoint,
    response: typing.Any,
    facts: edges_lib.AnswerFacts,
) -> exchange_lib.Reply:
    """Returns the complete answer whose head was read on a connection.

    Raises:
        errors.Malformed: The body may not be whole.
        errors.TooLarge: The body exceeds the size limit, or was dropped to
            free memory.
    """
    body = await _read_body(exchange.state, response)
    await check_end(exchange, conn, endpoint)
    is_followed = (
        facts.was_not_run
        and not exchange.admitted.route.may_repeat
        and await conn.has_further_bytes(FURTHER_BYTES_WAIT_S)
    )
    return exchange_lib.Reply(
        response.status,
        response.headers,
        body,
        facts,
        is_followed,
        conn.exchange_end,
    )


async def check_end(
    exchange: exchange_lib.Exchange,
    conn: connections.Connection,
    endpoint: endpoints_lib.Endpoint,
    wait_s: float = RESET_WAIT_S,
) -> None:
    """Checks that an endpoint itself ended the body that has been read.

    The kernel of a process that ended closes its connections in order. That
    looks like the end of a body that only the end of the connection ends.

    Args:
        exchange: The request.
        conn: The connection that the body came on.
        endpoint: Its endpoint.
        wait_s: How long to wait for a sign that the process is ending.

    Raises:
        errors.Malformed: The endpoint's process has ended.
    """
    if not conn.exchange_end.ends_with_connection:
        return
    if await exchange.crash_detector.has_ended(endpoint, wait_s):
        raise errors.Malformed('ended with its connection and its endpoint')


async def _read_body(state: state_lib.State, response: typing.Any) -> bytes:
    buffer = state.answer_buffers.open()
    try:
        async for chunk in response.aiter_stream():
            await buffer.add(chunk)
            del chunk
        return buffer.join()
    finally:
        buffer.close()


def classify_reply(
    exchange: exchange_lib.Exchange,
    endpoint: endpoints_lib.Endpoint,
    reply: exchange_lib.Reply,
) -> tuple[forwarding.End, str, exchange_lib.Reply | None]:
    """Classifies an endpoint's answer to a request.

    An answer that doesn't carry the request's id proves nothing about it, and
    a refusal that further bytes follow may be an earlier one.

    Returns:
        How the attempt ended, the reason if it wasn't answered, and the reply
        if it is genuine or states that nothing was run.
    """
    facts = reply.facts
    if not exchange.is_answered_by(facts):
        return forwarding.End.BROKEN, 'answer to another request', None
    if reply.is_followed:
        return forwarding.End.BROKEN, 'refusal before another answer', None
    if facts.was_not_run:
        if facts.is_from_another(endpoint):
            exchange.state.record_reused_address(endpoint)
        return forwarding.End.NOT_RUN, f'status {reply.status}', reply
    if not facts.is_genuine:
        return forwarding.End.BROKEN, 'answer without a mark of origin', None
    if reply.status >= 500:
        return forwarding.End.FAILED, f'status {reply.status}', reply
    return forwarding.End.ANSWERED, '', reply
