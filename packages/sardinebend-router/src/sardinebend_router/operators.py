"""Serves the admin HTTP API, which operators use: `/admin/v1/...`."""

import typing

import result
import trio

from sardinebend_router import auth
from sardinebend_router import calls
from sardinebend_router import errors
from sardinebend_router import logs
from sardinebend_router import problems
from sardinebend_router import settings_changes
from sardinebend_router import settings_store
from sardinebend_router import state as state_lib
from sardinebend_settings import changes
from sardinebend_settings import errors as settings_errors
from sardinebend_store import errors as platform_errors

MAX_CHANGE_BYTES: typing.Final = 8 * 1024 * 1024
BODY_WAIT_S: typing.Final = 10.0
HISTORY_ROWS: typing.Final = 100
RETRY_AFTER_S: typing.Final = 5.0


class Operators:
    """Admin HTTP API of one host, which operators use."""

    def __init__(
        self,
        state: state_lib.HostState,
        store: settings_store.SettingsStore,
        settings_changer: settings_changes.SettingsChanger,
        begin_drain: typing.Callable[[], None],
    ) -> None:
        self._state = state
        self._store = store
        self._settings_changer = settings_changer
        self._begin_drain = begin_drain
        self._handlers: dict[tuple[str, str], typing.Callable] = {
            ('GET', 'settings'): self._get_settings,
            ('POST', 'settings/changes'): self._change_settings,
            ('GET', 'settings/history'): self._get_history,
            ('GET', 'settings/resolve'): self._get_effective_settings,
            ('GET', 'hosts'): self._get_hosts,
            ('GET', 'endpoints'): self._get_endpoints,
            ('GET', 'routes'): self._get_routes,
            ('GET', 'requests'): self._get_requests,
            ('POST', 'drain'): self._drain,
        }

    async def serve(
        self, call: calls.Call, caller: auth.Caller, parts: list[str]
    ) -> None:
        """Serves one operator's request."""
        handler = self._handlers.get((call.method, '/'.join(parts)))
        if handler is None:
            raise errors.NotFound(f'unknown path {call.path[:100]}')
        await handler(call, caller)

    # Settings.

    async def _get_settings(
        self, call: calls.Call, caller: auth.Caller
    ) -> None:
        """Replies with the nodes in the table and their versions.

        A removed node is included with the value `null`, as a change that
        creates it again has to give its version.
        """
        prefix = call.query.get('prefix', '')
        loaded = await self._store.load()
        if isinstance(loaded, result.Err):
            await self._reply_unavailable(call, loaded.err_value)
            return
        stored = loaded.ok_value
        nodes = {
            path: {'version': version, 'value': stored.tree.nodes.get(path)}
            for path, version in stored.node_versions.items()
            if path.startswith(prefix)
        }
        body = {'version': stored.tree.version, 'nodes': nodes}
        await call.reply_json(200, body)

    async def _change_settings(
        self, call: calls.Call, caller: auth.Caller
    ) -> None:
        raw = await call.read_body(MAX_CHANGE_BYTES, BODY_WAIT_S)
        change = calls.parse_json(raw, changes.Change)
        for edit in change['edits']:
            auth.check_branch(caller, edit['node'])
        author = settings_store.Author(caller.name, self._state.own.host_id)
        try:
            answer = await self._settings_changer.change(change, author)
        except settings_errors.VersionConflict as exc:
            await self._reply_conflict(call, exc)
            return
        except settings_errors.SettingsError as exc:
            raise errors.MalformedBody(str(exc)) from exc
        if isinstance(answer, result.Err):
            await self._reply_unavailable(call, answer.err_value)
            return
        version, hosts, is_replicated = answer.ok_value
        logs.get().info(
            'settings changed',
            extra={'version': version, 'operator': caller.name},
        )
        body = {
            'version': version,
            'state': 'accepted' if is_replicated else 'committed',
            'in_force_at': hosts,
        }
        await call.reply_json(200 if is_replicated else 202, body)

    async def _get_history(self, call: calls.Call, caller: auth.Caller) -> None:
        after = _parse_whole_number(call.query.get('after', '0'))
        entries = await self._store.read_audit_entries(after)
        if isinstance(entries, result.Err):
            await self._reply_unavailable(call, entries.err_value)
            return
        await call.reply_json(200, entries.ok_value[:HISTORY_ROWS])

    async def _get_effective_settings(
        self, call: calls.Call, caller: auth.Caller
    ) -> None:
        """Replies with the settings in effect for a request at this host."""
        query = call.query
        scopes = self._state.scopes(
            query.get('customer', ''),
            query.get('route', ''),
            query.get('kind', ''),
        )
        tree = self._state.settings.tree
        values = {
            key: resolved._asdict()
            for key, resolved in tree.resolve_all(scopes).items()
        }
        await call.reply_json(200, {'version': tree.version, 'values': values})

    async def _reply_conflict(
        self, call: calls.Call, exc: settings_errors.VersionConflict
    ) -> None:
        problem = {
            'type': f'{problems.TYPE_PREFIX}version-conflict',
            'title': 'version conflict',
            'status': 409,
            'detail': str(exc),
            'outcome': 'not_run',
            'node': exc.node,
            'expected_version': exc.expected_version,
            'current_version': exc.current_version,
            'current_value': exc.current_value,
            'proposed_value': exc.proposed_value,
        }
        await call.reply_json(409, problem)

    async def _reply_unavailable(
        self, call: calls.Call, error: platform_errors.PlatformError
    ) -> None:
        is_unclear = isinstance(error, platform_errors.Unclear)
        problem: problems.Problem = {
            'type': f'{problems.TYPE_PREFIX}table-unavailable',
            'title': 'table unavailable',
            'status': 504 if is_unclear else 503,
            'detail': str(error),
            'outcome': 'unknown' if is_unclear else 'not_run',
            'retry_after_s': RETRY_AFTER_S,
            'request_id': call.request_id,
        }
        await call.reply_problem(problem)

    # The state of the hosts, endpoints, routes and requests.

    async def _get_hosts(self, call: calls.Call, caller: auth.Caller) -> None:
        now = self._state.host_clock.now()
        membership = self._state.membership
        alive = {member.host_id for member in membership.list_live(now)}
        hosts = [
            {
                'host': member.host_id,
                'failure_domain': member.failure_domain,
                'address': member.caller_url,
                'alive': member.host_id in alive,
            }
            for member in membership.list_members()
        ]
        own = {
            'host': self._state.own.host_id,
            'incarnation': self._state.incarnation,
            'settings_version': self._state.settings.tree.version,
            'ready': self._state.is_ready,
            'draining': self._state.is_draining,
        }
        await call.reply_json(200, {'own': own, 'others': hosts})

    async def _get_endpoints(
        self, call: calls.Call, caller: auth.Caller
    ) -> None:
        now = trio.current_time()
        endpoints = [
            {
                'endpoint': item.spec.endpoint_id,
                'failure_domain': item.spec.failure_domain,
                'incarnation': item.incarnation,
                'leaving': item.is_leaving,
                'suspect': item.unhealthy_until > now,
                'running': item.estimate_running(now),
                'held': item.held,
            }
            for item in self._state.fleet.list_all()
        ]
        await call.reply_json(200, endpoints)

    async def _get_routes(self, call: calls.Call, caller: auth.Caller) -> None:
        routes = self._state.settings.tree.section('routes')
        await call.reply_json(200, dict(routes))

    async def _get_requests(
        self, call: calls.Call, caller: auth.Caller
    ) -> None:
        requests = [
            {'request_id': r.request_id, 'customer': r.customer, 'kind': r.kind}
            for r in self._state.in_flight.values()
        ]
        await call.reply_json(200, requests)

    async def _drain(self, call: calls.Call, caller: auth.Caller) -> None:
        auth.check_branch(caller, f'hosts/{self._state.own.host_id}')
        self._begin_drain()
        await call.reply_json(202, {'draining': True})


def _parse_whole_number(text: str) -> int:
    if not text.isdecimal() or len(text) > 12:
        raise errors.BadRequest(f'{text[:40]!r}; expected a whole number')
    return int(text)
