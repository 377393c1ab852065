"""What a play showed, as JSON and as a page with plots."""

import html
import math
import typing

import msgspec

from sardinebend_simulation import deployments
from sardinebend_simulation import engines as engines_lib

if typing.TYPE_CHECKING:
    from sardinebend_simulation import simulations

PERCENTILES: typing.Final = (50, 95, 99)
# Shares above which something binds.
BUSY_BINDS: typing.Final = 0.8
MEMORY_BINDS: typing.Final = 0.9


class Use(msgspec.Struct, frozen=True):
    """Use of one kind of card: mean and largest over its endpoints."""

    busy_mean: float
    busy_most: float
    memory_peak: float


class Result(msgspec.Struct, frozen=True):
    """What a play showed.

    Attributes:
        worth: Share of what in-time answers to all would have been worth.
        ends: Requests by how they ended.
        first_event_ms: By percentile.
        pause_ms: Longest pause of each stream, by percentile.
        repair_ms: From the loss of a part to the next event, by percentile.
        cards: Use by kind of card.
        link_use: Share of the time that the links between domains were taken.
        preempted: Requests read again for want of memory.
        holders: Fewest endpoints that hold a layer.
        holders_bound: No plan can have more for each layer.
        binds: What was short.
        by_second: Requests asked in each second: all, in time, late.
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
    cards: dict[str, Use]
    link_use: float
    preempted: int
    holders: int
    holders_bound: int
    binds: list[str]
    by_second: list[tuple[int, int, int]]


def make(
    deployment: deployments.Deployment,
    names: tuple[str, str, int],
    cluster: engines_lib.Cluster,
    requests: typing.Sequence['simulations.Request'],
    repairs_s: typing.Sequence[float],
) -> Result:
    """Returns the result of a play.

    Args:
        deployment: What was played.
        names: Placement, chooser and seed.
        cluster: Its engines.
        requests: All requests.
        repairs_s: How long each repair took.
    """
    traffic = deployment.traffic
    owed = [r for r in requests if r.end != 'gone']
    judged = [(r, judge(r, traffic)) for r in owed]
    worth = sum(
        {'in time': 1.0, 'late': traffic.late_worth}.get(how, 0.0)
        for _, how in judged
    )
    ends: dict[str, int] = {}
    for _, how in judged:
        ends[how] = ends.get(how, 0) + 1
    seconds = math.ceil(deployment.last_s)
    by_second = [[0, 0, 0] for _ in range(seconds)]
    for request, how in judged:
        row = by_second[min(seconds - 1, int(request.asked_at))]
        row[0] += 1
        row[1] += how == 'in time'
        row[2] += how == 'late'
    cards = _card_use(cluster, deployment.last_s)
    links = _count_links(deployment)
    link_use = cluster.link_busy_s / deployment.last_s / links
    holders, bound = _count_holders(deployment, cluster)
    placement, chooser, seed = names
    return Result(
        deployment.name,
        placement,
        chooser,
        seed,
        len(owed),
        round(worth / max(1, len(owed)), 4),
        ends,
        percentiles(
            [r.first_at - r.asked_at for r in owed if r.first_at is not None]
        ),
        percentiles([r.longest_gap_s for r in owed if r.made > 1]),
        percentiles(repairs_s),
        cards,
        round(link_use, 4),
        cluster.preempted,
        holders,
        bound,
        _find_binding(cards, link_use, holders),
        [(row[0], row[1], row[2]) for row in by_second],
    )


def judge(request: 'simulations.Request', traffic: deployments.Traffic) -> str:
    """Returns how a request ended for its caller."""
    if request.end == 'whole' and request.first_at is not None:
        first_s = request.first_at - request.asked_at
        is_late = (
            first_s > traffic.target_s or request.longest_gap_s > traffic.gap_s
        )
        return 'late' if is_late else 'in time'
    return request.end or 'unfinished'


def percentiles(values_s: typing.Sequence[float]) -> dict[str, float]:
    """Returns percentiles in ms of times in seconds; none without values."""
    if not values_s:
        return {}
    ordered = sorted(values_s)
    return {
        f'p{p}': round(
            ordered[min(len(ordered) - 1, len(ordered) * p // 100)] * 1000, 1
        )
        for p in PERCENTILES
    }


def _card_use(cluster: engines_lib.Cluster, last_s: float) -> dict[str, Use]:
    by_card: dict[str, list[engines_lib.EngineSim]] = {}
    for engine in cluster.engines.values():
        if engine.endpoint.span is not None:
            by_card.setdefault(engine.endpoint.card, []).append(engine)
    return {
        card: Use(
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
    engine = deployment.engine
    counts = [0] * engine.layers
    capacity = 0
    for sim in cluster.engines.values():
        for layer in range(*(sim.endpoint.span or (0, 0))):
            counts[layer] += 1
        card = engine.cards[sim.endpoint.card]
        capacity += min(engine.layers, int(card.memory_mb / engine.layer_mb))
    return min(counts), capacity // engine.layers


def _find_binding(
    cards: typing.Mapping[str, Use], link_use: float, holders: int
) -> list[str]:
    found = []
    if holders == 0:
        found.append('layers without a holder')
    for card, use in cards.items():
        if use.busy_most > BUSY_BINDS:
            found.append(f'time of {card}')
        if use.memory_peak > MEMORY_BINDS:
            found.append(f'memory of {card}')
    if link_use > BUSY_BINDS:
        found.append('links between domains')
    return found


_PAGE: typing.Final = """<!doctype html>
<meta charset="utf-8"><title>{title}</title>
<style>body{{font:14px sans-serif;margin:2em}}td,th{{padding:2px 8px;
text-align:right}}svg{{background:#f7f7f7}}</style>
<h1>{title}</h1><p>{summary}</p>
<h2>Requests by the second in which they were asked</h2>{plot}
<h2>Use of cards</h2><table><tr><th>card<th>busy, mean<th>busy, most
<th>memory, peak</tr>{cards}</table>
"""


def render_page(result: Result) -> str:
    """Returns a page with plots of a result."""
    title = html.escape(f'{result.deployment}, seed {result.seed}')
    summary = html.escape(
        f'worth {result.worth}; ends {result.ends}; first event'
        f' {result.first_event_ms} ms; longest pause {result.pause_ms} ms;'
        f' repairs {result.repair_ms} ms; links {result.link_use};'
        f' binds: {", ".join(result.binds) or "nothing"}'
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
    """Returns stacked bars: in time, late, not served."""
    width, height = 12, 160
    most = max((row[0] for row in result.by_second), default=1) or 1
    bars = []
    for index, (asked, in_time, late) in enumerate(result.by_second):
        top = float(height)
        for count, colour in (
            (in_time, '#4a8'),
            (late, '#dc7'),
            (asked - in_time - late, '#c66'),
        ):
            size = height * count / most
            top -= size
            bars.append(
                f'<rect x="{index * width}" y="{top:.1f}" width="{width - 2}"'
                f' height="{size:.1f}" fill="{colour}"/>'
            )
    total = width * len(result.by_second)
    return f'<svg width="{total}" height="{height}">{"".join(bars)}</svg>'
