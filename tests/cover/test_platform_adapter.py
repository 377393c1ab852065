"""Tests of the adapter: valid and invalid settings, rows and headers."""

import json
import logging
import os
import pathlib
import re
import sys

import h11
import pytest
import trio

from sardinebend_adapter import engine_codec
from sardinebend_adapter import main as adapter_main
from sardinebend_adapter import node_settings
from sardinebend_adapter import request_codec
from sardinebend_adapter import state_codec
from sardinebend_adapter import store_client
from sardinebend_gateway import audit
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_policy import endpoints
from sardinebend_store import errors as store_errors
from sardinebend_store import feeds
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


def test_settings_are_parsed_and_unknown_fields_are_ignored():
    cfg = node_settings.parse(SETTINGS)
    assert cfg.host.name == 'edge-east-1'
    assert cfg.host.revoke_s == 4.0
    assert cfg.host.apply_s == 1.5
    assert cfg.host.retry_window_s == 6.0
    assert cfg.heartbeats.port == 7340
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
def test_invalid_settings_raise_invalid_settings(old, new):
    with pytest.raises(errors.InvalidSettings):
        node_settings.parse(SETTINGS.replace(old, new))


# Guards against a reload that ends the process, and so cuts every stream, since
# a value of the settings file is of an unexpected kind.
@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ('[bounds]', '[[bounds]]'),
        ('[bounds]', '[bounds]\nbudget_extra_retries = inf'),
        ('4000', '9' * 400),
        ('4000', '9' * 5000),
        ('"10.1.0.4:8227"', '3'),
        ('"10.2.0.4:8229"', '3'),
        ('[7340, 7355]', '[inf, 7355]'),
        ('[7340, 7355]', '[' * 5000 + ']' * 5000),
    ],
)
def test_a_settings_file_of_odd_values_is_rejected(old, new, monkeypatch):
    gateway = LoggingGateway(node_settings.parse(SETTINGS).host)
    assert SETTINGS.count(old) == 1
    odd = SETTINGS.replace(old, new)
    monkeypatch.setattr(
        adapter_main, 'read_settings', lambda: node_settings.parse(odd)
    )
    adapter_main.reload_settings(gateway)
    assert [name for name, _ in gateway.lines] == ['settings_rejected']


def decode_config(**changes):
    config = world_lib.make_config(**changes)
    return state_codec.PlatformState().decode_catalog(
        json.dumps(config).encode()
    )


def test_a_configuration_is_decoded_to_routes_services_and_customers():
    catalog = decode_config()
    route = catalog.find_route(world_lib.HOST, '/draft/x')
    assert (route.is_stream, route.may_resume, route.may_repeat) == (
        True,
        True,
        True,
    )
    assert catalog.find_route(world_lib.HOST, '/book/x').may_repeat is False
    assert catalog.find_customer(world_lib.KEY).name == 'vanua'
    assert catalog.services['llm'].engine.layers == world_lib.LAYERS
    assert catalog.services['app'].engine is None


def test_the_figures_of_an_engine_are_decoded_in_ms_and_tokens():
    config = world_lib.make_config()
    config['services'][1]['engine'] |= {
        'stride': 5,
        'chunk': 512,
        'context_per_k': 0.01024,
        'pairs_per_m': 0.166,
    }
    catalog = state_codec.PlatformState().decode_catalog(
        json.dumps(config).encode()
    )
    engine = catalog.services['llm'].engine
    assert (engine.stride, engine.chunk_tokens) == (5, 512.0)
    assert engine.context_ms_per_token == pytest.approx(1.024e-5)
    assert engine.read_ms_per_pair == pytest.approx(1.66e-7)


def test_a_stream_route_without_resumption_is_not_repeatable():
    config = world_lib.make_config()
    config['routes'][2]['stream_resume'] = False
    catalog = state_codec.PlatformState().decode_catalog(
        json.dumps(config).encode()
    )
    route = catalog.find_route(world_lib.HOST, '/draft/x')
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
def test_an_invalid_configuration_is_malformed(value):
    with pytest.raises(errors.Malformed):
        state_codec.PlatformState().decode_catalog(value)


