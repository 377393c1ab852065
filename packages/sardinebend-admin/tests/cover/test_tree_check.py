"""Tests of the check of a settings tree before it is sent."""

import copy
import json

import pytest

from sardinebend_admin import tree_check
from sardinebend_policy import findings
from sardinebend_settings import errors
from sardinebend_settings import tree

KEY = 'ab' * 32
ENGINE = {
    'url': 'http://10.0.0.1:80',
    'failure_domain': 'd1',
    'role': 'engine',
    'model': 'm',
    'model_version': '1',
    'first_layer': 0,
    'end_layer': 4,
}
SOUND = {
    'values': {'fleet': {'draft.max_attempts': 2}},
    'customers': {'nile': {'key_hashes': [KEY]}},
    'services': {'seats': {'operations': {'hold': {}}}},
    'routes': {'assistant': {'model': 'm', 'model_version': '1', 'layers': 4}},
    'endpoints': {
        'e1': ENGINE,
        'e2': ENGINE,
        's1': {
            'url': 'http://10.0.0.2:80',
            'failure_domain': 'd1',
            'role': 'service',
            'service': 'seats',
        },
    },
}


def check(**sections):
    """Returns exit code, level and path of what is found in a changed tree.

    Args:
        sections: New and changed nodes by section.
    """
    document = copy.deepcopy(SOUND)
    for section, nodes in sections.items():
        document[section].update(nodes)
    report = tree_check.check(document)
    return report.exit_code, [(f.level, f.path) for f in report.findings]


def test_a_sound_tree_has_no_findings():
    assert check() == (0, [])


def test_all_errors_are_found_at_once_with_path_value_and_what_is_allowed():
    document = copy.deepcopy(SOUND)
    document['values']['fleet'] = {'retry.budget_ratio': 7}
    document['routes']['assistant']['layers'] = 'four'
    document['typo'] = {}
    document['customers']['nile'] = {'key_hashes': ['not a hash']}
    report = tree_check.check(document)
    assert report.exit_code == findings.EXIT_ERRORS
    found = {f.path: f for f in report.findings}
    assert set(found) == {
        'values/fleet.retry.budget_ratio',
        'routes/assistant',
        'typo',
        'customers/nile.key_hashes',
    }
    ratio = found['values/fleet.retry.budget_ratio']
    assert (ratio.value, ratio.allowed) == (7, 'a number from 0 to 1')
    assert 'not a hash' not in report.format(as_json=True)


def test_a_tree_that_is_wrong_as_a_whole_is_an_error():
    uncovered = {**ENGINE, 'first_layer': 1}
    code, found = check(endpoints={'e1': uncovered, 'e2': uncovered})
    assert (code, found) == (2, [('error', 'routes/assistant')])


@pytest.mark.parametrize(
    ('section', 'node', 'value', 'found_at'),
    [
        ('customers', 'idle', {}, '.key_hashes'),
        ('customers', 'twin', {'key_hashes': [KEY]}, '.key_hashes'),
        ('services', 'alone', {'operations': {'x': {}}}, ''),
        ('services', 'seats', {'operations': {}}, '.operations'),
        ('values', 'fleet/customer:gone', {}, ''),
        ('values', 'fleet/customer:nile/kind:a.b', {}, ''),
        (
            'values',
            'fleet',
            {'request.deadline_s': 2.0, 'service.reply_s': 3.0},
            '.service.reply_s',
        ),
        ('values', 'fleet', {'draft.max_attempts': 3}, '.draft.max_attempts'),
    ],
)
def test_what_has_no_effect_or_contradicts_itself_is_a_warning(
    section, node, value, found_at
):
    code, found = check(**{section: {node: value}})
    assert code == findings.EXIT_WARNINGS
    assert found == [('warning', f'{section}/{node}{found_at}')]


def test_a_model_version_that_is_prepared_is_only_a_note():
    code, found = check(endpoints={'e3': {**ENGINE, 'model_version': '2'}})
    assert (code, found) == (0, [('note', 'endpoints/e3.model_version')])


@pytest.mark.parametrize('is_output', [True, False])
def test_differences_from_the_tree_in_force_are_shown_without_keys(is_output):
    changed = copy.deepcopy(SOUND)
    changed['values']['fleet'] = {'draft.max_attempts': 1}
    changed['customers']['nile'] = {'key_hashes': [KEY, 'cd' * 32]}
    in_force = SOUND
    if is_output:
        nodes = tree.Tree.from_document(SOUND).nodes
        in_force = {
            'version': 3,
            'nodes': {p: {'value': v, 'version': 1} for p, v in nodes.items()},
        }
    report = tree_check.check(changed, in_force)
    assert report.exit_code == 0
    text = json.loads(report.format(as_json=True))
    assert text['differences'] == [
        {
            'path': 'customers/nile',
            'before': {'key_hashes': '1 (hidden)'},
            'after': {'key_hashes': '2 (hidden)'},
        },
        {
            'path': 'values/fleet',
            'before': {'draft.max_attempts': 2},
            'after': {'draft.max_attempts': 1},
        },
    ]


@pytest.mark.parametrize('odd', [None, 7, [], 'text', {'routes': 5}])
def test_an_odd_document_is_an_error_with_a_path(odd):
    report = tree_check.check(odd)
    assert report.exit_code == findings.EXIT_ERRORS
    assert all(finding.path for finding in report.findings)
    if odd is not None:
        with pytest.raises(errors.InvalidSetting):
            tree_check.check(SOUND, odd)
