"""Which requests may have crashed an endpoint."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sardinebend_policy import quarantine
from sardinebend_policy import suspects as suspects_lib

ENDPOINT = ('engine-1', 7)
OTHER = ('engine-2', 7)


def run(number=1, content='fatal'):
    return quarantine.Run(content, f'r{number}/1')


def test_an_unanswered_request_is_returned_as_a_suspect_once():
    found = suspects_lib.Suspects()
    found.begin(run(), [ENDPOINT, OTHER])
    crash = found.record_crash(ENDPOINT, 0.0)
    assert crash == quarantine.Crash('engine-1/7', frozenset({run()}))
    assert found.record_crash(ENDPOINT, 0.1) is None
    assert found.record_crash(OTHER, 0.1).runs == {run()}


def test_a_request_that_was_answered_in_part_is_no_suspect():
    found = suspects_lib.Suspects()
    found.begin(run(), [ENDPOINT, OTHER])
    found.clear(run(), [ENDPOINT])
    assert found.record_crash(ENDPOINT, 0.0) is None
    assert found.record_crash(OTHER, 0.0) is not None


def test_an_attempt_that_ended_unanswered_stays_a_suspect_until_its_ttl():
    found = suspects_lib.Suspects()
    for number, endpoint in enumerate((ENDPOINT, OTHER)):
        found.begin(run(number), [endpoint])
        found.end(run(number), [endpoint], 0.0)
    assert found.record_crash(ENDPOINT, 3.6).runs == {run(0)}
    late = suspects_lib.SUSPECT_TTL_S
    assert found.record_crash(OTHER, late) is None


def test_an_expired_listing_makes_suspects_only_of_ended_attempts():
    found = suspects_lib.Suspects()
    found.begin(run(1), [ENDPOINT])
    found.begin(run(2), [ENDPOINT])
    found.end(run(2), [ENDPOINT], 0.0)
    assert found.record_crash(
        ENDPOINT, 1.0, only_finished_attempts=True
    ).runs == {run(2)}


def test_a_request_sent_after_the_crash_is_no_suspect():
    found = suspects_lib.Suspects()
    found.begin(run(1), [ENDPOINT])
    assert found.record_crash(ENDPOINT, 0.0).runs == {run(1)}
    found.begin(run(2), [ENDPOINT])
    assert found.record_crash(ENDPOINT, 0.5) is None
    # The network had failed, not the endpoint: it answers again.
    found.clear(run(2), [ENDPOINT])
    found.begin(run(3), [ENDPOINT])
    assert found.record_crash(ENDPOINT, 1.0).runs == {run(3)}


@hypothesis.settings(max_examples=50)
class SuspectsMachine(stateful.RuleBasedStateMachine):
    """Checks that after any sequence of events no suspect is left for good."""

    def __init__(self):
        super().__init__()
        self.found = suspects_lib.Suspects()
        self.now = 0.0
        self.open = {}

    @stateful.rule(number=st.integers(0, 5), endpoint=st.integers(0, 2))
    def begin(self, number, endpoint):
        where = [(f'e{endpoint}', 1)]
        self.found.begin(run(number), where)
        self.open[number, endpoint] = where

    @stateful.rule(data=st.data(), is_cleared=st.booleans())
    def end(self, data, is_cleared):
        if not self.open:
            return
        key = data.draw(st.sampled_from(sorted(self.open)))
        where = self.open.pop(key)
        if is_cleared:
            self.found.clear(run(key[0]), where)
        self.found.end(run(key[0]), where, self.now)

    @stateful.rule(endpoint=st.integers(0, 2))
    def crash(self, endpoint):
        crash = self.found.record_crash((f'e{endpoint}', 1), self.now)
        assert crash is None or crash.runs

    @stateful.rule(passed_s=st.floats(0.1, 20.0))
    def wait(self, passed_s):
        self.now += passed_s

    def teardown(self):
        for (number, _), where in self.open.items():
            self.found.end(run(number), where, self.now)
        self.found.drop_expired(self.now + suspects_lib.SUSPECT_TTL_S)
        assert len(self.found) == 0


TestSuspects = SuspectsMachine.TestCase