VALID_ENTRY = world_lib.Server('i-1', 'llm').entry(address='10.0.0.1:80')


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
def test_a_listing_with_an_invalid_field_is_malformed(changes):
    codec = state_codec.PlatformState()
    assert (
        codec.decode_endpoint('i-1', json.dumps(VALID_ENTRY).encode()).slots
        == 8
    )
    with pytest.raises(errors.Malformed):
        codec.decode_endpoint(
            'i-1', json.dumps({**VALID_ENTRY, **changes}).encode()
        )


def test_a_listing_without_a_required_field_is_malformed():
    codec = state_codec.PlatformState()
    for name in ('service', 'address', 'state', 'zone'):
        entry = {k: v for k, v in VALID_ENTRY.items() if k != name}
        with pytest.raises(errors.Malformed):
            codec.decode_endpoint('i-1', json.dumps(entry).encode())


@pytest.mark.parametrize('body', [b'', b'[]', b'{"busy": "x"}'])
def test_an_invalid_report_is_malformed(body):
    with pytest.raises(errors.Malformed):
        engine_codec.PlatformEngines().decode_report(body)


def test_a_placement_order_has_the_layers_and_the_expected_order_count():
    call = engine_codec.PlatformEngines().place(endpoints.Span(3, 9), 4)
    order = json.loads(call.body)
    assert (order['from'], order['target'], order['expected']) == (3, 9, 4)


@pytest.mark.parametrize('usage', [b'', b'1', b'a,b', b'1,2,3'])
def test_a_request_with_malformed_token_usage_has_no_tokens(usage):
    facts = request_codec.PlatformRequests().decode_request(
        [(b'host', b'h'), (b'token-usage', usage)]
    )
    assert (facts.prompt_tokens, facts.answer_tokens) == (0, 0)


class ScriptedStore:
    """Answers each request with the next of a list.

    An answer is a status, a body and the store's era, if it names one.
    """

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
                status, text, *era = self.answers.pop(0)
                headers = [('Store-Era', value) for value in era]
                if status == 0:
                    world_lib.reset(stream)
                    return
                await stream.send_all(
                    world_lib.head(status, headers, body=text.encode())
                )


async def call_store(call, *answers):
    store = ScriptedStore(*answers)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, store.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        client = store_client.StoreClient(f'http://127.0.0.1:{port}')
        answer = await call(client)
        await client.close()
        nursery.cancel_scope.cancel()
    return answer, store.targets


ROW = '{"key":"a","value":"MQ==","row_version":5}'
ONE_ROW = '{"rows":[' + ROW + '],"has_more":true,"row_version":9}'
BAD_ROW = '{"rows":[{"key":1}],"row_version":3}'


async def test_pages_of_a_table_are_joined_with_the_version_of_the_first():
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
async def test_following_a_table_with_a_failed_reply_returns_an_error(
    answer, kind
):
    outcome, _ = await call_store(lambda c: c.follow('t', 3, 0.0), answer)
    assert isinstance(outcome.err_value, kind)


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
async def test_a_failed_write_is_unclear_unless_the_store_refused_it(
    answer, kind
):
    outcome, targets = await call_store(
        lambda c: c.write('t', 'a', 4, b'1'), answer
    )
    assert isinstance(outcome.err_value, kind)
    body = json.loads(targets[0][1])
    assert body['expected'][0]['row_version'] == 4


EMPTY = '{"rows":[],"row_version":7}'
WRITTEN = '{"row_version":8}'


async def test_versions_hold_the_era_that_the_store_names():
    async def call(client):
        changes = (await client.read_all('t')).ok_value
        follow = await client.follow('t', changes.version, 0.0)
        write = await client.write('t', 'a', changes.version, b'1')
        return changes.version, follow.ok_value.version, write.ok_value

    answers = (200, EMPTY, '3'), (200, EMPTY, '3'), (200, WRITTEN, '3')
    versions, targets = await call_store(call, *answers)
    assert [feeds.era_of(version) for version in versions] == [3, 3, 3]
    assert [feeds.counter_of(version) for version in versions] == [7, 7, 8]
    assert 'after_revision=7' in targets[1][0]
    assert json.loads(targets[2][1])['expected'][0]['row_version'] == 7


