"""Crashes that hosts tell each other."""

from sardinebend_gateway import crash_notices
from sardinebend_policy import quarantine


def crash(number, runs=1):
    found = {
        quarantine.Run('content', f'{number}/{run}') for run in range(runs)
    }
    return quarantine.Crash(f'engine-{number}/1', frozenset(found))


def test_only_what_is_new_is_taken_in():
    notices = crash_notices.CrashNotices()
    assert notices.add(crash(1), 0.0)
    assert not notices.add(crash(1), 1.0)
    assert notices.add(crash(1, runs=2), 1.0)


def test_a_crash_is_told_for_a_while_and_never_echoes():
    one, other = crash_notices.CrashNotices(), crash_notices.CrashNotices()
    one.add(crash(1), 0.0)
    now = 0.0
    while now < 5 * crash_notices.TOLD_S:
        now += 0.5
        for sender, receiver in ((one, other), (other, one)):
            for told in sender.recent(now):
                receiver.add(told, now)
            sender.forget_old(now)
    assert one.recent(now) == other.recent(now) == ()


def test_what_fits_into_a_datagram_are_the_newest_suspects():
    notices = crash_notices.CrashNotices()
    for number in range(40):
        notices.add(crash(number), number / 100)
    told = notices.recent(1.0)
    assert len(told) == crash_notices.MAX_RUNS
    assert told[-1] == crash(39)
    notices.forget_old(100.0)
    assert notices.recent(100.0) == ()
