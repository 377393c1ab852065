"""Tests of the engine model and of simulation runs with each policy."""

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
ENGINE = deployments.EngineFigures(
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


def make_deployment(count=4, per_s=2.0, domains=('east', 'west'), **changes):
    groups = tuple(deployments.Group(d, 'card', count) for d in domains)
    traffic = deployments.Traffic(per_s=per_s, prompt_spread=0.0)
    deployment = deployments.Deployment(
        'small', ENGINE, groups, traffic, last_s=5.0
    )
    return msgspec.structs.replace(deployment, **changes)


def run_simulation(deployment, seed=1, **options):
    return simulations.Simulation(deployment, seed, **options).run()


def test_single_request_takes_the_published_engine_times():
    result = run_simulation(make_deployment(per_s=0.3))
    # 500 tokens at 100 tokens per ms, on cards that prefill 4 times slower,
    # take 20 ms in two parts of 7 and 3 layers; one hop adds 0.3 ms.
    assert result.first_event_ms['p50'] == pytest.approx(20.3, abs=0.2)
    # Two tokens at 1 ms, on cards with a step factor of 2, take 4 ms; one hop
    # of 0.3 ms for each token adds 0.6 ms.
    assert result.pause_ms['p50'] == pytest.approx(4.6, abs=0.1)
    assert result.ends == {'in time': result.asked}


def test_same_seed_gives_the_same_result_and_another_seed_differs():
    deployment = make_deployment(faults=(deployments.Fault('down', 1.0, 2.0),))
    assert run_simulation(deployment) == run_simulation(deployment)
    assert run_simulation(deployment) != run_simulation(deployment, seed=2)


def test_streams_are_repaired_after_endpoints_go_down():
    deployment = make_deployment(
        per_s=40.0, faults=(deployments.Fault('down', 2.0, 2.0, count=2),)
    )
    result = run_simulation(deployment)
    assert result.repair_ms
    assert result.repair_ms['p50'] < 1000
    assert result.worth > 0.9


def test_other_domain_keeps_serving_after_the_loss_of_a_domain():
    fault = deployments.Fault('domain', 1.0, 3.0, domain='east')
    result = run_simulation(make_deployment(per_s=20.0, faults=(fault,)))
    assert result.worth > 0.8


def test_all_requests_are_refused_if_the_layers_do_not_fit():
    result = run_simulation(make_deployment(count=1, domains=('east',)))
    assert result.worth == 0.0
    assert result.binds == ['layers without a holder']
    assert set(result.ends) == {'refused'}


def test_overload_lowers_worth_and_reports_the_bottleneck():
    result = run_simulation(make_deployment(per_s=400.0))
    # A part of 7 layers prefills a prompt in 14 ms; four copies prefill 286
    # prompts per second.
    assert result.worth < 286 / 400
    assert any(text.endswith('of card') for text in result.binds)


def test_every_request_ends_when_callers_retry_without_delay():
    traffic = deployments.Traffic(
        per_s=400.0, retries=3, repeats_at_once=1.0, leaving_share=0.3
    )
    result = run_simulation(make_deployment(traffic=traffic))
    assert sum(result.ends.values()) == result.asked


@pytest.mark.parametrize('placement', baselines.PLACEMENTS)
@pytest.mark.parametrize('chooser', baselines.CHOOSERS)
def test_every_combination_of_baselines_serves_requests(placement, chooser):
    result = run_simulation(
        make_deployment(per_s=10.0), placement=placement, chooser=chooser
    )
    assert 0 < result.worth <= 1


@pytest.mark.parametrize('placement', baselines.PLACEMENTS.values())
def test_no_plan_exceeds_the_memory_of_a_card(placement):
    for seed in range(6):
        deployment = deployments.generate(seed)
        model = deployment.engine_model()
        endpoints = {e.endpoint_id: e for e in deployment.make_endpoints()}
        for name, span in (
            placement().plan(model, list(endpoints.values())).items()
        ):
            size_mb = span.size * model.layer_mb
            assert size_mb <= model.cards[endpoints[name].card].memory_mb
            assert endpoints_lib.Span(0, model.layers).covers(span)


def test_generated_deployments_are_valid_and_survive_encoding():
    for seed in range(30):
        deployment = deployments.generate(seed)
        deployments.check(deployment)
        assert 2 <= len({g.domain for g in deployment.endpoints}) <= 5
        data = msgspec.json.encode(deployment)
        assert deployments.decode(data) == deployment


@pytest.mark.parametrize(
    ('old', 'new', 'field'),
    [
        (b'"layers":10', b'"layers":0', 'engine.layers'),
        (b'"layers":10', b'"layers":"ten"', 'engine.layers'),
        (b'"layers":10', b'"layers":10,"more":1', 'engine'),
        (b'"step_ms":1.0', b'"step_ms":-1.0', 'engine.step_ms'),
        (b'"step_ms":1.0', b'"step_ms":1e999', 'engine.step_ms'),
        (b'[1000.0,2.0,4.0]', b'[0.0,2.0,4.0]', 'engine.cards.card.memory_mb'),
        (b'"card":"card"', b'"card":"none"', 'endpoints[0].card'),
        (b'"shape":"steady"', b'"shape":"square"', 'traffic.shape'),
        (b'"count":4', b'"count":0', 'endpoints[0].count'),
        (b'{', b'', ''),
    ],
)
def test_invalid_deployment_is_rejected_by_its_field(old, new, field):
    data = msgspec.json.encode(make_deployment())
    assert old in data
    with pytest.raises(errors.InvalidDeployment) as caught:
        deployments.decode(data.replace(old, new, 1))
    assert field in str(caught.value)


# Guards against preempted attempts that are restarted although their request
# has ended, and that take memory and time from others.
@pytest.mark.parametrize('seed', range(4))
def test_no_engine_works_for_a_request_that_has_ended(seed, monkeypatch):
    late_events = []
    record_event = simulations.Simulation._on_event

    def on_event(simulation, request):
        if request.outcome is not None:
            late_events.append(request.outcome)
        return record_event(simulation, request)

    monkeypatch.setattr(simulations.Simulation, '_on_event', on_event)
    engine = msgspec.structs.replace(
        ENGINE, token_layer_mb=0.1, usual_prompt=50.0, usual_answer=400.0
    )
    traffic = deployments.Traffic(
        per_s=40.0, prompt_spread=0.0, leaving_share=0.5, leaves_s=1.0
    )
    result = run_simulation(
        make_deployment(engine=engine, traffic=traffic),
        seed=seed,
        chooser='round robin',
    )
    assert result.preempted
    assert late_events == []


def test_page_shows_three_bars_for_each_second():
    page = reports.render_page(run_simulation(make_deployment()))
    assert page.count('<rect') == 3 * 5
    assert '<script' not in page


def test_markup_in_the_deployment_name_is_escaped_in_the_page():
    page = reports.render_page(run_simulation(make_deployment(name='<b>x')))
    assert '<b>' not in page
