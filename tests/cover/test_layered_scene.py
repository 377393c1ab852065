"""Which doubts of a host the scene of late hosts takes for true."""

import types

import pytest

from tests.common import layered_scene

DOUBT = {
    'event': 'endpoint_doubted',
    'time': 102.0,
    'endpoint': 'llm-0',
    'reason': 'report request unanswered',
}


def make_scene(folder, delays, line):
    scene = layered_scene.LayeredScene(None, folder / 'scene', 1)
    host = types.SimpleNamespace(name='host-0')
    scene.pauses = [layered_scene.Pause(host, 0.0, 1.0, 100.0, 101.0)]
    scene.own_delays = [layered_scene.Delay(*delay) for delay in delays]
    scene.lines = {'host-1': [line]}
    return scene


# Each delay of the servers: when it ended, and its length.
@pytest.mark.parametrize(
    'delays',
    [
        [],
        # A little less than two thirds of the time that the host waits.
        [(102.0, 0.16)],
        # Over before the host asked.
        [(101.7, 1.0)],
        # After the doubt.
        [(102.4, 0.38)],
    ],
)
def test_a_doubt_of_engines_that_were_on_time_counts(delays, tmp_path):
    scene = make_scene(tmp_path, delays, DOUBT)
    assert len(scene.find_rash('endpoint_doubted')) == 1
    assert not scene.list_true_doubts()


@pytest.mark.parametrize(
    'delays',
    [
        [(102.0, 0.2)],
        [(101.84, 0.07), (101.92, 0.06), (102.0, 0.06)],
        [(102.2, 0.4)],
    ],
)
def test_a_doubt_of_engines_that_were_held_up_is_true(delays, tmp_path):
    scene = make_scene(tmp_path, delays, DOUBT)
    assert not scene.find_rash('endpoint_doubted')
    assert len(scene.list_true_doubts()) == 1


def test_held_up_engines_excuse_no_other_verdict(tmp_path):
    line = {**DOUBT, 'reason': 'unreachable'}
    scene = make_scene(tmp_path, [(102.0, 0.25)], line)
    assert len(scene.find_rash('endpoint_doubted')) == 1
