"""Tests the quarantine with random orders of crashes and served requests."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sardinebend_policy import quarantine

FINGERPRINTS = st.sampled_from(['a', 'b', 'c'])
RUNS = st.builds(quarantine.Run, FINGERPRINTS, st.sampled_from(['1', '2', '3']))
CRASHES = st.builds(
    quarantine.Crash,
    st.sampled_from(['e1', 'e2', 'e3', 'e4']),
    st.frozensets(RUNS, min_size=1, max_size=4),
)


def test_a_run_suspected_of_two_crashes_is_cleared_of_both():
    # Regression test for a host that failed on a peer's heartbeat: a suspect
    # of two crashes had been served, and then one of the crashes was reported
    # again, with another suspect.
    tracker = quarantine.Quarantine(60.0)
    first, other = quarantine.Run('a', '1'), quarantine.Run('b', '1')
    tracker.record_crash(quarantine.Crash('e1', frozenset({first})), 0.0)
    tracker.record_crash(quarantine.Crash('e2', frozenset({first, other})), 0.0)
    tracker.clear('a', 0.0)
    later_report = quarantine.Crash('e2', frozenset({quarantine.Run('c', '1')}))
    assert tracker.record_crash(later_report, 0.0) == frozenset()


@hypothesis.settings(
    derandomize=True, database=None, max_examples=200, deadline=None
)
class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Checks that only suspects of enough crashes are quarantined.

    Also checks that no call raises an exception.
    """

    def __init__(self):
        super().__init__()
        self.tracker = quarantine.Quarantine(60.0, 3, 3)
        self.now = 0.0
        self.crashes = {}

    @stateful.rule(crash=CRASHES)
    def record(self, crash):
        for run in crash.runs:
            self.crashes.setdefault(run.fingerprint, set()).add(crash.crash_id)
        for fingerprint in self.tracker.record_crash(crash, self.now):
            assert len(self.crashes[fingerprint]) >= 3
            assert self.tracker.refused_until(fingerprint, self.now) is not None

    @stateful.rule(fingerprint=FINGERPRINTS)
    def serve(self, fingerprint):
        self.tracker.clear(fingerprint, self.now)
        self.crashes.pop(fingerprint, None)
        assert not self.tracker.is_suspect(fingerprint)

    @stateful.rule(passed_s=st.floats(0.1, 20.0))
    def wait(self, passed_s):
        self.now += passed_s


TestQuarantine = QuarantineMachine.TestCase
