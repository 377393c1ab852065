"""Drafts of the product's own interface over engines of any pace."""

import pytest

from sardinebend_policy import outcomes
from tests.common import draft_world


# Guards against sound streams that are moved or broken off since their engines
# take long for each token.
@pytest.mark.parametrize('token_s', [0.3, 0.6, 1.5, 3.0])
def test_a_slow_but_sound_stream_comes_whole(token_s, monkeypatch):
    monkeypatch.setattr(draft_world, 'TOKEN_S', token_s)
    record = draft_world.run(())
    assert record.delivered == record.expected_tokens
    [outcome] = record.received_outcomes
    assert isinstance(outcome, outcomes.Answered)
    assert record.longest_gap_s == pytest.approx(token_s, abs=0.1)
    assert not record.still_running


# Guards against a second attempt for each pause that is usual for an engine.
@pytest.mark.parametrize('token_s', [0.3, 0.6, 1.5])
def test_an_even_pace_causes_no_second_attempt(token_s, monkeypatch):
    monkeypatch.setattr(draft_world, 'TOKEN_S', token_s)
    record = draft_world.run(())
    assert {attempt for attempt, *_ in record.runs} == {1}
