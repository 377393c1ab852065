"""The check of a platform configuration before it is sent."""

import json
import pathlib
import subprocess
import sys

import pytest

from sardinebend_adapter import check as check_lib
from sardinebend_policy import findings
from tests.common import gateway_world as world_lib

APP = {'service': 'app', 'weight': 1}
UNUSED = {'service': 'app', 'weight': 0}
KINDS = 'services[1].engine.kinds'


def make_config(*changes):
    """Returns a sound configuration with changes.

    Each change is the path of a list or an object, and what it gets or is
    updated with.
    """
    config = world_lib.make_config()
    for route in config['routes']:
        route['max_attempts'] = 1
    for path, change in changes:
        node = config
        for name in path.split('.'):
            node = node[int(name) if name.isdigit() else name]
        if isinstance(node, list):
            node.append(change)
        else:
            node.update(change)
    return config


def check(*changes, against=None):
    data = json.dumps(make_config(*changes)).encode()
    return check_lib.check(data, against and json.dumps(against).encode())


def test_a_sound_configuration_has_no_findings():
    assert check() == findings.Report([])


@pytest.mark.parametrize(
    ('path', 'change', 'level', 'found_at'),
    [
        ('routes.0', {'prefix': '/open/'}, 'warning', 'routes[0].prefix'),
        ('routes.0', {'prefix': '/book'}, 'warning', 'routes[0].prefix'),
        ('routes.0', {'service': 'x'}, 'error', 'routes[0].traffic_split'),
        (
            'routes.0',
            {'traffic_split': [APP, UNUSED]},
            'warning',
            'routes[0].traffic_split',
        ),
        (
            'routes.0',
            {'traffic_split': [UNUSED]},
            'warning',
            'routes[0].traffic_split',
        ),
        (
            'routes.2',
            {'timeout_ms': 400},
            'warning',
            'routes[2].target_latency_ms',
        ),
        (
            'routes.2',
            {'target_gap_ms': 9000},
            'warning',
            'routes[2].target_gap_ms',
        ),
        ('routes.0', {'timeout_ms': 0}, 'error', 'routes[0].timeout_ms'),
        ('routes.0', {'max_attempts': 2}, 'note', 'routes[0].max_attempts'),
        ('routes.0', {'priority': 12}, 'warning', 'routes[0].priority'),
        ('services', {'name': 'idle'}, 'warning', 'services[2].name'),
        ('services.1.engine', {'layer_mb': 5000}, 'error', KINDS),
        ('tenants', {'name': 'b'}, 'warning', 'tenants[1].api_keys'),
        ('tenants.0.api_keys', '', 'error', 'tenants[0].api_keys'),
        (
            'tenants',
            {'name': 'b', 'api_keys': [world_lib.KEY]},
            'warning',
            'tenants[0].api_keys',
        ),
        ('limits', {'idle_timeout_ms': 0}, 'error', 'limits.idle_timeout_ms'),
    ],
)
def test_an_entry_without_effect_or_against_others_is_found(
    path, change, level, found_at
):
    report = check((path, change))
    assert (level, found_at) in [(f.level, f.path) for f in report.findings]
    assert report.exit_code == {'error': 2, 'warning': 8, 'note': 0}[level]


def test_all_entries_that_hosts_refuse_are_errors_with_their_values():
    report = check(
        ('routes.1', {'timeout_ms': 'soon'}),
        ('routes.2', {'hostname': None}),
        ('routes.3', {'kind': 'sometimes'}),
        ('services.1.engine.kinds.0', {'pace': -1}),
        ('services', {'health_path': '/'}),
        ('tenants.0', {'api_keys': ['secret', 5]}),
    )
    assert {f.path: f.value for f in report.findings} == {
        'routes[1].timeout_ms': 'soon',
        'routes[2].hostname': None,
        'routes[3]': None,
        f'{KINDS}[0].pace': -1,
        'services[2].name': None,
        'tenants[0].api_keys[1]': findings.HIDDEN,
    }
    assert {f.level for f in report.findings} == {'error'}
    assert 'secret' not in report.format(as_json=False)


def test_differences_are_shown_and_a_version_that_does_not_rise_is_an_error():
    report = check(
        ('routes.0', {'timeout_ms': 1000}),
        ('tenants.0.api_keys', 'another'),
        against=make_config(),
    )
    assert [(f.level, f.path) for f in report.findings] == [
        ('error', 'version')
    ]
    assert [tuple(d) for d in report.differences] == [
        ('customer vanua keys', '1 (hidden)', '2 (hidden)'),
        (f'route {world_lib.HOST}/book/ timeout_s', 2.0, 1.0),
    ]


@pytest.mark.parametrize('data', [b'', b'{', b'[]', b'\xff', b'{"routes": 5}'])
def test_an_odd_file_gets_an_error_and_its_exit_code(data, tmp_path, capsys):
    path = tmp_path / 'config.json'
    path.write_bytes(data)
    assert check_lib.main([str(path), '--json']) == findings.EXIT_ERRORS
    assert json.loads(capsys.readouterr().out)['findings']
    assert check_lib.main([str(tmp_path / 'none')]) == findings.EXIT_ERRORS
    assert 'No such file' in capsys.readouterr().err


# Guards against hosts that end as they start: a machine of the platform has
# only what deploy/requirements.txt names, and the settings package needs more.
@pytest.mark.parametrize('module', ['main', 'check'])
def test_the_programs_of_a_host_do_without_the_settings_package(module):
    root = pathlib.Path(__file__).parents[2]
    sources = [root / 'platform', *(root / 'packages').glob('*/src')]
    code = (
        'import sys; sys.modules["sardinebend_settings"] = None;'
        f'sys.path[:0] = {[str(path) for path in sources]!r};'
        f'import sardinebend_adapter.{module}'
    )
    done = subprocess.run([sys.executable, '-c', code], capture_output=True)
    assert (done.returncode, done.stderr) == (0, b'')
