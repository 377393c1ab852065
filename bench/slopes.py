"""Measures how a host's costs grow with the size of the fleet.

Each figure is the processor time of one operation in this process, or the
memory that a data structure takes, at several sizes. A documentation page
extrapolates them to the fleet expected in two years.
"""

import json
import pathlib
import random
import time
import tracemalloc
import typing

import defopt
import trio

from sardinebend_peers import codec
from sardinebend_peers import links
from sardinebend_peers import messages
from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import membership
from sardinebend_policy import planners
from sardinebend_policy import routes
from sardinebend_router import settings_state
from sardinebend_settings import tree as tree_lib

FILE: typing.Final = pathlib.Path('docs/reports/slopes.json')
ENDPOINT_COUNTS: typing.Final = (40, 400, 1600)
HOST_COUNTS: typing.Final = (8, 80, 360)
LAYERS: typing.Final = 48
STAGE_COUNT: typing.Final = 4
MODEL_COUNT: typing.Final = 14
REPEATS: typing.Final = 50
CALLS: typing.Final = 500
SECRET: typing.Final = b'a secret for the bench'


def make_nodes(endpoints: int) -> dict[str, typing.Any]:
    """Returns settings with a number of endpoints and 280 customers."""
    nodes: dict[str, typing.Any] = {'values/fleet': {}}
    layers_per_stage = LAYERS // STAGE_COUNT
    for number in range(endpoints):
        stage = number // MODEL_COUNT % STAGE_COUNT
        nodes[f'endpoints/e{number}'] = {
            'url': f'http://10.0.{number // 250}.{number % 250}:8000',
            'failure_domain': f'd{number % 7}',
            'role': 'engine',
            'model': f'm{number % MODEL_COUNT}',
            'model_version': '1',
            'first_layer': stage * layers_per_stage,
            'end_layer': stage * layers_per_stage + layers_per_stage,
        }
    for number in range(280):
        nodes[f'customers/c{number}'] = {'key_hashes': ['ab' * 32]}
    return nodes


def time_us(function: typing.Callable[[], object], repeats: int) -> float:
    """Returns the mean processor time of a call, in microseconds."""
    start = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - start) / repeats * 1e6


def measure_settings(endpoints: int) -> dict[str, float]:
    """Measures a settings tree: memory, encoded size and applying a change."""
    nodes = make_nodes(endpoints)
    tracemalloc.start()
    tree = tree_lib.Tree.from_nodes(1, nodes)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    state = settings_state.SettingsState(tree)
    whole = state.make_reply(0)
    change = messages.SettingsReply(2, 1, b'{"customers/c1": {}}')
    frame = codec.encode(codec.Envelope(1, True, change))

    def apply() -> None:
        settings_state.SettingsState(tree).apply_reply(change)

    return {
        'endpoints': endpoints,
        'nodes': len(nodes),
        'tree_kb': memory / 1e3,
        'whole_reply_kb': len(whole.nodes) / 1e3,
        'step_frame_bytes': len(frame),
        'apply_step_us': time_us(apply, REPEATS),
    }


def measure_fleet(endpoints: int) -> dict[str, float]:
    """Measures the fleet table and the selection of a pipeline."""
    nodes = make_nodes(endpoints)
    specs = [
        fleet_lib.EndpointSpec(
            path.removeprefix('endpoints/'),
            node['url'],
            node['failure_domain'],
            '',
            node['model'],
            '1',
            node['first_layer'],
            node['end_layer'],
        )
        for path, node in nodes.items()
        if path.startswith('endpoints/')
    ]
    tracemalloc.start()
    fleet = fleet_lib.Fleet()
    fleet.apply_specs(specs)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    planner = planners.SlowestStagePlanner(fleet, random.Random(1))
    pipeline_request = planners.PipelineQuery(
        routes.ModelSpec('m1', '1', LAYERS)
    )
    return {
        'endpoints': endpoints,
        'fleet_kb': memory / 1e3,
        'choose_us': time_us(
            lambda: planner.choose(pipeline_request, 0.0), REPEATS
        ),
        'count_pipelines_us': time_us(
            lambda: planners.count_pipelines(fleet, pipeline_request.spec, 0.0),
            REPEATS,
        ),
    }


def measure_membership(hosts: int) -> dict[str, float]:
    """Measures one host's list of all hosts."""
    rng = random.Random(1)
    tracemalloc.start()
    own = membership.Member('h0', 'd0', 'http://10.0.0.1:8080', '10.0.0.1:1')
    view = membership.Membership(own)
    view.apply_listing(
        (
            membership.Member(
                f'h{n}', f'd{n % 7}', f'http://10.0.0.{n}:1', f'10.0.0.{n}:2'
            ),
            False,
        )
        for n in range(hosts)
    )
    for member in view.list_members():
        # Settings version 1, no running requests, not leaving, ready.
        heartbeat = membership.Heartbeat(
            member.host_id, 'ab' * 8, 1, 0, False, True
        )
        view.record_heartbeat(heartbeat, 0.0)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'hosts': hosts,
        'view_kb': memory / 1e3,
        'peers_a_round': len(view.sample_peers(rng)),
        'order_addresses_us': time_us(
            lambda: view.order_addresses('d1', 8, 0.0, rng), REPEATS
        ),
    }


async def measure_heartbeats() -> dict[str, float]:
    """Measures heartbeats over TCP with both ends in this process."""
    # Settings version 12345, 75 running requests, not leaving, ready.
    heartbeat = messages.MembershipHeartbeat(
        membership.Heartbeat('host-123', 'ab' * 8, 12345, 75, False, True)
    )
    frame = codec.encode(codec.Envelope(12345, False, heartbeat))

    async def answer(message: messages.Message) -> messages.Message:
        return message

    [listener] = await trio.open_tcp_listeners(0, host='127.0.0.1')
    address = f'127.0.0.1:{listener.socket.getsockname()[1]}'
    async with trio.open_nursery() as nursery:
        server = links.PeerServer(answer, SECRET)
        nursery.start_soon(server.serve, listener)
        link = links.PeerLink(address, SECRET, nursery)
        await link.call(heartbeat, 5)
        start = time.process_time()
        for _ in range(CALLS):
            await link.call(heartbeat, 5)
        cpu_used_s = time.process_time() - start
        await link.close()
        nursery.cancel_scope.cancel()
    return {
        'frame_bytes': len(frame) + 4,
        'both_ends_us_per_call': cpu_used_s / CALLS * 1e6,
    }


def main() -> None:
    """Runs all measurements and writes the report."""
    results = {
        'settings': [measure_settings(size) for size in ENDPOINT_COUNTS],
        'fleet': [measure_fleet(size) for size in ENDPOINT_COUNTS],
        'membership': [measure_membership(size) for size in HOST_COUNTS],
        'heartbeat': trio.run(measure_heartbeats),
    }
    FILE.write_text(json.dumps(results, indent=1) + '\n')
    print(json.dumps(results, indent=1))


if __name__ == '__main__':
    defopt.run(main)
