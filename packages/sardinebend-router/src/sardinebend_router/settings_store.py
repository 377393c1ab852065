"""The settings tree in the platform's table, and changes to it.

Rows: `settings/root` holds the tree's version and its last change;
`settings/node/<path>` a node's value, its row version being the node's
version; `settings/audit/<version>` an entry of the audit trail;
`settings/change/<id>` the version of the tree that a change produced, which is
looked up when the reply to a commit was lost: the row exists if the change is
committed. A change writes all of its rows in one transaction. A removed node
keeps its row, with the value null, so that its version numbers are never used
again.
"""

import time
import typing

import result

from sardinebend_router import logs
from sardinebend_settings import changes
from sardinebend_settings import errors as settings_errors
from sardinebend_settings import tree as tree_lib
from sardinebend_store import documents
from sardinebend_store import errors as platform_errors
from sardinebend_store import store

ROOT_KEY: typing.Final = 'settings/root'
NODE_PREFIX: typing.Final = 'settings/node/'
AUDIT_PREFIX: typing.Final = 'settings/audit/'
CHANGE_PREFIX: typing.Final = 'settings/change/'
PAGE_ROWS: typing.Final = 1000
MAX_ATTEMPTS: typing.Final = 8


class AuditedNode(typing.TypedDict):
    """Value of a node before and after a change."""

    before: typing.Any
    after: typing.Any


class AuditEntry(typing.TypedDict):
    """One committed change, as stored in the audit trail.

    Attributes:
        version: Version of the tree that the change made.
        change_id: The change.
        who: The operator.
        where: Host at which the change was made.
        when: Time of the commit, seconds since 1970.
        why: The operator's reason.
        nodes: Value before and after, by node path.
        base_version: Version of the tree before, if it isn't the last one.
    """

    version: int
    change_id: str
    who: str
    where: str
    when: float
    why: str
    nodes: dict[str, AuditedNode]
    base_version: typing.NotRequired[int]


class _VersionValue(typing.TypedDict):
    """Value of a row that holds a version."""

    version: int


class _NodeValue(typing.TypedDict):
    """Value of a node's row."""

    value: typing.Any


class StoredTree(typing.NamedTuple):
    """The tree as read from the table, with the versions of its nodes."""

    tree: tree_lib.Tree
    node_versions: dict[str, int]
    root_version: int


class Committed(typing.NamedTuple):
    """A committed change.

    Attributes:
        version: Version of the tree that the change produced.
        tree: The tree after the change; `None` if an earlier call or attempt,
            here or at another host, had already committed this change id.
    """

    version: int
    tree: tree_lib.Tree | None


class Author(typing.NamedTuple):
    """The operator who makes a change, and the host that commits it."""

    operator: str
    host_id: str


