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
