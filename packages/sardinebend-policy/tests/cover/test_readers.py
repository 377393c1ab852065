"""Choice of the hosts that read the store and answer the others."""

import hypothesis
from hypothesis import strategies as st

from sardinebend_policy import readers

names = st.text('abcdef0123456789', min_size=1, max_size=6)
fleets = st.dictionaries(names, st.sampled_from('xyz'), max_size=80)


def make_fleet(hosts, domains=5):
    return {f'host-{n}': f'd{n % domains}' for n in range(hosts)}


def choose_roles(fleet):
    return {name: readers.choose_role(name, fleet) for name in fleet}


def find_readers(roles):
    return {n for n, role in roles.items() if role.reader is None}


@hypothesis.given(fleets)
@hypothesis.settings(derandomize=True, deadline=None, database=None)
def test_every_host_reaches_one_of_two_readers_in_at_most_two_steps(fleet):
    roles = choose_roles(fleet)
    if len(fleet) < readers.MIN_HOSTS:
        assert set(roles.values()) <= {readers.DIRECT_READER}
        return
    assert len(find_readers(roles)) == readers.READERS
    for name, role in roles.items():
        if role.reader is None:
            assert role.is_shared
            continue
        assert role.reader != name
        assert roles[role.reader].is_shared
        source = roles[role.reader].reader
        assert source is None or roles[source].reader is None


def test_the_number_of_readers_does_not_depend_on_the_fleet_size():
    for hosts in (4, 8, 77, 195, 362):
        roles = choose_roles(make_fleet(hosts))
        assert len(find_readers(roles)) == readers.READERS


def test_every_host_of_a_tiny_fleet_reads_the_store_itself():
    fleet = make_fleet(readers.MIN_HOSTS - 1)
    assert set(choose_roles(fleet).values()) == {readers.DIRECT_READER}


def test_when_a_reader_fails_hosts_keep_their_source_or_use_a_new_one():
    fleet = make_fleet(70)
    before = choose_roles(fleet)
    failed = min(find_readers(before))
    fleet.pop(failed)
    after = choose_roles(fleet)
    shared = {name for name, role in before.items() if role.is_shared}
    new_sources = {
        name for name, role in after.items() if role.is_shared
    } - shared
    new_readers = find_readers(after) - find_readers(before)
    assert len(new_sources) <= 1
    assert len(new_readers) == 1
    for name in fleet:
        if before[name].reader != failed:
            kept = {before[name].reader, None} | new_sources | new_readers
            assert after[name].reader in kept


def test_no_host_answers_more_than_twice_the_planned_group():
    for hosts in (8, 77, 195, 362):
        counts = {}
        for role in choose_roles(make_fleet(hosts)).values():
            counts[role.reader] = counts.get(role.reader, 0) + 1
        counts.pop(None)
        assert max(counts.values()) <= 2 * readers.HOSTS_PER_SOURCE


def test_hosts_of_a_large_fleet_ask_a_host_of_their_own_domain():
    fleet = make_fleet(195)
    roles = choose_roles(fleet)
    for name, role in roles.items():
        if role.reader is not None and not role.is_shared:
            assert fleet[role.reader] == fleet[name]


# Guards against a host on a thin link that sends every change to all others, so
# that its own requests wait behind that.
@hypothesis.given(fleets, st.randoms(use_true_random=False))
@hypothesis.settings(derandomize=True, deadline=None, database=None)
def test_hosts_with_the_widest_links_answer_the_others(fleet, rng):
    links = {name: rng.choice((0.0, 10.0, 100.0)) for name in fleet}
    roles = {n: readers.choose_role(n, fleet, links) for n in fleet}
    shared = {name for name, role in roles.items() if role.is_shared}
    for name in fleet.keys() - shared:
        reader = roles[name].reader
        if reader is not None:
            same_domain = fleet[name] == fleet[reader]
            assert not same_domain or links[reader] >= links[name]
