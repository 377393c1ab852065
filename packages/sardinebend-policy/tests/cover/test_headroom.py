"""Room that batch drafts leave to urgent ones, under a burst of either."""

import pytest

from sardinebend_policy import catalog
from sardinebend_policy import endpoints
from sardinebend_policy import fleet_shares
from sardinebend_policy import headroom
from sardinebend_policy import paths

LAYERS = 80
# Memory for 50,000 tokens beside ten layers.
CARD = catalog.CardKind(10 * 1000.0 + 50_000 * 10 * 0.01, 5.0, 8.0)
ENGINE = catalog.EngineModel(
    layers=LAYERS,
    layer_mb=1000.0,
    token_layer_mb=0.01,
    step_ms=1.0,
    per_request_ms=0.004,
    read_tokens_per_ms=200.0,
    activation_mb=0.05,
    pipe_mb_per_ms=1.0,
    usual_prompt=800.0,
    usual_answer=200.0,
    load_s=14.0,
    cards={'card': CARD},
    stride=5,
    context_ms_per_token=0.000005,
)


def make_path():
    return tuple(
        paths.Part(
            endpoints.Endpoint(
                f'e{start}',
                'llm',
                f'10.0.0.{start}:80',
                'a',
                96,
                False,
                0,
                span=endpoints.Span(start, start + 10),
                card='card',
            ),
            endpoints.Span(start, start + 10),
        )
        for start in range(0, LAYERS, 10)
    )


def check(requests, urgent_share, gap_target_s=0.25, slowness=1.0):
    path = make_path()
    load = paths.Load(requests, requests * 1000.0 * 10, slowness)
    return headroom.check(
        ENGINE,
        gap_target_s,
        path,
        1000,
        {part.endpoint.endpoint_id: load for part in path},
        headroom.Outlook(urgent_share, 0.5, 5.0),
    )


@pytest.mark.parametrize(
    ('requests', 'urgent_share', 'expected'),
    [
        # Of 50 requests that fit, 47 run; urgent ones may take the rest soon.
        (47, 0.5, headroom.Verdict.MEMORY),
        (47, 0.0, headroom.Verdict.FITS),
        (40, 0.5, headroom.Verdict.FITS),
        (50, 0.0, headroom.Verdict.MEMORY),
    ],
)
def test_batch_drafts_leave_the_room_that_urgent_ones_are_about_to_need(
    requests, urgent_share, expected
):
    assert check(requests, urgent_share) is expected


def test_batch_drafts_are_held_before_running_streams_miss_their_pauses():
    assert check(40, 0.5, gap_target_s=0.03) is headroom.Verdict.PAUSES
    assert check(40, 0.5, slowness=12.0) is headroom.Verdict.PAUSES
    assert check(0, 0.0) is headroom.Verdict.FITS


def test_only_ranks_behind_one_that_is_present_are_held_back():
    shares = fleet_shares.FleetShares()
    shares.begin('llm', 2, 'a', 900)
    assert not headroom.is_held_back(shares.view('llm', 0.0, 60), 2)
    shares.begin('llm', 0, 'b', 900)
    view = shares.view('llm', 0.0, 60)
    assert headroom.is_held_back(view, 2)
    assert not headroom.is_held_back(view, 0)
    assert view.urgent_share(2) == 0.5 and view.by_customer['a'].tokens == 54000
    shares.end('llm', 0, 'b', 900)
    assert not headroom.is_held_back(shares.view('llm', 0.0, 60), 2)
