"""Sound servers that fall silent for a second or so, by what callers saw.

The scenes are played beside each other. See docs/incidents/silent-servers.md.
"""

import functools
import pathlib
import tempfile

import pytest
import trio

from tests.common import layered_scene
from tests.common import silent_servers
from tests.common import stopping_host

SCENE_S = 20.0
# The servers run in the test's process: if that is held up, they are silent
# for longer than a scene says.
MAX_OWN_DELAY_S = 0.5


async def silences_beside_configs(scene):
    await _play(scene, scene.change_configs)


async def silences_beside_sighups(scene):
    await _play(scene, scene.reload_hosts)


async def _play(scene, do_beside):
    await scene.start_hosts()
    async with scene.with_requests():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.silence_servers)
            nursery.start_soon(do_beside)
            await trio.sleep(SCENE_S)
            nursery.cancel_scope.cancel()


ACTS = (silences_beside_configs, silences_beside_sighups)


@functools.cache
def play_scenes():
    """Returns the scenes by their function, after their end."""
    scenes = _play_scenes()
    if any(s.own_delay_s > MAX_OWN_DELAY_S for s in scenes.values()):
        scenes = _play_scenes()
    return scenes


def _play_scenes():
    batch = [(act, layered_scene.HOSTS) for act in ACTS]
    with tempfile.TemporaryDirectory(prefix='silent-') as folder:
        return trio.run(
            stopping_host.play_scenes,
            silent_servers.SilentScene,
            batch,
            pathlib.Path(folder),
        )


# Guards against a host that takes the silence of a sound server for its end and
# breaks off its streams.
@pytest.mark.parametrize('act', ACTS, ids=[act.__name__ for act in ACTS])
def test_no_stream_is_broken_off_because_a_sound_server_is_silent(act):
    scene = play_scenes()[act]
    if scene.error is not None:
        raise scene.error
    print('\n'.join(scene.describe()))
    assert scene.own_delay_s <= MAX_OWN_DELAY_S, 'the test was held up'
    assert scene.lists_paths_of_layers()
    found = scene.explain(scene.broken_off)
    assert not found, f'{len(found)} found\n' + '\n'.join(found)
