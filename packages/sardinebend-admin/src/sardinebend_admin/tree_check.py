"""Checks a settings tree before it is sent: more than hosts refuse."""

import collections
import typing

from sardinebend_policy import findings
from sardinebend_settings import changes
from sardinebend_settings import errors
from sardinebend_settings import tree as tree_lib

_SECRET_SECTIONS: typing.Final = ('customers', 'operators')
# Waits within a request, which its deadline cuts short.
_WAITS: typing.Final = (
    'draft.first_token_s',
    'draft.stall_ceiling_s',
    'service.reply_s',
    'endpoint.connect_s',
    'retry.backoff_cap_s',
    'claim.insert_wait_s',
)

_Findings = typing.Iterator[findings.Finding]


def check(document: object, in_force: object | None = None) -> findings.Report:
    """Returns what is wrong with a document, and how it differs from another.

    Args:
        document: The tree, as the value of a file.
        in_force: The tree in force, as a document or as `settings get --json`
            prints it; `None` if it isn't known.

    Raises:
        errors.InvalidSetting: `in_force` is neither.
    """
    found = list(_check_nodes(document))
    if found:
        return findings.Report.make(found)
    tree = tree_lib.Tree.from_document(document)
    found = [
        *_check_unused(tree),
        *_check_keys(tree),
        *_check_scopes(tree),
        *_check_limits(tree),
    ]
    if in_force is None:
        return findings.Report.make(found)
    before = tree_lib.Tree(0, _read_nodes(in_force))
    differences = [
        findings.Difference(
            difference.node,
            _hide(difference.node, difference.before),
            _hide(difference.node, difference.after),
        )
        for difference in changes.list_differences(before, tree)
    ]
    return findings.Report.make(found, differences)


def _check_nodes(document: object) -> _Findings:
    """Yields an error for each section and node that hosts refuse."""
    if not isinstance(document, dict):
        yield _make_error(
            errors.InvalidSetting('tree', document, 'an object is expected')
        )
        return
    is_sound = True
    for section, items in document.items():
        parts = items.items() if isinstance(items, dict) else ()
        documents = [{section: {name: item}} for name, item in parts]
        if not documents:
            documents = [{section: items}]
        for one in documents:
            try:
                _check_alone(one)
            except errors.InvalidSetting as exc:
                is_sound = False
                yield _make_error(exc)
    if is_sound:
        try:
            tree_lib.Tree.from_document(document)
        except errors.InvalidSetting as exc:
            yield _make_error(exc)


def _check_alone(document: dict[str, typing.Any]) -> None:
    """Checks one node, or one section that has none."""
    ((section, items),) = document.items()
    if isinstance(items, dict) and items:
        ((name, value),) = items.items()
        tree_lib.check_node(f'{section}/{name}', value)
    else:
        tree_lib.Tree.from_document(document)


def _make_error(exc: errors.InvalidSetting) -> findings.Finding:
    return findings.Finding(
        findings.Level.ERROR, exc.path, _hide(exc.path, exc.value), exc.allowed
    )


def _warn(path: str, value: typing.Any, why: str) -> findings.Finding:
    return findings.Finding(findings.Level.WARNING, path, value, why)


def _hide(path: str, value: typing.Any) -> typing.Any:
    """Hides the hashes of keys."""
    if path.partition('/')[0] not in _SECRET_SECTIONS or value is None:
        return value
    if not isinstance(value, dict):
        return findings.HIDDEN
    return {
        name: f'{len(item)} {findings.HIDDEN}'
        if name == 'key_hashes' and isinstance(item, list)
        else item
        for name, item in value.items()
    }


