"""The model of engines, and what the shipped decisions make of it."""

import msgspec
import pytest

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_simulation import baselines
from sardinebend_simulation import deployments
from sardinebend_simulation import errors
from sardinebend_simulation import reports
from sardinebend_simulation import simulations

CARDS = {'card': catalog.CardKind(1000.0, 2.0, 4.0)}
ENGINE = deployments.Engine(
    layers=10,
    layer_mb=100.0,
    token_layer_mb=0.01,
    step_ms=1.0,
    per_request_ms=0.0,
    read_tokens_per_ms=100.0,
    activation_mb=0.01,
    pipe_mb_per_ms=1.0,
    cards=CARDS,
    usual_prompt=500.0,
    usual_answer=20.0,
)


def make(count=4, per_s=2.0, domains=('east', 'west'), **changes):
    groups = tuple(deployments.Group(d, 'card', count) for d in domains)
    traffic = deployments.Traffic(per_s=per_s, prompt_spread=0.0)
    found = deployments.Deployment('small', ENGINE, groups, traffic, last_s=5.0)
    return msgspec.structs.replace(found, **changes)


def play(deployment, seed=1, **names):
    return simulations.Simulation(deployment, seed, **names).run()


def test_a_lone_request_takes_the_published_times():
    result = play(make(per_s=0.3))
    # 500 tokens at 100 a ms on cards that read 4 times slower are 20 ms; two
    # parts at 7 and 3 layers, one hop.
    assert result.first_event_ms['p50'] == pytest.approx(20.3, abs=0.2)
    # Two tokens at 1 ms, times 2, and two hops of 0.3 ms each token.
    assert result.pause_ms['p50'] == pytest.approx(4.6, abs=0.1)
    assert result.ends == {'in time': result.asked}


def test_the_same_seed_gives_the_same_result():
    deployment = make(faults=(deployments.Fault('down', 1.0, 2.0),))
    assert play(deployment) == play(deployment)
    assert play(deployment) != play(deployment, seed=2)


def test_a_stream_is_repaired_around_a_lost_part():
    deployment = make(
        per_s=40.0, faults=(deployments.Fault('down', 2.0, 2.0, count=2),)
    )
    result = play(deployment)
    assert result.repair_ms
    assert result.repair_ms['p50'] < 1000
    assert result.worth > 0.9


def test_a_lost_domain_leaves_the_other_one_serving():
    fault = deployments.Fault('domain', 1.0, 3.0, domain='east')
    result = play(make(per_s=20.0, faults=(fault,)))
    assert result.worth > 0.8


def test_without_room_for_the_model_all_is_refused_and_says_why():
    result = play(make(count=1, domains=('east',)))
    assert result.worth == 0.0
    assert result.binds == ['layers without a holder']
    assert set(result.ends) == {'refused'}


def test_more_than_the_cards_can_do_ends_and_shows_what_binds():
    result = play(make(per_s=400.0))
    # A part of 7 layers reads a prompt in 14 ms; four copies read 286 a second.
    assert result.worth < 286 / 400
    assert any(text.endswith('of card') for text in result.binds)


def test_callers_that_repeat_at_once_end_too():
    traffic = deployments.Traffic(
        per_s=400.0, retries=3, repeats_at_once=1.0, leaving_share=0.3
    )
    result = play(make(traffic=traffic))
    assert sum(result.ends.values()) == result.asked


@pytest.mark.parametrize('placement', baselines.PLACEMENTS)
@pytest.mark.parametrize('chooser', baselines.CHOOSERS)
def test_every_baseline_plays(placement, chooser):
    result = play(make(per_s=10.0), placement=placement, chooser=chooser)
    assert 0 < result.worth <= 1


@pytest.mark.parametrize('placement', baselines.PLACEMENTS.values())
def test_no_plan_puts_more_on_a_card_than_fits(placement):
    for seed in range(6):
        deployment = deployments.draw(seed)
        model = deployment.model()
        known = {e.endpoint_id: e for e in deployment.make_endpoints()}
        for name, span in placement().plan(model, list(known.values())).items():
            size_mb = span.size * model.layer_mb
            assert size_mb <= model.cards[known[name].card].memory_mb
            assert endpoints_lib.Span(0, model.layers).covers(span)


def test_drawn_deployments_are_sound():
    for seed in range(30):
        deployment = deployments.draw(seed)
        deployments.check(deployment)
        assert 2 <= len({g.domain for g in deployment.endpoints}) <= 5
        data = msgspec.json.encode(deployment)
        assert deployments.decode(data) == deployment


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        (b'"layers":10', b'"layers":0'),
        (b'"layers":10', b'"layers":"ten"'),
        (b'"layers":10', b'"layers":10,"more":1'),
        (b'"step_ms":1.0', b'"step_ms":-1.0'),
        (b'"step_ms":1.0', b'"step_ms":1e999'),
        (b'[1000.0,2.0,4.0]', b'[0.0,2.0,4.0]'),
        (b'"card":"card"', b'"card":"none"'),
        (b'"shape":"steady"', b'"shape":"square"'),
        (b'"count":4', b'"count":0'),
        (b'{', b''),
    ],
)
def test_an_unsound_deployment_is_refused(old, new):
    data = msgspec.json.encode(make())
    assert old in data
    with pytest.raises(errors.InvalidDeployment):
        deployments.decode(data.replace(old, new, 1))


def test_a_page_shows_a_bar_for_each_second():
    page = reports.render_page(play(make()))
    assert page.count('<rect') == 3 * 5
    assert '<script' not in page


def test_a_name_cannot_bring_markup_into_the_page():
    page = reports.render_page(play(make(name='<b>x')))
    assert '<b>' not in page
