"""Rows in the place of claims that another program has written."""

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from sardinebend_policy import claims
from sardinebend_policy import outcomes
from sardinebend_store import store
from tests.common import booking_world
from tests.cover import test_claims_after_return as scenes

CLAIM = {
    'host': 'c',
    'incarnation': 'i',
    'nonce': 'n',
    'digest': 'digest',
    'state': 'claimed',
}


async def ask_beside(value):
    """Returns the outcome of a booking whose key has a row."""
    async with scenes.open_world() as world:
        world.table.apply([store.Write(booking_world.KEY, 0, value)])
        outcome = await scenes.ask(world, 'r0', 'b')
        assert world.executions == []
    return outcome


# Guards against a KeyError that ends the host, and against a second run of what
# the row may stand for.
@pytest.mark.parametrize(
    'value',
    [
        {},
        {'state': 'claimed'},
        {**CLAIM, 'nonce': 3},
        {**CLAIM, 'nonce': None},
        {**CLAIM, 'state': 'odd'},
        {**CLAIM, 'state': 'done'},
        {**CLAIM, 'state': 'done', 'status': '200', 'content_type': 't'},
        {**CLAIM, 'state': 'done', 'status': 200, 'content_type': None},
    ],
    ids=str,
)
async def test_a_malformed_claim_counts_as_one_of_unknown_outcome(
    value, autojump_clock
):
    outcome = await ask_beside(value)
    assert isinstance(outcome, outcomes.OutcomeUnknown)


VALUES = st.none() | st.booleans() | st.integers() | st.text(max_size=3)
# The other hosts of the world have fixed names.
ROWS = st.fixed_dictionaries(
    {},
    optional={
        **{name: st.just(value) | VALUES for name, value in CLAIM.items()},
        'host': st.just('c'),
        'state': st.sampled_from(claims.RowState) | VALUES,
        'status': st.just(200) | VALUES,
        'content_type': VALUES,
        'body': VALUES,
        'object_key': VALUES,
    },
)


@hypothesis.given(ROWS)
@hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)
def test_no_row_in_the_place_of_a_claim_ends_a_host(value):
    async def ask():
        async with scenes.open_world() as world:
            world.table.apply([store.Write(booking_world.KEY, 0, value)])
            return await scenes.ask(world, 'r0', 'b')

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert isinstance(trio.run(ask, clock=clock), outcomes.Outcome)
