"""A real host process that reads odd entries goes on."""

import json

import trio

from sardinebend_adapter import store_client
from tests.common import gateway_world as world_lib
from tests.common import odd_values
from tests.soak import process_fleet

WRITE_INTERVAL_S = 1.0
SERVERS_READ_S = 2.5


async def ask(host, number):
    stream = await host.connect()
    async with stream:
        await stream.send_all(world_lib.make_request(request_id=f'r{number}'))
        return (await world_lib.read_answer(stream))[0]


def read_log(fleet, host):
    return (fleet.folder / f'{host.name}.log').read_text()


async def write_again_and_again(client, rows):
    """Writes rows like a server that renews its entry, so none expires."""
    while True:
        for table, key, value in rows:
            await client.write(table, key, None, value)
        await trio.sleep(WRITE_INTERVAL_S)


def make_rows(entry):
    values = [
        *odd_values.NO_OBJECTS.values(),
        odd_values.set_field(entry, 'unknown', odd_values.DEEP),
        odd_values.set_field(entry, 'slots', b'9' * 400),
        odd_values.set_field(entry, 'born', b'9' * 25),
        odd_values.set_field(entry, 'address', b'"127.0.0.1:99999"'),
        odd_values.set_field(entry, 'layers', b'{"from":5}'),
    ]
    return [
        (table, f'{prefix}a-odd-{number}', value)
        for table, prefix in (('servers', ''), ('sardinebend', 'host/'))
        for number, value in enumerate(values)
    ]


async def check_fleet(fleet, client, entry):
    rows = make_rows(entry)
    fleet.nursery.start_soon(write_again_and_again, client, rows)
    await trio.sleep(2 * WRITE_INTERVAL_S)
    # A host that starts reads them all at once.
    first = fleet.hosts[0]
    first.process.kill()
    first.start()
    with trio.fail_after(process_fleet.READY_S):
        while not await process_fleet.is_ok(first.readiness, '/-/readyz'):
            await trio.sleep(0.1)
    # A host is ready once it has the configuration, with or without servers.
    await trio.sleep(SERVERS_READ_S)
    # A later entry of another writer, which is sound.
    rows.append(('servers', 'late', json.dumps(entry).encode()))
    statuses = []
    with trio.fail_after(process_fleet.READY_S):
        while not all('"late"' in read_log(fleet, h) for h in fleet.hosts):
            for host in fleet.hosts:
                statuses.append(await ask(host, len(statuses)))
    assert set(statuses) == {200}
    for host in fleet.hosts:
        assert host.is_up
        assert await process_fleet.is_ok(host.readiness, '/-/readyz')
        log = read_log(fleet, host)
        assert '"entry_skipped"' in log
        assert '"task_failed"' not in log


# Guards against hosts that end, become unready or lose servers for an entry.
async def test_host_processes_go_on_with_odd_entries_in_the_store():
    async with trio.open_nursery() as nursery:
        fleet = process_fleet.ProcessFleet(nursery, 1, hosts=2, engines=2)
        try:
            await fleet.start()
            late = world_lib.Server('late', 'app')
            await late.start(nursery)
            address = f'http://{process_fleet.IP}:{fleet.store_port}'
            client = store_client.StoreClient(address)
            await check_fleet(fleet, client, late.entry())
        finally:
            fleet.close()
            nursery.cancel_scope.cancel()
