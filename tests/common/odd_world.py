"""Odd listings, and checks that a host goes on whatever it has read."""

import json

import trio

from tests.common import gateway_world as world_lib
from tests.common import odd_values

LIMIT_S = 15.0
ENTRY = world_lib.Server('i-1', 'llm').entry(
    address='10.0.0.1:80', layers={'from': 0, 'target': 2, 'version': 1}
)
COUNTS = (
    'slots',
    'born',
    'sequence',
    'cold_remaining_ms',
    'layers.from',
    'layers.target',
    'layers.version',
)
TEXTS = ('service', 'address', 'zone', 'state', 'kind')
HOST_ROW = {
    'callers': '10.0.0.1:1',
    'beats': '10.0.0.1:2',
    'relay': '10.0.0.1:3',
    'domain': 'east',
    'incarnation': 'x',
    'is_leaving': False,
}


def odd_listings(entry=ENTRY):
    """Returns odd listings by name; each is another thing that is wrong."""
    listings = dict(odd_values.NO_OBJECTS)
    listings['a deep unknown field'] = odd_values.set_field(
        entry, 'unknown', odd_values.DEEP
    )
    for field in COUNTS:
        for name, raw in odd_values.BAD_COUNTS.items():
            if (field, name) == ('cold_remaining_ms', 'a fraction'):
                continue
            listings[f'{field}: {name}'] = odd_values.set_field(
                entry, field, raw
            )
    for field in TEXTS:
        for name, raw in odd_values.BAD_TEXTS.items():
            listings[f'{field}: {name}'] = odd_values.set_field(
                entry, field, raw
            )
    for address in odd_values.BAD_ADDRESSES:
        raw = json.dumps(address).encode()
        listings[f'address {address[:20]!a}'] = odd_values.set_field(
            entry, 'address', raw
        )
    for field in ('service', 'address', 'zone', 'slots', 'state'):
        listings[f'without {field}'] = odd_values.without(entry, field)
    for layers in ({'from': 3, 'target': 1}, {'from': 3}, {'target': 3}, [1]):
        raw = json.dumps(layers).encode()
        listings[f'layers {layers}'] = odd_values.set_field(
            entry, 'layers', raw
        )
    listings['state dancing'] = odd_values.set_field(
        entry, 'state', b'"dancing"'
    )
    return listings


def skipped(caplog):
    return [
        record.decision_fields
        for record in caplog.records
        if getattr(record, 'decision_event', None)
        and record.decision_event.name == 'entry_skipped'
    ]


async def answer_completely(headers, stream):
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    head = world_lib.head(200, fixed, 'chunked')
    return world_lib.Answer(
        head, world_lib.chunk(world_lib.event(1)), b'0\r\n\r\n'
    )


async def answer_slowly(headers, stream):
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    pieces = [world_lib.head(200, fixed, 'chunked')]
    for number in range(1, 9):
        pieces += [world_lib.chunk(world_lib.event(number)), 0.5]
    return world_lib.Answer(*pieces, b'0\r\n\r\n')


async def ask_engine(world, request_id):
    return await world.ask(
        '/draft/x',
        'POST',
        b'p',
        token_usage='10,10',
        model='m',
        request_id=request_id,
        deadline_ms='8000',
    )


async def wait_until(condition):
    with trio.fail_after(LIMIT_S):
        while not condition():
            await trio.sleep(0.05)


async def check_goes_on(world, trap, caplog):
    """Checks that a host serves, follows changes and is healthy."""
    gateway = world.gateway
    for number in range(4):
        assert (await world.ask(request_id=f'a{number}'))[0] == 200
        assert (await ask_engine(world, f'b{number}'))[3]
    late = world_lib.Server('z-late', 'app')
    await late.start(world.nursery)
    await world.list_server(late)
    version = gateway.state.catalog.version
    await world.put_config(world_lib.make_config(version + 1))
    await wait_until(lambda: 'z-late' in gateway.state.endpoints.names())
    await wait_until(lambda: gateway.state.catalog.version == version + 1)
    await trio.sleep(3.0)
    assert gateway.supervisor._failures == {}
    assert gateway.is_ready()
    assert trap.requests == []
    assert trap.orders == []
    assert all(len(line['reason']) <= 200 for line in skipped(caplog))
