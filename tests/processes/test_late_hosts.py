"""Hosts that are held up, before engines with layers, by what callers saw.

Scenes of a batch are played beside each other, each with hosts, store and
servers of its own. See docs/incidents/late-hosts.md.
"""

import functools
import pathlib
import tempfile

import pytest
import trio

from tests.common import layered_scene
from tests.common import stopping_host

# The platform's signal comes this long before a host is suspended beside its
# stop, for each of the stops of a scene.
PAUSES_AFTER_S = (0.05, 0.6)
PAUSES_S = (1.2, 1.5)
# Without a stop, one host after another.
PAUSES_ALONE_S = (1.5, 1.2, 1.4)
# Time between two pauses without a stop.
PAUSE_INTERVAL_S = 4.0
# Processes that share a host's processor, for each of the stops of a scene.
BUSY_PROCESSES = (6, 12)
# The servers run in the test's process: if that is held up for longer, they
# are silent themselves, and the batch is played once more. So it is if a host
# had much less of its processor than the busy ones leave it.
MAX_OWN_DELAY_S = 0.5


async def stop_late_by_1_3_s(scene):
    await _stop_late(scene, 1.3)


async def stop_late_by_1_8_s(scene):
    await _stop_late(scene, 1.8)


async def _stop_late(scene, late_s):
    async def stop(host):
        await scene.stop(host, late_s)

    await scene.start_hosts()
    async with scene.with_requests():
        await scene.stop_in_turn(scene.hosts[:2], stop)


async def pause_beside_stop(scene):
    settings = iter(zip(PAUSES_AFTER_S, PAUSES_S, strict=True))

    async def pause_later(host, after_s, duration_s):
        await trio.sleep(after_s)
        await scene.pause(host, duration_s)

    async def stop(host):
        scene.nursery.start_soon(pause_later, host, *next(settings))
        await scene.stop(host)

    await scene.start_hosts()
    async with scene.with_requests():
        await scene.stop_in_turn(scene.hosts[:2], stop)


async def pause_without_stop(scene):
    await scene.start_hosts()
    async with scene.with_requests():
        for host, duration_s in zip(scene.hosts, PAUSES_ALONE_S, strict=False):
            await scene.pause_next(host, duration_s)
            await trio.sleep(PAUSE_INTERVAL_S)


async def stop_starved(scene):
    counts = iter(BUSY_PROCESSES)

    async def stop(host):
        scene.add_busy_processes(host, next(counts))
        await trio.sleep(layered_scene.BEFORE_S)
        await scene.stop(host)
        scene.end_busy_processes()

    await scene.start_hosts()
    async with scene.with_requests():
        await scene.stop_in_turn(scene.hosts[:2], stop)


BATCHES = (
    (stop_late_by_1_3_s, stop_late_by_1_8_s, pause_without_stop),
    (pause_beside_stop, stop_starved),
)
STOPS = (
    stop_late_by_1_3_s,
    stop_late_by_1_8_s,
    pause_beside_stop,
    stop_starved,
)
PAUSES = (pause_beside_stop, pause_without_stop)


@functools.cache
def play_batch(number):
    """Returns the scenes of a batch, by their function, after their end."""
    scenes = _play_batch(number)
    if any(s.list_delays(MAX_OWN_DELAY_S) for s in scenes.values()):
        scenes = _play_batch(number)
    return scenes


def _play_batch(number):
    batch = [(act, layered_scene.HOSTS) for act in BATCHES[number]]
    with tempfile.TemporaryDirectory(prefix='late-') as folder:
        return trio.run(
            stopping_host.play_scenes,
            layered_scene.LayeredScene,
            batch,
            pathlib.Path(folder),
        )


def play(act):
    """Returns the scene of a function after its end."""
    number = next(n for n, batch in enumerate(BATCHES) if act in batch)
    scene = play_batch(number)[act]
    if scene.error is not None:
        raise scene.error
    print('\n'.join(scene.describe()))
    _assert_none(scene.list_delays(MAX_OWN_DELAY_S))
    assert scene.lists_paths_of_layers()
    return scene


def for_each_scene(acts):
    """Returns a decorator that runs a test for each of these scenes."""
    return pytest.mark.parametrize(
        'act', acts, ids=[act.__name__ for act in acts]
    )


# Guards against streams that a host begins too late to end them, or breaks off,
# when it learns late of its stop or is held up meanwhile.
@for_each_scene(STOPS)
def test_no_stream_is_lost_around_a_stop_of_a_late_host(act):
    scene = play(act)
    assert len(scene.stops) == 2
    _assert_none(scene.explain(scene.lost))


# Guards against connections that a host closes unread once it runs again, as if
# their callers had been silent.
@for_each_scene(STOPS)
def test_no_request_is_left_unread_around_a_stop_of_a_late_host(act):
    scene = play(act)
    assert len(scene.stops) == 2
    _assert_none(scene.explain(scene.unanswered))


# Guards against a host that takes streams away from sound engines after its own
# pause and finds no other engine for them.
@for_each_scene(PAUSES)
def test_no_sound_stream_is_broken_off_after_a_pause_of_its_host(act):
    scene = play(act)
    assert scene.pauses
    _assert_none(scene.explain(scene.broken_off))


# Guards against attempts, budget and doubts that a host spends on its own delay
# as if engines and peers had been silent.
@for_each_scene(PAUSES)
@pytest.mark.parametrize(
    'event', ('attempt_failed', 'endpoint_doubted', 'peer_lost')
)
def test_a_host_does_not_take_its_own_pause_for_the_silence_of_others(
    event, act
):
    scene = play(act)
    assert scene.pauses
    _assert_none(scene.find_rash(event))


def _assert_none(found):
    assert not found, f'{len(found)} found\n' + '\n'.join(found)