@pytest.mark.parametrize(
    'answer', [(200, EMPTY, '4'), (410, '', '4'), (503, '', '4')]
)
async def test_any_answer_of_a_new_era_ends_following_from_the_old_one(answer):
    async def call(client):
        version = (await client.read_all('t')).ok_value.version
        await client.follow('t', version, 0.0)
        assert client.era == 4
        return await client.follow('t', version, 0.0)

    outcome, targets = await call_store(call, (200, EMPTY, '3'), answer)
    assert isinstance(outcome.err_value, store_errors.HistoryLost)
    assert len(targets) == 2


@pytest.mark.parametrize('era', [['2'], [], ['x'], ['-1'], ['9' * 40]])
async def test_an_answer_of_no_known_era_is_not_used(era):
    # Guards against rows, and acknowledgements of writes, of an earlier era.
    async def call(client):
        await client.read_all('t')
        return (
            await client.read_all('t'),
            await client.write('t', 'a', None, b'1'),
            client.era,
        )

    answers = (200, EMPTY, '3'), (200, EMPTY, *era), (200, WRITTEN, *era)
    (read, write, known), _ = await call_store(call, *answers)
    assert isinstance(read.err_value, store_errors.Unavailable)
    assert isinstance(write.err_value, store_errors.Unclear)
    assert known == 3


async def test_a_conditional_write_across_a_change_of_era_is_not_trusted():
    # Guards against a condition that holds only because a version was given
    # out again.
    async def call(client):
        version = (await client.read_all('t')).ok_value.version
        during = await client.write('t', 'a', version, b'1')
        after = await client.write('t', 'a', version, b'1')
        return during.err_value, after.err_value

    answers = (200, EMPTY, '3'), (200, WRITTEN, '4')
    (during, after), targets = await call_store(call, *answers)
    assert isinstance(during, store_errors.Unclear)
    assert isinstance(after, store_errors.Conflict)
    assert len(targets) == 2


async def test_pages_of_different_eras_are_not_joined():
    answers = (200, ONE_ROW, '3'), (200, EMPTY, '4')
    outcome, _ = await call_store(lambda c: c.read_all('t'), *answers)
    assert isinstance(outcome.err_value, store_errors.Unavailable)


WIRE_NAMES = re.compile(
    r'response-seal|not-executed|expect-instance|hop-count|at-server'
    r'|prefix-hash|token-usage|deadline-ms|length-hint|request-priority'
    r'|rows-tx|rows-get|rows-feed|rows-parts|blob-put|blob-get|op/config'
    r'|/-/order|/-/report|/-/resolve|/-/readyz|SARDINEBEND_NODE_FILE'
    r'|target_latency_ms|stream_resume\b|drain_mode|stalled_servers',
    re.I,
)


def test_wire_names_of_the_platform_occur_only_in_the_adapter():
    files = [
        str(file.relative_to(ROOT))
        for file in (ROOT / 'packages').rglob('*.py')
        if 'tests' not in file.parts and WIRE_NAMES.search(file.read_text())
    ]
    assert files == []


def test_the_adapter_is_less_than_a_tenth_of_the_code():
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
def test_a_retry_after_header_is_decoded_to_seconds(value, seconds):
    codec = request_codec.PlatformRequests()
    facts = codec.decode_answer(503, [(b'Retry-After', value), DATE])
    assert facts.backoff_s == seconds
    assert bool(facts.malformed_header) == (seconds is None)


def test_retry_after_needs_status_503_and_for_a_date_a_date_header():
    codec = request_codec.PlatformRequests()
    headers = [(b'Retry-After', b'2')]
    for status in (200, 421, 429, 500):
        assert codec.decode_answer(status, headers).backoff_s is None
    lone_date = [(b'Retry-After', b'Fri, 04 Dec 2026 10:00:30 GMT')]
    assert codec.decode_answer(503, lone_date).malformed_header


