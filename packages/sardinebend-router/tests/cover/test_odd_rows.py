"""Odd rows of the table, and odd answers of engines, at the product's hosts."""

import pytest
import result
import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import routes
from sardinebend_router import engines
from sardinebend_router import settings_store
from sardinebend_store import errors
from sardinebend_store import memory
from sardinebend_store import remote
from sardinebend_store import store
from tests.common import gateway_world as world_lib
from tests.common import odd_values

SPEC = routes.ModelSpec('tide', '1', 2)
ROUTE = routes.PipelineRoute(SPEC, (routes.Stage('e', 0, 2),))
REQUEST = msg.DraftRequest('r', 'vanua', 'f', SPEC, 'p', 4, 100.0)
ORDER = engines.DraftOrder(REQUEST, msg.SendOrder(2, ROUTE, 0, (), 100.0))


# Guards against a RecursionError that ends the process.
@pytest.mark.parametrize('name', odd_values.NO_OBJECTS)
def test_an_odd_line_of_a_stream_breaks_only_that_stream(name):
    value = odd_values.NO_OBJECTS[name]
    lines = [value]
    if name.startswith('deep'):
        lines.append(b'{"x": ' + value + b'}')
    for line in lines:
        assert engines.decode_line(line, ORDER) == msg.StreamBroken(2)


async def serve_body(nursery, body):
    async def serve(stream):
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(world_lib.head(200, [], body=body))

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    return f'http://127.0.0.1:{listeners[0].socket.getsockname()[1]}'


BODIES = [b'{"x": ' + odd_values.DEEP + b'}', *odd_values.NO_OBJECTS.values()]


@pytest.mark.parametrize('body', BODIES, ids=range(len(BODIES)))
async def test_an_odd_load_report_or_health_answer_is_none(body):
    async with trio.open_nursery() as nursery:
        url = await serve_body(nursery, body)
        fleet = fleet_lib.Fleet()
        fleet.apply_specs([fleet_lib.EndpointSpec('e', url, 'east')])
        driver = engines.ForwardingDriver(fleet)
        assert not await driver.fetch_load('e')
        assert not await driver.probe('e', 1.0)
        await driver.close()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('body', BODIES, ids=range(len(BODIES)))
async def test_an_odd_reply_of_the_table_or_the_host_list_is_unavailable(body):
    async with trio.open_nursery() as nursery:
        url = await serve_body(nursery, body)
        table = remote.RemoteTable.from_url(url)
        hosts = remote.RemoteHostList.from_url(url)
        answers = [await table.scan('x'), await hosts.fetch()]
        if body != b'null':
            answers.append(await table.read('x'))
        for answer in answers:
            if body == b'[]' and answer is answers[0]:
                assert answer.ok_value == []
                continue
            assert isinstance(answer.err_value, errors.Unavailable)
        await table.close()
        await hosts.close()
        nursery.cancel_scope.cancel()


ODD_VALUES = [
    {},
    {'version': None},
    {'version': '7'},
    {'version': 1.5},
    {'value': 3},
    {'version': 2, 'nodes': []},
    {'version': 2, 'nodes': {'a': 3}},
    {'version': 2, 'nodes': {'a': {'before': 1}}},
]


# Guards against a KeyError or TypeError that ends the task that polls the
# settings, and with it the host.
@pytest.mark.parametrize('value', ODD_VALUES, ids=str)
async def test_an_odd_row_of_the_settings_makes_them_unavailable(value):
    table = memory.MemoryTable()
    settings = settings_store.SettingsStore(table)
    keys = [settings_store.ROOT_KEY, settings_store.audit_key(2)]
    for key in keys:
        await table.transact([store.Write(key, 0, value)])
    for answer in (
        await settings.read_version(),
        await settings.load(),
        await settings.read_audit_entries(1),
    ):
        if isinstance(answer, result.Ok):
            assert value.get('version') == 2
        else:
            assert isinstance(answer.err_value, errors.Unavailable)
    assert isinstance(
        (await settings.read_audit_entries(1)).err_value, errors.Unavailable
    )


async def test_an_odd_node_of_the_settings_is_not_left_out():
    table = memory.MemoryTable()
    settings = settings_store.SettingsStore(table)
    node = f'{settings_store.NODE_PREFIX}a'
    root = {'version': 2, 'change_id': 'c'}
    await table.transact(
        [
            store.Write(settings_store.ROOT_KEY, 0, root),
            store.Write(node, 0, {'other': 1}),
        ]
    )
    loaded = await settings.load()
    assert isinstance(loaded.err_value, errors.Unavailable)
