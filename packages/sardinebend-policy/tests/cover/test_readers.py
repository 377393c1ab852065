"""Which hosts read the store for the others."""

import hypothesis
from hypothesis import strategies as st

from sardinebend_policy import readers

names = st.sets(st.text('abcdef0123456789', min_size=1), max_size=80)


def roles(hosts):
    return {name: readers.choose_role(name, hosts) for name in hosts}


@hypothesis.given(names)
def test_all_come_to_the_same_few_readers(hosts):
    found = roles(hosts)
    shared = {name for name, role in found.items() if role.is_shared}
    asked = {role.reader for role in found.values()} - {None}
    assert asked <= shared
    assert len(shared) <= len(hosts) // readers.GROUP + 1
    for name, role in found.items():
        assert role.reader != name


def test_a_small_domain_shares_nothing():
    hosts = {f'h{n}' for n in range(readers.MIN_HOSTS - 1)}
    assert set(roles(hosts).values()) == {readers.ALONE}


def test_when_a_reader_goes_the_others_keep_theirs_or_turn_to_its_heir():
    hosts = {f'host-{n}' for n in range(70)}
    before = roles(hosts)
    shared = {name for name, role in before.items() if role.is_shared}
    gone = min(shared)
    after = roles(hosts - {gone})
    heirs = {name for name, role in after.items() if role.is_shared} - shared
    assert len(heirs) == 1
    for name in hosts - {gone}:
        if before[name].reader != gone:
            assert after[name].reader in {before[name].reader, None} | heirs


def test_the_hosts_of_a_group_are_spread_over_the_readers():
    hosts = {f'host-{n}' for n in range(120)}
    counts = {}
    for role in roles(hosts).values():
        counts[role.reader] = counts.get(role.reader, 0) + 1
    counts.pop(None)
    assert len(counts) == 4
    assert max(counts.values()) <= 2 * readers.GROUP
