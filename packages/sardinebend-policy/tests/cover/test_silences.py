"""Streams that are slow together, or alone, under overload."""

import hypothesis
from hypothesis import strategies as st

from sardinebend_policy import retries
from sardinebend_policy import silences

LIMIT_S = 1.1
GAPS = st.floats(0, 10)


def judge(book, name, silent_s, now, longest_s=0.0):
    return silences.Silence(
        silent_s, LIMIT_S, longest_s, book.usual_s(name, now)
    )


def test_a_silence_at_an_engine_of_short_pauses_is_unusual():
    book = silences.PauseBook()
    for number in range(20):
        book.record('a', 0.03, number * 0.03)
    assert judge(book, 'a', 1.2, 1.0).is_unusual


def test_streams_of_an_overloaded_engine_are_not_moved():
    # Guards against congestion that feeds on the prompts of moved streams.
    book = silences.PauseBook()
    for number in range(8):
        book.record('a', 0.2 * number, number * 0.3)
    assert not judge(book, 'a', 1.6, 2.4).is_unusual
    assert judge(book, 'a', 2.4, 2.4).is_unusual


def test_a_stream_is_not_moved_to_an_engine_as_slow():
    book = silences.PauseBook()
    book.record('b', 1.0, 0.0)
    silence = judge(book, 'a', 1.5, 0.1)
    assert silence.is_unusual
    assert not silence.would_gain(book.usual_s('b', 0.1))
    assert silence.would_gain(book.usual_s('c', 0.1))


def test_pauses_of_long_ago_say_nothing():
    book = silences.PauseBook()
    book.record('a', 3.0, 0.0)
    assert book.usual_s('a', silences.WINDOW_S) == 3.0
    assert book.usual_s('a', silences.WINDOW_S + 0.1) == 0.0


def test_engines_that_are_gone_are_forgotten():
    book = silences.PauseBook()
    for name in ('a', 'b'):
        book.record(name, 1.0, 0.0)
        book.record_stall(name, 0.0)
    book.forget({'b'})
    assert (book.usual_s('a', 0.0), book.usual_s('b', 0.0)) == (0.0, 1.0)
    assert not book.record_stall('a', 0.1)
    assert book.record_stall('b', 0.1)


@hypothesis.given(st.lists(GAPS, max_size=100), GAPS, GAPS)
@hypothesis.settings(derandomize=True, deadline=None, database=None)
def test_no_silence_within_the_pace_of_a_stream_is_unusual(gaps, own, silent):
    book = silences.PauseBook()
    for gap in gaps:
        book.record('a', gap, 0.0)
    seen = [own, *gaps[-silences.MAX_GAPS :]]
    silence = judge(book, 'a', silent, 1.0, own)
    assert silence.is_unusual == (silent > max(LIMIT_S, 1.5 * max(seen)))


def test_looking_at_a_retry_budget_spends_nothing():
    budget = retries.RetryBudget(0.0, 1)
    assert budget.can_spend(1.0)
    assert budget.can_spend(1.0)
    assert budget.try_spend(1.0)
    assert not budget.can_spend(1.0)
