"""The fault matrix: every fault at every step, and pairs of faults."""

import collections.abc
from concurrent import futures
import functools
import itertools
import os
import typing

from tests.common import booking_world
from tests.common import checkers
from tests.common import draft_world
from tests.common import orders_world
from tests.common import settings_world

SEED = 20261204

Faults = tuple[tuple[str, str], ...]


class Kind(typing.NamedTuple):
    """A kind of request with its steps, faults, runner and checker."""

    name: str
    steps: tuple[str, ...]
    faults: tuple[str, ...]
    not_applicable: dict[str, str]
    run: collections.abc.Callable
    check: collections.abc.Callable


class Cell(typing.NamedTuple):
    """One run of the matrix.

    Attributes:
        faults: Steps and the faults that are injected at them.
        reached: Whether every fault was injected.
        violations: What the checker found.
    """

    faults: Faults
    reached: bool
    violations: list[str]


BOOKING = Kind(
    'booking',
    booking_world.STEPS,
    booking_world.FAULTS,
    {},
    booking_world.run,
    checkers.check_bookings,
)
DRAFT = Kind(
    'draft',
    draft_world.STEPS,
    draft_world.FAULTS,
    draft_world.NOT_APPLICABLE,
    draft_world.run,
    checkers.check_draft,
)
SETTINGS = Kind(
    'settings',
    settings_world.STEPS,
    settings_world.FAULTS,
    {},
    settings_world.run,
    checkers.check_settings,
)
ORDERS = Kind(
    'orders',
    orders_world.STEPS,
    orders_world.FAULTS,
    {},
    orders_world.run,
    checkers.check_orders,
)
KINDS = (BOOKING, DRAFT, SETTINGS, ORDERS)


def run_cell(kind: Kind, faults: Faults, **options: typing.Any) -> Cell:
    """Runs one cell."""
    record = kind.run(faults, seed=SEED, **options)
    killed = any(fault == 'kill_host' for _, fault in record.injected)
    violations = kind.check(record, killed)
    return Cell(faults, len(record.injected) == len(faults), violations)


def run_cells(
    kind: Kind, faults: list[Faults], **options: typing.Any
) -> list[Cell]:
    """Runs cells in several processes; each cell has a clock of its own."""
    run_one = functools.partial(run_cell, kind, **options)
    workers = min(4, os.cpu_count() or 1)
    with futures.ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_one, faults, chunksize=16))


def list_singles(kind: Kind) -> list[Faults]:
    """Returns every fault at every step."""
    return [
        ((step, fault),)
        for step, fault in itertools.product(kind.steps, kind.faults)
    ]


def list_pairs(kind: Kind) -> list[Faults]:
    """Returns every pair of faults at the same step and at consecutive ones."""
    pairs: list[Faults] = []
    for index, step in enumerate(kind.steps):
        for first, second in itertools.combinations(kind.faults, 2):
            pairs.append(((step, first), (step, second)))
        if index + 1 < len(kind.steps):
            following = kind.steps[index + 1]
            for first, second in itertools.product(kind.faults, repeat=2):
                pairs.append(((step, first), (following, second)))
    return pairs
