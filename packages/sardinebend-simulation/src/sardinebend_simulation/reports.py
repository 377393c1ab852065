"""Results of a simulation run, as JSON and as an HTML page with plots."""

import html
import math
import typing

import msgspec

from sardinebend_simulation import deployments
from sardinebend_simulation import engines as engines_lib

if typing.TYPE_CHECKING:
    from sardinebend_simulation import simulations

PERCENTILES: typing.Final = (50, 95, 99)
# Utilization above which a resource is reported as a bottleneck.
BUSY_THRESHOLD: typing.Final = 0.8
MEMORY_THRESHOLD: typing.Final = 0.9


class CardUsage(msgspec.Struct, frozen=True):
    """Utilization of one kind of card, as shares of time and of memory.

    Attributes:
        busy_mean: Mean share of time in passes, over the endpoints.
        busy_most: Largest share of time in passes of one endpoint.
        memory_peak: Largest share of request memory taken at one endpoint.
    """

    busy_mean: float
    busy_most: float
    memory_peak: float


class Result(msgspec.Struct, frozen=True):
    """Result of one simulation run.

    Attributes:
        asked: Number of requests, without those whose caller disconnected at
            random (`leaving_share`).
        worth: Mean value of the answers: 1 in time, `late_worth` if late, 0
            otherwise.
        ends: Number of requests by outcome.
        first_event_ms: Time to the first event, by percentile.
        pause_ms: Longest gap of each stream, by percentile.
        repair_ms: Time from the loss of a part to the next event, by
            percentile.
        cards: Utilization by kind of card.
        link_use: Mean share of time in which a link between domains was busy.
        preempted: Number of preemptions for lack of memory, each followed by a
            new prefill.
        holders: Number of endpoints that hold the layer with the fewest
            holders.
        holders_bound: Upper limit of `holders` for any plan.
        binds: Bottlenecks.
        by_second: Number of requests that arrived in each second: all, in
            time, late.
    """

    deployment: str
    placement: str
    chooser: str
    seed: int
    asked: int
    worth: float
    ends: dict[str, int]
    first_event_ms: dict[str, float]
    pause_ms: dict[str, float]
    repair_ms: dict[str, float]
    cards: dict[str, CardUsage]
    link_use: float
    preempted: int
    holders: int
    holders_bound: int
    binds: list[str]
    by_second: list[tuple[int, int, int]]


def summarize(
    deployment: deployments.Deployment,
    labels: tuple[str, str, int],
    cluster: engines_lib.Cluster,
    requests: typing.Sequence['simulations.Request'],
    repair_times_s: typing.Sequence[float],
) -> Result:
    """Returns the result of a simulation run.

    Args:
        deployment: Deployment that was simulated.
        labels: Placement, chooser and seed.
        cluster: Engines of the deployment.
        requests: All requests.
        repair_times_s: Duration of each repair.
    """
    traffic = deployment.traffic
    counted = [r for r in requests if r.outcome != 'disconnected at random']
    classified = [(r, classify(r, traffic)) for r in counted]
    worth = sum(
        {'in time': 1.0, 'late': traffic.late_worth}.get(outcome, 0.0)
        for _, outcome in classified
    )
    ends: dict[str, int] = {}
    for _, outcome in classified:
        ends[outcome] = ends.get(outcome, 0) + 1
    seconds = math.ceil(deployment.last_s)
    by_second = [[0, 0, 0] for _ in range(seconds)]
    for request, outcome in classified:
        row = by_second[min(seconds - 1, int(request.arrived_at))]
        row[0] += 1
        row[1] += outcome == 'in time'
        row[2] += outcome == 'late'
    cards = _card_use(cluster, deployment.last_s)
    links = _count_links(deployment)
    link_use = cluster.link_busy_s / deployment.last_s / links
    holders, max_holders = _count_holders(deployment, cluster)
    placement, chooser, seed = labels
    return Result(
        deployment.name,
        placement,
        chooser,
        seed,
        len(counted),
        round(worth / max(1, len(counted)), 4),
        ends,
        percentiles(
            [
                r.first_event_at - r.arrived_at
                for r in counted
                if r.first_event_at is not None
            ]
        ),
        percentiles(
            [r.longest_gap_s for r in counted if r.events_received > 1]
        ),
        percentiles(repair_times_s),
        cards,
        round(link_use, 4),
        cluster.preempted,
        holders,
        max_holders,
        _find_bottlenecks(cards, link_use, holders),
        [(row[0], row[1], row[2]) for row in by_second],
    )


