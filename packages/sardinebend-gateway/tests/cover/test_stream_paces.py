"""What the events of streams tell of their engines, also at a late host."""

import types

import pytest
import result

from sardinebend_gateway import calls
from sardinebend_gateway import clocks
from sardinebend_gateway import stream_paces
from sardinebend_gateway import stream_watchdog
from sardinebend_policy import endpoints
from sardinebend_policy import paths
from sardinebend_policy import slowness
from tests.common import uneven_fleet

GAP_TARGET_S = 0.25
ENGINE = uneven_fleet.ENGINE


def make_path():
    span = endpoints.Span(0, ENGINE.layers)
    endpoint = uneven_fleet.make_endpoint('a', 'east', 'big', span)
    return (paths.Part(endpoint, span),)


def make_pace(is_on_time, is_watched=True):
    state = types.SimpleNamespace(
        slowness=slowness.SlownessTable(),
        watches_slowness=lambda _: is_watched,
        host_clock=types.SimpleNamespace(
            was_on_time_since=lambda _: is_on_time
        ),
        loads=dict,
    )
    admitted = types.SimpleNamespace(
        service=types.SimpleNamespace(engine=ENGINE),
        route=types.SimpleNamespace(gap_target_s=GAP_TARGET_S),
    )
    exchange = types.SimpleNamespace(state=state, admitted=admitted)
    return stream_paces.StreamPace(exchange), state.slowness


@pytest.mark.parametrize(
    ('is_on_time', 'waited_s', 'is_watched', 'doubted'),
    [
        (True, 2.0, True, ['a']),
        (True, GAP_TARGET_S, True, []),
        # A host with a pause of its own doubts nobody.
        (False, 2.0, True, []),
        (True, 2.0, False, []),
    ],
)
async def test_a_pause_that_callers_notice_raises_a_doubt(
    is_on_time, waited_s, is_watched, doubted
):
    path = make_path()
    pace, table = make_pace(is_on_time, is_watched)
    pace.record_event(path, None)
    pace.record_event(path, waited_s)
    assert list(table.doubtful(clocks.now())) == doubted


async def test_the_time_to_the_first_event_raises_no_doubt():
    pace, table = make_pace(True)
    pace.record_event(make_path(), None)
    assert not table.doubtful(clocks.now())


class Calls:
    """Counts the reports that are asked."""

    def __init__(self):
        self.asked = 0

    async def report(self, endpoint):
        self.asked += 1
        return result.Err(calls.NoReport.UNKNOWN)


def make_watchdog():
    state = types.SimpleNamespace(
        endpoints=endpoints.EndpointTable(), watches_slowness=lambda _: True
    )
    admitted = types.SimpleNamespace(
        service=types.SimpleNamespace(engine=ENGINE),
        route=types.SimpleNamespace(gap_target_s=GAP_TARGET_S, target_s=0.5),
    )
    progress = types.SimpleNamespace(
        exchange=types.SimpleNamespace(state=state, admitted=admitted),
        path=make_path(),
        record_wait=lambda: None,
    )
    engine_calls = Calls()
    watchdog = stream_watchdog.Watchdog(progress, engine_calls, None)
    return watchdog, engine_calls, state


async def test_a_stalled_stream_asks_before_it_leaves_an_engine_that_is_full():
    # Guards against engines that fill one after another, since each that
    # refuses work for want of memory loses all its streams to the next.
    watchdog, engine_calls, state = make_watchdog()
    (part,) = make_path()
    state.endpoints.mark_unhealthy(
        part.endpoint, clocks.now(), endpoints.NAMED_IN_REFUSAL
    )
    action = await watchdog._investigate_stall(0.5)
    assert action is stream_watchdog.StallAction.WAIT
    assert engine_calls.asked == 1
