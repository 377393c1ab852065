"""Tests of the quarantine of calls that crash plain service endpoints."""

import random

import pytest
import trio

from sardinebend_policy import membership
from sardinebend_policy import quarantine
from sardinebend_router import embedded
from sardinebend_router import service_crashes
from sardinebend_router import services
from sardinebend_router import state as state_lib
from sardinebend_settings import tree as tree_lib
from sardinebend_store import errors as platform_errors
from tests.common import embedded_host as eh
from tests.common import ending_listener

LOOKUP = '/v1/services/bookings/lookup'
CRASHING_BODY = b'{"fatal": 1}'
ENDPOINT_COUNT = 5


class CrashingService(embedded.EmbeddedService):
    """Crashes its endpoint on a call with one particular body."""

    def __init__(self, counts, endpoint_id, crashed):
        super().__init__(counts)
        self._endpoint_id = endpoint_id
        self._crashed = crashed

    async def send(self, call):
        if call.body == CRASHING_BODY:
            self._crashed.append(self._endpoint_id)
            raise platform_errors.ExchangeFailed('reset')
        return await super().send(call)


class CrashingServiceClient(services.ServiceClient):
    """Connects to endpoints, and is refused by those that have crashed."""

    def __init__(self, crashed):
        self._crashed = crashed

    async def connect(self, endpoint_id, timeout_s):
        if endpoint_id in self._crashed:
            raise platform_errors.ConnectFailed('refused', refused=True)
        return CrashingService({}, endpoint_id, self._crashed)


def make_host(monkeypatch, crashed):
    monkeypatch.setattr(
        embedded, 'EmbeddedClient', lambda: CrashingServiceClient(crashed)
    )
    endpoints = embedded.make_tree({})['endpoints']
    service_endpoint = next(v for v in endpoints.values() if v.get('service'))
    more_endpoints = {
        f'plain-{n}': dict(service_endpoint) for n in range(ENDPOINT_COUNT)
    }
    return embedded.make_host(port=0, extra={'endpoints': more_endpoints})


async def test_a_lookup_that_crashes_its_endpoints_is_quarantined(monkeypatch):
    # Guards against a quarantine that covers drafts only: a lookup may be
    # repeated, so that one which crashes its endpoint would crash another
    # endpoint with each repetition.
    crashed = []
    async with eh.started(make_host(monkeypatch, crashed)) as host:
        with trio.fail_after(eh.TEST_TIMEOUT_S):
            for _ in range(6):
                status, _, body = await eh.ask(host, LOOKUP, CRASHING_BODY)
                assert status >= 400
            assert len(crashed) <= 3
            assert body['type'].endswith('quarantined')
            assert body['outcome'] == 'not_run'
            status, _, _ = await eh.ask(host, LOOKUP, b'{}')
    assert status == 200


# The crash of a service whose listener outlives its streams by a moment wasn't
# counted, so that the call behind it went on to crash others.
@pytest.mark.parametrize('waits', [0, 1, 4])
async def test_a_crash_counts_if_the_ending_process_still_takes_a_connection(
    waits,
):
    reported = []

    async def report(crashes):
        reported.extend(crashes)

    with ending_listener.run(waits) as ending:
        endpoint = {
            'url': f'http://127.0.0.1:{ending.port}',
            'failure_domain': 'd',
            'role': 'service',
            'service': 's',
        }
        tree = tree_lib.Tree.from_document(
            {
                'services': {'s': {'operations': {}}},
                'endpoints': {'e': endpoint},
            }
        )
        own = membership.Member('h', 'd', 'http://h', 'h')
        state = state_lib.HostState(own, 'r', tree, b'x', random.Random(1))
        client = services.HttpServiceClient(state.fleet)
        crashes = service_crashes.ServiceCrashes(state, client, report)
        run = quarantine.Run('f', 'r/1')
        await crashes.check_endpoint('e', run)
    assert [crash.runs for crash in reported] == [frozenset({run})]
