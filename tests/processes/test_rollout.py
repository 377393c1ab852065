"""The rollout of a new model version over a route of separate processes."""

import trio

from standins import launcher
from standins import records
from standins import words
from tests.common import processes

PROMPT = 'Draft while it rolls [40 tokens]'


def test_the_rollout_of_a_new_version_interrupts_no_draft(tmp_path):
    with processes.run_deployment(tmp_path) as deployment:
        drafts = trio.run(roll_out, deployment)
        runs = processes.fetch_runs(deployment)
        held = [
            launcher.fetch_json(f'{engine.url}/health')['held']['model_version']
            for engine in deployment.engines.values()
        ]
    assert held == ['2'] * 6
    assert len(drafts) > 5
    for draft in drafts:
        assert draft.error is None
        assert draft.text == words.whole_answer(PROMPT, 40)
        own = [run for run in runs if run[0] == draft.request_id]
        attempts = {run[1] for run in own}
        last = [run for run in own if run[1] == max(attempts)]
        assert records.check_layers(last, launcher.LAYERS) == []


async def roll_out(deployment):
    drafts = []
    is_rolled_out = trio.Event()

    async def send_drafts(caller):
        while not is_rolled_out.is_set():
            drafts.append(await caller.draft(PROMPT, 40))

    async with trio.open_nursery() as nursery:
        for caller in processes.make_callers(deployment):
            nursery.start_soon(send_drafts, caller)
        first = [name for name in deployment.engines if name.endswith('a')]
        await change_version(deployment, first)
        await wait_until_held(deployment, first)
        await trio.to_thread.run_sync(
            set_version, deployment, {'routes/assistant': None}
        )
        rest = [name for name in deployment.engines if name.endswith('b')]
        await change_version(deployment, rest)
        await wait_until_held(deployment, rest)
        is_rolled_out.set()
    return drafts


def set_version(deployment, nodes):
    """Sets model version 2 in some nodes."""
    url, key = deployment.hosts[0].url, launcher.OPERATOR_KEY
    standing = launcher.fetch_json(f'{url}/admin/v1/settings', key=key)
    edits = [
        {
            'node': node,
            'expected_version': standing['nodes'][node]['version'],
            'value': {**standing['nodes'][node]['value'], 'model_version': '2'},
        }
        for node in nodes
    ]
    body = {'change_id': '+'.join(nodes), 'why': 'roll', 'edits': edits}
    launcher.fetch_json(f'{url}/admin/v1/settings/changes', 'POST', body, key)


async def change_version(deployment, names):
    nodes = dict.fromkeys(f'endpoints/{name}' for name in names)
    await trio.to_thread.run_sync(set_version, deployment, nodes)


async def wait_until_held(deployment, names):
    """Waits until every host reports that the engines hold version 2."""

    def is_known():
        for host in deployment.hosts:
            shown = launcher.fetch_json(
                f'{host.url}/admin/v1/endpoints', key=launcher.OPERATOR_KEY
            )
            held = {item['endpoint']: item['held'] for item in shown}
            if any(held[name] != ['tide', '2'] for name in names):
                return False
        return True

    with trio.fail_after(90):
        while not await trio.to_thread.run_sync(is_known):
            await trio.sleep(0.2)
