"""Callers of a soak, some of which disconnect early.

They record what they observe of each request.
"""

import contextlib

import trio

from tests.common import gateway_world as world_lib
from tests.soak import fleet as fleet_lib

KIND_SHARES = {'look': 0.35, 'book': 0.3, 'draft': 0.35}
CALLER_TIMEOUT_S = {'look': 1.5, 'book': 1.5, 'draft': 6.0}
DISCONNECT_SHARE = 0.15
NOT_READY_SHARE = 0.3
REQUESTS_PER_S = 14
REVOKED_KEY_SHARE = 0.2
REUSE_SHARE = 0.6
LONG_SHARE = 0.1
# Callers of a host that stops: one that comes back at once, and long streams
# until a while after the host refuses requests.
COME_BACK_S = 0.1
LONG_INTERVAL_S = 0.3
# From here on after the signal, until LONG_STREAMS_S, they come more densely
# and outlast the stop if they are accepted.
DENSE_FROM_S = 2.4
DENSE_INTERVAL_S = 0.1
LONG_STREAMS_S = 4.0
# Before the signal of a stop, this long is waited for a long stream to begin.
BEGIN_S = 2.0
BEGIN_INTERVAL_S = 0.2
# The first part of the prompt of every draft.
SHARED_PART = '50bec7'
# Four fifths of the hosts' idle time-out for connections.
REUSE_LIMIT_S = 1.6


async def run(fleet):
    """Sends requests at a steady rate until cancelled."""
    number = 0
    while True:
        await trio.sleep(fleet.rng.expovariate(REQUESTS_PER_S))
        # Some callers still have the address of a host that reports that it
        # isn't ready.
        may_be_unready = fleet.rng.random() < NOT_READY_SHARE
        hosts = [
            h for h in fleet.hosts if h.is_ready() or may_be_unready and h.is_up
        ]
        if not hosts:
            continue
        number += 1
        kind = fleet.rng.choices(list(KIND_SHARES), list(KIND_SHARES.values()))[
            0
        ]
        record = fleet_lib.CallerRecord(
            f'q{number}',
            kind,
            trio.current_time(),
            fleet.rng.choice(hosts),
            _choose_key(fleet),
            was_ready=not may_be_unready,
        )
        if kind == 'draft' and fleet.stream_rng.random() < LONG_SHARE:
            record.events = fleet.stream_rng.randint(*fleet_lib.LONG_EVENTS)
        fleet.requests.append(record)
        disconnect_after_s = None
        if fleet.rng.random() < DISCONNECT_SHARE:
            disconnect_after_s = fleet.rng.uniform(0.02, 1.0)
        fleet.nursery.start_soon(
            send_request, fleet, record, disconnect_after_s
        )


async def ask_until_gone(fleet, host, is_gone):
    """Asks a host that stops until it has ended, also on kept connections."""
    while not is_gone.is_set():
        kind = fleet.rng.choice(('look', 'book'))
        await send_request(fleet, _add_record(fleet, host, kind))
        await trio.sleep(COME_BACK_S)


async def send_long_streams(fleet, host, is_gone):
    """Sends streams that a planned stop meets."""
    began_at = trio.current_time()
    while not is_gone.is_set():
        after_s = trio.current_time() - began_at
        if after_s > LONG_STREAMS_S:
            return
        is_dense = after_s >= DENSE_FROM_S
        record = _add_record(fleet, host, 'draft')
        record.events = fleet.rng.randint(
            *(fleet_lib.LONGEST_EVENTS if is_dense else fleet_lib.LONG_EVENTS)
        )
        fleet.nursery.start_soon(send_request, fleet, record)
        await trio.sleep(DENSE_INTERVAL_S if is_dense else LONG_INTERVAL_S)


async def begin_long_stream(fleet, host):
    """Sends long streams until a server has begun one of them.

    A host that is busy refuses some.

    Returns:
        The ID of the one that has begun; `None` if there was none in time.
    """
    sent = []
    with trio.move_on_after(BEGIN_S):
        while host.is_up:
            record = _add_record(fleet, host, 'draft')
            record.events = fleet.stream_rng.randint(*fleet_lib.LONGEST_EVENTS)
            sent.append(record.request_id)
            fleet.nursery.start_soon(send_request, fleet, record)
            await trio.sleep(BEGIN_INTERVAL_S)
            for request_id in sent:
                if fleet.has_begun(request_id):
                    return request_id
    return None


