"""Scenarios of the benchmark.

Each runs under a virtual clock with a fixed seed.
"""

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
WARM_UP_S: typing.Final = 4.0
RUN_S: typing.Final = 12.0
DRAIN_S: typing.Final = 21.0
FAULT_AT_S: typing.Final = 6.0
OUTAGE_LENGTH_S: typing.Final = 8.0
SMALL_CUSTOMER_PREFIX: typing.Final = 'small'

Numbers = dict[str, float]
_Phases = tuple[tuple[float, float], ...]
_FaultInjection = typing.Callable[[load.Simulation], typing.Awaitable[None]]


class Scenario(typing.NamedTuple):
    """One run of the simulation.

    Attributes:
        name: Property that the scenario measures.
        deployment: Deployment that it simulates.
        variant: Name of this run among those that are compared.
        phases: Successive loads as (share, seconds); the share is that of the
            highest token rate that the engines can reach.
        inject_faults: Injects faults; `None` for a run without faults.
        values: Settings of the fleet.
        customers: Relative arrival rates; those of the deployment if `None`.
    """

    name: str
    deployment: deployments.Deployment
    variant: str
    phases: _Phases
    inject_faults: _FaultInjection | None = None
    values: dict[str, typing.Any] = {}
    customers: dict[str, float] | None = None


async def kill_one(sim: load.Simulation) -> None:
    """Stops an engine."""
    await trio.sleep(FAULT_AT_S)
    sim.pool.dead.add('s1-0')


async def kill_two(sim: load.Simulation) -> None:
    """Stops one engine, and two more 20 ms later.

    Requests are then still recovering from the first failure.
    """
    await kill_one(sim)
    await trio.sleep(0.02)
    sim.pool.dead.update(['s1-1', 's2-0'])


async def silence_one(sim: load.Simulation) -> None:
    """Makes an engine stop answering without closing connections."""
    await trio.sleep(FAULT_AT_S)
    sim.pool.silent.add('s1-0')


async def lose_domain(sim: load.Simulation) -> None:
    """Stops all engines of one failure domain."""
    await trio.sleep(FAULT_AT_S)
    domain = next(iter(sim.pool.specs.values())).failure_domain
    sim.pool.dead.update(
        name
        for name, spec in sim.pool.specs.items()
        if spec.failure_domain == domain
    )


async def lose_half(sim: load.Simulation) -> None:
    """Stops half of the engines and restores them `OUTAGE_LENGTH_S` later."""
    await trio.sleep(FAULT_AT_S)
    names = sorted(sim.pool.specs)[::2]
    sim.pool.dead.update(names)
    await trio.sleep(OUTAGE_LENGTH_S)
    sim.pool.dead.difference_update(names)


def list_scenarios() -> list[Scenario]:
    """Returns the scenarios in the order of the report."""
    scenarios = []
    for deployment in deployments.DEPLOYMENTS:
        for policy in planners.PLANNERS:
            values = {'routing.policy': policy}
            saturating_load = ((1.3, WARM_UP_S + RUN_S),)
            scenarios.append(
                Scenario(
                    'throughput',
                    deployment,
                    policy,
                    saturating_load,
                    None,
                    values,
                )
            )
            light_load = ((0.6, WARM_UP_S + RUN_S),)
            scenarios.append(
                Scenario(
                    'latency', deployment, policy, light_load, None, values
                )
            )
    vanua = deployments.VANUA
    light_load = ((0.5, WARM_UP_S + RUN_S),)
    for inject_faults in (kill_one, kill_two, silence_one, lose_domain):
        scenarios.append(
            Scenario(
                'recovery',
                vanua,
                inject_faults.__name__,
                light_load,
                inject_faults,
            )
        )
    for factor in (2.0, 10.0):
        phases: _Phases = ((0.6, 6.0), (factor, 6.0), (0.6, 10.0))
        scenarios.append(Scenario('overload', vanua, f'{factor:g}x', phases))
    long_load = ((0.6, 26.0),)
    scenarios.append(
        Scenario('half lost', vanua, 'dies and returns', long_load, lose_half)
    )
    for share, name in ((10.0, 'usual'), (100.0, 'large at 10x')):
        customers = {
            customer: share if customer == 'large-1' else weight
            for customer, weight in vanua.customers.items()
        }
        # Scaled so that the small customers send the same load in both runs.
        total = sum(customers.values()) / sum(vanua.customers.values())
        phases = ((0.6 * total, WARM_UP_S + RUN_S),)
        scenarios.append(
            Scenario('fairness', vanua, name, phases, None, {}, customers)
        )
    return scenarios


