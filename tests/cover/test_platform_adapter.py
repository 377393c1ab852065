"""The adapter: settings, rows and headers of the platform, good and bad."""

import json
import pathlib
import re

import h11
import pytest
import trio

from sardinebend_adapter import engine_codec
from sardinebend_adapter import node_settings
from sardinebend_adapter import request_codec
from sardinebend_adapter import state_codec
from sardinebend_adapter import store_client
from sardinebend_gateway import errors
from sardinebend_policy import endpoints
from sardinebend_store import errors as store_errors
from tests.common import gateway_world as world_lib

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS = """
node_name = "edge-east-1"
ip = "10.1.0.4"
zone = "east"
internal_ports = [7340, 7355]
seeds = ["10.1.0.4:8229", "10.2.0.4:8229"]
unknown_field = 1
[listen]
frontend = "10.1.0.4:8227"
readiness = "10.1.0.4:8220"
control = "10.1.0.4:8229"
directory = "10.1.0.4:8224"
[bounds]
revoke_ms = 4000
config_apply_ms = 1500
budget_window_s = 6
[platform]
address = "10.200.1.7:8223"
"""


def test_settings_are_read_and_unknown_fields_passed_over():
    cfg = node_settings.parse(SETTINGS)
    assert cfg.host.name == 'edge-east-1'
    assert cfg.host.revoke_s == 4.0
    assert cfg.host.apply_s == 1.5
    assert cfg.host.retry_window_s == 6.0
    assert cfg.beats.port == 7340
    assert str(cfg.relay) == '10.1.0.4:8229'
    assert len(cfg.seeds) == 2


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ('node_name = "edge-east-1"', ''),
        ('[listen]', '[listening]'),
        ('"10.1.0.4:8227"', '"10.1.0.4"'),
        ('"10.1.0.4:8227"', '"10.1.0.4:99999"'),
        ('revoke_ms = 4000', 'revoke_ms = -1'),
        ('revoke_ms = 4000', 'revoke_ms = "soon"'),
        ('[7340, 7355]', '7340'),
        ('ip =', 'ip = ='),
    ],
)
def test_faulty_settings_are_refused_with_a_reason(old, new):
    with pytest.raises(errors.InvalidSettings):
        node_settings.parse(SETTINGS.replace(old, new))


def read_config(**changes):
    config = world_lib.make_config(**changes)
    return state_codec.PlatformState().read_catalog(json.dumps(config).encode())


def test_a_configuration_becomes_routes_services_and_customers():
    found = read_config()
    route = found.find_route(world_lib.HOST, '/draft/x')
    assert (route.is_stream, route.may_resume, route.may_repeat) == (
        True,
        True,
        True,
    )
    assert found.find_route(world_lib.HOST, '/book/x').may_repeat is False
    assert found.find_customer(world_lib.KEY).name == 'vanua'
    assert found.services['llm'].engine.layers == world_lib.LAYERS
    assert found.services['app'].engine is None


def test_a_stream_that_may_not_resume_may_not_repeat():
    config = world_lib.make_config()
    config['routes'][2]['stream_resume'] = False
    found = state_codec.PlatformState().read_catalog(
        json.dumps(config).encode()
    )
    route = found.find_route(world_lib.HOST, '/draft/x')
    assert (route.may_resume, route.may_repeat) == (False, False)


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'{',
        b'[]',
        b'\xff\xfe',
        b'{"version": "new", "routes": [], "services": []}',
        b'{"routes": [], "services": []}',
        b'{"version": 1, "routes": [{}], "services": []}',
    ],
)
def test_what_is_no_configuration_is_malformed(value):
    with pytest.raises(errors.Malformed):
        state_codec.PlatformState().read_catalog(value)


GOOD = world_lib.Server('i-1', 'llm').entry(address='10.0.0.1:80')


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'dancing'},
        {'state': None},
        {'address': 'here'},
        {'address': 7},
        {'slots': 'many'},
        {'service': None},
        {'layers': [1, 2]},
        {'born': 'today'},
    ],
)
def test_a_malformed_listing_is_told_from_a_good_one(changes):
    codec = state_codec.PlatformState()
    assert codec.read_endpoint('i-1', json.dumps(GOOD).encode()).slots == 8
    with pytest.raises(errors.Malformed):
        codec.read_endpoint('i-1', json.dumps({**GOOD, **changes}).encode())


def test_missing_fields_of_a_listing_are_malformed():
    codec = state_codec.PlatformState()
    for name in ('service', 'address', 'state', 'zone'):
        entry = {k: v for k, v in GOOD.items() if k != name}
        with pytest.raises(errors.Malformed):
            codec.read_endpoint('i-1', json.dumps(entry).encode())


@pytest.mark.parametrize('body', [b'', b'[]', b'{"busy": "x"}'])
def test_what_is_no_report_is_malformed(body):
    with pytest.raises(errors.Malformed):
        engine_codec.PlatformEngines().read_report(body)


def test_an_order_names_layers_and_the_state_it_was_made_for():
    call = engine_codec.PlatformEngines().place(endpoints.Span(3, 9), 4)
    order = json.loads(call.body)
    assert (order['from'], order['target'], order['expected']) == (3, 9, 4)


@pytest.mark.parametrize('usage', [b'', b'1', b'a,b', b'1,2,3'])
def test_a_request_without_sound_usage_counts_as_no_model_request(usage):
    facts = request_codec.PlatformRequests().read_request(
        [(b'host', b'h'), (b'token-usage', usage)]
    )
    assert (facts.prompt_tokens, facts.answer_tokens) == (0, 0)


