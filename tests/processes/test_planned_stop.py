"""Planned stops of real hosts, judged by what callers and servers saw.

Scenes that need the same time are played beside each other, each with hosts,
store and servers of its own.
"""

import functools
import pathlib
import signal
import tempfile

import trio

from tests.common import stopping_host
from tests.soak import process_fleet

# Time with requests before the signal.
BEFORE_S = 1.5
# Long enough for the hosts to see that streams of 12 s are usual.
USUAL_S = 12.0
USUAL_STREAMS = 40
BUSY_PROCESSES = 3
COMING_BACK = 10


async def stop_at_once(scene):
    await _play_beside_requests(scene, 0.0)


async def stop_late_by_0_3_s(scene):
    await _play_beside_requests(scene, 0.3)


async def stop_late_by_0_5_s(scene):
    await _play_beside_requests(scene, 0.5)


async def _play_beside_requests(scene, late_s):
    await scene.start_hosts()
    scene.nursery.start_soon(scene.send_steadily, scene.hosts)
    await trio.sleep(BEFORE_S)
    await scene.stop(scene.hosts[0], late_s)


async def stop_busy_host(scene):
    await scene.start_hosts()
    scene.add_busy_processes(scene.hosts[0], BUSY_PROCESSES)
    scene.nursery.start_soon(scene.send_steadily, scene.hosts)
    await trio.sleep(BEFORE_S)
    await scene.stop(scene.hosts[0])


async def signal_in_series(scene):
    host = scene.hosts[0]

    async def send_signals():
        for number in (signal.SIGHUP, signal.SIGTERM) * 6:
            await trio.sleep(0.5)
            host.send(number)

    await scene.start_hosts()
    scene.nursery.start_soon(scene.send_steadily, scene.hosts)
    await trio.sleep(BEFORE_S)
    host.send(signal.SIGHUP)
    scene.nursery.start_soon(send_signals)
    await scene.stop(host)


async def stop_two_hosts(scene):
    await scene.start_hosts()
    scene.nursery.start_soon(scene.send_steadily, scene.hosts)
    await trio.sleep(BEFORE_S)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scene.stop, scene.hosts[0])
        await trio.sleep(1.5)
        nursery.start_soon(scene.stop, scene.hosts[1], 0.3)


async def stop_without_store(scene):
    await scene.start_hosts()
    scene.nursery.start_soon(scene.send_steadily, scene.hosts)
    await trio.sleep(BEFORE_S)
    scene.store.send(signal.SIGSTOP)
    await trio.sleep(0.5)
    await scene.stop(scene.hosts[0])


async def stop_while_servers_go(scene):
    async def let_go():
        await trio.sleep(0.5)
        scene.servers[0].state = scene.servers[3].state = 'draining'
        await trio.sleep(1.0)
        scene.servers[1].break_off()
        scene.servers[4].break_off()

    await scene.start_hosts()
    scene.nursery.start_soon(scene.send_steadily, scene.hosts)
    await trio.sleep(BEFORE_S)
    scene.nursery.start_soon(let_go)
    await scene.stop(scene.hosts[0])


async def stop_with_slow_links(scene):
    async def send_slowly():
        while scene.hosts[0].is_up:
            kind, duration_s = scene.rng.choice(
                (('look', 0.1), ('draft', 1.5), ('draft', 4.5), ('draft', 6.0))
            )
            scene.nursery.start_soon(
                functools.partial(
                    scene.ask, scene.hosts[0], kind, duration_s, slow_s=1.4
                )
            )
            await trio.sleep(0.06)

    await scene.start_hosts()
    scene.nursery.start_soon(send_slowly)
    await trio.sleep(BEFORE_S)
    await scene.stop(scene.hosts[0])


async def stop_while_callers_come_back(scene):
    await scene.start_hosts()
    for number in range(COMING_BACK):
        # Some of their requests are being read at any time.
        slow_s = 0.5 + 0.1 * number if number > 1 else 0.0
        scene.nursery.start_soon(scene.come_back, scene.hosts[0], slow_s)
        await trio.sleep(0.05)
    await trio.sleep(BEFORE_S)
    await scene.stop(scene.hosts[0], has_long_streams=False)


