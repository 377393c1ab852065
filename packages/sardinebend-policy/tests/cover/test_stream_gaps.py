"""Telling stalled streams from slow ones, also under overload."""

import hypothesis
from hypothesis import strategies as st

from sardinebend_policy import retries
from sardinebend_policy import stream_gaps

LIMIT_S = 1.1
GAPS = st.floats(0, 10)


def make_stall(history, name, idle_s, now, longest_gap_s=0.0):
    return stream_gaps.StreamStall(
        idle_s, LIMIT_S, longest_gap_s, history.longest_recent_gap_s(name, now)
    )


def test_a_silence_is_unusual_if_the_gaps_of_the_engine_are_short():
    history = stream_gaps.StreamGapHistory()
    for number in range(20):
        history.record('a', 0.03, number * 0.03)
    assert make_stall(history, 'a', 1.2, 1.0).is_unusual


def test_streams_of_an_overloaded_engine_are_not_moved():
    # Guards against congestion that grows because every stream that is moved
    # has its prompt read again by another engine.
    history = stream_gaps.StreamGapHistory()
    for number in range(8):
        history.record('a', 0.2 * number, number * 0.3)
    assert not make_stall(history, 'a', 1.6, 2.4).is_unusual
    assert make_stall(history, 'a', 2.4, 2.4).is_unusual


def test_a_stream_is_not_moved_to_an_equally_slow_engine():
    history = stream_gaps.StreamGapHistory()
    history.record('b', 1.0, 0.0)
    silence = make_stall(history, 'a', 1.5, 0.1)
    assert silence.is_unusual
    assert not silence.is_likely_faster(history.longest_recent_gap_s('b', 0.1))
    assert silence.is_likely_faster(history.longest_recent_gap_s('c', 0.1))


def test_gaps_older_than_the_window_do_not_count():
    history = stream_gaps.StreamGapHistory()
    history.record('a', 3.0, 0.0)
    assert history.longest_recent_gap_s('a', stream_gaps.WINDOW_S) == 3.0
    assert history.longest_recent_gap_s('a', stream_gaps.WINDOW_S + 0.1) == 0.0


def test_gaps_and_stalls_of_removed_engines_are_dropped():
    history = stream_gaps.StreamGapHistory()
    for name in ('a', 'b'):
        history.record(name, 1.0, 0.0)
        history.record_stall(name, 0.0)
    history.forget({'b'})
    assert (
        history.longest_recent_gap_s('a', 0.0),
        history.longest_recent_gap_s('b', 0.0),
    ) == (0.0, 1.0)
    assert not history.record_stall('a', 0.1)
    assert history.record_stall('b', 0.1)


@hypothesis.given(st.lists(GAPS, max_size=100), GAPS, GAPS)
@hypothesis.settings(derandomize=True, deadline=None, database=None)
def test_a_silence_is_unusual_only_beyond_the_limit_and_the_longest_gap(
    gaps, own, silent
):
    history = stream_gaps.StreamGapHistory()
    for gap in gaps:
        history.record('a', gap, 0.0)
    known = [own, *gaps[-stream_gaps.MAX_GAPS :]]
    silence = make_stall(history, 'a', silent, 1.0, own)
    assert silence.is_unusual == (silent > max(LIMIT_S, 1.5 * max(known)))


def test_asking_whether_a_retry_can_be_spent_spends_nothing():
    budget = retries.RetryBudget(0.0, 1)
    assert budget.can_spend(1.0)
    assert budget.can_spend(1.0)
    assert budget.try_spend(1.0)
    assert not budget.can_spend(1.0)