class StoreStandin:
    """Answers each call with the next of a list of raw answers."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.targets = []

    async def serve(self, stream):
        async with stream:
            while self.answers:
                conn = h11.Connection(h11.SERVER)
                req, body = await world_lib.read_request(conn, stream)
                if req is None:
                    return
                self.targets.append((req.target.decode(), body))
                status, text = self.answers.pop(0)
                if status == 0:
                    world_lib.reset(stream)
                    return
                await stream.send_all(
                    world_lib.head(status, [], body=text.encode())
                )


async def call_store(call, *answers):
    standin = StoreStandin(*answers)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, standin.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        client = store_client.StoreClient(f'http://127.0.0.1:{port}')
        answer = await call(client)
        await client.close()
        nursery.cancel_scope.cancel()
    return answer, standin.targets


ROW = '{"key":"a","value":"MQ==","row_version":5}'
ONE_ROW = '{"rows":[' + ROW + '],"has_more":true,"row_version":9}'
BAD_ROW = '{"rows":[{"key":1}],"row_version":3}'


async def test_pages_of_a_table_are_joined_as_of_the_first():
    pages = (
        (200, ONE_ROW),
        (200, '{"rows":[],"has_more":false,"row_version":12}'),
    )
    answer, targets = await call_store(lambda c: c.read_all('t'), *pages)
    assert answer.ok_value.version == 9
    assert answer.ok_value.rows[0].value == b'1'
    assert 'from=a%00' in targets[1][0]


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        ((410, ''), store_errors.HistoryLost),
        ((503, ''), store_errors.Unavailable),
        ((429, ''), store_errors.Unavailable),
        ((200, '{'), store_errors.Unavailable),
        (
            (200, '{"rows":[{"key":1}],"row_version":3}'),
            store_errors.Unavailable,
        ),
        ((200, '{"rows":[]}'), store_errors.Unavailable),
        ((0, ''), store_errors.Unavailable),
    ],
)
async def test_a_feed_without_a_sound_answer_is_an_error(answer, kind):
    found, _ = await call_store(lambda c: c.follow('t', 3, 0.0), answer)
    assert isinstance(found.err_value, kind)


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        ((503, ''), store_errors.Unavailable),
        ((429, ''), store_errors.Unavailable),
        ((403, ''), store_errors.Unavailable),
        ((412, ONE_ROW), store_errors.Conflict),
        ((500, ''), store_errors.Unclear),
        ((200, 'what'), store_errors.Unclear),
        ((0, ''), store_errors.Unclear),
    ],
)
async def test_a_write_is_known_undone_only_if_the_store_says_so(answer, kind):
    found, targets = await call_store(
        lambda c: c.write('t', 'a', 4, b'1'), answer
    )
    assert isinstance(found.err_value, kind)
    body = json.loads(targets[0][1])
    assert body['expected'][0]['row_version'] == 4


WIRE_NAMES = re.compile(
    r'response-seal|not-executed|expect-instance|hop-count|at-server'
    r'|prefix-hash|token-usage|deadline-ms|length-hint|request-priority'
    r'|rows-tx|rows-get|rows-feed|rows-parts|blob-put|blob-get|op/config'
    r'|/-/order|/-/report|/-/resolve|/-/readyz|SARDINEBEND_NODE_FILE'
    r'|target_latency_ms|stream_resume\b|drain_mode|stalled_servers',
    re.I,
)


def test_the_platforms_names_stay_within_the_adapter():
    found = [
        str(file.relative_to(ROOT))
        for file in (ROOT / 'packages').rglob('*.py')
        if 'tests' not in file.parts and WIRE_NAMES.search(file.read_text())
    ]
    assert found == []


def test_the_adapter_stays_under_a_tenth_of_the_code():
    def count(folder):
        return sum(
            len(file.read_text().splitlines())
            for file in (ROOT / folder).rglob('*.py')
            if 'tests' not in file.parts
        )

    adapter = count('platform')
    assert adapter * 10 < adapter + count('packages') + count('standins')


DATE = (b'Date', b'Fri, 04 Dec 2026 10:00:00 GMT')


@pytest.mark.parametrize(
    ('value', 'seconds'),
    [
        (b'2', 2.0),
        (b' 0.25 ', 0.25),
        (b'.5', 0.5),
        (b'7200', request_codec.MAX_BACKOFF_S),
        (b'9' * 400, request_codec.MAX_BACKOFF_S),
        (b'Fri, 04 Dec 2026 10:00:30 GMT', 30.0),
        (b'Fri, 04 Dec 2026 09:00:00 GMT', 0.0),
        (b'-1', None),
        (b'1e3', None),
        (b'nan', None),
        (b'soon', None),
        (b'Fri, 99 Dec', None),
        (b'', None),
    ],
)
def test_the_time_that_an_endpoint_names_is_read(value, seconds):
    codec = request_codec.PlatformRequests()
    facts = codec.read_answer(503, [(b'Retry-After', value), DATE])
    assert facts.backoff_s == seconds
    assert bool(facts.unread) == (seconds is None)


def test_only_a_server_that_is_unavailable_names_a_time():
    codec = request_codec.PlatformRequests()
    headers = [(b'Retry-After', b'2')]
    for status in (200, 421, 429, 500):
        assert codec.read_answer(status, headers).backoff_s is None
    lone_date = [(b'Retry-After', b'Fri, 04 Dec 2026 10:00:30 GMT')]
    assert codec.read_answer(503, lone_date).unread
