"""Checks of what runs left behind; they know nothing of the code's insides."""

import collections

from sardinebend_policy import outcomes

# A cancel takes two hops of 1 ms to a stage; a stage runs a token's layers in
# 7 ms. At most one run may start in that time; the target allows three.
MAX_RUNS_AFTER_LEFT = 3
# The stated target: in force everywhere within 20 s.
SETTINGS_BOUND_S = 20.0
# The weight store's rate, as `orders` states it. An order that the network
# delays by up to its life counts where it was sent.
LOADS_PER_PERIOD = 4
LOAD_PERIOD_S = 10.0
LATE_ORDER_S = 8.0
HOP_SLACK_S = 0.1
CHECKS_FENCING = ('e1', 'e3', 'e5')


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


def check_settings(record, killed: bool = False) -> list[str]:
    """Returns what contradicts the promises about settings.

    Args:
        record: A `settings_world.Record`.
        killed: Whether the host that took the change was killed.
    """
    faults = _check_audit(record)
    contents: dict[int, str] = {}
    for host, entries in record.in_force.items():
        versions = [version for _, version, _ in entries]
        if versions != sorted(set(versions)):
            faults.append(f'{host} went through versions {versions}')
        for _, version, content in entries:
            if contents.setdefault(version, content) != content:
                faults.append(f'version {version} differs at {host}')
    last = max((version for version, _, _ in record.audit), default=1)
    for told in record.told:
        if told.kind == 'accepted':
            faults += _check_in_force(record, told)
    for host, entries in record.in_force.items():
        if host not in record.gone and entries[-1][1] != last:
            faults.append(f'{host} ended at {entries[-1][1]}, not {last}')
    return faults


def _check_audit(record) -> list[str]:
    faults = []
    made = {change_id: where for _, change_id, where in record.audit}
    versions = [version for version, _, _ in record.audit]
    if versions != list(range(2, 2 + len(versions))):
        faults.append(f'the trail has versions {versions}')
    if len(made) != len(record.audit):
        faults.append(f'a change was made twice: {record.audit}')
    for told in record.told:
        is_made = told.change_id in made
        if told.kind in ('accepted', 'committed') and not is_made:
            faults.append(f'{told.change_id} was accepted and is missing')
        if told.kind == 'conflict' and is_made:
            faults.append(f'{told.change_id} conflicts with itself')
        if told.kind == 'unavailable' and made.get(told.change_id) == told.host:
            faults.append(f'{told.change_id} was refused and made')
    nodes = {}
    for _, change_id, _ in record.audit:
        node, value = record.edits[change_id]
        nodes[node] = value
    for node, value in nodes.items():
        if record.final_nodes.get(node) != value:
            faults.append(f'{node} ended as {record.final_nodes.get(node)}')
    return faults


def _check_in_force(record, told) -> list[str]:
    faults = []
    for host, entries in record.in_force.items():
        back = max(told.at, record.away.get(host, 0), entries[0][0])
        limit = back + SETTINGS_BOUND_S
        in_force = [version for at, version, _ in entries if at <= limit]
        if host not in record.gone and max(in_force) < told.version:
            faults.append(f'{host} lacks {told.version} at {limit:.1f}')
    return faults


def check_orders(record, killed: bool = False) -> list[str]:
    """Returns what contradicts the promises about orders.

    Args:
        record: An `orders_world.Record`.
        killed: Whether the first holder of the lease was killed.
    """
    faults = []
    wrong = {k: v for k, v in record.held.items() if v != record.desired}
    if wrong:
        faults.append(f'ended as {wrong}, desired is {record.desired}')
    last: dict[str, int] = {}
    for order in record.begun:
        if order.endpoint_id in CHECKS_FENCING:
            if order.fencing < last.get(order.endpoint_id, 0):
                faults.append(f'{order.endpoint_id} took an old order')
            last[order.endpoint_id] = order.fencing
    is_late = any(fault == 'order_late' for _, fault in record.injected)
    slack_s = LATE_ORDER_S if is_late else HOP_SLACK_S
    faults += _check_rate(record.begun, slack_s)
    return faults


def _check_rate(begun, slack_s: float) -> list[str]:
    """Checks the weight store's rate for each holder of the lease."""
    faults = []
    for fencing in {order.fencing for order in begun}:
        times = sorted(item.at for item in begun if item.fencing == fencing)
        for first, later in zip(times, times[LOADS_PER_PERIOD:], strict=False):
            if later - first < LOAD_PERIOD_S - slack_s:
                faults.append(f'loads at {first:.1f} to {later:.1f}')
    return faults
