"""Deployment files: engines, cards by failure domain, traffic and faults."""

import math
import random
import typing

import msgspec

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_simulation import errors

SHAPES: typing.Final = ('steady', 'wave', 'burst')
FAULTS: typing.Final = ('down', 'slow', 'domain')


class EngineFigures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Published figures of the engines, as in `catalog.EngineModel`.

    Attributes:
        tokens_per_event: Number of tokens in one event of a stream.
        chunk_tokens: Most prompt tokens that one pass prefills.
    """

    layers: int
    layer_mb: float
    token_layer_mb: float
    step_ms: float
    per_request_ms: float
    read_tokens_per_ms: float
    activation_mb: float
    pipe_mb_per_ms: float
    cards: dict[str, catalog.CardKind]
    usual_prompt: float = 800.0
    usual_answer: float = 170.0
    load_s: float = 30.0
    tokens_per_event: int = 2
    chunk_tokens: int = 512


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Endpoints with one kind of card in one failure domain."""

    domain: str
    card: str
    count: int


class Traffic(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests that callers send, and the latency that they expect.

    Attributes:
        per_s: Mean number of requests per second.
        shape: One of `SHAPES`.
        swing: Amplitude of the wave, or the extra rate of a burst, relative to
            `per_s`.
        period_s: Period of the wave, or the length of a burst and of the time
            between bursts.
        prompt_spread: Standard deviation of the logarithm of the prompt
            length.
        target_s: An answer whose first event takes longer than this is late.
        gap_s: An answer with a longer gap between events is late.
        late_worth: Weight of a late answer, relative to one in time.
        leaves_s: Time without an event after which a caller disconnects.
        leaving_share: Share of callers that disconnect at a random time of at
            most `leaves_s` after their request.
        retries: Number of times that a refused caller retries.
        repeats_at_once: Share of retries that are sent without a delay.
    """

    per_s: float
    shape: str = 'steady'
    swing: float = 0.0
    period_s: float = 10.0
    prompt_spread: float = 0.4
    target_s: float = 0.5
    gap_s: float = 0.2
    late_worth: float = 0.25
    leaves_s: float = 2.0
    leaving_share: float = 0.0
    retries: int = 1
    repeats_at_once: float = 0.0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One injected fault.

    Attributes:
        kind: `down` or `slow` for single endpoints; `domain` stops all
            endpoints of one domain.
        at_s: Time at which it begins.
        for_s: Duration.
        count: Number of affected endpoints, which the seed selects.
        factor: Factor by which the passes of slow endpoints take longer.
        domain: Affected failure domain; any domain if empty.
    """

    kind: str
    at_s: float
    for_s: float
    count: int = 1
    factor: float = 4.0
    domain: str = ''


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One deployment with its traffic and faults."""

    name: str
    engine: EngineFigures
    endpoints: tuple[Group, ...]
    traffic: Traffic
    faults: tuple[Fault, ...] = ()
    last_s: float = 30.0

    def engine_model(self) -> catalog.EngineModel:
        """Returns the figures of the engines as the policies use them."""
        # The simulated engines charge no time for context or for pairs.
        fields = {
            name: getattr(self.engine, name)
            for name in catalog.EngineModel._fields
            if hasattr(self.engine, name)
        }
        return catalog.EngineModel(
            **fields, stride=self.engine.tokens_per_event
        )

    def make_endpoints(self) -> list[endpoints_lib.Endpoint]:
        """Returns all endpoints; none holds layers yet."""
        created: list[endpoints_lib.Endpoint] = []
        for group in self.endpoints:
            for _ in range(group.count):
                name = f'{group.domain}-{group.card}-{len(created)}'
                created.append(
                    # With 96 slots, not draining, and started at time 1. The
                    # simulated engines use none of the three.
                    endpoints_lib.Endpoint(
                        name,
                        'model',
                        f'10.0.0.1:{len(created) + 1}',
                        group.domain,
                        96,
                        False,
                        1,
                        group.card,
                    )
                )
        return created


def decode(data: bytes) -> Deployment:
    """Decodes a deployment file and checks its values.

    Raises:
        errors.InvalidDeployment: The data is not a valid deployment; the
            message names the field.
    """
    try:
        deployment = msgspec.json.decode(data, type=Deployment)
    except msgspec.MsgspecError as exc:
        raise errors.InvalidDeployment(str(exc)) from exc
    check(deployment)
    return deployment


def check(deployment: Deployment) -> None:
    """Checks the values of a deployment.

    Raises:
        errors.InvalidDeployment: A value is out of range.
    """
    engine, traffic = deployment.engine, deployment.traffic
    positive = {
        'engine.layers': engine.layers,
        'engine.layer_mb': engine.layer_mb,
        'engine.token_layer_mb': engine.token_layer_mb,
        'engine.step_ms': engine.step_ms,
        'engine.read_tokens_per_ms': engine.read_tokens_per_ms,
        'engine.activation_mb': engine.activation_mb,
        'engine.pipe_mb_per_ms': engine.pipe_mb_per_ms,
        'engine.usual_prompt': engine.usual_prompt,
        'engine.usual_answer': engine.usual_answer,
        'engine.tokens_per_event': engine.tokens_per_event,
        'engine.chunk_tokens': engine.chunk_tokens,
        'traffic.per_s': traffic.per_s,
        'traffic.period_s': traffic.period_s,
        'traffic.leaves_s': traffic.leaves_s,
        'last_s': deployment.last_s,
    }
    for name, kind in engine.cards.items():
        positive[f'engine.cards.{name}.memory_mb'] = kind.memory_mb
        positive[f'engine.cards.{name}.step_factor'] = kind.step_factor
        positive[f'engine.cards.{name}.read_factor'] = kind.read_factor
    for index, group in enumerate(deployment.endpoints):
        positive[f'endpoints[{index}].count'] = group.count
        if group.card not in engine.cards:
            raise errors.InvalidDeployment(
                f'endpoints[{index}].card={group.card!r}: unknown card'
            )
    for field, value in positive.items():
        if not math.isfinite(value) or value <= 0:
            raise errors.InvalidDeployment(
                f'{field}={value}: must be more than 0'
            )
    _check_enumerations(deployment)


def _check_enumerations(deployment: Deployment) -> None:
    if deployment.traffic.shape not in SHAPES:
        raise errors.InvalidDeployment(
            f'traffic.shape={deployment.traffic.shape!r}: '
            f'must be one of {SHAPES}'
        )
    for index, fault in enumerate(deployment.faults):
        if fault.kind not in FAULTS:
            raise errors.InvalidDeployment(
                f'faults[{index}].kind={fault.kind!r}: must be one of {FAULTS}'
            )


CARDS: typing.Final = {
    'large': catalog.CardKind(72000.0, 1.4, 1.0),
    'middle': catalog.CardKind(36000.0, 3.1, 3.2),
    'small': catalog.CardKind(21600.0, 16.0, 8.2),
    'least': catalog.CardKind(14400.0, 15.0, 15.0),
}


def generate(seed: int) -> Deployment:
    """Returns a random deployment of 2 to 5 domains, about 10 to 200 cards."""
    rng = random.Random(seed)
    domains = [f'd{n}' for n in range(rng.randint(2, 5))]
    layers = rng.choice((32, 48, 80, 96))
    layer_mb = rng.choice((900.0, 1300.0, 1750.0))
    # 8 to 40 cards per domain on average, and about 200 at most in total: in
    # most domains enough for one copy of the layers or for several.
    total = min(200, max(10, round(rng.uniform(8, 40) * len(domains))))
    weights = {'large': 1, 'middle': 3, 'small': 12, 'least': 12}
    groups = [
        Group(domain, card, count)
        for domain in domains
        for card, weight in weights.items()
        if (
            count := round(
                total / len(domains) * weight / 28 * rng.uniform(0.4, 1.6)
            )
        )
    ]
    memory = sum(CARDS[g.card].memory_mb * g.count for g in groups)
    copies = memory / (layers * layer_mb)
    engine = EngineFigures(
        layers=layers,
        layer_mb=layer_mb,
        token_layer_mb=rng.uniform(0.003, 0.006),
        step_ms=rng.uniform(0.6, 1.2),
        per_request_ms=0.0026,
        read_tokens_per_ms=rng.uniform(150, 300),
        activation_mb=0.02,
        pipe_mb_per_ms=rng.choice((0.6, 1.6)),
        cards=CARDS,
    )
    return Deployment(
        f'drawn-{seed}',
        engine,
        tuple(groups),
        Traffic(per_s=max(2.0, 8 * copies), shape='wave', swing=0.2),
        (Fault('down', 8.0, 6.0, 1), Fault('slow', 18.0, 5.0, 2)),
    )
