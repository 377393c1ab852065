"""What a configuration calls for, by its routes and its engines' figures."""

import pytest

from sardinebend_policy import catalog

ENGINE = catalog.EngineModel(
    layers=80,
    layer_mb=1750.0,
    token_layer_mb=0.01,
    step_ms=1.0,
    per_request_ms=0.01,
    read_tokens_per_ms=200.0,
    activation_mb=0.05,
    pipe_mb_per_ms=1.0,
    usual_prompt=800.0,
    usual_answer=200.0,
    load_s=14.0,
    cards={'fast': catalog.CardKind(72000.0, 2.0, 3.0)},
    chunk_tokens=500.0,
)
SLOW = {'slow': catalog.CardKind(22000.0, 15.0, 8.0)}


def make_catalog(engine, *priorities, gap_target_s=0.25):
    routes = [
        catalog.Route(
            name=f'r{index}',
            host='h',
            prefix=f'/{index}/',
            split=(('llm', 90.0), ('app', 10.0)),
            may_repeat=True,
            is_stream=True,
            may_resume=True,
            timeout_s=20.0,
            target_s=0.5,
            gap_target_s=gap_target_s,
            priority=priority,
            max_attempts=2,
            is_public=False,
        )
        for index, priority in enumerate(priorities)
    ]
    services = [
        catalog.Service('llm', '/healthz', engine),
        catalog.Service('app', '/healthz', None),
    ]
    return catalog.Catalog(1, routes, services, catalog.Limits(), None)


@pytest.mark.parametrize(
    ('priorities', 'has_ranks'), [((), False), ((1, 1), False), ((1, 2), True)]
)
def test_a_service_has_ranks_if_its_routes_differ_in_priority(
    priorities, has_ranks
):
    assert make_catalog(ENGINE, *priorities).has_ranks('llm') is has_ranks


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        # A pass takes 9.5 ms; with five steps 47.5 ms; on slow cards 175 ms.
        ({}, False),
        ({'stride': 5}, False),
        ({'stride': 5, 'cards': ENGINE.cards | SLOW}, True),
        ({'stride': 3, 'cards': ENGINE.cards | SLOW}, False),
        ({'stride': 5, 'cards': {}}, False),
    ],
)
def test_reading_breaks_pauses_where_a_pass_and_a_half_outlast_them(
    changes, expected
):
    engine = ENGINE._replace(**changes)
    assert make_catalog(engine, 1).reading_can_break_pauses('llm') is expected


def test_a_service_without_engines_or_streams_has_no_pauses_to_break():
    engine = ENGINE._replace(stride=100)
    assert not make_catalog(engine, 1).reading_can_break_pauses('app')
    assert not make_catalog(engine).reading_can_break_pauses('llm')
