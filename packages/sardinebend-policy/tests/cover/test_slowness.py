"""Engines that turn slow: 40 in 100 twelve times, or one in many paths."""

import random

from sardinebend_policy import path_cache
from sardinebend_policy import paths
from sardinebend_policy import slowness
from tests.common import uneven_fleet

GAP_TARGET_S = 0.25
SLOW = 12.0
ENGINE = uneven_fleet.ENGINE
RNG = random.Random(1)


def make_path(fleet, avoid=()):
    path = paths.PathFinder(ENGINE, fleet, {}).find(
        uneven_fleet.TOKENS, avoid=avoid
    )
    assert path is not None
    return path


def names_of(path):
    return [part.endpoint.endpoint_id for part in path]


def test_new_work_stays_in_time_while_40_in_100_engines_are_slow():
    fleet = uneven_fleet.make_fleet()
    slow = {e.endpoint_id: SLOW for e in random.Random(2).sample(fleet, k=37)}
    cache = path_cache.PathCache(ENGINE)
    loads = {name: paths.Load(slowness=slow[name]) for name in slow}
    late = []
    for number in range(60):
        cache.refresh(fleet, loads, 1, number * 0.1)
        path = cache.choose(uneven_fleet.TOKENS, loads)
        late.append(slowness.event_ms(ENGINE, path, loads) / 1e3)
        for part in path:
            load = loads.get(part.endpoint.endpoint_id, paths.IDLE)
            loads[part.endpoint.endpoint_id] = load._replace(
                requests=load.requests + 1,
                token_layers=load.token_layers
                + uneven_fleet.TOKENS * part.span.size,
            )
    assert max(late) < GAP_TARGET_S


def test_one_slow_engine_in_many_paths_is_the_only_one_asked():
    fleet = uneven_fleet.make_fleet()
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
    path = make_path(uneven_fleet.make_fleet())
    table = slowness.SlownessTable()
    loads = {name: paths.Load(slowness=SLOW) for name in names_of(path)}
    expected_s = slowness.event_ms(ENGINE, path, loads) / 1e3
    table.record_late_event(ENGINE, path, expected_s, loads, 10.0)
    assert not table.doubtful(10.0)


def test_what_is_known_fades_unless_it_is_renewed():
    table = slowness.SlownessTable()
    table.record('a', SLOW, 10.0)
    assert [c.endpoint_id for c in table.take_changes(10.0)] == ['a']
    assert table.factor('a', 10.0 + slowness.HOLD_S) == SLOW
    assert not table.slow(10.0 + slowness.MAX_AGE_S)
    assert [c.endpoint_id for c in table.take_changes(21.0)] == ['a']
    assert table.take_changes(21.1) == []


def test_an_engine_of_a_path_that_is_fast_now_is_not_slow():
    path = make_path(uneven_fleet.make_fleet())
    table = slowness.SlownessTable()
    table.record(path[0].endpoint.endpoint_id, SLOW, 10.0)
    least_s = sum(slowness.part_ms(ENGINE, part) for part in path) / 1e3
    table.record_events(ENGINE, path, least_s, 10.5)
    assert not table.slow(10.5)


def test_a_finding_that_returns_over_other_hosts_gets_no_younger():
    # Guards against engines that count as slow for seconds after they aren't,
    # since each heartbeat makes the finding some milliseconds younger.
    table = slowness.SlownessTable()
    table.record('a', SLOW, 10.0)
    (sent,) = table.statements_to_send(10.1, 1, RNG)
    assert not table.apply(sent._replace(at=10.4))
    assert table.age_s('a', 12.0) == 2.0
    other = slowness.SlownessTable()
    assert other.apply(sent)
    other.record('a', 1.0, 11.0)
    for number in range(20):
        other.record(f'fast-{number}', 1.0, 11.0)
    # The news of its recovery goes first, and for longer than other findings.
    (newer,) = other.statements_to_send(11.0, 1, RNG)
    assert other.statements_to_send(14.0, 30, RNG) == [newer]
    assert table.apply(newer)
    assert not table.slow(11.0)