class SettingsStore:
    """Reads and changes the tree in the table."""

    def __init__(
        self,
        table: store.TableStore,
        wall_clock: typing.Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._wall_clock = wall_clock

    async def read_version(
        self,
    ) -> result.Result[int, platform_errors.Unavailable]:
        """Returns the version of the tree in the table, 0 if there is none."""
        read = await self._table.read(ROOT_KEY)
        if isinstance(read, result.Err):
            return read
        row = read.ok_value
        if row is None:
            return result.Ok(0)
        return _convert(row.value, _VersionValue).map(lambda v: v['version'])

    async def load(
        self,
    ) -> result.Result[StoredTree, platform_errors.Unavailable]:
        """Returns the whole tree, with all nodes as of one version."""
        for _ in range(MAX_ATTEMPTS):
            before = await self._table.read(ROOT_KEY)
            rows = await self._scan_all(NODE_PREFIX)
            after = await self._table.read(ROOT_KEY)
            for answer in (before, rows, after):
                if isinstance(answer, result.Err):
                    return result.Err(answer.err_value)
            if before != after:
                # A change was committed between the reads; the nodes may be of
                # two versions.
                continue
            return _parse_rows(before.unwrap(), rows.unwrap())
        return result.Err(
            platform_errors.Unavailable(
                'the settings changed during each attempt to read them'
            )
        )

    async def initialise(
        self, tree: tree_lib.Tree, author: Author
    ) -> result.Result[Committed, store.TableError]:
        """Writes the first tree, unless the table already has one."""
        edits: list[changes.Edit] = [
            {'node': path, 'expected_version': 0, 'value': value}
            for path, value in tree.nodes.items()
        ]
        change: changes.Change = {
            'change_id': 'initial',
            'why': 'first start',
            'edits': edits,
        }
        empty = StoredTree(tree_lib.Tree(0, {}), {}, 0)
        first = tree_lib.Tree(1, tree.nodes)
        writes = self._make_writes(empty, first, change, author)
        answer = await self._table.transact(writes)
        if isinstance(answer, result.Err):
            return answer
        return result.Ok(Committed(1, first))

    async def write_again(
        self, tree: tree_lib.Tree, host_id: str
    ) -> result.Result[bool, store.TableError]:
        """Writes a tree that the table has lost with an older copy.

        Only nodes that differ are written, all on condition of the versions
        that were read, so that of several hosts one succeeds.

        Args:
            tree: The tree in force at a host.
            host_id: That host.

        Returns:
            Whether anything was written. Nothing is if the table has this
            version or a newer one, or has never come back from a copy.
        """
        if not self._table.era:
            return result.Ok(False)
        stored = await self.load()
        if isinstance(stored, result.Err):
            return stored
        return await self._write_again(stored.ok_value, tree, host_id)

    async def _write_again(
        self, stored: StoredTree, tree: tree_lib.Tree, host_id: str
    ) -> result.Result[bool, store.TableError]:
        if not self._table.era or stored.tree.version >= tree.version:
            return result.Ok(False)
        edits: list[changes.Edit] = [
            {
                'node': path,
                'expected_version': stored.node_versions.get(path, 0),
                'value': tree.nodes.get(path),
            }
            for path in sorted({*tree.nodes, *stored.tree.nodes})
            if tree.nodes.get(path) != stored.tree.nodes.get(path)
        ]
        change: changes.Change = {
            'change_id': f'written-again-{self._table.era}-{tree.version}',
            'why': 'the table came back from an older copy',
            'edits': edits,
        }
        writes = self._make_writes(stored, tree, change, Author('', host_id))
        answer = await self._table.transact(writes)
        if isinstance(answer, result.Err):
            return answer
        logs.get().warning(
            'settings written again',
            extra={'version': tree.version, 'stored': stored.tree.version},
        )
        return result.Ok(True)

    async def change(
        self,
        change: changes.Change,
        author: Author,
        in_force: tree_lib.Tree,
    ) -> result.Result[Committed, store.TableError]:
        """Commits a change; a repeat with the same change id has no effect.

        Args:
            change: The change.
            author: Who makes it, and where.
            in_force: The tree in force at that host, which is written again
                first if the table has lost it. Otherwise the change would make
                another tree of a version that hosts already have.

        Raises:
            sardinebend_settings.errors.SettingsError: The change is refused.
        """
        error: store.TableError = platform_errors.Unavailable('busy')
        may_be_committed = False
        for _ in range(MAX_ATTEMPTS):
            answer = await self._change_once(change, author, in_force)
            if isinstance(answer, result.Ok):
                return answer
            error = answer.err_value
            if isinstance(error, platform_errors.Unavailable):
                break
            may_be_committed |= isinstance(error, platform_errors.Unclear)
        return result.Err(_choose_error(error, may_be_committed))

    async def _change_once(
        self,
        change: changes.Change,
        author: Author,
        in_force: tree_lib.Tree,
    ) -> result.Result[Committed, store.TableError]:
        committed = await self._find_committed(change)
        if (
            not isinstance(committed, result.Ok)
            or committed.ok_value is not None
        ):
            return typing.cast(
                result.Result[Committed, store.TableError], committed
            )
        stored = await self.load()
        if isinstance(stored, result.Err):
            return stored
        written = await self._write_again(
            stored.ok_value, in_force, author.host_id
        )
        if isinstance(written, result.Err):
            return written
        if written.ok_value:
            stored = await self.load()
            if isinstance(stored, result.Err):
                return stored
        try:
            return await self._try_change(stored.ok_value, change, author)
        except settings_errors.VersionConflict:
            # The conflict may be with this same change, committed meanwhile
            # through another host or by an attempt whose reply was lost.
            committed = await self._find_committed(change)
            if isinstance(committed, result.Ok) and committed.ok_value is None:
                raise
            return typing.cast(
                result.Result[Committed, store.TableError], committed
            )

    async def _find_committed(
        self, change: changes.Change
    ) -> result.Result[Committed | None, platform_errors.Unavailable]:
        """Returns the change if it has been committed before, else `None`."""
        read = await self._table.read(CHANGE_PREFIX + change['change_id'])
        if isinstance(read, result.Err):
            return read
        row = read.ok_value
        if row is None:
            return result.Ok(None)
        return _convert(row.value, _VersionValue).map(
            lambda value: Committed(value['version'], None)
        )

    async def read_audit_entries(
        self, after_version: int
    ) -> result.Result[list[AuditEntry], platform_errors.Unavailable]:
        """Returns the audit entries after a version, oldest first."""
        after = audit_key(after_version)
        rows = await self._table.scan(AUDIT_PREFIX, after, PAGE_ROWS)
        if isinstance(rows, result.Err):
            return rows
        values = [row.value for row in rows.ok_value]
        return _convert(values, list[AuditEntry])

    async def _try_change(
        self, stored: StoredTree, change: changes.Change, author: Author
    ) -> result.Result[Committed, store.TableError]:
        tree = changes.apply_edits(stored.tree, stored.node_versions, change)
        writes = self._make_writes(stored, tree, change, author)
        answer = await self._table.transact(writes)
        if isinstance(answer, result.Err):
            return answer
        return result.Ok(Committed(tree.version, tree))

    def _make_writes(
        self,
        stored: StoredTree,
        tree: tree_lib.Tree,
        change: changes.Change,
        author: Author,
    ) -> list[store.Write]:
        entry: AuditEntry = {
            'version': tree.version,
            'change_id': change['change_id'],
            'who': author.operator,
            'where': author.host_id,
            'when': self._wall_clock(),
            'why': change['why'],
            'nodes': {
                edit['node']: {
                    'before': stored.tree.nodes.get(edit['node']),
                    'after': edit['value'],
                }
                for edit in change['edits']
            },
        }
        if stored.tree.version != tree.version - 1:
            entry['base_version'] = stored.tree.version
        root = {'version': tree.version, 'change_id': change['change_id']}
        change_row = {'version': tree.version}
        return [
            store.Write(ROOT_KEY, stored.root_version, root),
            store.Write(audit_key(tree.version), 0, dict(entry)),
            store.Write(CHANGE_PREFIX + change['change_id'], 0, change_row),
            *(
                store.Write(
                    NODE_PREFIX + edit['node'],
                    edit['expected_version'],
                    {'value': edit['value']},
                )
                for edit in change['edits']
            ),
        ]

    async def _scan_all(
        self, prefix: str
    ) -> result.Result[list[store.Row], platform_errors.Unavailable]:
        rows: list[store.Row] = []
        while True:
            after = rows[-1].key if rows else ''
            page = await self._table.scan(prefix, after, PAGE_ROWS)
            if isinstance(page, result.Err):
                return page
            rows += page.ok_value
            if len(page.ok_value) < PAGE_ROWS:
                return result.Ok(rows)


def audit_key(version: int) -> str:
    """Returns the key of a version's entry in the audit trail."""
    return f'{AUDIT_PREFIX}{version:012d}'


def apply_audit_entries(
    tree: tree_lib.Tree, entries: typing.Sequence[AuditEntry]
) -> tree_lib.Tree | None:
    """Returns the tree after the entries, or `None` if one is missing."""
    version = tree.version
    changed: dict[str, typing.Any] = {}
    for entry in entries:
        if entry['version'] != version + 1:
            return None
        if entry.get('base_version', version) != version:
            return None
        version = entry['version']
        for path, value in entry['nodes'].items():
            changed[path] = value['after']
    return tree.with_changes(version, changed)


def _parse_rows(
    root: store.Row | None, rows: list[store.Row]
) -> result.Result[StoredTree, platform_errors.Unavailable]:
    """Returns the tree that rows hold.

    A row that can't be read makes the whole tree unavailable: without it, a
    setting would silently have its default.
    """
    if root is None:
        return result.Ok(StoredTree(tree_lib.Tree(0, {}), {}, 0))
    version = _convert(root.value, _VersionValue)
    values = _convert([row.value for row in rows], list[_NodeValue])
    for converted in (version, values):
        if isinstance(converted, result.Err):
            return converted
    nodes = {}
    versions = {}
    for row, value in zip(rows, values.unwrap(), strict=True):
        path = row.key.removeprefix(NODE_PREFIX)
        versions[path] = row.version
        if value['value'] is not None:
            nodes[path] = value['value']
    tree = tree_lib.Tree.from_nodes(version.unwrap()['version'], nodes)
    return result.Ok(StoredTree(tree, versions, root.version))


def _convert(
    value: typing.Any, shape: typing.Any
) -> result.Result[typing.Any, platform_errors.Unavailable]:
    """Returns the value of a row, which another program may have written."""
    try:
        return result.Ok(documents.convert(value, shape))
    except platform_errors.MalformedDocument as exc:
        return result.Err(platform_errors.Unavailable(f'malformed row: {exc}'))


def _choose_error(
    error: store.TableError, may_be_committed: bool
) -> store.TableError:
    """Returns the error to report after several attempts.

    `Unavailable` promises that nothing was written. If an earlier attempt's
    write may have succeeded, `Unclear` is returned in its place.
    """
    if may_be_committed and isinstance(error, platform_errors.Unavailable):
        return platform_errors.Unclear(str(error))
    return error