def _check_unused(tree: tree_lib.Tree) -> _Findings:
    """Yields services, endpoints and holders of keys that nothing can use."""
    endpoints = tree.section('endpoints').values()
    served = {e.get('service') for e in endpoints if e['role'] == 'service'}
    for name, service in tree.section('services').items():
        path = f'services/{name}'
        if not service['operations']:
            yield _warn(f'{path}.operations', {}, 'no call matches it')
        if name not in served:
            yield _warn(path, name, 'no endpoint serves it')
    models = {
        (route['model'], route['model_version'])
        for route in tree.section('routes').values()
    }
    for name, endpoint in tree.section('endpoints').items():
        model = (endpoint.get('model'), endpoint.get('model_version'))
        if endpoint['role'] == 'engine' and model not in models:
            yield findings.Finding(
                findings.Level.NOTE,
                f'endpoints/{name}.model_version',
                ' '.join(str(text) for text in model),
                'no route asks for this version of the model yet',
            )


def _check_keys(tree: tree_lib.Tree) -> _Findings:
    for section in _SECRET_SECTIONS:
        owners = collections.defaultdict(list)
        for name, item in tree.section(section).items():
            path = f'{section}/{name}.key_hashes'
            hashes = item.get('key_hashes', [])
            if not hashes:
                yield _warn(path, [], 'without a key nobody can be it')
            for digest in set(hashes):
                owners[digest].append(name)
        for names in owners.values():
            if len(names) > 1:
                yield _warn(
                    f'{section}/{names[-1]}.key_hashes',
                    findings.HIDDEN,
                    f'a key belongs to one; {names[0]} has the same',
                )


def _check_scopes(tree: tree_lib.Tree) -> _Findings:
    """Yields scopes that no request is in."""
    known = {
        'customer': set(tree.section('customers')),
        'route': set(tree.section('routes')),
        'kind': {
            f'{name}.{operation}'
            for name, service in tree.section('services').items()
            for operation in service['operations']
        },
    }
    for scope in tree.section('values'):
        for part in scope.split('/')[1:]:
            kind, _, name = part.partition(':')
            if kind in known and name not in known[kind]:
                yield _warn(f'values/{scope}', name, f'there is no such {kind}')


def _check_limits(tree: tree_lib.Tree) -> _Findings:
    """Yields values that contradict each other, where a scope sets one."""
    for scope, branch in tree.section('values').items():
        parents = tree_lib.parent_scopes(scope)
        deadline_s = tree.resolve('request.deadline_s', parents).value
        for key in _WAITS:
            wait_s, origin = tree.resolve(key, parents)
            is_set_here = key in branch or 'request.deadline_s' in branch
            if not is_set_here or origin == tree_lib.DEFAULT_ORIGIN:
                continue
            if float(wait_s) > float(deadline_s):
                yield _warn(
                    f'values/{scope}.{key}',
                    wait_s,
                    f'at most request.deadline_s, {deadline_s} s',
                )
        attempts = tree.resolve('draft.max_attempts', parents).value
        if 'draft.max_attempts' in branch:
            yield from _check_attempts(tree, scope, int(attempts))


def _check_attempts(
    tree: tree_lib.Tree, scope: str, attempts: int
) -> _Findings:
    """Yields a route whose engines are fewer than the attempts of a draft."""
    named = scope.rpartition('/route:')[2] if '/route:' in scope else None
    for name, route in tree.section('routes').items():
        model = (route['model'], route['model_version'])
        firsts = sum(
            e.get('first_layer') == 0
            and (e.get('model'), e.get('model_version')) == model
            for e in tree.section('endpoints').values()
        )
        if named in (None, name) and attempts > firsts:
            yield _warn(
                f'values/{scope}.draft.max_attempts',
                attempts,
                f'at most {firsts}, the engines that route {name} can begin at',
            )


def _read_nodes(document: object) -> dict[str, typing.Any]:
    """Returns the nodes of a tree without checking it as a whole."""
    if isinstance(document, dict) and set(document) >= {'nodes', 'version'}:
        nodes = document['nodes']
        if isinstance(nodes, dict) and all(
            isinstance(node, dict) and 'value' in node
            for node in nodes.values()
        ):
            return {path: node['value'] for path, node in nodes.items()}
    return dict(tree_lib.Tree.from_document(document).nodes)