def _add_record(fleet, host, kind):
    record = fleet_lib.CallerRecord(
        f's{len(fleet.requests)}',
        kind,
        trio.current_time(),
        host,
        next(iter(fleet.keys)),
        was_ready=False,
    )
    fleet.requests.append(record)
    return record


def _choose_key(fleet):
    """Returns a key, sometimes one that has been revoked."""
    if fleet.revoked_keys and fleet.rng.random() < REVOKED_KEY_SHARE:
        return fleet.rng.choice(list(fleet.revoked_keys))
    return fleet.rng.choice(list(fleet.keys))


async def send_request(fleet, record, disconnect_after_s=None):
    """Sends one request and reads its answer, or disconnects before that."""
    timeout_s = record.limit_s = CALLER_TIMEOUT_S[record.kind]
    scope_s = (
        disconnect_after_s if disconnect_after_s is not None else timeout_s + 1
    )
    stream, is_reusable = None, False
    try:
        with trio.move_on_after(scope_s):
            stream = await _open_connection(fleet, record.host)
            is_reusable = await _exchange(record, stream, timeout_s)
            record.ended_incomplete = not record.is_whole
    except OSError:
        # The host has ended meanwhile.
        pass
    finally:
        record.ended_at = trio.current_time()
        if record.status == 0 and disconnect_after_s is not None:
            record.disconnected_at = record.ended_at
        if is_reusable:
            _release_connection(fleet, record.host, stream)
        elif stream is not None:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


async def _open_connection(fleet, host):
    """Returns an idle connection to a host, or a new one.

    Idle connections are pooled for each start of a host.
    """
    idle = fleet.idle_connections.get(id(host.world), [])
    while idle and fleet.rng.random() < REUSE_SHARE:
        stream, idle_since = idle.pop()
        if trio.current_time() - idle_since < REUSE_LIMIT_S:
            return stream
        await trio.aclose_forcefully(stream)
    return await host.world.connect()


def _release_connection(fleet, host, stream):
    idle = fleet.idle_connections.setdefault(id(host.world), [])
    idle.append((stream, trio.current_time()))


async def send_fatal_request(fleet, host, kind, content, request_id):
    """Sends one attempt of a request that crashes the server that runs it."""
    record = fleet_lib.CallerRecord(
        request_id, kind, trio.current_time(), host, next(iter(fleet.keys))
    )
    with trio.move_on_after(CALLER_TIMEOUT_S[kind] + 1):
        try:
            async with await host.world.connect() as stream:
                await _exchange(record, stream, CALLER_TIMEOUT_S[kind], content)
        except OSError:
            # The host has ended meanwhile.
            pass


async def send_request_with_part(fleet, host, part, number):
    """Sends a draft that is like no other but for a part of its prompt."""
    record = fleet_lib.CallerRecord(
        f'{part}-{number}',
        'draft',
        trio.current_time(),
        host,
        next(iter(fleet.keys)),
    )
    timeout_s = CALLER_TIMEOUT_S['draft']
    with trio.move_on_after(timeout_s + 1):
        try:
            async with await host.world.connect() as stream:
                await _exchange(
                    record,
                    stream,
                    timeout_s,
                    prefix_hash=f'{SHARED_PART}:10,{part}:10,e{number}:10',
                )
        except OSError:
            # The host has ended meanwhile.
            pass


async def _exchange(record, stream, timeout_s, content=None, **headers):
    """Makes one exchange; returns whether the connection is reusable."""
    if record.kind == 'draft':
        own_part = f'd{record.request_id.encode().hex()}'
        headers['x_events'] = str(record.events)
        headers.setdefault('prefix_hash', f'{SHARED_PART}:10,{own_part}:10')
    if content is None and record.kind != 'look':
        content = b'body of ' + record.request_id.encode()
    data = world_lib.make_request(
        f'/{record.kind}/x',
        'POST' if content else 'GET',
        content or b'',
        request_id=record.request_id,
        deadline_ms=str(int(timeout_s * 1000)),
        authorization=f'Bearer {record.key}',
        **headers,
    )
    # The host may close the connection while the request is being sent, after
    # it has sent an answer.
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(data)
        record.sent_at = trio.current_time()
    answer = await world_lib.read_answer(stream)
    record.status, headers, record.body, record.is_whole = answer
    return record.is_whole and headers.get('connection') != 'close'
