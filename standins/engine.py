"""Stand-in for a model engine that serves a range of layers."""

import collections
import contextlib
import signal
import typing
import uuid

import defopt
import msgspec
import trio

from sardinebend_router import asgi
from standins import stage as stage_lib
from standins import web

LOAD_LAG_S: typing.Final = 0.5
# Every seventh cache event is omitted, so that readers have to handle gaps.
OMITTED_EVENT_INTERVAL: typing.Final = 7


class EngineApp(web.WebApp):
    """Runs requests over HTTP and forwards each token to the next stage.

    `/v1/run` accepts an `Order` to run a request; `/v1/orders` accepts control
    orders, such as one to load a model.
    """

    def __init__(
        self, spec: stage_lib.EngineSpec, checks_fencing: bool = False
    ) -> None:
        super().__init__()
        self.runner = stage_lib.StageRunner(spec)
        self.incarnation = uuid.uuid4().hex
        self._leaving = False
        self._checks_fencing = checks_fencing
        self._highest_fencing = 0
        self._control_orders: list[typing.Any] = []
        self._load_history: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=100)
        )
        self._imported_kv: dict[str, typing.Any] = {}
        self.add('POST', '/v1/run', self._run_request)
        self.add('POST', '/v1/cancel', self._cancel)
        self.add('POST', '/v1/kv/export', self._export_kv)
        self.add('POST', '/v1/kv/import', self._import_kv)
        self.add('POST', '/v1/orders', self._apply_control_order)
        self.add('GET', '/health', self._health)
        self.add('GET', '/load', self._load)
        self.add('GET', '/cache-events', self._list_cache_events)
        self.add('GET', '/records', self._list_records, subject_to_faults=False)
        self.add(
            'POST', '/run-faults', self._set_run_faults, subject_to_faults=False
        )
        self.add('POST', '/leave', self._leave, subject_to_faults=False)

    async def _run_request(self, req: web.Request) -> None:
        order = msgspec.convert(req.json(), stage_lib.Order)
        try:
            self.runner.check(order)
        except stage_lib.OrderRefused as exc:
            await asgi.send_json(req.send, 409, {'refused': str(exc)})
            return
        if self._leaving:
            headers = [(b'retry-after', b'1')]
            await asgi.send_json(req.send, 429, {'refused': 'leaving'}, headers)
            return
        incarnation = (b'x-incarnation', self.incarnation.encode())
        await asgi.start_reply(
            req.send, 200, 'application/x-ndjson', [incarnation]
        )
        with self.runner.register_request(order) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, req, scope)
                await self._stream(req, order)
                nursery.cancel_scope.cancel()
        await asgi.send_chunk(req.send, b'', more=False)

    async def _stream(self, req: web.Request, order: stage_lib.Order) -> None:
        next_stage = None
        try:
            await self.runner.prefill(order)
            next_stage = await self.runner.connect_next(order)
            await self._stream_tokens(req, order, next_stage)
        except stage_lib.StageLost as exc:
            await _send_line(req, {'lost': exc.endpoint})
        except stage_lib.OrderRefused as exc:
            await _send_line(req, {'refused': exc.endpoint})
        finally:
            if next_stage is not None:
                with trio.CancelScope(shield=True):
                    await next_stage.close()

    async def _stream_tokens(
        self,
        req: web.Request,
        order: stage_lib.Order,
        next_stage: stage_lib.LineStream | None,
    ) -> None:
        faults = self.runner.faults
        count = stage_lib.words.answer_length(
            order['prompt'], order['max_tokens']
        )
        last = count + faults.get('extra_tokens', 0)
        for index in range(order['start_index'], last):
            text = await self.runner.run_token(order, index, next_stage)
            if index == faults.get('stop_at'):
                await trio.sleep_forever()
            if index == faults.get('gap_at'):
                continue
            line = {
                'request': order['request'],
                'attempt': order['attempt'],
                'index': index,
                'text': text,
            }
            await _send_line(req, line)
        if not faults.get('no_final'):
            await _send_line(req, {'final': True, 'count': count})

    async def _cancel(self, req: web.Request) -> tuple[int, object]:
        body = req.json()
        was_running = self.runner.cancel(body['request'], body['attempt'])
        return 200, {'confirmed': True, 'was_running': was_running}

    async def _export_kv(self, req: web.Request) -> tuple[int, object]:
        body = req.json()
        tokens = [
            record[2]
            for record in self.runner.token_records
            if record[0] == body['request']
        ]
        return 200, {'request': body['request'], 'tokens': tokens}

    async def _import_kv(self, req: web.Request) -> tuple[int, object]:
        body = req.json()
        self._imported_kv[body['request']] = body['tokens']
        return 200, None

    async def _apply_control_order(
        self, req: web.Request
    ) -> tuple[int, object]:
        order = req.json()
        if self._checks_fencing and order['fencing'] < self._highest_fencing:
            return 409, {'refused': 'old fencing number'}
        self._highest_fencing = max(self._highest_fencing, order['fencing'])
        self._control_orders.append(order)
        if order['kind'] == 'load':
            self.runner.spec = self.runner.spec._replace(
                model=order['model'], model_version=order['model_version']
            )
        return 200, {'incarnation': self.incarnation}

    async def _health(self, req: web.Request) -> tuple[int, object]:
        health = {
            'incarnation': self.incarnation,
            'leaving': self._leaving,
            'hand_on_port': self.runner.forward_port,
            'held': self.runner.spec._asdict(),
        }
        return 200, health

    async def _load(self, req: web.Request) -> tuple[int, object]:
        now = trio.current_time()
        self._load_history.append((now, self.runner.running))
        delayed = [n for at, n in self._load_history if at <= now - LOAD_LAG_S]
        answer = {
            'incarnation': self.incarnation,
            'running': delayed[-1] if delayed else 0,
            'model': self.runner.spec.model,
            'model_version': self.runner.spec.model_version,
            'leaving': self._leaving,
        }
        return 200, answer

    async def _list_cache_events(self, req: web.Request) -> tuple[int, object]:
        after = int(req.query.get('after', '0'))
        events = [
            {'sequence': i, 'prefix': prefix}
            for i, prefix in enumerate(self.runner.cache_events, 1)
            if i > after and i % OMITTED_EVENT_INTERVAL
        ]
        return 200, events

    async def _list_records(self, req: web.Request) -> tuple[int, object]:
        records = {
            'endpoint': self.runner.spec.endpoint,
            'incarnation': self.incarnation,
            'running': self.runner.running,
            'runs': self.runner.token_records,
            'orders': self._control_orders,
        }
        return 200, records

    async def _set_run_faults(self, req: web.Request) -> tuple[int, object]:
        self.runner.faults = req.json()
        return 200, None

    async def _leave(self, req: web.Request) -> tuple[int, object]:
        self._leaving = True
        return 200, None


