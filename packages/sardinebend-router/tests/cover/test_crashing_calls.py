"""Calls to plain services under which the endpoints end."""

import trio

from sardinebend_router import embedded
from sardinebend_router import services
from sardinebend_store import errors as platform_errors
from tests.common import embedded_host as eh

LOOKUP = '/v1/services/bookings/lookup'
FATAL = b'{"fatal": 1}'
ENDPOINTS = 5


class Ending(embedded.EmbeddedService):
    """Ends its endpoint under one body."""

    def __init__(self, counts, endpoint_id, down):
        super().__init__(counts)
        self._endpoint_id = endpoint_id
        self._down = down

    async def send(self, call):
        if call.body == FATAL:
            self._down.append(self._endpoint_id)
            raise platform_errors.ExchangeFailed('reset')
        return await super().send(call)


class EndingClient(services.ServiceClient):
    """Connects to endpoints until they have ended."""

    def __init__(self, down):
        self._down = down

    async def connect(self, endpoint_id, timeout_s):
        if endpoint_id in self._down:
            raise platform_errors.ConnectFailed('refused', refused=True)
        return Ending({}, endpoint_id, self._down)


def make_host(monkeypatch, down):
    monkeypatch.setattr(embedded, 'EmbeddedClient', lambda: EndingClient(down))
    node = embedded.make_tree({})['endpoints']
    plain = next(v for v in node.values() if v.get('service'))
    more = {f'plain-{n}': dict(plain) for n in range(ENDPOINTS)}
    return embedded.make_host(port=0, extra={'endpoints': more})


async def test_a_lookup_that_ends_its_endpoints_is_quarantined(monkeypatch):
    # Guards against the quarantine of drafts alone: a lookup may be repeated
    # and ends an endpoint each time.
    down = []
    async with eh.started(make_host(monkeypatch, down)) as host:
        with trio.fail_after(eh.PATIENCE_S):
            for _ in range(6):
                status, _, body = await eh.ask(host, LOOKUP, FATAL)
                assert status >= 400
            assert len(down) <= 3
            assert body['type'].endswith('quarantined')
            assert body['outcome'] == 'not_run'
            status, _, _ = await eh.ask(host, LOOKUP, b'{}')
    assert status == 200
