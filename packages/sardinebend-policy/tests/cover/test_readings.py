"""Prompts that wait to be read, and what they add to the cost of paths."""

import pytest

from sardinebend_policy import catalog
from sardinebend_policy import endpoints
from sardinebend_policy import inflight
from sardinebend_policy import path_cache
from sardinebend_policy import paths
from sardinebend_policy import readings

LAYERS = 8
PAUSE_S = 0.25
# Prompt tokens x layers that engine `a` reads in a second.
READ_RATE = 1000.0
# A pass of the slow card takes 75 ms, and 170 ms if it reads all it can.
ENGINE = catalog.EngineModel(
    layers=LAYERS,
    layer_mb=100.0,
    token_layer_mb=0.0001,
    step_ms=1.0,
    per_request_ms=0.01,
    read_tokens_per_ms=200.0,
    activation_mb=0.01,
    pipe_mb_per_ms=1.0,
    usual_prompt=800.0,
    usual_answer=200.0,
    load_s=1.0,
    cards={
        'fast': catalog.CardKind(1000.0, 2.0, 2.0),
        'slow': catalog.CardKind(1000.0, 15.0, 7.4),
    },
    stride=5,
    context_ms_per_token=1e-6,
)
USUAL_TOKENS = 1000
SHORT, LONG = 100, 4000


def make_endpoint(name, card='fast', start=0, end=LAYERS):
    span = endpoints.Span(start, end)
    return endpoints.Endpoint(
        name, 's', 'h:1', 'east', 96, False, 1, card, span
    )


def make_path(*names, layers=2):
    return tuple(
        paths.Part(make_endpoint(name), endpoints.Span(0, layers))
        for name in names
    )


def make_cache(*fleet, pause_s=PAUSE_S, loads=None):
    cache = path_cache.PathCache(ENGINE, pause_s)
    cache.refresh(fleet, loads or {}, 1, 0.0)
    return cache


def send(cache, in_flight, prompt_tokens):
    """Sends a prompt along the path that is chosen for it."""
    path = cache.choose(prompt_tokens + 200, in_flight.loads(0.0))
    in_flight.add(path, prompt_tokens + 200)
    in_flight.begin_reading(path, prompt_tokens)
    return path


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


def test_many_short_prompts_avoid_the_engines_that_read_the_few_long_ones():
    """Covers two long prompts among twelve short ones, on three engines."""
    cache = make_cache(*(make_endpoint(name) for name in 'abc'))
    in_flight = inflight.InFlight()
    long = {send(cache, in_flight, LONG)[0].endpoint for _ in range(2)}
    assert len(long) == 2
    short = [send(cache, in_flight, SHORT)[0].endpoint for _ in range(12)]
    assert long.isdisjoint(short)


def test_many_long_prompts_at_once_are_read_by_all_engines_alike():
    """Covers nine long prompts at once, on three engines."""
    cache = make_cache(*(make_endpoint(name) for name in 'abc'))
    in_flight = inflight.InFlight()
    for _ in range(9):
        send(cache, in_flight, LONG)
    assert in_flight.requests == {'a': 3, 'b': 3, 'c': 3}


# The fast engine has so many prompts to read that a slow one would be cheaper.
@pytest.mark.parametrize(('pause_s', 'name'), [(PAUSE_S, 'b'), (10.0, 'a')])
def test_no_prompt_is_read_by_a_slow_card_whose_streams_it_would_hold_up(
    pause_s, name
):
    """Covers a slow card with many streams beside a fast one in demand."""
    fleet = (make_endpoint('a', 'slow'), make_endpoint('b'))
    loads = {
        'a': paths.Load(70, 70 * USUAL_TOKENS * LAYERS),
        'b': paths.Load(70, 70 * USUAL_TOKENS * LAYERS, 1.0, 6e4 * LAYERS),
    }
    cache = make_cache(*fleet, pause_s=pause_s, loads=loads)
    assert cache.choose(USUAL_TOKENS, loads)[0].endpoint.endpoint_id == name


@pytest.mark.parametrize(('pause_s', 'name'), [(PAUSE_S, 'b'), (None, 'a')])
def test_a_prompt_avoids_a_first_engine_without_free_slots(pause_s, name):
    """Covers a burst that fills the slots, but not the memory, of an engine."""
    fleet = (make_endpoint('a'), make_endpoint('b', 'slow'))
    loads = {'a': paths.Load(93, 93 * LAYERS, first_requests=93)}
    cache = make_cache(*fleet, pause_s=pause_s, loads=loads)
    assert cache.choose(USUAL_TOKENS, loads)[0].endpoint.endpoint_id == name
    # Other engines than the first have no slots for it.
    inner = [make_endpoint(p.endpoint_id, p.card, 4) for p in fleet]
    finder = paths.PathFinder(
        ENGINE, [make_endpoint('c', end=4), *inner], loads, pause_s=pause_s
    )
    path = finder.find(USUAL_TOKENS)
    assert [part.endpoint.endpoint_id for part in path] == ['c', 'a']


def test_without_pauses_at_risk_costs_do_not_depend_on_reading_or_slots():
    path = (paths.Part(make_endpoint('a'), endpoints.Span(0, LAYERS)),)
    costs = [
        paths.PathFinder(
            ENGINE, (), {'a': paths.Load(95, 0.0, 1.0, unread)}
        ).cost_of_path(path, USUAL_TOKENS)
        for unread in (0.0, 1e9)
    ]
    read_ms, step_ms = 800.0 / 200.0 * 2.0, (1.0 + 0.01 * 95) * 2.0
    free_share = 1 - USUAL_TOKENS * LAYERS / 2e6
    expected = (read_ms + paths.STEP_WEIGHT * step_ms) / free_share**2
    assert costs[0] == costs[1] == pytest.approx(expected)


def test_an_engine_that_is_predicted_to_pause_adds_its_pass_and_its_reading():
    path = (paths.Part(make_endpoint('a', 'slow'), endpoints.Span(0, 4)),)
    loads = {'a': paths.Load(100, 0.0, 2.0, 1600.0 * LAYERS)}
    # Half of the layers, twice as slow: 1.5 passes of 5 steps of 30 ms, and
    # 2,400 tokens at 27 tokens a ms.
    expected_ms = 1.5 * 5 * 30.0 + 2400 / 200.0 * 7.4
    pause_s = paths.predict_pause_s(ENGINE, path, loads)
    assert pause_s == pytest.approx(expected_ms / 1e3)
    most = 1.5 * 5 * 512 / 200.0 * 7.4
    work = readings.Work(0, 0, 1e6)
    pause_ms = readings.pause_ms(ENGINE, ENGINE.cards['slow'], work)
    assert pause_ms == pytest.approx(1.5 * 5 * 15.0 + most)


def test_only_the_first_engine_of_a_path_gives_a_slot():
    totals = inflight.InFlight()
    path = make_path('a', 'b')
    totals.add(path, 10)
    totals.add_first(path)
    counts = inflight.PeerCounts(0.0, {'a': 5}, {}, first_requests={'a': 3})
    totals.record_peer_counts('peer', counts)
    loads = totals.loads(0.0, hosts=4)
    assert [loads[name].first_requests for name in 'ab'] == [8, 0]
    totals.remove_first(path)
    assert totals.loads(0.0)['a'].first_requests == 3
