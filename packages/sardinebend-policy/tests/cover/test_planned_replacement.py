"""A third of the engines are replaced, three at a time, newcomers first."""

import random

import pytest

from sardinebend_policy import path_cache
from sardinebend_policy import placement
from tests.common import uneven_fleet

REPLACED = 31
AT_A_TIME = 3
GAP_S = 0.8
# Time between the listing of a newcomer and the end of the one it replaces.
LEAD_S = 1.0
STEP_S = 0.25
ORDER_S = 0.3
LAYERS = uneven_fleet.ENGINE.layers


class Release:
    """Plays the replacement of engines against the placement decisions."""

    def __init__(self, seed):
        rng = random.Random(seed)
        fleet = uneven_fleet.make_fleet()
        self.kinds = {e.endpoint_id: (e.domain, e.card) for e in fleet}
        self.held = {e.endpoint_id: e.span for e in fleet}
        self.ready_at = dict.fromkeys(self.held, 0.0)
        self.now = 0.0
        self.moves_at = 0.0
        self.changes = []
        replaced = rng.sample(sorted(self.held), REPLACED)
        for number, name in enumerate(replaced):
            at = 1 + number // AT_A_TIME * GAP_S
            self.changes += [(at, 'add', name), (at + LEAD_S, 'leave', name)]

    def list_cards(self):
        return [
            uneven_fleet.make_card(name, *self.kinds[name], span)
            for name, span in self.held.items()
        ]

    def _plan(self):
        plan = placement.make_plan(LAYERS, self.list_cards())
        move = None
        if not plan and self.now >= self.moves_at:
            move = placement.find_move(LAYERS, self.list_cards())
        if move is not None:
            self.moves_at = self.now + 0.5
            plan = {move.endpoint_id: move.span}
        for name, span in plan.items():
            self.held[name] = span
            load_s = uneven_fleet.ENGINE.load_s * span.size / LAYERS
            self.ready_at[name] = self.now + ORDER_S + load_s

    def step(self):
        """Goes on by a step; returns the domains that have a path."""
        self.now += STEP_S
        for _, change, name in [c for c in self.changes if c[0] <= self.now]:
            if change == 'leave':
                self.held.pop(name, None)
            else:
                newcomer = f'new-{name}'
                self.kinds[newcomer] = self.kinds[name]
                self.held[newcomer] = None
        self.changes = [c for c in self.changes if c[0] > self.now]
        self._plan()
        ready = [
            uneven_fleet.make_endpoint(name, *self.kinds[name], span)
            for name, span in self.held.items()
            if span is not None and self.ready_at[name] <= self.now
        ]
        cache = path_cache.PathCache(uneven_fleet.ENGINE)
        cache.refresh(ready, {}, 1, self.now)
        domains = [
            {part.endpoint.domain for part in path}
            for path in cache.cached_paths
        ]
        return {d for found in domains if len(found) == 1 for d in found}


@pytest.mark.parametrize('seed', range(3))
def test_a_release_of_a_third_of_the_engines_leaves_paths_in_most_domains(seed):
    release = Release(seed)
    while release.changes:
        assert len(release.step()) >= len(uneven_fleet.FLEET) - 1


def test_the_next_newcomer_takes_the_layers_of_one_that_died_before_loading():
    release = Release(0)
    while not any(name.startswith('new-') for name in release.held):
        release.step()
    dead = next(name for name in release.held if name.startswith('new-'))
    span = release.held.pop(dead)
    # The one that it was to replace leaves as well.
    release.held.pop(dead.removeprefix('new-'))
    while release.changes:
        release.step()
    for _ in range(40):
        domains = release.step()
    assert domains == set(uneven_fleet.FLEET)
    domain = release.kinds[dead][0]
    holders = [c for c in release.list_cards() if c.domain == domain and c.held]
    assert all(any(n in range(*c.held) for c in holders) for n in range(*span))
