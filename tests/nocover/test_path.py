"""Requests through separate processes, without faults."""

import trio

from standins import launcher
from standins import records
from standins import words
from tests.common import processes

PROMPT = 'Plan a voyage [12 tokens]'


def test_every_layer_runs_once_for_each_token_in_order(tmp_path):
    with processes.run_deployment(tmp_path) as deployment:
        drafts = trio.run(run_drafts, deployment)
        runs = processes.fetch_runs(deployment)
    for draft in drafts:
        assert draft.text == words.whole_answer(PROMPT, 50)
        assert draft.tokens == 12
        own = [run for run in runs if run[0] == draft.request_id]
        assert {run[2] for run in own} == set(range(12))
        assert records.check_layers(own, launcher.LAYERS) == []


async def run_drafts(deployment):
    drafts = []

    async def run_draft(caller):
        drafts.append(await caller.draft(PROMPT, 50))

    async with trio.open_nursery() as nursery:
        for caller in processes.make_callers(deployment) * 2:
            nursery.start_soon(run_draft, caller)
    return drafts


def test_layer_checker_finds_gaps_repeats_and_disorder():
    correct = [('r', 1, 0, 0, 4, 1.0), ('r', 1, 0, 4, 8, 2.0)]
    assert records.check_layers(correct, 8) == []
    assert records.check_layers(correct[:1], 8)
    assert records.check_layers([*correct, correct[1]], 8)
    assert records.check_layers([('r', 1, 0, 4, 8, 0.5), correct[0]], 8)
    second_token_early = [('r', 1, 1, 0, 4, 0.1), ('r', 1, 1, 4, 8, 0.2)]
    assert records.check_layers([*correct, *second_token_early], 8)


def test_booking_checker_finds_a_repeated_booking():
    run = {'operation': 'confirm', 'key': 'k', 'body': ''}
    assert records.check_once([run]) == []
    assert records.check_once([run, run])
