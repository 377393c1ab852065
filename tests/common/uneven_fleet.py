"""A fleet of cards that differ in memory and speed, in three domains."""

from sardinebend_policy import catalog
from sardinebend_policy import endpoints
from sardinebend_policy import placement

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


def make_card(name, domain, kind, held=None):
    return placement.PlacementEndpoint(
        name,
        domain,
        placement.capacity_of(ENGINE, kind),
        held,
        placement.capacity_of(ENGINE, kind, placement.MIN_REQUEST_SHARE),
    )


def make_endpoint(name, domain, kind, span):
    return endpoints.Endpoint(
        name, 'drafts', '10.0.0.1:80', domain, 96, False, 1, kind, span
    )


def make_fleet():
    cards = [
        (make_card(f'{domain}-{kind}-{number}', domain, kind), kind)
        for domain, kinds in FLEET.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]
    plan = placement.make_plan(ENGINE.layers, [card for card, _ in cards])
    return [
        make_endpoint(c.endpoint_id, c.domain, kind, plan[c.endpoint_id])
        for c, kind in cards
    ]
