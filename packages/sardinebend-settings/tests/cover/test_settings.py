"""Tests of the tree: schema, inheritance, changes, invalid input."""

import contextlib

import hypothesis
from hypothesis import strategies as st
import pytest

from sardinebend_settings import changes
from sardinebend_settings import documents
from sardinebend_settings import errors
from sardinebend_settings import hostfile
from sardinebend_settings import keys
from sardinebend_settings import reference
from sardinebend_settings import tree as tree_lib

ENGINE = {
    'url': 'http://127.0.0.1:1',
    'failure_domain': 'ba',
    'role': 'engine',
    'model': 'tide',
    'model_version': '1',
    'first_layer': 0,
    'end_layer': 4,
}
ROUTE = {'model': 'tide', 'model_version': '1', 'layers': 4}
DOCUMENT = {
    'values': {
        'fleet': {'draft.max_attempts': 2},
        'fleet/region:viti/domain:ba': {'draft.max_attempts': 4},
        'fleet/customer:vanua': {'admission.weight': 3.0},
        'fleet/customer:vanua/route:r': {'draft.max_attempts': 5},
    },
    'routes': {'r': ROUTE},
    'endpoints': {'e': ENGINE},
}


def test_a_value_is_inherited_unless_a_more_specific_scope_sets_it():
    tree = tree_lib.Tree.from_document(DOCUMENT)
    key = 'draft.max_attempts'
    assert tree.resolve(key, ['fleet']) == (2, 'fleet')
    domain = tree_lib.parent_scopes('fleet/region:viti/domain:ba')
    assert tree.resolve(key, domain) == (4, 'fleet/region:viti/domain:ba')
    other = tree_lib.parent_scopes('fleet/region:viti/domain:nadi')
    assert tree.resolve(key, other) == (2, 'fleet')
    route = tree_lib.parent_scopes('fleet/customer:vanua/route:r')
    assert tree.resolve(key, route).value == 5
    assert tree.resolve('admission.weight', route).value == 3.0
    default = tree.resolve('hosts.answer_ttl_s', ['fleet'])
    assert default == (10, tree_lib.DEFAULT_ORIGIN)


INVALID_TREES = {
    'unknown-section': ({'x': {}}, 'x'),
    'section-not-an-object': ({'values': 3}, 'values'),
    'unknown-key': ({'values': {'fleet': {'x': 1}}}, 'values/fleet.x'),
    'unknown-scope': ({'values': {'planet': {}}}, 'values/planet'),
    'wrong-type': (
        {'values': {'fleet': {'draft.max_attempts': '3'}}},
        'from 1 to 10',
    ),
    'bool-for-number': (
        {'values': {'fleet': {'draft.max_attempts': True}}},
        'from 1 to 10',
    ),
    'out-of-range': (
        {'values': {'fleet': {'draft.max_attempts': 11}}},
        '11 is refused',
    ),
    'nan': (
        {'values': {'fleet': {'draft.stall_floor_s': float('nan')}}},
        'nan is refused',
    ),
    'floor-above-ceiling': (
        {'values': {'fleet': {'draft.stall_floor_s': 50.0}}},
        'draft.stall_ceiling_s',
    ),
    'unknown-endpoint-key': (
        {'endpoints': {'e': {**ENGINE, 'colour': 'red'}}},
        'endpoints/e.colour',
    ),
    'missing-endpoint-key': ({'endpoints': {'e': {'url': 'x'}}}, 'endpoints/e'),
    'bad-url': (
        {'endpoints': {'e': {**ENGINE, 'url': 'ftp://x'}}},
        'endpoints/e.url',
    ),
    'empty-range': (
        {'endpoints': {'e': {**ENGINE, 'first_layer': 4}}},
        'first_layer',
    ),
    'unknown-service': (
        {
            'endpoints': {
                'e': {
                    'url': 'http://x',
                    'failure_domain': 'd',
                    'role': 'service',
                    'service': 'x',
                }
            }
        },
        'a declared service',
    ),
    'uncovered-route': (
        {'routes': {'r': {**ROUTE, 'layers': 8}}, 'endpoints': {'e': ENGINE}},
        'layer 0 to layer 8',
    ),
    'key-not-hashed': (
        {'customers': {'c': {'key_hashes': ['plain secret']}}},
        '64 hexadecimal digits',
    ),
    'bad-name': ({'customers': {'a/b c': {}}}, 'customers/a/b c'),
}


@pytest.mark.parametrize('name', INVALID_TREES)
def test_the_error_for_an_invalid_tree_has_the_expected_text(name):
    document, expected = INVALID_TREES[name]
    with pytest.raises(errors.InvalidSetting) as caught:
        tree_lib.Tree.from_document(document)
    assert expected in str(caught.value)


def test_the_error_for_a_plain_key_does_not_contain_the_key():
    document = {'customers': {'c': {'key_hashes': ['plain secret']}}}
    with pytest.raises(errors.InvalidSetting) as caught:
        tree_lib.Tree.from_document(document)
    assert 'plain secret' not in str(caught.value)


JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text()),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(), inner, max_size=3),
    ),
    max_leaves=8,
)
SECTIONS = st.sampled_from(
    ['values', 'customers', 'operators', 'routes', 'services', 'endpoints']
)


