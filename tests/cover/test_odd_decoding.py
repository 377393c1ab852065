"""Decoders of rows, reports and listings, given odd bytes and values."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from sardinebend_adapter import engine_codec
from sardinebend_adapter import state_codec
from sardinebend_gateway import errors
from sardinebend_gateway import shared_table
from sardinebend_policy import endpoints
from tests.common import gateway_world as world_lib
from tests.common import odd_values
from tests.common import odd_world


# Guards against RecursionError, ValueError and others that end the follower.
@pytest.mark.parametrize('name', odd_world.odd_listings())
def test_an_odd_listing_is_malformed(name):
    codec = state_codec.PlatformState()
    assert (
        codec.decode_endpoint('i-1', json.dumps(odd_world.ENTRY).encode()).slots
        == 8
    )
    with pytest.raises(errors.Malformed) as caught:
        codec.decode_endpoint('i-1', odd_world.odd_listings()[name])
    assert len(str(caught.value)) < 400


# Guards against an id that can't be sent as a header.
@pytest.mark.parametrize('key', ['', ' ', 'a b', 'a\nb', '\xe9', 'x' * 300])
def test_a_listing_under_an_odd_id_is_malformed(key):
    with pytest.raises(errors.Malformed):
        state_codec.PlatformState().decode_endpoint(
            key, json.dumps(odd_world.ENTRY).encode()
        )


# Guards against a RecursionError that ends the task that reads the table.
@pytest.mark.parametrize('name', odd_values.NO_OBJECTS)
def test_bytes_that_are_no_object_are_malformed_for_every_decoder(name):
    state = state_codec.PlatformState()
    engines = engine_codec.PlatformEngines()
    value = odd_values.NO_OBJECTS[name]
    for decode in (
        state.decode_catalog,
        engines.decode_report,
        shared_table.decode_host,
        shared_table.decode_lease,
        shared_table.decode_evidence,
    ):
        with pytest.raises(errors.Malformed):
            decode(value)
        if name.startswith('deep'):
            with pytest.raises(errors.Malformed):
                decode(b'{"x": ' + value + b'}')
    assert engines.decode_refusing_address(value) is None


# Guards against a heartbeat to such an address, whose error ends all of them.
@pytest.mark.parametrize('address', odd_values.BAD_ADDRESSES)
@pytest.mark.parametrize('field', ['callers', 'beats', 'relay'])
def test_a_host_row_with_an_odd_address_is_malformed(field, address):
    row = {**odd_world.HOST_ROW, field: address}
    assert shared_table.decode_host(json.dumps(odd_world.HOST_ROW).encode())
    with pytest.raises(errors.Malformed):
        shared_table.decode_host(json.dumps(row).encode())


@pytest.mark.parametrize('name', odd_values.BAD_COUNTS)
def test_a_report_or_lease_with_an_odd_number_is_malformed(name):
    raw = odd_values.BAD_COUNTS[name]
    with pytest.raises(errors.Malformed):
        engine_codec.PlatformEngines().decode_report(b'{"sequence":%s}' % raw)
    with pytest.raises(errors.Malformed):
        shared_table.decode_lease(b'{"holder":"h","fencing":%s}' % raw)


# Guards against evidence that makes heartbeats too large to be sent.
@pytest.mark.parametrize(
    'crashes',
    [
        {'c': 'x' * 70_000},
        {'c' * 70_000: 'x'},
        {f'c{n}': 'x' for n in range(9999)},
    ],
)
def test_evidence_that_is_too_long_for_heartbeats_is_malformed(crashes):
    with pytest.raises(errors.Malformed):
        shared_table.decode_evidence(json.dumps(crashes).encode())


# Guards against plans that take memory for each of 10**24 layers.
@pytest.mark.parametrize('layers', [-1, 10**6, 10**24, 10**400])
def test_a_configuration_with_absurd_layers_is_malformed(layers):
    config = world_lib.make_config()
    config['services'][1]['engine']['layers'] = layers
    with pytest.raises(errors.Malformed):
        state_codec.PlatformState().decode_catalog(json.dumps(config).encode())


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(-(10**30), 10**30)
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=5,
)
FIELDS = st.sampled_from([*odd_world.ENTRY, 'models', 'unknown'])


@hypothesis.given(st.dictionaries(FIELDS, JSON_VALUES, max_size=4), st.text())
@hypothesis.settings(
    derandomize=True, max_examples=600, deadline=None, database=None
)
def test_any_listing_is_either_usable_or_malformed(changes, key):
    value = json.dumps({**odd_world.ENTRY, **changes}).encode()
    try:
        endpoint = state_codec.PlatformState().decode_endpoint(key, value)
    except errors.Malformed:
        return
    assert 0 <= endpoint.slots <= state_codec.MAX_SLOTS
    assert 0 <= endpoint.born < 2**63
    assert endpoint.span is None or endpoint.span.fits(state_codec.MAX_LAYERS)


@hypothesis.given(st.binary(max_size=60) | JSON_VALUES.map(json.dumps))
@hypothesis.settings(
    derandomize=True, max_examples=600, deadline=None, database=None
)
def test_no_bytes_make_a_decoder_raise_anything_else(value):
    value = value if isinstance(value, bytes) else value.encode()
    state = state_codec.PlatformState()
    for decode in (
        lambda data: state.decode_endpoint('i-1', data),
        state.decode_catalog,
        engine_codec.PlatformEngines().decode_report,
        engine_codec.PlatformEngines().decode_refusing_address,
        shared_table.decode_host,
        shared_table.decode_lease,
        shared_table.decode_evidence,
    ):
        try:
            decode(value)
        except errors.Malformed as exc:
            assert len(str(exc)) < 1000


@hypothesis.given(FIELDS.filter(lambda f: f != 'models'), JSON_VALUES)
@hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
def test_a_configuration_with_any_odd_engine_field_is_typed(field, value):
    config = world_lib.make_config()
    names = sorted(config['services'][1]['engine'])
    name = names[len(field) % len(names)]
    config['services'][1]['engine'][name] = value
    config['routes'][0]['timeout_ms'] = value
    data = json.dumps(config).encode()
    try:
        state_codec.PlatformState().decode_catalog(data)
    except errors.Malformed:
        return


def test_a_path_has_no_engine_with_layers_beyond_the_model():
    assert endpoints.Span(0, 4).fits(4)
    assert not endpoints.Span(0, 5).fits(4)
    assert not endpoints.Span(-1, 2).fits(4)
