"""Placement and paths over several kinds of cards and failure domains."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from sardinebend_policy import catalog
from sardinebend_policy import endpoints
from sardinebend_policy import inflight
from sardinebend_policy import path_cache
from sardinebend_policy import paths
from sardinebend_policy import placement

CARDS = {
    'big': catalog.CardKind(72000.0, 1.4, 1.0),
    'middle': catalog.CardKind(36000.0, 3.1, 3.2),
    'small': catalog.CardKind(21600.0, 16.0, 8.2),
    'tiny': catalog.CardKind(14400.0, 15.0, 15.0),
}
FLEET = {
    'east': {'middle': 1, 'small': 8, 'tiny': 3},
    'north': {'middle': 2, 'small': 4, 'tiny': 7},
    'west': {'big': 1, 'middle': 1, 'small': 5, 'tiny': 7},
}
USUAL_TOKENS = 940


def make_engine(layers=80, **changes):
    engine = catalog.EngineModel(
        layers=layers,
        layer_mb=1750.0,
        token_layer_mb=0.01475,
        step_ms=0.85,
        per_request_ms=0.00764,
        read_tokens_per_ms=196.0,
        activation_mb=0.059,
        pipe_mb_per_ms=1.625,
        usual_prompt=772.0,
        usual_answer=167.0,
        load_s=14.0,
        cards=CARDS,
    )
    return engine._replace(**changes)


def make_cards(engine, fleet):
    return [
        (
            placement.PlacementEndpoint(
                f'{domain}-{kind}-{number}',
                domain,
                placement.capacity_of(engine, kind),
                None,
            ),
            kind,
        )
        for domain, kinds in fleet.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]


def make_endpoint(name, domain='east', card='small', span=None, **changes):
    endpoint = endpoints.Endpoint(
        endpoint_id=name,
        service='drafts',
        address=f'10.0.0.1:{1000 + hash(name) % 50000}',
        domain=domain,
        slots=96,
        is_draining=False,
        born=1,
        card=card,
        span=endpoints.Span(*span) if span else None,
    )
    return endpoint._replace(**changes)


def deploy(engine, fleet=FLEET):
    cards = make_cards(engine, fleet)
    plan = placement.make_plan(engine.layers, [card for card, _ in cards])
    return [
        make_endpoint(
            card.endpoint_id, card.domain, kind, plan[card.endpoint_id]
        )
        for card, kind in cards
        if card.endpoint_id in plan
    ]


def count_holders(engine, fleet):
    counts = [0] * engine.layers
    for endpoint in fleet:
        for layer in range(*endpoint.span):
            counts[layer] += 1
    return counts


def test_each_domain_of_the_fleet_holds_a_whole_copy():
    engine = make_engine()
    fleet = deploy(engine)
    for domain in FLEET:
        path = paths.PathFinder(engine, fleet, {}).find(
            USUAL_TOKENS, domain=domain
        )
        assert path is not None
        assert paths.is_complete(path, engine.layers)
        assert {part.endpoint.domain for part in path} == {domain}


def test_every_layer_has_at_least_three_holders():
    engine = make_engine()
    assert min(count_holders(engine, deploy(engine))) >= 3


def test_spare_cards_replicate_the_largest_part_of_their_domain():
    engine = make_engine()
    fleet = deploy(engine)
    largest = next(e for e in fleet if e.card == 'big')
    others = [
        e for e in fleet if e.domain == largest.domain and e is not largest
    ]
    counts = count_holders(engine, others)
    assert min(counts[n] for n in range(*largest.span)) >= 1


def list_remaining_cards(engine, fleet, names):
    """Returns the cards of the endpoints that are left."""
    return [
        placement.PlacementEndpoint(
            e.endpoint_id,
            e.domain,
            placement.capacity_of(engine, e.card),
            e.span,
            placement.capacity_of(engine, e.card, placement.MIN_REQUEST_SHARE),
        )
        for e in fleet
        if e.endpoint_id not in names
    ]


def apply_moves(layers, cards):
    """Applies moves until there are none; returns cards and move count."""
    moves = 0
    while (move := placement.find_move(layers, cards)) is not None:
        moves += 1
        assert moves < 20
        cards = [
            c._replace(held=move.span) if c.endpoint_id == move[0] else c
            for c in cards
        ]
    return cards, moves


@pytest.mark.parametrize('domain', sorted(FLEET))
@pytest.mark.parametrize('seed', range(6))
def test_a_domain_holds_all_layers_again_after_the_loss_of_an_engine(
    domain, seed
):
    # Guards against the loss of a server, for good or for a restart under load,
    # leaving a domain without some layers.
    engine = make_engine()
    fleet = deploy(engine)
    own = sorted(e.endpoint_id for e in fleet if e.domain == domain)
    lost = random.Random(seed).choice(own)
    cards, _ = apply_moves(
        engine.layers, list_remaining_cards(engine, fleet, {lost})
    )
    held = [c for c in cards if c.domain == domain]
    counts = placement._count_holders(engine.layers, held)
    assert min(counts) >= 1
    for card in cards:
        assert card.held.size <= max(card.capacity, card.max_capacity)


def test_no_card_moves_in_a_fleet_that_lacks_no_layer():
    engine = make_engine()
    cards, moves = apply_moves(
        engine.layers, list_remaining_cards(engine, deploy(engine), set())
    )
    assert moves == 0


def test_the_planned_layers_leave_memory_for_requests():
    engine = make_engine()
    for kind, card in CARDS.items():
        held = placement.capacity_of(engine, kind) * engine.layer_mb
        assert held <= card.memory_mb * (1 - placement.REQUEST_SHARE)


def test_cards_too_few_for_one_copy_still_hold_layers():
    engine = make_engine()
    fleet = deploy(engine, {'east': {'tiny': 3}})
    assert paths.PathFinder(engine, fleet, {}).find(USUAL_TOKENS) is None
    assert all(e.span.size > 0 for e in fleet)


def test_a_copy_spans_domains_if_no_domain_can_hold_one():
    engine = make_engine()
    fleet = deploy(engine, {'east': {'small': 5}, 'west': {'small': 6}})
    path = paths.PathFinder(engine, fleet, {}).find(USUAL_TOKENS)
    assert path is not None
    assert paths.is_complete(path, engine.layers)


@pytest.mark.parametrize(
    'changes',
    [
        {'layers': 0},
        {'layer_mb': 0.0},
        {'layer_mb': 1e9},
        {'cards': {}},
    ],
)
def test_invalid_engine_figures_give_an_empty_plan(changes):
    engine = make_engine(**changes)
    assert placement.capacity_of(engine, 'small') == 0
    card = placement.PlacementEndpoint('a', 'east', 0, None)
    assert placement.make_plan(engine.layers, [card]) == {}


def test_a_new_card_gets_the_layers_with_the_fewest_holders():
    cards = [
        placement.PlacementEndpoint('a', 'east', 40, endpoints.Span(0, 40)),
        placement.PlacementEndpoint('b', 'east', 40, endpoints.Span(40, 80)),
        placement.PlacementEndpoint('c', 'west', 40, endpoints.Span(0, 40)),
        placement.PlacementEndpoint('new', 'west', 40, None),
    ]
    plan = placement.make_plan(80, cards)
    assert plan == {'new': endpoints.Span(40, 80)}


def test_a_new_card_gets_layers_without_any_holder_first():
    cards = [
        placement.PlacementEndpoint('a', 'east', 40, endpoints.Span(0, 40)),
        placement.PlacementEndpoint('b', 'west', 40, endpoints.Span(0, 40)),
        placement.PlacementEndpoint('new', 'east', 20, None),
    ]
    plan = placement.make_plan(80, cards)
    assert plan['new'].start >= 40


@hypothesis.given(
    layers=st.integers(1, 120),
    fleet=st.dictionaries(
        st.sampled_from(['east', 'north', 'west', 'south']),
        st.dictionaries(st.sampled_from(sorted(CARDS)), st.integers(0, 12)),
        min_size=1,
    ),
)
@hypothesis.settings(max_examples=80, deadline=None, derandomize=True)
def test_plans_fit_their_cards_and_found_paths_are_whole(layers, fleet):
    engine = make_engine(layers)
    held = deploy(engine, fleet)
    for endpoint in held:
        assert 0 <= endpoint.span.start < endpoint.span.end <= layers
        memory = CARDS[endpoint.card].memory_mb
        assert endpoint.span.size * engine.layer_mb <= memory
    path = paths.PathFinder(engine, held, {}).find(10)
    total = sum(
        placement.capacity_of(engine, kind) * count
        for kinds in fleet.values()
        for kind, count in kinds.items()
    )
    if path is not None:
        assert paths.is_complete(path, layers)
    if total < layers:
        assert path is None


def test_a_path_avoids_an_engine_without_free_memory():
    engine = make_engine()
    fleet = deploy(engine)
    first = paths.PathFinder(engine, fleet, {}).find(USUAL_TOKENS)
    full = {first[0].endpoint.endpoint_id: paths.Load(90, 1e9)}
    second = paths.PathFinder(engine, fleet, full).find(USUAL_TOKENS)
    assert first[0].endpoint not in {part.endpoint for part in second}


def test_a_path_avoids_slow_engines():
    engine = make_engine()
    fleet = deploy(engine)
    first = paths.PathFinder(engine, fleet, {}).find(USUAL_TOKENS)
    slow = {p.endpoint.endpoint_id: paths.Load(0, 0, 8.0) for p in first}
    second = paths.PathFinder(engine, fleet, slow).find(USUAL_TOKENS)
    assert first[0].endpoint not in {part.endpoint for part in second}


def test_requests_between_refreshes_are_spread_over_several_copies():
    """Covers many requests between two refreshes, in domains of 4 copies."""
    engine = make_engine()
    domains = ('east', 'north', 'west')
    cards = make_cards(engine, {domain: {'small': 40} for domain in domains})
    plan = placement.make_plan(engine.layers, [card for card, _ in cards])
    fleet = [
        make_endpoint(name, domain=name.split('-')[0], span=plan[name])
        for name in sorted(plan)
    ]
    cache = path_cache.PathCache(engine)
    cache.refresh(fleet, {}, 1, 0.0)
    in_flight = inflight.InFlight()
    for _ in range(60):
        path = cache.choose(USUAL_TOKENS, in_flight.loads(0.0))
        in_flight.add(path, USUAL_TOKENS)
    # Three paths in each of three domains.
    assert max(in_flight.requests.values()) <= 60 / 9 + 1


def test_a_domain_with_one_copy_has_one_cached_path_of_its_own():
    """Covers a fleet with spares, where a second path would share engines."""
    engine = make_engine()
    fleet = deploy(engine)
    cache = path_cache.PathCache(engine)
    cache.refresh(fleet, {}, 1, 0.0)
    own = [
        {part.endpoint.domain for part in path} for path in cache.cached_paths
    ]
    assert own[: len(FLEET)] == [{domain} for domain in sorted(FLEET)]
    assert len(own) <= len(FLEET) + path_cache.CROSS_DOMAIN_PATHS


def test_steady_requests_are_spread_over_the_domains():
    """Covers many requests at once, which exceed the memory of no engine."""
    engine = make_engine()
    fleet = deploy(engine)
    cache = path_cache.PathCache(engine)
    loads = {}
    cache.refresh(fleet, loads, 1, 0.0)
    for _ in range(75):
        path = cache.choose(USUAL_TOKENS, loads)
        assert path is not None
        for part in path:
            name = part.endpoint.endpoint_id
            load = loads.get(name, paths.IDLE)
            loads[name] = paths.Load(
                load.requests + 1,
                load.token_layers + USUAL_TOKENS * part.span.size,
            )
    for endpoint in fleet:
        load = loads.get(endpoint.endpoint_id, paths.IDLE)
        free = CARDS[endpoint.card].memory_mb
        free -= endpoint.span.size * engine.layer_mb
        assert load.token_layers * engine.token_layer_mb <= free
    used = {e.domain for e in fleet if e.endpoint_id in loads}
    assert used == set(FLEET)


@pytest.mark.parametrize('seed', range(10))
def test_a_repair_replaces_the_failed_part_and_keeps_the_others(seed):
    """Covers the loss of one engine while streams run through it."""
    engine = make_engine()
    fleet = deploy(engine)
    finder = paths.PathFinder(engine, fleet, {})
    domain = random.Random(seed).choice(sorted(FLEET))
    path = finder.find(USUAL_TOKENS, domain=domain)
    failed = random.Random(seed).choice(path[1:]).endpoint.endpoint_id
    repaired = paths.repair(finder, path, {failed}, USUAL_TOKENS)
    assert repaired is not None
    assert paths.is_complete(repaired, engine.layers)
    assert repaired[0] == path[0]
    assert failed not in {part.endpoint.endpoint_id for part in repaired}
    kept = [part for part in path if part.endpoint.endpoint_id != failed]
    assert set(kept) <= set(repaired)


def test_a_failed_first_part_cannot_be_replaced():
    engine = make_engine()
    finder = paths.PathFinder(engine, deploy(engine), {})
    path = finder.find(USUAL_TOKENS)
    failed = {path[0].endpoint.endpoint_id}
    assert paths.repair(finder, path, failed, USUAL_TOKENS) is None


def test_a_path_uses_no_engine_twice_where_ranges_overlap():
    engine = make_engine(10)
    fleet = [
        make_endpoint('a', span=(0, 9)),
        make_endpoint('b', span=(3, 4)),
        make_endpoint('c', span=(8, 10)),
    ]
    path = paths.PathFinder(engine, fleet, {}).find(10)
    assert paths.is_complete(path, 10)


@pytest.mark.parametrize(
    'spans',
    [
        [(0, 4), (5, 10)],
        [(0, 6), (5, 10)],
        [(0, 5)],
        [(5, 10), (0, 5)],
    ],
)
def test_a_path_with_gaps_overlaps_or_a_wrong_order_is_not_whole(spans):
    path = tuple(
        paths.Part(
            make_endpoint(f'e{number}', span=span), endpoints.Span(*span)
        )
        for number, span in enumerate(spans)
    )
    assert not paths.is_complete(path, 10)


def test_every_engine_of_a_fleet_of_about_1600_gets_layers():
    engine = make_engine()
    fleet = {
        f'd{number}': {'big': 5, 'middle': 15, 'small': 120, 'tiny': 88}
        for number in range(7)
    }
    cards = [card for card, _ in make_cards(engine, fleet)]
    plan = placement.make_plan(engine.layers, cards)
    assert len(plan) == len(cards) == 1596


SCARCE = {
    'east': {'middle': 2, 'small': 3, 'tiny': 5},
    'north': {'big': 1, 'middle': 2, 'small': 3},
}


def test_a_domain_short_of_memory_reserves_less_to_hold_a_copy():
    # Guards against every prompt of a domain crossing to other domains because
    # the domain lacks a few layers.
    engine = make_engine()
    cards = [
        card._replace(
            max_capacity=placement.capacity_of(
                engine, kind, placement.MIN_REQUEST_SHARE
            )
        )
        for card, kind in make_cards(engine, SCARCE)
    ]
    assert sum(c.capacity for c in cards if c.domain == 'east') < 80
    plan = placement.make_plan(80, cards)
    for domain in SCARCE:
        held = set()
        for card in cards:
            if card.domain == domain and card.endpoint_id in plan:
                span = plan[card.endpoint_id]
                assert span.size <= card.max_capacity
                held |= set(range(*span))
        assert held == set(range(80))


def make_split_copy():
    """Returns one copy over two domains, so that each path crosses."""
    return [
        make_endpoint('a', 'east', 'big', (0, 40)),
        make_endpoint('b', 'west', 'big', (40, 80)),
    ]


def test_new_requests_use_no_path_between_domains_at_the_link_limit():
    # Guards against prompts that queue for the links until their callers have
    # given up.
    engine = make_engine()
    finder = paths.PathFinder(engine, make_split_copy(), {}, link_use=0.79)
    assert finder.find(USUAL_TOKENS) is not None
    full = finder.with_loads({}, link_use=paths.LINK_LIMIT)
    assert full.find(USUAL_TOKENS) is None
    begun = finder.with_loads(
        {}, paths.LINK_LIMIT, link_limit=paths.STARTED_LINK_LIMIT
    )
    assert begun.find(USUAL_TOKENS) is not None


def test_paths_within_a_domain_are_used_while_links_are_overloaded():
    engine = make_engine()
    in_domain = [
        make_endpoint('c', 'east', 'small', (0, 40)),
        make_endpoint('d', 'east', 'small', (40, 80)),
    ]
    cards = {
        **CARDS,
        'small': CARDS['small']._replace(memory_mb=100000.0),
    }
    engine = engine._replace(cards=cards)
    finder = paths.PathFinder(
        engine, [*make_split_copy(), *in_domain], {}, link_use=2.0
    )
    path = finder.find(USUAL_TOKENS)
    assert {part.endpoint.domain for part in path} == {'east'}


def test_no_repair_crosses_between_domains_while_links_are_overloaded():
    engine = make_engine()
    spare = make_endpoint('s', 'west', 'big', (0, 40))
    first = make_endpoint('a', 'east', 'big', (0, 40))
    last = make_endpoint('b', 'east', 'big', (40, 80))
    other = make_endpoint('t', 'west', 'big', (40, 80))
    finder = paths.PathFinder(engine, [first, last, spare, other], {})
    path = finder.find(USUAL_TOKENS, domain='east')
    free = paths.repair(finder, path, {'b'}, USUAL_TOKENS)
    assert [part.endpoint.endpoint_id for part in free] == ['a', 't']
    full = finder.with_loads({}, link_use=3.0)
    assert paths.repair(full, path, {'b'}, USUAL_TOKENS) is None


def record_searches(monkeypatch):
    searches = []
    find = paths.PathFinder.find

    def counted(self, *args, **kwargs):
        searches.append(kwargs.get('domain'))
        return find(self, *args, **kwargs)

    monkeypatch.setattr(paths.PathFinder, 'find', counted)
    return searches


def test_no_search_over_all_domains_while_domains_have_paths_of_their_own(
    monkeypatch,
):
    # Guards against hosts of a large fleet spending processor time on searches
    # for paths that no request uses.
    engine = make_engine()
    cache = path_cache.PathCache(engine)
    searches = record_searches(monkeypatch)
    cache.refresh(deploy(engine), {}, 1, 0.0)
    assert searches
    assert None not in searches
    assert cache.choose(USUAL_TOKENS, {}) in cache.cached_paths


def test_a_failed_search_is_not_repeated_for_each_request(monkeypatch):
    engine = make_engine()
    cache = path_cache.PathCache(engine)
    fleet = deploy(engine)
    full = {e.endpoint_id: paths.Load(1.0, 1e12) for e in fleet}
    cache.refresh(fleet, {}, 1, 0.0)
    searches = record_searches(monkeypatch)
    for _ in range(20):
        assert cache.choose(USUAL_TOKENS, full) is None
    assert len(searches) == 1
    cache.refresh(fleet, {}, 1, 0.2)
    assert cache.choose(USUAL_TOKENS, {}) is not None


def test_the_cache_of_a_larger_fleet_is_rebuilt_less_often(monkeypatch):
    engine = make_engine()
    fleet = deploy(engine)
    many = [
        e._replace(endpoint_id=f'{e.endpoint_id}-{n}')
        for n in range(6)
        for e in fleet
    ]
    cache = path_cache.PathCache(engine)
    cache.refresh(many, {}, 1, 0.0)
    searches = record_searches(monkeypatch)
    cache.refresh(many, {}, 1, 0.9)
    assert not searches
    cache.refresh(many, {}, 1, 1.3)
    assert searches


def test_crossings_of_this_host_are_not_scaled_up_to_all_hosts():
    # Guards against a large fleet leaving its links idle because each host
    # takes its own few prompts as typical of all hosts.
    counts = inflight.InFlight()
    for number in range(12):
        peer = inflight.PeerCounts(0.0, {}, {}, 0.0)
        counts.record_peer_counts(f'host-{number}', peer)
    path = tuple(paths.Part(e, e.span) for e in make_split_copy())
    counts.crossings.add(path, 1000, 0.0)
    assert counts.crossing_tokens(0.0, hosts=195) == pytest.approx(500.0)


def test_crossings_of_reporting_peers_are_scaled_up_to_all_peers():
    counts = inflight.InFlight()
    for number in range(10):
        peer = inflight.PeerCounts(0.0, {}, {}, 30.0)
        counts.record_peer_counts(f'host-{number}', peer)
    assert counts.crossing_tokens(0.0, hosts=101) == pytest.approx(3000.0)
    assert inflight.InFlight().crossing_tokens(0.0, hosts=9) == 0.0


def test_a_repair_counts_only_crossings_to_and_from_its_new_parts():
    ends = [
        paths.Part(
            make_endpoint(name, domain, 'big', span), endpoints.Span(*span)
        )
        for name, domain, span in (
            ('a', 'east', (0, 20)),
            ('b', 'west', (20, 40)),
            ('c', 'west', (40, 60)),
            ('d', 'west', (60, 80)),
        )
    ]
    new = paths.Part(
        make_endpoint('e', 'east', 'big', (60, 80)), endpoints.Span(60, 80)
    )
    before, after = tuple(ends), (*ends[:3], new)
    assert inflight.count_crossings(after) == 2
    assert inflight.count_crossings(after, before) == 1
    assert inflight.count_crossings(before, before) == 0


def test_a_new_card_in_a_domain_short_of_memory_holds_more_layers():
    # Guards against a domain lacking a few layers of a copy after a loss, no
    # matter how many engines are added.
    cards = [
        placement.PlacementEndpoint('a', 'east', 30, endpoints.Span(0, 30), 38),
        placement.PlacementEndpoint(
            'b', 'east', 30, endpoints.Span(30, 60), 38
        ),
        placement.PlacementEndpoint('new', 'east', 14, None, 22),
    ]
    plan = placement.make_plan(80, cards)
    assert plan == {'new': endpoints.Span(60, 80)}


def test_a_new_card_in_a_domain_with_enough_memory_holds_its_planned_layers():
    cards = [
        placement.PlacementEndpoint('a', 'east', 40, endpoints.Span(0, 40), 48),
        placement.PlacementEndpoint(
            'b', 'east', 40, endpoints.Span(40, 80), 48
        ),
        placement.PlacementEndpoint('new', 'east', 14, None, 22),
    ]
    plan = placement.make_plan(80, cards)
    assert plan['new'].size == 14
