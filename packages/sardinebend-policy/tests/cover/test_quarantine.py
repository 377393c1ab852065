"""The quarantine under any order of crashes and requests that are served."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sardinebend_policy import quarantine

CONTENTS = st.sampled_from(['a', 'b', 'c'])
RUNS = st.builds(quarantine.Run, CONTENTS, st.sampled_from(['1', '2', '3']))
CRASHES = st.builds(
    quarantine.Crash,
    st.sampled_from(['e1', 'e2', 'e3', 'e4']),
    st.frozensets(RUNS, min_size=1, max_size=4),
)


def test_a_run_of_two_crashes_is_cleared_from_both():
    # Guards against a host that ended on a peer's life sign: a crash was told
    # again, by another suspect, after a suspect of two crashes had been served.
    found = quarantine.Quarantine(60.0)
    first, other = quarantine.Run('a', '1'), quarantine.Run('b', '1')
    found.record_crash(quarantine.Crash('e1', frozenset({first})), 0.0)
    found.record_crash(quarantine.Crash('e2', frozenset({first, other})), 0.0)
    found.clear('a', 0.0)
    told_again = quarantine.Crash('e2', frozenset({quarantine.Run('c', '1')}))
    assert found.record_crash(told_again, 0.0) == frozenset()


@hypothesis.settings(
    derandomize=True, database=None, max_examples=200, deadline=None
)
class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Only suspects of enough crashes are convicted, and nothing fails."""

    def __init__(self):
        super().__init__()
        self.found = quarantine.Quarantine(60.0, 3, 3)
        self.now = 0.0
        self.crashes = {}

    @stateful.rule(crash=CRASHES)
    def record(self, crash):
        for run in crash.runs:
            self.crashes.setdefault(run.fingerprint, set()).add(crash.crash_id)
        for fingerprint in self.found.record_crash(crash, self.now):
            assert len(self.crashes[fingerprint]) >= 3
            assert self.found.refused_until(fingerprint, self.now) is not None

    @stateful.rule(content=CONTENTS)
    def serve(self, content):
        self.found.clear(content, self.now)
        self.crashes.pop(content, None)
        assert not self.found.is_suspect(content)

    @stateful.rule(passed_s=st.floats(0.1, 20.0))
    def wait(self, passed_s):
        self.now += passed_s


TestQuarantine = QuarantineMachine.TestCase
