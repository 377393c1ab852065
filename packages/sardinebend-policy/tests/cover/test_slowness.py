"""Engines that turn slow: 40 in 100 twelve times, or one in many paths."""

import random

from sardinebend_policy import catalog
from sardinebend_policy import endpoints
from sardinebend_policy import path_cache
from sardinebend_policy import paths
from sardinebend_policy import placement
from sardinebend_policy import slowness

GAP_TARGET_S = 0.25
SLOW = 12.0
CARDS = {
    'big': catalog.CardKind(72000.0, 2.4, 3.2),
    'middle': catalog.CardKind(22000.0, 16.0, 8.2),
    'small': catalog.CardKind(14000.0, 5.3, 7.9),
}
FLEET = {
    'east': {'big': 4, 'small': 10, 'middle': 11},
    'north': {'big': 3, 'small': 14, 'middle': 16},
    'west': {'big': 2, 'small': 24, 'middle': 9},
}
ENGINE = catalog.EngineModel(
    layers=80,
    layer_mb=1750.0,
    token_layer_mb=0.01475,
    step_ms=1.02,
    per_request_ms=0.00764,
    read_tokens_per_ms=196.0,
    activation_mb=0.059,
    pipe_mb_per_ms=0.83,
    usual_prompt=772.0,
    usual_answer=230.0,
    load_s=14.0,
    cards=CARDS,
    stride=5,
)
TOKENS = 1000


def make_fleet():
    cards = [
        (
            placement.PlacementEndpoint(
                f'{domain}-{kind}-{number}',
                domain,
                placement.capacity_of(ENGINE, kind),
                None,
            ),
            kind,
        )
        for domain, kinds in FLEET.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]
    plan = placement.make_plan(ENGINE.layers, [card for card, _ in cards])
    return [
        endpoints.Endpoint(
            card.endpoint_id,
            'drafts',
            '10.0.0.1:80',
            card.domain,
            96,
            False,
            1,
            kind,
            plan[card.endpoint_id],
        )
        for card, kind in cards
    ]


def make_path(fleet, avoid=()):
    path = paths.PathFinder(ENGINE, fleet, {}).find(TOKENS, avoid=avoid)
    assert path is not None
    return path


def names_of(path):
    return [part.endpoint.endpoint_id for part in path]


def test_new_work_stays_in_time_while_40_in_100_engines_are_slow():
    fleet = make_fleet()
    slow = {e.endpoint_id: SLOW for e in random.Random(2).sample(fleet, k=37)}
    cache = path_cache.PathCache(ENGINE)
    loads = {name: paths.Load(slowness=slow[name]) for name in slow}
    late = []
    for number in range(60):
        cache.refresh(fleet, loads, 1, number * 0.1)
        path = cache.choose(TOKENS, loads)
        late.append(slowness.event_ms(ENGINE, path, loads) / 1e3)
        for part in path:
            load = loads.get(part.endpoint.endpoint_id, paths.IDLE)
            loads[part.endpoint.endpoint_id] = load._replace(
                requests=load.requests + 1,
                token_layers=load.token_layers + TOKENS * part.span.size,
            )
    assert max(late) < GAP_TARGET_S


def test_one_slow_engine_in_many_paths_is_the_only_one_asked():
    fleet = make_fleet()
    path = make_path(fleet)
    slow = path[1].endpoint.endpoint_id
    others = [n for n in names_of(path) if n != slow]
    table = slowness.SlownessTable()
    table.record_late_event(ENGINE, path, 1.0, {}, 10.0)
    assert table.doubtful(10.0) == dict.fromkeys(names_of(path), 1)
    for part in path:
        if part.endpoint.endpoint_id in others:
            own_s = slowness.part_ms(ENGINE, part) / 1e3
            table.record_events(ENGINE, (part,), own_s, 10.1)
    assert table.doubtful(10.1) == {slow: 1}


def test_a_pause_that_known_slow_engines_explain_raises_no_doubt():
    path = make_path(make_fleet())
    table = slowness.SlownessTable()
    loads = {name: paths.Load(slowness=SLOW) for name in names_of(path)}
    expected_s = slowness.event_ms(ENGINE, path, loads) / 1e3
    table.record_late_event(ENGINE, path, expected_s, loads, 10.0)
    assert not table.doubtful(10.0)


def test_what_is_known_fades_unless_it_is_renewed():
    table = slowness.SlownessTable()
    table.record('a', SLOW, 10.0)
    assert not table.record('a', 1.0, 9.0)
    assert [c.endpoint_id for c in table.take_changes(10.0)] == ['a']
    assert table.factor('a', 10.0 + slowness.HOLD_S) == SLOW
    assert not table.slow(10.0 + slowness.MAX_AGE_S)
    assert [c.endpoint_id for c in table.take_changes(21.0)] == ['a']
    assert table.take_changes(21.1) == []


def test_an_engine_of_a_path_that_is_fast_now_is_not_slow():
    path = make_path(make_fleet())
    table = slowness.SlownessTable()
    table.record(path[0].endpoint.endpoint_id, SLOW, 10.0)
    least_s = sum(slowness.part_ms(ENGINE, part) for part in path) / 1e3
    table.record_events(ENGINE, path, least_s, 10.5)
    assert not table.slow(10.5)
