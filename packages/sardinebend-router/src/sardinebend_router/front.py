"""The ASGI application of a host: routes requests to their handlers."""

import typing

import msgspec

from sardinebend_policy import outcomes
from sardinebend_router import asgi
from sardinebend_router import auth
from sardinebend_router import calls
from sardinebend_router import completions
from sardinebend_router import errors
from sardinebend_router import logs
from sardinebend_router import operations
from sardinebend_router import operators
from sardinebend_router import problems
from sardinebend_router import state as state_lib

MAX_LISTED_HOSTS: typing.Final = 8
MAX_OPEN_EXCHANGES: typing.Final = 20_000

_Handler = typing.Callable[[calls.Call], typing.Awaitable[None]]


class Front:
    """The ASGI application of one entry host."""

    def __init__(
        self,
        state: state_lib.HostState,
        drafts: completions.Completions,
        plain: operations.Operations,
        admin: operators.Operators,
    ) -> None:
        self._state = state
        self._drafts = drafts
        self._plain = plain
        self._admin = admin
        self._handlers: dict[tuple[str, str], _Handler] = {
            ('POST', '/v1/completions'): self._serve_draft,
            ('GET', '/v1/hosts'): self._serve_hosts,
            ('GET', '/livez'): self._serve_live,
            ('GET', '/readyz'): self._serve_ready,
            ('GET', '/metrics'): self._serve_metrics,
        }

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one ASGI connection."""
        if scope['type'] == 'lifespan':
            await asgi.run_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        call = calls.Call(scope, receive, send)
        self._state.open_exchanges += 1
        try:
            await self._serve(call)
        finally:
            self._state.open_exchanges -= 1

    async def _serve(self, call: calls.Call) -> None:
        try:
            await self._dispatch(call)
        except errors.CallerDisconnected:
            self._state.metrics.count('callers_gone')
        except errors.BadRequest as exc:
            await self._refuse(call, exc)
        except ExceptionGroup as group:
            # A nursery wraps the exceptions of its tasks in a group.
            refusals = group.subgroup(errors.BadRequest)
            if refusals is None or call.has_started:
                raise
            refusal = typing.cast(errors.BadRequest, _get_first_leaf(refusals))
            await self._refuse(call, refusal)

    async def _refuse(self, call: calls.Call, exc: errors.BadRequest) -> None:
        self._state.metrics.count('requests_refused', type=exc.slug)
        problem = problems.from_error(exc, call.request_id)
        if not call.caller.disconnected.is_set():
            await call.reply_problem(problem)

    async def _dispatch(self, call: calls.Call) -> None:
        handler = self._handlers.get((call.method, call.path))
        if handler is not None:
            await handler(call)
            return
        parts = call.path.strip('/').split('/')
        if parts[:2] == ['admin', 'v1']:
            await self._serve_admin(call, parts[2:])
        elif parts[:2] == ['v1', 'services'] and len(parts) == 4:
            self._require_method(call, 'POST')
            await self._serve_operation(call, parts[2], parts[3])
        elif parts[:2] == ['v1', 'requests'] and len(parts) == 3:
            self._require_method(call, 'DELETE')
            await self._serve_cancel(call, parts[2])
        elif any(path == call.path for _, path in self._handlers):
            raise errors.MethodNotAllowed(
                f'{call.path} does not support this method'
            )
        else:
            raise errors.NotFound(f'nothing is at {call.path[:100]}')

    def _require_method(self, call: calls.Call, method: str) -> None:
        if call.method != method:
            raise errors.MethodNotAllowed(f'{call.path} supports only {method}')

    def _identify(self, call: calls.Call, operator: bool) -> auth.Caller:
        authorization = call.headers.get('authorization', '')
        tree = self._state.settings.tree
        return auth.identify(tree, authorization, operator=operator)

    async def _refuse_if_unavailable(self, call: calls.Call) -> bool:
        """Refuses a request if this host accepts none now.

        The refusal lists other hosts that the caller may try.

        Returns:
            Whether the request was refused; the reply has then been sent.
        """
        if (
            self._state.is_ready
            and self._state.open_exchanges <= MAX_OPEN_EXCHANGES
        ):
            return False
        reason = outcomes.Reason.SETTINGS_STALE
        if self._state.is_draining:
            reason = outcomes.Reason.DRAINING
        elif self._state.is_ready:
            reason = outcomes.Reason.QUEUE_FULL
        refusal = outcomes.NotRun(reason, 1.0)
        self._state.metrics.count('requests_refused', type=reason.value)
        problem = problems.from_outcome(refusal, call.request_id)
        listed_hosts = self._list_hosts('')
        body = {**problem, 'hosts': listed_hosts}
        headers = problems.make_headers(problem)
        await call.reply(
            problem['status'],
            problems.CONTENT_TYPE,
            msgspec.json.encode(body),
            headers,
        )
        return True

    async def _serve_draft(self, call: calls.Call) -> None:
        caller = self._identify(call, operator=False)
        if not await self._refuse_if_unavailable(call):
            await self._drafts.serve(call, caller)

    async def _serve_operation(
        self, call: calls.Call, service: str, operation: str
    ) -> None:
        caller = self._identify(call, operator=False)
        if not await self._refuse_if_unavailable(call):
            await self._plain.serve(call, caller, service, operation)

    async def _serve_cancel(self, call: calls.Call, request_id: str) -> None:
        caller = self._identify(call, operator=False)
        entry = self._state.in_flight.get(request_id)
        # The reply doesn't reveal whether another customer has such a request.
        if entry is None or entry.customer != caller.name:
            raise errors.NotFound(
                'this host has no request in flight with this identifier'
            )
        entry.cancel()
        await call.reply_json(202, {'request_id': request_id})

    async def _serve_admin(self, call: calls.Call, parts: list[str]) -> None:
        caller = self._identify(call, operator=True)
        await self._admin.serve(call, caller, parts)

    async def _serve_hosts(self, call: calls.Call) -> None:
        domain = call.query.get('failure_domain', '')
        ttl_s = self._state.get_number('hosts.answer_ttl_s')
        answer = {'hosts': self._list_hosts(domain), 'ttl_s': ttl_s}
        await call.reply_json(200, answer)

    def _list_hosts(self, failure_domain: str) -> list[dict[str, str]]:
        members = self._state.membership.order_addresses(
            failure_domain or self._state.own.failure_domain,
            MAX_LISTED_HOSTS,
            self._state.host_clock.now(),
            self._state.rng,
        )
        return [
            {
                'host': member.host_id,
                'address': member.caller_url,
                'failure_domain': member.failure_domain,
            }
            for member in members
        ]

    async def _serve_live(self, call: calls.Call) -> None:
        await call.reply_json(200, {'live': True})

    async def _serve_ready(self, call: calls.Call) -> None:
        is_ready = self._state.is_ready
        await call.reply_json(200 if is_ready else 503, {'ready': is_ready})

    async def _serve_metrics(self, call: calls.Call) -> None:
        page = self._state.metrics.render().encode()
        await call.reply(200, 'text/plain; version=0.0.4', page)


def _get_first_leaf(group: BaseExceptionGroup) -> BaseException:
    exc: BaseException = group
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    logs.get().debug('refused within a task', extra={'error': str(exc)})
    return exc
