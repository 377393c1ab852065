"""Commands of operators for settings, hosts, endpoints and requests.

Each command takes the address of an entry host from `--host` or
`SARDINEBEND_HOST`, and the operator's key from `--key-file` or
`SARDINEBEND_KEY`.
"""

import os
import secrets
import typing

from sardinebend_admin import client as client_lib
from sardinebend_admin import errors
from sardinebend_admin import show
from sardinebend_settings import documents
from sardinebend_settings import errors as settings_errors
from sardinebend_settings import tree as tree_lib

HOST_VARIABLE: typing.Final = 'SARDINEBEND_HOST'
KEY_VARIABLE: typing.Final = 'SARDINEBEND_KEY'
CHANGE_ID_BYTES: typing.Final = 12


def get(
    prefix: str = '',
    *,
    host: str = '',
    key_file: str = '',
    json: bool = False,
) -> None:
    """Shows settings nodes with their versions.

    Args:
        prefix: Show only nodes whose path starts with this prefix.
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    client = _make_client(host, key_file)
    body = client.get('settings', prefix=prefix)
    show.print_value(body if json else body['nodes'], json)


def set_node(
    node: str,
    file: str,
    *,
    why: str,
    expected_version: int = -1,
    change_id: str = '',
    host: str = '',
    key_file: str = '',
    json: bool = False,
) -> None:
    """Sets one settings node to the value in a file.

    Args:
        node: Path of the node, for instance values/fleet.
        file: File in JSON with comments that holds the value.
        why: Reason for the change, kept in the audit trail.
        expected_version: Version that the node must have; by default, the
            current version, which is read from the host first.
        change_id: Id of an earlier change with unknown outcome, to retry it.
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    value = _read_document(file)
    _convert_errors(lambda: tree_lib.check_node(node, value))
    client = _make_client(host, key_file)
    edit = _make_edit(client, node, value, expected_version)
    _send_change(client, [edit], why, change_id, json)


def remove(
    node: str,
    *,
    why: str,
    expected_version: int = -1,
    change_id: str = '',
    yes: bool = False,
    host: str = '',
    key_file: str = '',
    json: bool = False,
) -> None:
    """Removes one settings node.

    Args:
        node: Path of the node.
        why: Reason for the change, kept in the audit trail.
        expected_version: Version that the node must have; by default, the
            current version, which is read from the host first.
        change_id: Id of an earlier change with unknown outcome, to retry it.
        yes: Skip the confirmation.
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    _confirm(yes, f'Remove {node}?')
    client = _make_client(host, key_file)
    edit = _make_edit(client, node, None, expected_version)
    _send_change(client, [edit], why, change_id, json)


def diff(
    file: str,
    *,
    host: str = '',
    key_file: str = '',
    json: bool = False,
) -> None:
    """Shows the edits that would bring the settings to the tree in a file.

    Args:
        file: File in JSON with comments that holds the tree.
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    client = _make_client(host, key_file)
    edits = _list_edits(client, _read_tree(file))
    show.print_value(edits, json)


def apply(
    file: str,
    *,
    why: str,
    yes: bool = False,
    change_id: str = '',
    host: str = '',
    key_file: str = '',
    json: bool = False,
) -> None:
    """Replaces the settings with the tree in a file, in one change.

    Args:
        file: File in JSON with comments that holds the tree.
        why: Reason for the change, kept in the audit trail.
        yes: Skip the confirmation when nodes are removed.
        change_id: Id of an earlier change with unknown outcome, to retry it.
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    client = _make_client(host, key_file)
    edits = _list_edits(client, _read_tree(file))
    if not edits:
        show.print_value({'changed': 0}, json)
        return
    removed = [edit['node'] for edit in edits if edit['value'] is None]
    if removed:
        _confirm(yes, f'Remove {", ".join(removed)}?')
    _send_change(client, edits, why, change_id, json)


def history(
    after: int = 0,
    *,
    host: str = '',
    key_file: str = '',
    json: bool = False,
) -> None:
    """Shows the audit trail of accepted changes, oldest first.

    Args:
        after: Show only changes after this version.
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    client = _make_client(host, key_file)
    show.print_value(client.get('settings/history', after=str(after)), json)


