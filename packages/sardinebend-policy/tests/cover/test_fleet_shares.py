"""Tests of what all hosts have in flight by rank and customer.

The load: batch drafts of a customer that sends far more than the others, over
several hosts, beside urgent ones.
"""

import pytest

from sardinebend_policy import errors
from sardinebend_policy import fleet_shares
from sardinebend_policy import inflight

Use = fleet_shares.Use
TTL_S = inflight.PEER_COUNTS_TTL_S
CUSTOMERS = ('acme', 'batch-co', 'quiet')


def host(*requests):
    """Returns the shares of a host that has requests in flight."""
    shares = fleet_shares.FleetShares()
    shares.configure(['llm'], CUSTOMERS)
    for request in requests:
        shares.begin('llm', *request)
    return shares


def test_a_customer_that_fills_other_hosts_shows_at_a_host_that_it_spares():
    busy = host(*[(3, 'batch-co', 900)] * 40, (0, 'acme', 100))
    shares = host((0, 'quiet', 50))
    shares.record_peer('host-2', busy.report(), 10.0)
    shares.record_peer('host-3', busy.report(), 11.0)
    view = shares.view('llm', 11.5, live_hosts=3)
    assert view.by_rank == {0: Use(3, 250), 3: Use(80, 72000)}
    assert view.by_customer == {
        'batch-co': Use(80, 72000),
        'acme': Use(2, 200),
        'quiet': Use(1, 50),
    }
    assert view.others == fleet_shares.NO_USE
    assert (view.age_s, view.heard_hosts) == (1.5, 2)


def test_every_request_that_ends_is_no_longer_counted():
    shares = host(*[(3, 'batch-co', 900)] * 2, (12, 'acme', 100))
    assert shares.own('llm') == {3: Use(2, 1800), 9: Use(1, 100)}
    for request in [(3, 'batch-co', 900)] * 2 + [(12, 'acme', 100)] * 2:
        shares.end('llm', *request)
    assert shares.report() == ()
    assert shares.view('llm', 0.0, 5).by_customer == {}


def test_hosts_that_are_not_heard_count_as_the_mean_of_those_heard():
    shares = host((3, 'acme', 100))
    # Nobody is heard: each live host is taken to have as much as this one.
    assert shares.view('llm', 0.0, 6).by_rank == {3: Use(6, 600)}
    shares.record_peer('host-2', host(*[(3, 'acme', 10)] * 4).report(), 0.0)
    # Silent hosts don't make this one's own use count more than once.
    assert shares.view('llm', 0.0, 6).by_rank == {3: Use(21, 300)}
    # One that has nothing in flight says so.
    shares.record_peer('host-3', host().report(), 0.0)
    assert shares.view('llm', 0.0, 3).by_rank == {3: Use(5, 140)}
    # Old news doesn't count.
    shares.record_peer('host-3', host().report(), TTL_S)
    late = shares.view('llm', TTL_S + 0.1, 3)
    assert (late.by_rank, late.heard_hosts) == ({3: Use(1, 100)}, 1)
    assert shares.view('llm', 2 * TTL_S + 0.1, 1).heard_hosts == 0


def test_each_of_two_halves_takes_itself_for_the_whole_once_it_knows():
    shares = host((3, 'acme', 100))
    for number in range(2, 7):
        shares.record_peer(f'host-{number}', host((3, 'acme', 100)).report(), 0)
    for number in range(2, 4):
        shares.record_peer(f'host-{number}', host((3, 'acme', 100)).report(), 4)
    # The other half is still taken for live, and later not.
    assert shares.view('llm', 4.0, 6).by_rank == {3: Use(6, 600)}
    assert shares.view('llm', 4.0, 3).by_rank == {3: Use(3, 300)}


def test_a_host_that_has_just_started_sees_the_others_and_counts_nothing():
    shares = host()
    empty = shares.view('llm', 0.0, 3)
    assert (empty.by_rank, empty.heard_hosts) == ({}, 0)
    shares.record_peer('host-2', host((3, 'acme', 100)).report(), 0.0)
    assert shares.view('llm', 0.0, 3).by_rank == {3: Use(2, 200)}


def test_news_of_other_releases_and_of_unknown_customers_has_a_default():
    shares = host()
    report = host((3, 'new customer', 70), (3, 'acme', 30)).report()
    shares.record_peer('host-2', report, 0.0)
    view = shares.view('llm', 0.0, 2)
    assert view.by_customer == {'acme': Use(1, 30)}
    assert view.others == Use(1, 70)
    shares.configure(['llm'], [*CUSTOMERS, 'new customer'])
    assert shares.view('llm', 0.0, 2).by_customer['new customer'] == Use(1, 70)
    # A rank out of range counts as the next one.
    odd = report[0]._replace(ranks=((-4, Use(1, 1)), (77, Use(1, 99))))
    shares.record_peer('host-2', (odd,), 0.0)
    by_rank = shares.view('llm', 0.0, 2).by_rank
    assert by_rank == {0: Use(1, 1), fleet_shares.MAX_RANK: Use(1, 99)}
    # A host of the previous release reports nothing, so it isn't heard.
    shares.record_peer('host-2', None, 0.0)
    assert shares.view('llm', 0.0, 2).heard_hosts == 0


@pytest.mark.parametrize(
    'use', [Use(-1, 5), Use(1, -5), Use(2**40, 5), Use(1, 2**62)]
)
def test_a_count_that_makes_no_sense_is_refused_and_not_used(use):
    shares = host((0, 'acme', 10))
    report = host((3, 'acme', 100)).report()
    shares.record_peer('host-2', report, 0.0)
    with pytest.raises(errors.InvalidArgument):
        shares.record_peer(
            'host-2', (report[0]._replace(customers=((1, use),)),), 1.0
        )
    assert shares.view('llm', 1.0, 1).by_rank == {0: Use(1, 10)}
    # A jump within reason replaces the last news; nothing adds up.
    for count in (500, 1):
        jumped = report[0]._replace(ranks=((3, Use(count, count)),))
        shares.record_peer('host-2', (jumped,), 1.0)
    assert shares.view('llm', 1.0, 2).by_rank[3] == Use(1, 1)


def test_nothing_is_reported_where_the_ranks_of_no_service_differ():
    shares = host((3, 'acme', 100))
    shares.configure([], CUSTOMERS)
    assert shares.report() is None


def test_a_report_names_the_largest_customers_and_sums_the_rest():
    shares = fleet_shares.FleetShares()
    names = [f'customer-{n}' for n in range(280)]
    shares.configure(['llm'], names)
    for tokens, name in enumerate(names):
        shares.begin('llm', 3, name, tokens)
    (report,) = shares.report()
    assert len(report.customers) == fleet_shares.MAX_REPORTED_ITEMS - 1
    reader = fleet_shares.FleetShares()
    reader.configure(['llm'], names)
    reader.record_peer('host-2', (report,), 0.0)
    view = reader.view('llm', 0.0, 2)
    assert min(use.tokens for use in view.by_customer.values()) == 245
    assert view.others == Use(245, sum(range(245)))
    assert view.by_rank == {3: Use(280, sum(range(280)))}
