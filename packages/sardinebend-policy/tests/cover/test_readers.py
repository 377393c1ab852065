"""Which hosts read the store for the others."""

import hypothesis
from hypothesis import strategies as st

from sardinebend_policy import readers

names = st.text('abcdef0123456789', min_size=1, max_size=6)
fleets = st.dictionaries(names, st.sampled_from('xyz'), max_size=80)


def make_fleet(hosts, domains=5):
    return {f'host-{n}': f'd{n % domains}' for n in range(hosts)}


def roles(fleet):
    return {name: readers.choose_role(name, fleet) for name in fleet}


def find_readers(found):
    return {n for n, role in found.items() if role.reader is None}


@hypothesis.given(fleets)
@hypothesis.settings(derandomize=True, deadline=None, database=None)
def test_all_come_to_the_same_two_readers_in_at_most_two_steps(fleet):
    found = roles(fleet)
    if len(fleet) < readers.MIN_HOSTS:
        assert set(found.values()) <= {readers.ALONE}
        return
    assert len(find_readers(found)) == readers.READERS
    for name, role in found.items():
        if role.reader is None:
            assert role.is_shared
            continue
        assert role.reader != name
        assert found[role.reader].is_shared
        source = found[role.reader].reader
        assert source is None or found[source].reader is None


def test_the_store_is_read_by_as_many_hosts_in_a_fleet_of_any_size():
    for hosts in (4, 8, 77, 195, 362):
        found = roles(make_fleet(hosts))
        assert len(find_readers(found)) == readers.READERS


def test_a_tiny_fleet_shares_nothing():
    fleet = make_fleet(readers.MIN_HOSTS - 1)
    assert set(roles(fleet).values()) == {readers.ALONE}


def test_when_a_reader_goes_the_others_keep_theirs_or_turn_to_its_heir():
    fleet = make_fleet(70)
    before = roles(fleet)
    gone = min(find_readers(before))
    fleet.pop(gone)
    after = roles(fleet)
    shared = {name for name, role in before.items() if role.is_shared}
    heirs = {name for name, role in after.items() if role.is_shared} - shared
    new = find_readers(after) - find_readers(before)
    assert len(heirs) <= 1
    assert len(new) == 1
    for name in fleet:
        if before[name].reader != gone:
            kept = {before[name].reader, None} | heirs | new
            assert after[name].reader in kept


def test_no_host_answers_more_than_a_few_dozen_others():
    for hosts in (8, 77, 195, 362):
        counts = {}
        for role in roles(make_fleet(hosts)).values():
            counts[role.reader] = counts.get(role.reader, 0) + 1
        counts.pop(None)
        assert max(counts.values()) <= 2 * readers.GROUP


def test_hosts_ask_one_of_their_own_domain_in_a_large_fleet():
    fleet = make_fleet(195)
    found = roles(fleet)
    for name, role in found.items():
        if role.reader is not None and not role.is_shared:
            assert fleet[role.reader] == fleet[name]