def classify(
    request: 'simulations.Request', traffic: deployments.Traffic
) -> str:
    """Returns the outcome of a request as its caller saw it."""
    if request.outcome == 'whole' and request.first_event_at is not None:
        first_s = request.first_event_at - request.arrived_at
        is_late = (
            first_s > traffic.target_s or request.longest_gap_s > traffic.gap_s
        )
        return 'late' if is_late else 'in time'
    return request.outcome or 'unfinished'


def percentiles(values_s: typing.Sequence[float]) -> dict[str, float]:
    """Returns percentiles, in ms, of times in seconds; empty without values."""
    if not values_s:
        return {}
    ordered = sorted(values_s)
    return {
        f'p{p}': round(
            ordered[min(len(ordered) - 1, len(ordered) * p // 100)] * 1000, 1
        )
        for p in PERCENTILES
    }


def _card_use(
    cluster: engines_lib.Cluster, last_s: float
) -> dict[str, CardUsage]:
    by_card: dict[str, list[engines_lib.EngineSim]] = {}
    for engine in cluster.engines.values():
        if engine.endpoint.span is not None:
            by_card.setdefault(engine.endpoint.card, []).append(engine)
    return {
        card: CardUsage(
            round(sum(e.busy_s for e in group) / len(group) / last_s, 4),
            round(max(e.busy_s for e in group) / last_s, 4),
            round(max(e.peak_share for e in group), 4),
        )
        for card, group in sorted(by_card.items())
    }


def _count_links(deployment: deployments.Deployment) -> float:
    domains = len({group.domain for group in deployment.endpoints})
    return max(1.0, domains * (domains - 1) / 2)


def _count_holders(
    deployment: deployments.Deployment, cluster: engines_lib.Cluster
) -> tuple[int, int]:
    figures = deployment.engine
    counts = [0] * figures.layers
    capacity = 0
    for engine in cluster.engines.values():
        for layer in range(*(engine.endpoint.span or (0, 0))):
            counts[layer] += 1
        card = figures.cards[engine.endpoint.card]
        capacity += min(figures.layers, int(card.memory_mb / figures.layer_mb))
    return min(counts), capacity // figures.layers


def _find_bottlenecks(
    cards: typing.Mapping[str, CardUsage], link_use: float, holders: int
) -> list[str]:
    bottlenecks = []
    if holders == 0:
        bottlenecks.append('layers without a holder')
    for card, use in cards.items():
        if use.busy_most > BUSY_THRESHOLD:
            bottlenecks.append(f'time of {card}')
        if use.memory_peak > MEMORY_THRESHOLD:
            bottlenecks.append(f'memory of {card}')
    if link_use > BUSY_THRESHOLD:
        bottlenecks.append('links between domains')
    return bottlenecks


_PAGE: typing.Final = """<!doctype html>
<meta charset="utf-8"><title>{title}</title>
<style>body{{font:14px sans-serif;margin:2em}}td,th{{padding:2px 8px;
text-align:right}}svg{{background:#f7f7f7}}</style>
<h1>{title}</h1><p>{summary}</p>
<h2>Requests by second of arrival</h2>{plot}
<h2>Use of cards</h2><table><tr><th>card<th>busy, mean<th>busy, maximum
<th>memory, peak</tr>{cards}</table>
"""


def render_page(result: Result) -> str:
    """Returns an HTML page with plots of a result."""
    title = html.escape(f'{result.deployment}, seed {result.seed}')
    summary = html.escape(
        f'worth {result.worth}; ends {result.ends}; first event'
        f' {result.first_event_ms} ms; longest pause {result.pause_ms} ms;'
        f' repairs {result.repair_ms} ms; links {result.link_use};'
        f' bottlenecks: {", ".join(result.binds) or "none"}'
    )
    cards = ''.join(
        f'<tr><td>{html.escape(card)}<td>{use.busy_mean}<td>{use.busy_most}'
        f'<td>{use.memory_peak}</tr>'
        for card, use in result.cards.items()
    )
    return _PAGE.format(
        title=title, summary=summary, plot=_plot(result), cards=cards
    )


def _plot(result: Result) -> str:
    """Returns an SVG plot with stacked bars: in time, late, not served."""
    width, height = 12, 160
    max_requests = max((row[0] for row in result.by_second), default=1) or 1
    bars = []
    for index, (asked, in_time, late) in enumerate(result.by_second):
        top = float(height)
        for count, colour in (
            (in_time, '#4a8'),
            (late, '#dc7'),
            (asked - in_time - late, '#c66'),
        ):
            bar_height = height * count / max_requests
            top -= bar_height
            bars.append(
                f'<rect x="{index * width}" y="{top:.1f}" width="{width - 2}"'
                f' height="{bar_height:.1f}" fill="{colour}"/>'
            )
    total = width * len(result.by_second)
    return f'<svg width="{total}" height="{height}">{"".join(bars)}</svg>'