async def stop_with_known_durations(scene):
    host = scene.hosts[0]

    async def send_usual():
        for _ in range(USUAL_STREAMS):
            scene.nursery.start_soon(ask, 'draft', USUAL_S, '10,120')
            scene.nursery.start_soon(ask, 'quick', 1.0, '10,10')
            await trio.sleep(0.03)

    async def ask(kind, duration_s, usage):
        await scene.ask(host, kind, duration_s, token_usage=usage, model='m')

    await scene.start_hosts()
    await send_usual()
    await trio.sleep(USUAL_S + 1.0)
    scene.nursery.start_soon(scene.stop, host, 0.0, False)
    await host.wait_logged('host_stopping')
    await send_usual()


async def signal_during_start(scene):
    reloaded, ended, answering = scene.hosts
    for host in scene.hosts:
        host.start()

    async def end_early():
        await ended.wait_loading()
        await scene.stop(ended, has_long_streams=False)

    async def end_when_answering():
        scene.nursery.start_soon(scene.come_back, answering)
        with trio.fail_after(stopping_host.START_LIMIT_S):
            while not any(r.status for r in scene.requests):
                await trio.sleep(0.005)
        await scene.stop(answering, has_long_streams=False)

    scene.nursery.start_soon(end_early)
    scene.nursery.start_soon(end_when_answering)
    await reloaded.wait_loading()
    while reloaded.is_up and not scene.is_reloaded_ready:
        reloaded.send(signal.SIGHUP)
        scene.is_reloaded_ready = await process_fleet.is_ok(
            reloaded.readiness, '/-/readyz'
        )
        await trio.sleep(0.05)


BATCHES = (
    (
        (stop_at_once, 1),
        (stop_late_by_0_3_s, 1),
        (stop_late_by_0_5_s, 1),
        (signal_in_series, 1),
        (stop_with_slow_links, 1),
        (signal_during_start, 3),
    ),
    (
        (stop_busy_host, 1),
        (stop_two_hosts, 2),
        (stop_without_store, 1),
        (stop_while_servers_go, 1),
        (stop_while_callers_come_back, 1),
        (stop_with_known_durations, 1),
    ),
)


@functools.cache
def play_batch(number):
    """Returns the scenes of a batch, by their function, after their end."""
    with tempfile.TemporaryDirectory(prefix='stop-') as folder:
        return trio.run(
            stopping_host.play_scenes,
            stopping_host.Scene,
            BATCHES[number],
            pathlib.Path(folder),
        )


def play(act):
    """Returns the scene of a function after its end."""
    number = next(n for n, b in enumerate(BATCHES) if act in dict(b))
    scene = play_batch(number)[act]
    if scene.error is not None:
        raise scene.error
    assert any(request.is_whole for request in scene.requests)
    return scene


def assert_nothing_cut(act, stop_count=1):
    scene = play(act)
    assert [stop.code for stop in scene.stops] == [0] * stop_count
    assert scene.violations == []


def test_no_request_is_cut_when_the_signal_is_handled_at_once():
    assert_nothing_cut(stop_at_once)


# Guards against streams that are accepted later than 3 s after the signal was
# sent and cut at the end of the grace period.
def test_no_request_is_cut_when_the_signal_is_handled_0_3_s_late():
    assert_nothing_cut(stop_late_by_0_3_s)


# Guards against the same with a longer delay.
def test_no_request_is_cut_when_the_signal_is_handled_0_5_s_late():
    assert_nothing_cut(stop_late_by_0_5_s)


def test_no_request_is_cut_when_a_busy_host_stops():
    assert_nothing_cut(stop_busy_host)


def test_no_request_is_cut_when_further_signals_come_during_a_stop():
    assert_nothing_cut(signal_in_series)


# Guards against the same at a host that stops while its peer does.
def test_no_request_is_cut_when_two_hosts_stop_overlapping():
    assert_nothing_cut(stop_two_hosts, 2)