def resolve(
    *,
    customer: str = '',
    route: str = '',
    kind: str = '',
    host: str = '',
    key_file: str = '',
    json: bool = False,
) -> None:
    """Shows each effective value and the scope that sets it.

    Args:
        customer: Customer to resolve for.
        route: Route to resolve for.
        kind: Kind of call to resolve for, service.operation.
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    client = _make_client(host, key_file)
    body = client.get(
        'settings/resolve', customer=customer, route=route, kind=kind
    )
    show.print_value(body if json else body['values'], json)


def hosts(*, host: str = '', key_file: str = '', json: bool = False) -> None:
    """Shows the entry hosts that an entry host knows.

    Args:
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    show.print_value(_make_client(host, key_file).get('hosts'), json)


def endpoints(
    *, host: str = '', key_file: str = '', json: bool = False
) -> None:
    """Shows the endpoints that an entry host knows.

    Args:
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    show.print_value(_make_client(host, key_file).get('endpoints'), json)


def routes(*, host: str = '', key_file: str = '', json: bool = False) -> None:
    """Shows the routes that callers can request.

    Args:
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    show.print_value(_make_client(host, key_file).get('routes'), json)


def requests(*, host: str = '', key_file: str = '', json: bool = False) -> None:
    """Shows the requests in flight at an entry host.

    Args:
        host: Address of an entry host.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    show.print_value(_make_client(host, key_file).get('requests'), json)


def drain(
    *,
    yes: bool = False,
    host: str = '',
    key_file: str = '',
    json: bool = False,
) -> None:
    """Starts a planned stop of an entry host; it can't be cancelled.

    Args:
        yes: Skip the confirmation.
        host: Address of the entry host to stop.
        key_file: File that holds the operator's key.
        json: Print the result as JSON.
    """
    _confirm(yes, 'Start a planned stop of this host?')
    show.print_value(_make_client(host, key_file).post('drain'), json)


def _make_client(host: str, key_file: str) -> client_lib.Client:
    url = host or os.environ.get(HOST_VARIABLE, '')
    if not url:
        raise errors.BadInput(f'pass --host or set {HOST_VARIABLE}')
    if key_file:
        try:
            with open(key_file, encoding='utf-8') as stream:
                key = stream.read().strip()
        except OSError as exc:
            raise errors.BadInput(f'{key_file}: {exc.strerror}') from exc
    else:
        key = os.environ.get(KEY_VARIABLE, '')
    if not key:
        raise errors.BadInput(f'pass --key-file or set {KEY_VARIABLE}')
    return client_lib.Client(url, key)


def _read_document(file: str) -> typing.Any:
    return _convert_errors(lambda: documents.read_file(file))


def _read_tree(file: str) -> tree_lib.Tree:
    value = _read_document(file)
    return _convert_errors(lambda: tree_lib.Tree.from_document(value))


def _convert_errors(function: typing.Callable[[], typing.Any]) -> typing.Any:
    """Returns the result of a function; converts its errors to `BadInput`.

    Values are checked here so that invalid ones are rejected before any request
    is sent.
    """
    try:
        return function()
    except settings_errors.SettingsError as exc:
        raise errors.BadInput(str(exc)) from exc


def _confirm(yes: bool, question: str) -> None:
    if not yes and not show.confirm(question):
        raise errors.NotConfirmed('not confirmed; nothing was changed')


def _make_edit(
    client: client_lib.Client,
    node: str,
    value: typing.Any,
    expected_version: int,
) -> dict[str, typing.Any]:
    if expected_version < 0:
        nodes = client.get('settings', prefix=node)['nodes']
        expected_version = nodes.get(node, {}).get('version', 0)
    return {
        'node': node,
        'expected_version': expected_version,
        'value': value,
    }


def _list_edits(
    client: client_lib.Client, tree: tree_lib.Tree
) -> list[dict[str, typing.Any]]:
    current_nodes = client.get('settings')['nodes']
    edits = []
    for node in sorted(set(current_nodes) | set(tree.nodes)):
        current = current_nodes.get(node, {})
        value = tree.nodes.get(node)
        if current.get('value') != value:
            version = current.get('version', 0)
            edits.append(
                {'node': node, 'expected_version': version, 'value': value}
            )
    return edits


def _send_change(
    client: client_lib.Client,
    edits: list[dict[str, typing.Any]],
    why: str,
    change_id: str,
    json: bool,
) -> None:
    change = {
        'change_id': change_id or secrets.token_hex(CHANGE_ID_BYTES),
        'why': why,
        'edits': edits,
    }
    show.print_value(client.submit_change(change), json)