@pytest.mark.parametrize(
    ('values', 'parts'),
    [
        (
            [b'5c1e07a2:800,91BD3f06:410, e4402b7d:250'],
            ('5c1e07a2', '91bd3f06'),
        ),
        ([b'aa:1', b'bb:2', b'cc:3'], ('aa', 'bb')),
        ([b'aa:1,:2,,aa:4,bb'], ('aa',)),
        ([b'aa:1'], ()),
        ([b''], ()),
        ([], ()),
    ],
)
def test_shared_parts_of_a_prompt_are_all_its_ids_but_the_last(values, parts):
    headers = [(b'prefix-hash', value) for value in values]
    facts = request_codec.PlatformRequests().decode_request(headers)
    assert facts.shared_parts == parts


class LoggingGateway:
    """Settings and decisions of a gateway, with nothing else."""

    def __init__(self, cfg):
        self.state = self
        self.audit = self
        self.cfg = cfg
        self.lines = []

    def log(self, event, **fields):
        self.lines.append((event.name, fields))


def test_a_reload_is_compared_with_the_settings_in_force(monkeypatch):
    # Guards against a log that names changes of an earlier reload again.
    cfg = node_settings.parse(SETTINGS)
    gateway = LoggingGateway(cfg.host)
    newer = cfg._replace(host=cfg.host._replace(grace_s=99.0))
    for found in (newer, newer, cfg):
        monkeypatch.setattr(adapter_main, 'read_settings', lambda f=found: f)
        adapter_main.reload_settings(gateway)
    changes = [fields['changed'] for _, fields in gateway.lines]
    assert changes == [['grace_s'], [], ['grace_s']]


def test_a_rejected_settings_file_is_not_logged_as_reloaded(monkeypatch):
    def fail():
        raise errors.InvalidSettings('no node name')

    gateway = LoggingGateway(node_settings.parse(SETTINGS).host)
    monkeypatch.setattr(adapter_main, 'read_settings', fail)
    adapter_main.reload_settings(gateway)
    assert gateway.lines == [('settings_rejected', {'error': 'no node name'})]


@pytest.fixture(name='run_process')
def fixture_run_process(monkeypatch):
    """Returns a function that runs a host's `main` and returns its lines."""

    def run_process(run):
        reader, writer = os.pipe()
        cfg = node_settings.parse(SETTINGS)
        logger = logging.getLogger(audit.LOGGER_NAME)
        with os.fdopen(writer, 'w') as stdout, monkeypatch.context() as patch:
            patch.setattr(logger, 'handlers', [])
            patch.setattr(logger, 'propagate', False)
            patch.setattr(adapter_main, 'read_settings', lambda: cfg)
            patch.setattr(adapter_main, '_serve', run)
            patch.setattr(sys, 'stdout', stdout)
            with pytest.raises(ExceptionGroup):
                adapter_main.main()
        with os.fdopen(reader) as lines:
            return [json.loads(line) for line in lines]

    return run_process


def test_a_process_writes_the_counts_of_dropped_lines_before_it_ends(
    run_process,
):
    # Guards against lines of a host's last second that nobody knows of.
    async def drop_lines(cfg, signals):
        log = audit.Audit()
        for _ in range(audit.FAILURE_LINES_PER_S + 50):
            log.log(events.REQUEST_CUT, request='r1')
        raise ExceptionGroup('', [ZeroDivisionError('a bug')])

    last = run_process(drop_lines)[-1]
    assert last['event'] == 'lines_dropped'
    assert last['request_cut'] > 0


def test_a_process_that_an_error_ends_tells_so(run_process):
    # Guards against a host whose log just ends, like that of a killed one.
    async def fail(cfg, signals):
        raise ExceptionGroup('', [ZeroDivisionError('a bug')])

    last = run_process(fail)[-1]
    assert last['event'] == 'host_failed'
    assert "ZeroDivisionError('a bug')" in last['error']