def test_no_request_is_cut_when_the_store_is_away_during_a_stop():
    assert_nothing_cut(stop_without_store)


def test_no_request_is_cut_when_servers_end_and_leave_during_a_stop():
    assert_nothing_cut(stop_while_servers_go)


def test_no_request_is_cut_that_is_read_over_a_slow_link_during_a_stop():
    assert_nothing_cut(stop_with_slow_links)


def test_no_request_is_cut_when_callers_come_back_until_the_host_is_gone():
    assert_nothing_cut(stop_while_callers_come_back)


# Guards against new connections that are accepted and then closed as idle ones
# before their first byte is read.
def test_a_new_connection_during_a_stop_is_answered_or_refused():
    scene = play(stop_at_once)
    stop = scene.stops[0]
    assert scene.unread == []
    refused = [
        request
        for request in scene.requests
        if request.status == 503 and request.sent_at >= stop.at
    ]
    assert refused
    assert all('retry-after' in request.headers for request in refused)


# Guards against refused requests, and requests that are still being read, that
# keep a host from ending.
def test_a_host_that_is_asked_without_a_pause_ends_once_it_is_idle():
    scene = play(stop_while_callers_come_back)
    stop = scene.stops[0]
    assert stop.ended_at - stop.at < stopping_host.LAST_SIXTH_S


# Guards against streams that are accepted although they can't end in time.
def test_a_stream_that_would_outlast_a_stop_is_refused_at_once():
    during = _list_during_stop('12.0')
    assert [request.status for request in during] == [503] * USUAL_STREAMS


def test_a_stream_that_ends_in_time_is_served_during_a_stop():
    during = _list_during_stop('1.0')
    assert [(r.status, r.is_whole) for r in during] == [
        (200, True)
    ] * USUAL_STREAMS


def _list_during_stop(duration):
    """Returns the requests of a duration that were sent during the stop."""
    scene = play(stop_with_known_durations)
    assert scene.violations == []
    return [
        request
        for request in scene.requests
        if str(request.duration_s) == duration
        and request.began_at > scene.stops[0].at
    ]


# Guards against the default action of a signal that comes before it is handled.
def test_a_sighup_during_start_up_does_not_end_the_process():
    assert play(signal_during_start).is_reloaded_ready


def test_a_sigterm_during_start_up_ends_the_process_and_cuts_no_request():
    scene = play(signal_during_start)
    assert len(scene.stops) == 2
    assert scene.violations == []


# Guards against a judgement that looks away, as the soak's did.
def test_the_judgement_counts_exactly_the_requests_that_a_stop_may_not_cut():
    host, other = object(), object()
    stop = stopping_host.Stop(host, 100.0, 107.5, 0)
    seen = {
        # Each: when it was sent, when it was cut, when its server ended.
        'cut': (103.1, 107.4, 107.4),
        'cut early': (102.0, 104.0, 104.0),
        'server done': (102.0, 107.4, 106.0),
        'excused': (103.0, 107.4, 107.4),
        'not passed on': (103.0, 103.3, None),
        'crossed the close': (103.0, 103.1, None),
        'broke off': (103.1, 104.0, 104.0),
        'time limit': (103.1, 106.5, 106.5),
        'elsewhere': (103.1, 107.4, 107.4),
        'after the rule': (103.1, 109.1, 109.1),
    }
    requests, runs = [], []
    for name, (sent_at, ended_at, run_end) in seen.items():
        request = stopping_host.Request(name, host, 5.0, 20.0)
        request.began_at = request.sent_at = request.sent_by = sent_at
        request.ended_at = ended_at
        if name == 'elsewhere':
            request.host = other
        if name == 'time limit':
            request.limit_s = 3.0
        requests.append(request)
        if run_end is not None:
            run = stopping_host.Run(name, 'llm-0', sent_at, run_end)
            run.broke_off = name == 'broke off'
            runs.append(run)
    found = stopping_host.find_violations(requests, runs, [stop])
    assert [line.partition(':')[0] for line in found] == [
        'cut',
        'cut early',
        'server done',
        'not passed on',
    ]
