"""Prompts that wait to be read, and how they hold up streams."""

import pytest

from sardinebend_policy import endpoints
from sardinebend_policy import inflight
from sardinebend_policy import paths

# Prompt tokens x layers that engine `a` reads in a second.
READ_RATE = 1000.0


def make_path(*names, layers=2):
    return tuple(
        paths.Part(
            endpoints.Endpoint(name, 's', 'h:1', 'east', 6, False, 1),
            endpoints.Span(0, layers),
        )
        for name in names
    )


def test_a_prompt_counts_at_each_part_until_it_is_read():
    totals = inflight.InFlight()
    path = make_path('a', 'b')
    totals.add(path, 10)
    totals.begin_reading(path, 7)
    assert totals.loads(0.0)['b'] == paths.Load(1, 20, 1.0, 14)
    totals.end_reading(path, 7)
    assert totals.loads(0.0)['b'] == paths.Load(1, 20)
    assert totals.reading_token_layers == {}


@pytest.mark.parametrize(
    ('age_s', 'slowness', 'rates', 'expected'),
    [
        (0.0, 1.0, {'a': READ_RATE}, 500),
        (0.3, 1.0, {'a': READ_RATE}, 200),
        (0.3, 3.0, {'a': READ_RATE}, 400),
        (0.6, 1.0, {'a': READ_RATE}, 0),
        (0.0, 1.0, {}, 0),
    ],
)
def test_old_news_of_a_peer_counts_less_by_what_may_have_been_read(
    age_s, slowness, rates, expected
):
    totals = inflight.InFlight()
    totals.slowness['a'] = slowness
    totals.read_rates.update(rates)
    counts = inflight.PeerCounts(0.0, {'a': 1}, {'a': 900}, 0.0, {'a': 500})
    totals.record_peer_counts('peer', counts)
    reading = totals.loads(age_s)['a'].reading_token_layers
    assert reading == pytest.approx(expected)
