"""Which parts of prompts are quarantined, on what evidence."""

import pytest

from sardinebend_policy import part_evidence
from sardinebend_policy import quarantine

PART, OTHER = 'part/fa7a1', 'part/50bec7'
LATER = 100.0


def crash(number, part=PART, request=None):
    request = f'request-{number}' if request is None else request
    return part_evidence.PartCrash(part, f'engine-{number}/7', request)


def record(evidence, crashes, spacing_s=1.0):
    for number, item in enumerate(crashes):
        evidence.record_crash(item, number * spacing_s)


def test_a_part_common_to_three_crashes_of_different_requests_is_selected():
    evidence = part_evidence.PartEvidence()
    record(evidence, [crash(1), crash(2)])
    assert evidence.select(LATER) == []
    evidence.record_crash(crash(3), 2.0)
    assert evidence.select(LATER) == [PART]
    assert evidence.select(LATER) == []


def test_crashes_of_a_single_request_select_no_part():
    evidence = part_evidence.PartEvidence()
    record(evidence, [crash(n, request='same') for n in range(9)])
    assert evidence.select(LATER) == []
    evidence.record_crash(crash(9, request='other'), 9.0)
    assert evidence.select(LATER) == [PART]


def test_a_crash_that_several_hosts_report_counts_once():
    evidence = part_evidence.PartEvidence()
    for number in range(5):
        item = part_evidence.PartCrash(PART, 'engine-1/7', f'request-{number}')
        is_new, _ = evidence.record_crash(item, float(number))
        assert is_new == (number == 0)
    assert evidence.select(LATER) == []


def test_endpoints_that_fail_together_are_evidence_only_once():
    evidence = part_evidence.PartEvidence()
    record(evidence, [crash(n) for n in range(9)], spacing_s=0.01)
    assert evidence.select(LATER) == []


def test_other_hosts_get_time_to_object():
    evidence = part_evidence.PartEvidence()
    record(evidence, [crash(n) for n in range(3)], spacing_s=0.2)
    assert evidence.select(0.35) == []
    assert evidence.select(0.5) == [PART]


def test_a_served_request_clears_its_parts_of_all_crashes_before():
    evidence = part_evidence.PartEvidence()
    record(evidence, [crash(1), crash(2)])
    cleared = evidence.record_served(PART, 3.0)
    assert [served.crash_id for served in cleared] == [
        'engine-1/7',
        'engine-2/7',
    ]
    assert evidence.record_crash(crash(2), 2.0) == (False, cleared[1])
    record(evidence, [crash(3), crash(4)])
    assert evidence.select(LATER) == []


def test_an_objection_of_another_host_clears_a_part_even_if_it_comes_first():
    evidence = part_evidence.PartEvidence()
    early = part_evidence.PartServed(PART, 'engine-3/7')
    assert evidence.record_objection(early, 0.0)
    assert not evidence.record_objection(early, 0.0)
    record(evidence, [crash(n) for n in range(1, 4)])
    evidence.record_objection(part_evidence.PartServed(PART, 'engine-1/7'), 4.0)
    assert evidence.select(LATER) == []
    assert [item.crash_id for item, _ in evidence.items()] == ['engine-2/7']


@pytest.mark.parametrize('is_own', [True, False])
def test_a_part_that_was_served_before_needs_more_crashes(is_own):
    # A part may begin to crash endpoints, after a release of theirs.
    evidence = part_evidence.PartEvidence()
    if is_own:
        evidence.record_served(PART, -1.0)
    else:
        evidence.record_objection(part_evidence.PartServed(PART), -1.0)
    needed = part_evidence.SERVED_PART_CRASHES
    record(evidence, [crash(n) for n in range(needed - 1)])
    assert evidence.select(LATER) == []
    evidence.record_crash(crash(needed), float(needed))
    assert evidence.select(LATER) == [PART]


def test_a_host_that_has_served_a_part_objects_when_it_hears_of_a_crash():
    evidence = part_evidence.PartEvidence()
    evidence.record_served(PART, 5.0)
    _, objection = evidence.record_crash(crash(1), 4.0)
    assert objection == part_evidence.PartServed(PART, 'engine-1/7')
    _, objection = evidence.record_crash(crash(2), 6.0)
    assert objection == part_evidence.PartServed(PART)


