"""Peer reports of unreachable endpoints, and the cooldowns they cause."""

from sardinebend_policy import endpoints
from sardinebend_policy import peer_reports

INCARNATION = ('engine-1', 7)


def test_reports_of_a_single_host_are_not_enough():
    # Guards against a partitioned host making its peers avoid all engines.
    reports = peer_reports.PeerReports()
    for second in range(10):
        assert not reports.record(INCARNATION, 'a', second / 10)


def test_reports_of_two_hosts_are_enough():
    reports = peer_reports.PeerReports()
    reports.record(INCARNATION, 'a', 0.0)
    assert reports.record(INCARNATION, 'b', 1.0)


def test_reports_of_different_incarnations_are_counted_separately():
    reports = peer_reports.PeerReports()
    reports.record(INCARNATION, 'a', 0.0)
    assert not reports.record(('engine-1', 8), 'b', 0.1)


def test_expired_reports_do_not_count_and_are_dropped():
    reports = peer_reports.PeerReports()
    reports.record(INCARNATION, 'a', 0.0)
    assert not reports.record(INCARNATION, 'b', peer_reports.REPORT_TTL_S)
    reports.drop_expired(10 * peer_reports.REPORT_TTL_S)
    assert not reports.record(INCARNATION, 'a', 10 * peer_reports.REPORT_TTL_S)


def test_stronger_evidence_extends_a_cooldown():
    endpoint = endpoints.Endpoint(
        'engine-1', 's', '10.0.0.1:1', 'east', 8, False, 7
    )
    table = endpoints.EndpointTable()
    table.put(endpoint)
    table.mark_unhealthy(endpoint, 0.0, 'named in a refusal', 0.5)
    table.mark_unhealthy(
        endpoint, 0.1, 'unreachable', endpoints.UNREACHABLE_COOLDOWN_S
    )
    assert table.is_unhealthy(endpoint, 2.0)
    assert not table.is_unhealthy(
        endpoint, 0.2 + endpoints.UNREACHABLE_COOLDOWN_S
    )
    assert table.mark_unhealthy(endpoint, 1.0, 'named in a refusal', 0.5) > 3.0


def make_table():
    endpoint = endpoints.Endpoint(
        'engine-1', 's', '10.0.0.1:1', 'east', 8, False, 7
    )
    table = endpoints.EndpointTable()
    table.put(endpoint)
    return table, endpoint


def test_a_contact_counts_for_a_short_time():
    table, endpoint = make_table()
    assert not table.has_recent_contact(endpoint, 10.0)
    table.record_contact(endpoint, 10.0)
    table.record_contact(endpoint, 9.0)
    assert table.has_recent_contact(endpoint, 10.9)
    assert not table.has_recent_contact(
        endpoint, 10.0 + endpoints.CONTACT_TTL_S
    )


# Guards against an answer that outweighs what the host saw after it.
def test_a_contact_no_longer_counts_once_the_host_doubts_the_endpoint():
    table, endpoint = make_table()
    table.record_contact(endpoint, 10.0)
    table.mark_unhealthy(endpoint, 10.1, 'unreachable')
    assert not table.has_recent_contact(endpoint, 10.2)


# Guards against answers of an earlier process, and a table that only grows.
def test_a_contact_counts_for_the_listed_incarnation_only():
    table, endpoint = make_table()
    restarted = endpoint._replace(born=8)
    table.record_contact(restarted, 10.0)
    assert not table.has_recent_contact(endpoint, 10.1)
    table.record_contact(endpoint, 10.0)
    table.put(restarted)
    assert not table.has_recent_contact(restarted, 10.1)
    table.record_contact(restarted, 10.1)
    table.remove('engine-1')
    table.put(restarted)
    assert not table.has_recent_contact(restarted, 10.2)


def test_a_report_counts_by_the_time_at_which_it_was_sent():
    reports = peer_reports.PeerReports()
    reports.record(INCARNATION, 'a', 10.0)
    # An old one doesn't replace a newer one.
    reports.record(INCARNATION, 'a', 10.0, age_s=peer_reports.REPORT_TTL_S)
    assert not reports.record(
        INCARNATION, 'b', 10.0, age_s=peer_reports.REPORT_TTL_S
    )
    assert reports.record(INCARNATION, 'b', 10.0, age_s=1.0)