async def _send_line(req: web.Request, value: object) -> None:
    await asgi.send_chunk(req.send, msgspec.json.encode(value) + b'\n')


async def _cancel_on_disconnect(
    req: web.Request, scope: trio.CancelScope
) -> None:
    while (await req.receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()


async def _serve_previous_stages(
    app: EngineApp, listeners: list[trio.SocketListener]
) -> None:
    await trio.serve_listeners(app.runner.serve_previous_stage, listeners)


async def run(app: EngineApp, address: str, port: int) -> None:
    """Serves HTTP and the previous stages until SIGTERM or SIGINT."""
    listeners = await trio.open_tcp_listeners(0, host=address)
    app.runner.forward_port = listeners[0].socket.getsockname()[1]
    with contextlib.suppress(KeyboardInterrupt):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_serve_previous_stages, app, listeners)
            await web.run(app, address, port)
            nursery.cancel_scope.cancel()


def main(
    *,
    endpoint: str,
    address: str = '127.0.0.1',
    port: int = 0,
    model: str = 'tide',
    model_version: str = '1',
    first_layer: int = 0,
    end_layer: int = 12,
    layer_cost_us: float = 200.0,
    batch_slots: int = 16,
    checks_fencing: bool = False,
) -> None:
    """Runs the engine.

    Args:
        endpoint: Name of the endpoint.
        address: IP address to listen on.
        port: Port to listen on.
        model: Model that the engine serves.
        model_version: Version of the model.
        first_layer: First layer that the engine holds.
        end_layer: One past the last layer that the engine holds.
        layer_cost_us: Time that one layer takes per token, in microseconds.
        batch_slots: Requests that run at once without slowing each other.
        checks_fencing: Whether to refuse control orders with an old fencing
            number.
    """
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    spec = stage_lib.EngineSpec(
        endpoint,
        model,
        model_version,
        first_layer,
        end_layer,
        layer_cost_us,
        batch_slots,
    )
    trio.run(run, EngineApp(spec, checks_fencing), address, port)


if __name__ == '__main__':
    defopt.run(main)
