"""Callers of a soak: they ask, wait, leave early, and note what they saw."""

import contextlib

import trio

from tests.common import gateway_world as world_lib
from tests.soak import fleet as fleet_lib

KINDS = {'look': 0.35, 'book': 0.3, 'draft': 0.35}
PATIENCE_S = {'look': 1.5, 'book': 1.5, 'draft': 6.0}
LEAVING_SHARE = 0.15
STALE_SHARE = 0.3
A_SECOND = 14
OLD_KEY_SHARE = 0.2
KEPT_SHARE = 0.6
# Four fifths of the time for which hosts let a connection idle.
KEPT_S = 1.6


async def run(fleet):
    """Sends requests at a steady rate until cancelled."""
    number = 0
    while True:
        await trio.sleep(fleet.rng.expovariate(A_SECOND))
        # Some hold the address of a host that says that it isn't ready.
        is_stale = fleet.rng.random() < STALE_SHARE
        hosts = [h for h in fleet.hosts if h.is_ready() or is_stale and h.is_up]
        if not hosts:
            continue
        number += 1
        kind = fleet.rng.choices(list(KINDS), list(KINDS.values()))[0]
        asked = fleet_lib.Asked(
            f'q{number}',
            kind,
            trio.current_time(),
            fleet.rng.choice(hosts),
            _choose_key(fleet),
            was_ready=not is_stale,
        )
        fleet.asked.append(asked)
        leaves_s = None
        if fleet.rng.random() < LEAVING_SHARE:
            leaves_s = fleet.rng.uniform(0.02, 1.0)
        fleet.nursery.start_soon(ask, fleet, asked, leaves_s)


def _choose_key(fleet):
    """Returns a key; at times one that has been withdrawn."""
    if fleet.withdrawn and fleet.rng.random() < OLD_KEY_SHARE:
        return fleet.rng.choice(list(fleet.withdrawn))
    return fleet.rng.choice(list(fleet.keys))


async def ask(fleet, asked, leaves_s=None):
    """Sends one request and reads its answer, or leaves before."""
    patience_s = PATIENCE_S[asked.kind]
    scope_s = leaves_s if leaves_s is not None else patience_s + 1
    stream, is_kept = None, False
    try:
        with trio.move_on_after(scope_s):
            stream = await _take_connection(fleet, asked.host)
            is_kept = await _exchange(asked, stream, patience_s)
            asked.was_closed = not asked.is_whole
    except OSError:
        # The host has gone meanwhile.
        pass
    finally:
        asked.ended_at = trio.current_time()
        if asked.status == 0 and leaves_s is not None:
            asked.left_at = asked.ended_at
        if is_kept:
            _keep_connection(fleet, asked.host, stream)
        elif stream is not None:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


async def _take_connection(fleet, host):
    """Returns a connection that was kept, or a new one.

    Connections are kept until the process behind them is gone.
    """
    kept = fleet.kept.get(id(host.world), [])
    while kept and fleet.rng.random() < KEPT_SHARE:
        stream, since = kept.pop()
        if trio.current_time() - since < KEPT_S:
            return stream
        await trio.aclose_forcefully(stream)
    return await host.world.connect()


def _keep_connection(fleet, host, stream):
    kept = fleet.kept.setdefault(id(host.world), [])
    kept.append((stream, trio.current_time()))


async def ask_fatal(fleet, host, kind, content, request_id):
    """Sends one attempt of a request that ends what runs it."""
    asked = fleet_lib.Asked(
        request_id, kind, trio.current_time(), host, next(iter(fleet.keys))
    )
    with trio.move_on_after(PATIENCE_S[kind] + 1):
        try:
            async with await host.world.connect() as stream:
                await _exchange(asked, stream, PATIENCE_S[kind], content)
        except OSError:
            # The host has gone meanwhile.
            pass


async def _exchange(asked, stream, patience_s, content=None):
    """Makes one exchange; returns whether the connection may be kept."""
    if content is None and asked.kind != 'look':
        content = b'body of ' + asked.request_id.encode()
    data = world_lib.make_request(
        f'/{asked.kind}/x',
        'POST' if content else 'GET',
        content or b'',
        request_id=asked.request_id,
        deadline_ms=str(int(patience_s * 1000)),
        authorization=f'Bearer {asked.key}',
    )
    # Closed while sending; an answer may have come before.
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(data)
        asked.sent_at = trio.current_time()
    answer = await world_lib.read_answer(stream)
    asked.status, headers, asked.body, asked.is_whole = answer
    return asked.is_whole and headers.get('connection') != 'close'