def run(scenario: Scenario) -> Numbers:
    """Runs a scenario and returns its measurements."""
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore
    trio_run._r = random.Random(SEED)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_run, scenario, clock=clock)


async def _run(scenario: Scenario) -> Numbers:
    specs = deployments.make_engines(scenario.deployment)
    max_tokens_per_s = deployments.max_tokens_per_s(specs)
    customers = scenario.customers or scenario.deployment.customers
    async with trio.open_nursery() as nursery:
        sim = load.Simulation(
            scenario.deployment, nursery, SEED, scenario.values
        )
        if scenario.inject_faults is not None:
            nursery.start_soon(scenario.inject_faults, sim)
        ends = []
        for share, seconds in scenario.phases:
            await sim.offer(
                load.LoadPhase(share * max_tokens_per_s, seconds, customers)
            )
            ends.append(trio.current_time())
        await trio.sleep(DRAIN_S)
        nursery.cancel_scope.cancel()
    return _measure(sim, max_tokens_per_s, ends)


def _measure(
    sim: load.Simulation, max_tokens_per_s: float, ends: list[float]
) -> Numbers:
    measured_deliveries = [
        at for at in sim.delivered_at if WARM_UP_S <= at < ends[-1]
    ]
    rate = len(measured_deliveries) / (ends[-1] - WARM_UP_S)
    first_token_s = [s.first_s for s in sim.samples if s.first_s is not None]
    gaps = [gap for sample in sim.samples for gap in sample.gaps_s]
    kinds = [type(sample.outcome) for sample in sim.samples]
    not_cancelled = [sample for sample in sim.samples if not sample.cancelled]
    answered = sum(
        isinstance(s.outcome, outcomes.Answered) for s in not_cancelled
    )
    small_first_token_s = [
        s.first_s
        for s in sim.samples
        if s.customer.startswith(SMALL_CUSTOMER_PREFIX)
        and s.first_s is not None
    ]
    numbers: Numbers = {
        'requests': len(sim.samples),
        'bound_tokens_s': max_tokens_per_s,
        'delivered_share': rate / max_tokens_per_s,
        'whole_share': answered / max(1, len(not_cancelled)),
        'not_run': kinds.count(outcomes.NotRun),
        'wasted_share': sim.pool.wasted_tokens / max(1, sim.pool.tokens_run),
        'small_first_p99_s': load.quantile(small_first_token_s, 0.99),
        'longest_gap_s': max(gaps, default=0.0),
    }
    for share in (0.5, 0.95, 0.99):
        name = f'p{round(share * 100)}'
        numbers[f'first_{name}_s'] = load.quantile(first_token_s, share)
        numbers[f'gap_{name}_s'] = load.quantile(gaps, share)
    return numbers | _measure_phases(sim, max_tokens_per_s, ends)


def _measure_phases(
    sim: load.Simulation, max_tokens_per_s: float, ends: list[float]
) -> Numbers:
    """Returns the goodput of each phase and of the last 4 s of the load."""
    numbers: Numbers = {}
    start = 0.0
    for index, end in enumerate(ends):
        count = sum(start <= at < end for at in sim.delivered_at)
        numbers[f'phase_{index}_share'] = (
            count / (end - start) / max_tokens_per_s
        )
        start = end
    last_4s = [at for at in sim.delivered_at if ends[-1] - 4 <= at < ends[-1]]
    numbers['last_4s_share'] = len(last_4s) / 4 / max_tokens_per_s
    return numbers
