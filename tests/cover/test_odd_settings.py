"""The platform's settings file of a host, given odd values."""

import json

import hypothesis
from hypothesis import strategies as st

from sardinebend_adapter import node_settings
from sardinebend_gateway import errors

LISTEN = {
    'frontend': '10.1.0.4:8227',
    'readiness': '10.1.0.4:8220',
    'control': '10.1.0.4:8229',
    'directory': '10.1.0.4:8224',
}
BOUNDS = {
    'grace_s': 8,
    'config_apply_ms': 2000,
    'drain_ms': 2000,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_extra_retries': 196,
    'budget_window_s': 10,
    'ttl_max_s': 5,
}
FILE = {
    'node_name': 'edge-east-1',
    'ip': '10.1.0.4',
    'zone': 'east',
    'internal_ports': [7340, 7355],
    'seeds': ['10.1.0.4:8229'],
    'listen': LISTEN,
    'limits': {'memory_mb': 300, 'link_mbps': 1000.0},
    'bounds': BOUNDS,
    'platform': {'address': '10.200.1.7:8223'},
}
PATHS = [
    (name, inner)
    for name, value in FILE.items()
    for inner in [None, *(value if isinstance(value, dict) else ())]
]
TEXTS = st.text(
    st.characters(codec='utf-8', exclude_characters='\x7f'), max_size=8
)
VALUES = st.recursive(
    st.booleans()
    | st.integers(-9, 70_000)
    | st.integers(-(10**400), 10**400)
    | st.floats()
    | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=5,
)
# A message may quote a value, which may be long.
MAX_MESSAGE_CHARS = 300


def to_toml(value):
    """Returns a value as TOML on one line."""
    if isinstance(value, dict):
        fields = (f'{to_toml(k)} = {to_toml(v)}' for k, v in value.items())
        return '{' + ', '.join(fields) + '}'
    if isinstance(value, list):
        return '[' + ', '.join(map(to_toml, value)) + ']'
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False)
    return str(value).lower()


def make_text(path, value):
    """Returns a file's text with one field changed."""
    name, inner = path
    data = dict(FILE)
    data[name] = value if inner is None else {**data[name], inner: value}
    return '\n'.join(f'{k} = {to_toml(v)}' for k, v in data.items())


def test_the_unchanged_file_is_valid():
    cfg = node_settings.parse(make_text(('zone', None), 'east'))
    assert cfg.host.extra_retries == 196
    assert cfg.metrics.port == 7355


# Guards against a host that doesn't start at a deployment played at a share of
# its size, whose bounds are fractions.
def test_a_bound_on_retries_may_be_a_fraction():
    cfg = node_settings.parse(
        make_text(('bounds', 'budget_extra_retries'), 74.1)
    )
    assert cfg.host.extra_retries == 74


# Guards against a host that starts, or goes on after a reload, with values that
# no host can use, and against messages that don't say which field is wrong.
@hypothesis.given(st.sampled_from(PATHS), VALUES)
@hypothesis.settings(
    derandomize=True, max_examples=2000, deadline=None, database=None
)
def test_any_settings_file_is_either_usable_or_rejected_by_its_field(
    path, value
):
    try:
        cfg = node_settings.parse(make_text(path, value))
    except errors.InvalidSettings as exc:
        assert len(str(exc)) <= MAX_MESSAGE_CHARS
        name, inner = path
        assert name in str(exc) or (inner is not None and inner in str(exc))
        return
    host = cfg.host
    if path == ('node_name', None):
        assert host.name == value
    if path == ('zone', None):
        assert host.domain == value
    assert cfg.heartbeats.ip
    assert host.extra_retries >= 0
    for address in (cfg.heartbeats, cfg.metrics, cfg.relay, host.callers):
        assert 0 < address.port < 65536
