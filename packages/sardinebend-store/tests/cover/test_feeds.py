"""Feeds in memory, and a store that comes back from an older copy."""

import pytest

from sardinebend_store import errors
from sardinebend_store import feeds


@pytest.mark.parametrize(('era', 'counter'), [(0, 0), (0, 7), (3, 2**40)])
def test_a_version_holds_era_and_counter(era, counter):
    version = feeds.make_version(era, counter)
    assert (feeds.era_of(version), feeds.counter_of(version)) == (era, counter)


def test_a_version_of_a_later_era_is_greater_than_all_before():
    assert feeds.make_version(2, 1) > feeds.make_version(1, 2**47)
    assert (feeds.era_of(-1), feeds.counter_of(-1)) == (0, -1)


async def test_the_last_writes_are_gone_and_versions_are_given_out_again():
    store = feeds.MemoryFeeds()
    first = (await store.write('t', 'a', None, b'1')).ok_value
    await store.write('t', 'a', None, b'2')
    lost = (await store.write('t', 'b', None, b'3')).ok_value
    store.return_from_copy(2)
    changes = (await store.read_all('t')).ok_value
    assert [(row.key, row.value) for row in changes.rows] == [('a', b'1')]
    again = (await store.write('t', 'c', None, b'4')).ok_value
    assert feeds.counter_of(again) == feeds.counter_of(first) + 1
    assert again > lost
    assert store.era == 1


async def test_reads_and_conditional_writes_of_an_earlier_era_are_refused():
    store = feeds.MemoryFeeds()
    version = (await store.write('t', 'a', None, b'1')).ok_value
    store.return_from_copy(0)
    answer = await store.follow('t', version, 0.0)
    assert isinstance(answer.err_value, errors.HistoryLost)
    answer = await store.write('t', 'a', version, b'2')
    assert isinstance(answer.err_value, errors.Conflict)


async def test_an_empty_value_is_a_row():
    # Guards against a second holder of a row whose value is empty.
    store = feeds.MemoryFeeds()
    version = (await store.write('t', 'a', 0, b'')).ok_value
    answer = await store.write('t', 'a', 0, b'1')
    assert isinstance(answer.err_value, errors.Conflict)
    assert (await store.write('t', 'a', version, b'1')).is_ok()
