"""The scenarios of the bench; each runs under a virtual clock with a seed."""

import random
import typing

import trio
from trio._core import _run as trio_run
import trio.testing

from bench import deployments
from bench import load
from sardinebend_policy import outcomes
from sardinebend_policy import planners

SEED: typing.Final = 20261204
WARM_S: typing.Final = 4.0
RUN_S: typing.Final = 12.0
DRAIN_S: typing.Final = 21.0
FAULT_AT_S: typing.Final = 6.0
HALF_DOWN_S: typing.Final = 8.0
SMALL: typing.Final = 'small'

Numbers = dict[str, float]
_Shapes = tuple[tuple[float, float], ...]
_Act = typing.Callable[[load.Site], typing.Awaitable[None]]


class Scenario(typing.NamedTuple):
    """One run.

    Attributes:
        name: What it measures.
        deployment: Where.
        variant: Which way of several that are compared.
        shapes: Loads that follow one another, as shares of the bound.
        act: Faults; `None` for none.
        values: Settings of the fleet.
        customers: Arrival shares; the deployment's own if `None`.
    """

    name: str
    deployment: deployments.Deployment
    variant: str
    shapes: _Shapes
    act: _Act | None = None
    values: dict[str, typing.Any] = {}
    customers: dict[str, float] | None = None


async def kill_one(site: load.Site) -> None:
    """An engine dies."""
    await trio.sleep(FAULT_AT_S)
    site.pool.dead.add('s1-0')


async def kill_two(site: load.Site) -> None:
    """A second engine dies while requests recover from the first."""
    await kill_one(site)
    await trio.sleep(0.02)
    site.pool.dead.update(['s1-1', 's2-0'])


async def silence_one(site: load.Site) -> None:
    """An engine answers nothing any more."""
    await trio.sleep(FAULT_AT_S)
    site.pool.silent.add('s1-0')


async def lose_domain(site: load.Site) -> None:
    """All engines of one failure domain die."""
    await trio.sleep(FAULT_AT_S)
    domain = next(iter(site.pool.specs.values())).failure_domain
    site.pool.dead.update(
        name
        for name, spec in site.pool.specs.items()
        if spec.failure_domain == domain
    )


async def lose_half(site: load.Site) -> None:
    """Half of the engines die and come back."""
    await trio.sleep(FAULT_AT_S)
    names = sorted(site.pool.specs)[::2]
    site.pool.dead.update(names)
    await trio.sleep(HALF_DOWN_S)
    site.pool.dead.difference_update(names)


def list_scenarios() -> list[Scenario]:
    """Returns all scenarios."""
    found = []
    for deployment in deployments.DEPLOYMENTS:
        for policy in planners.PLANNERS:
            values = {'routing.policy': policy}
            steady = ((1.3, WARM_S + RUN_S),)
            found.append(
                Scenario('throughput', deployment, policy, steady, None, values)
            )
            light = ((0.6, WARM_S + RUN_S),)
            found.append(
                Scenario('latency', deployment, policy, light, None, values)
            )
    vanua = deployments.VANUA
    light = ((0.5, WARM_S + RUN_S),)
    for act in (kill_one, kill_two, silence_one, lose_domain):
        found.append(Scenario('recovery', vanua, act.__name__, light, act))
    for factor in (2.0, 10.0):
        shapes: _Shapes = ((0.6, 6.0), (factor, 6.0), (0.6, 10.0))
        found.append(Scenario('overload', vanua, f'{factor:g}x', shapes))
    long = ((0.6, 26.0),)
    found.append(
        Scenario('half lost', vanua, 'dies and returns', long, lose_half)
    )
    for share, name in ((10.0, 'usual'), (100.0, 'large at 10x')):
        customers = {
            customer: share if customer == 'large-1' else weight
            for customer, weight in vanua.customers.items()
        }
        # The small customers send the same in both runs.
        total = sum(customers.values()) / sum(vanua.customers.values())
        shapes = ((0.6 * total, WARM_S + RUN_S),)
        found.append(
            Scenario('fairness', vanua, name, shapes, None, {}, customers)
        )
    return found


def run(scenario: Scenario) -> Numbers:
    """Runs a scenario and returns its numbers."""
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore
    trio_run._r = random.Random(SEED)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_run, scenario, clock=clock)


async def _run(scenario: Scenario) -> Numbers:
    specs = deployments.make_engines(scenario.deployment)
    bound = deployments.bound_tokens_s(specs)
    customers = scenario.customers or scenario.deployment.customers
    async with trio.open_nursery() as nursery:
        site = load.Site(scenario.deployment, nursery, SEED, scenario.values)
        if scenario.act is not None:
            nursery.start_soon(scenario.act, site)
        ends = []
        for share, seconds in scenario.shapes:
            await site.offer(load.Shape(share * bound, seconds, customers))
            ends.append(trio.current_time())
        await trio.sleep(DRAIN_S)
        nursery.cancel_scope.cancel()
    return _measure(site, bound, ends)


def _measure(site: load.Site, bound: float, ends: list[float]) -> Numbers:
    in_time = [at for at in site.delivered_at if WARM_S <= at < ends[-1]]
    rate = len(in_time) / (ends[-1] - WARM_S)
    firsts = [s.first_s for s in site.samples if s.first_s is not None]
    gaps = [gap for sample in site.samples for gap in sample.gaps_s]
    kinds = [type(sample.outcome) for sample in site.samples]
    kept = [sample for sample in site.samples if not sample.cancelled]
    whole = sum(isinstance(s.outcome, outcomes.Answered) for s in kept)
    small = [
        s.first_s
        for s in site.samples
        if s.customer.startswith(SMALL) and s.first_s is not None
    ]
    numbers: Numbers = {
        'requests': len(site.samples),
        'bound_tokens_s': bound,
        'delivered_share': rate / bound,
        'whole_share': whole / max(1, len(kept)),
        'not_run': kinds.count(outcomes.NotRun),
        'wasted_share': site.pool.wasted / max(1, site.pool.tokens_run),
        'small_first_p99_s': load.quantile(small, 0.99),
        'longest_gap_s': max(gaps, default=0.0),
    }
    for share in (0.5, 0.95, 0.99):
        name = f'p{round(share * 100)}'
        numbers[f'first_{name}_s'] = load.quantile(firsts, share)
        numbers[f'gap_{name}_s'] = load.quantile(gaps, share)
    return numbers | _measure_phases(site, bound, ends)


def _measure_phases(
    site: load.Site, bound: float, ends: list[float]
) -> Numbers:
    """Returns the goodput of each phase, and around the middle of the run."""
    numbers: Numbers = {}
    start = 0.0
    for index, end in enumerate(ends):
        count = sum(start <= at < end for at in site.delivered_at)
        numbers[f'phase_{index}_share'] = count / (end - start) / bound
        start = end
    last = [at for at in site.delivered_at if ends[-1] - 4 <= at < ends[-1]]
    numbers['last_4s_share'] = len(last) / 4 / bound
    return numbers
