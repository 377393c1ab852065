"""Checks of what runs left behind; they know nothing of the code's insides."""

import collections

from sardinebend_policy import outcomes

# A cancel takes two hops of 1 ms to a stage; a stage runs a token's layers in
# 7 ms. At most one run may start in that time; the target allows three.
MAX_RUNS_AFTER_LEFT = 3


def check_bookings(record, killed: bool = False) -> list[str]:
    """Returns what contradicts the promises about bookings.

    Args:
        record: A `booking_world.Record`.
        killed: Whether the main request's host was killed, so that its caller
            was told nothing.
    """
    faults = []
    by_key = collections.Counter(item.key for item in record.executions)
    faults += [f'{key} ran {n} times' for key, n in by_key.items() if n > 1]
    ran = {item.request_id for item in record.executions}
    told = collections.Counter(item.request_id for item in record.told)
    for item in record.told:
        faults += _check_told(item, ran, record.executions)
    for request_id in record.asked:
        expected = 0 if killed and request_id == 'r0' else 1
        if told[request_id] > 1 or told[request_id] < expected:
            faults.append(f'{request_id} was told {told[request_id]} outcomes')
    if record.sends_after_leaving:
        faults.append('a leaving endpoint got new work')
    return faults


def _check_told(item, ran, executions) -> list[str]:
    outcome = item.outcome
    if isinstance(outcome, outcomes.NotRun) and item.request_id in ran:
        return [f'{item.request_id} was told not run, and ran']
    if isinstance(outcome, outcomes.Answered):
        bodies = {run.confirmation for run in executions}
        if outcome.body not in bodies:
            return [f'{item.request_id} was told an answer that nobody gave']
    if isinstance(outcome, outcomes.Incomplete):
        return [f'{item.request_id} was told incomplete for a booking']
    return []


def check_draft(record, killed: bool = False) -> list[str]:
    """Returns what contradicts the promises about drafts.

    Args:
        record: A `draft_world.Record`.
        killed: Whether the host was killed.
    """
    faults = []
    right = record.right_answer
    if record.delivered != right[: len(record.delivered)]:
        faults.append(f'delivered {record.delivered}, right is {right}')
    ran = bool(record.runs)
    ends = record.ends
    if len(ends) > 1 or (not ends and not killed):
        faults.append(f'{len(ends)} ends')
    for end in ends:
        if isinstance(end, outcomes.Answered) and (
            record.delivered != right or end.tokens != len(right)
        ):
            faults.append('called whole, and is not')
        if isinstance(end, outcomes.NotRun) and ran:
            faults.append('told not run, and ran')
        if isinstance(end, outcomes.OutcomeUnknown):
            faults.append('told unknown for a draft')
        if isinstance(end, outcomes.Incomplete) and end.delivered != len(
            record.delivered
        ):
            faults.append('told a wrong number of tokens')
    faults += check_runs(record.runs)
    if record.orders_after_leaving:
        faults.append('a leaving endpoint got new work')
    only_left = {fault for _, fault in record.injected} == {'caller_leaves'}
    if only_left and record.runs_after_left > MAX_RUNS_AFTER_LEFT:
        faults.append(f'{record.runs_after_left} runs after the caller left')
    if record.still_running and not killed:
        faults.append(f'still running: {sorted(record.still_running)}')
    return faults


def check_runs(runs) -> list[str]:
    """Checks (attempt, token, first layer, end layer) in the order run."""
    faults = []
    expected: dict[tuple[int, int], int] = {}
    last_token: dict[int, int] = {}
    for attempt, token, first, end in runs:
        if expected.get((attempt, token), 0) != first:
            faults.append(f'attempt {attempt} token {token}: layer {first}')
        if token < last_token.get(attempt, token):
            faults.append(f'attempt {attempt}: token {token} out of order')
        last_token[attempt] = token
        expected[attempt, token] = end
    return faults