@hypothesis.settings(
    derandomize=True, max_examples=400, deadline=None, database=None
)
@hypothesis.given(
    st.dictionaries(SECTIONS, st.dictionaries(st.text(max_size=8), JSON))
)
def test_loading_an_arbitrary_document_raises_only_settings_errors(document):
    with contextlib.suppress(errors.SettingsError):
        tree_lib.Tree.from_document(document)


def make_change(*edits, why='w'):
    return {
        'change_id': 'c',
        'why': why,
        'edits': [
            {'node': n, 'expected_version': v, 'value': x} for n, v, x in edits
        ],
    }


def test_a_version_conflict_has_the_current_and_the_proposed_value():
    tree = tree_lib.Tree.from_document(DOCUMENT)
    versions = dict.fromkeys(tree.nodes, 1)
    versions['values/fleet'] = 2
    change = make_change(('values/fleet', 1, {'draft.max_attempts': 9}))
    with pytest.raises(errors.VersionConflict) as caught:
        changes.apply_edits(tree, versions, change)
    assert caught.value.current_value == {'draft.max_attempts': 2}
    assert caught.value.proposed_value == {'draft.max_attempts': 9}


def test_a_change_that_leaves_a_route_without_all_layers_is_refused():
    tree = tree_lib.Tree.from_document(DOCUMENT)
    versions = dict.fromkeys(tree.nodes, 1)
    with pytest.raises(errors.UncoveredRoute):
        changes.apply_edits(
            tree, versions, make_change(('endpoints/e', 1, None))
        )


@pytest.mark.parametrize(
    'change',
    [
        make_change(),
        make_change(('values/fleet', 1, {}), why=' '),
        make_change(('values/fleet', 1, {}), ('values/fleet', 1, {})),
        make_change(*[(f'customers/c{n}', 0, {}) for n in range(501)]),
    ],
)
def test_a_malformed_change_is_refused(change):
    tree = tree_lib.Tree.from_document(DOCUMENT)
    with pytest.raises(errors.InvalidSetting):
        changes.apply_edits(tree, {}, change)


def test_list_differences_returns_the_changed_nodes():
    tree = tree_lib.Tree.from_document(DOCUMENT)
    versions = dict.fromkeys(tree.nodes, 1)
    after = changes.apply_edits(
        tree, versions, make_change(('customers/c', 0, {}))
    )
    assert after.version == 2
    assert changes.list_differences(tree, after) == [('customers/c', None, {})]


def test_with_changes_gives_the_tree_that_full_validation_gives():
    tree = tree_lib.Tree.from_document(DOCUMENT)
    changed = {'customers/c': {}, 'values/fleet': None}
    changed_tree = tree.with_changes(2, changed)
    nodes = {**tree.nodes, 'customers/c': {}}
    del nodes['values/fleet']
    assert changed_tree.nodes == tree_lib.Tree.from_nodes(2, nodes).nodes
    with pytest.raises(errors.UncoveredRoute):
        tree.with_changes(2, {'endpoints/e': None})
    with pytest.raises(errors.InvalidSetting):
        tree.with_changes(2, {'customers/c': {'x': 1}})


HOST_FILE = """{
  // One entry host.
  "host_id": "host-1", "region": "viti", "failure_domain": "ba",
  "callers": {"address": "127.0.0.1", "port": 8080},
  "peers": {"address": "127.0.0.1", "port": 8081},
}"""


def test_a_host_file_may_have_comments_and_a_trailing_comma(tmp_path):
    path = tmp_path / 'host.jsonc'
    path.write_text(HOST_FILE)
    assert hostfile.read_host_file(str(path))['host_id'] == 'host-1'


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('"region"', '"regoin"', 'regoin'),
        ('8080', '99999', '0 to 65535'),
        ('8080', '"80"', 'callers'),
        ('host-1', '../x', 'a name matching'),
        ('}', '', 'host.jsonc'),
    ],
)
def test_the_error_for_an_invalid_host_file_names_the_fault(
    tmp_path, old, new, expected
):
    path = tmp_path / 'host.jsonc'
    path.write_text(HOST_FILE.replace(old, new))
    with pytest.raises(errors.SettingsError) as caught:
        hostfile.read_host_file(str(path))
    assert expected in str(caught.value)


def test_a_missing_or_binary_file_is_unreadable(tmp_path):
    with pytest.raises(errors.DocumentUnreadable):
        documents.read_file(str(tmp_path / 'none'))
    path = tmp_path / 'binary'
    path.write_bytes(b'\xff\xfe\0')
    with pytest.raises(errors.DocumentUnreadable):
        documents.read_file(str(path))


def test_every_default_is_within_the_range_of_its_key():
    for key in keys.KEYS.values():
        assert key.check(key.name, key.default) == key.default


def test_the_reference_page_names_every_key(snapshot):
    page = reference.render_reference()
    names = [*keys.KEYS, *hostfile.HostFile.__annotations__]
    names += tree_lib.Endpoint.__annotations__
    assert all(f'| `{name}` |' in page for name in names)
    assert ' |  |\n' not in page, 'a key without a meaning'
    assert page == snapshot