def test_the_served_one_of_two_common_parts_is_not_selected():
    # Requests that crash endpoints share their first part with sound ones.
    evidence = part_evidence.PartEvidence()
    evidence.record_served(OTHER, -1.0)
    for number in range(9):
        evidence.record_crash(crash(number), float(number))
        evidence.record_crash(crash(number, OTHER), float(number))
    assert evidence.select(LATER) == [PART]
    assert evidence.select(LATER) == []
    assert evidence.items() == []


def test_two_common_parts_that_were_never_served_need_more_crashes():
    evidence = part_evidence.PartEvidence()
    for number in range(part_evidence.ANY_PART_CRASHES):
        assert evidence.select(LATER) == []
        evidence.record_crash(crash(number), float(number))
        evidence.record_crash(crash(number, OTHER), float(number))
    assert evidence.select(LATER)


def test_a_crash_that_a_quarantined_part_explains_is_no_evidence_later():
    evidence = part_evidence.PartEvidence()
    record(evidence, [crash(n) for n in range(3)])
    assert evidence.select(LATER) == [PART]
    record(evidence, [crash(n, OTHER) for n in range(3)])
    assert evidence.items() == []


def test_later_crashes_under_a_quarantined_part_are_explained_at_once():
    # Guards against a quarantine of sound requests that ran beside it.
    evidence = part_evidence.PartEvidence()
    record(evidence, [crash(n) for n in range(3)])
    assert evidence.select(LATER) == [PART]
    assert evidence.explains('engine-2/7')
    assert not evidence.explains('engine-7/7')
    evidence.record_crash(crash(7, OTHER), 7.0)
    evidence.record_crash(crash(7), 7.0)
    assert evidence.explains('engine-7/7')
    assert evidence.items() == []


def test_old_evidence_is_dropped():
    evidence = part_evidence.PartEvidence()
    record(evidence, [crash(1), crash(2)])
    evidence.drop_expired(part_evidence.EVIDENCE_TTL_S + 0.5)
    assert [item for item, _ in evidence.items()] == [crash(2)]


def test_the_fingerprint_of_a_part_is_bounded_whatever_its_id():
    assert quarantine.make_part_fingerprint('5ab0') == 'part/5ab0'
    odd = quarantine.make_part_fingerprint('x' * 9999 + '\xff')
    assert len(odd) < 50
    assert odd != quarantine.make_part_fingerprint('x' * 9999)


def test_stored_crashes_count_like_the_ones_that_were_observed():
    evidence = part_evidence.PartEvidence()
    for number in (1, 2):
        assert evidence.restore_crash(crash(number), 10.0) == (True, None)
    evidence.record_crash(crash(3), 10.0)
    assert evidence.select(10.3) == []
    assert evidence.select(10.5) == [PART]


def test_a_stored_crash_that_is_known_already_keeps_its_time():
    evidence = part_evidence.PartEvidence()
    evidence.record_crash(crash(1), 10.0)
    assert evidence.restore_crash(crash(1), 12.0) == (False, None)
    [(_, at)] = evidence.items()
    assert at == 10.0


def test_a_request_served_after_a_restart_clears_a_part_of_stored_crashes():
    evidence = part_evidence.PartEvidence()
    for number in range(3):
        evidence.restore_crash(crash(number), 10.0)
    evidence.record_served(PART, 10.1)
    assert evidence.select(LATER) == []
    assert evidence.list_to_store() == {}


def test_evidence_is_stored_from_the_second_separate_crash_on():
    evidence = part_evidence.PartEvidence()
    record(evidence, [crash(1), crash(2)], spacing_s=0.1)
    assert evidence.list_to_store() == {}
    evidence.record_crash(crash(3), 1.0)
    assert evidence.list_to_store() == {
        PART: {'engine-1/7': 'request-1', 'engine-3/7': 'request-3'}
    }


def test_a_verdict_of_another_host_explains_the_crashes_of_other_parts():
    evidence = part_evidence.PartEvidence()
    record(evidence, [crash(n, part) for n in (1, 2) for part in (PART, OTHER)])
    evidence.accept_verdict(PART, 5.0)
    assert evidence.items() == []
    evidence.record_crash(crash(3), 6.0)
    assert evidence.explains('engine-3/7')
