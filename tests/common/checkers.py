"""Checks the records of runs, independently of the code's internals."""

import collections

from sardinebend_policy import outcomes

# A cancel reaches a stage in two hops of 1 ms, and a stage takes 7 ms for the
# layers of a token. So at most one run can start in that time; the check
# allows three.
MAX_RUNS_AFTER_CALLER_LEFT = 3
# The guarantee: a change is in force at all hosts within 20 s.
SETTINGS_BOUND_S = 20.0
# The load rate of the weight store, as `orders` defines it. The rate counts
# orders when they are sent; one that the network delays may start up to its
# lifetime later.
LOADS_PER_PERIOD = 4
LOAD_PERIOD_S = 10.0
LATE_ORDER_S = 8.0
HOP_SLACK_S = 0.1
CHECKS_FENCING = ('e1', 'e3', 'e5')


def check_bookings(record, killed: bool = False) -> list[str]:
    """Returns violations of the guarantees for bookings.

    Args:
        record: A `booking_world.Record`.
        killed: Whether the main request's host was killed, so that its caller
            received no outcome.
    """
    violations = []
    by_key = collections.Counter(item.key for item in record.executions)
    violations += [f'{key} ran {n} times' for key, n in by_key.items() if n > 1]
    ran = {item.request_id for item in record.executions}
    outcome_counts = collections.Counter(
        item.request_id for item in record.received_outcomes
    )
    for item in record.received_outcomes:
        violations += _check_outcome(item, ran, record.executions)
    for request_id in record.request_hosts:
        expected = 0 if killed and request_id == 'r0' else 1
        if (
            outcome_counts[request_id] > 1
            or outcome_counts[request_id] < expected
        ):
            violations.append(
                f'{request_id} received {outcome_counts[request_id]} outcomes'
            )
    if record.sends_after_leaving:
        violations.append('a leaving endpoint got a new call')
    return violations


def _check_outcome(item, ran, executions) -> list[str]:
    outcome = item.outcome
    if isinstance(outcome, outcomes.NotRun) and item.request_id in ran:
        return [f'{item.request_id} was reported as not run, but ran']
    if isinstance(outcome, outcomes.Answered):
        bodies = {run.confirmation for run in executions}
        if outcome.body not in bodies:
            return [
                f'{item.request_id} received an answer that no execution gave'
            ]
    if isinstance(outcome, outcomes.Incomplete):
        return [f'{item.request_id} was reported incomplete, but is a booking']
    return []


def check_draft(record, killed: bool = False) -> list[str]:
    """Returns violations of the guarantees for drafts.

    Args:
        record: A `draft_world.Record`.
        killed: Whether the host was killed.
    """
    violations = []
    expected_tokens = record.expected_tokens
    if record.delivered != expected_tokens[: len(record.delivered)]:
        violations.append(
            f'delivered {record.delivered}, expected {expected_tokens}'
        )
    ran = bool(record.runs)
    received = record.received_outcomes
    if len(received) > 1 or (not received and not killed):
        violations.append(f'{len(received)} outcomes')
    for outcome in received:
        if isinstance(outcome, outcomes.Answered) and (
            record.delivered != expected_tokens
            or outcome.tokens != len(expected_tokens)
        ):
            violations.append('reported complete, but is not')
        if isinstance(outcome, outcomes.NotRun) and ran:
            violations.append('reported as not run, but ran')
        if isinstance(outcome, outcomes.OutcomeUnknown):
            violations.append(
                'a draft was reported as unknown, an outcome only bookings have'
            )
        if isinstance(
            outcome, outcomes.Incomplete
        ) and outcome.delivered != len(record.delivered):
            violations.append('reported a wrong number of tokens')
    violations += check_runs(record.runs)
    if record.orders_after_leaving:
        violations.append('a leaving endpoint got a new order')
    only_caller_left = {fault for _, fault in record.injected} == {
        'caller_leaves'
    }
    if (
        only_caller_left
        and record.runs_after_caller_left > MAX_RUNS_AFTER_CALLER_LEFT
    ):
        violations.append(
            f'{record.runs_after_caller_left} runs after the caller left'
        )
    if record.still_running and not killed:
        violations.append(f'still running: {sorted(record.still_running)}')
    return violations


def check_runs(runs) -> list[str]:
    """Checks runs (attempt, token, first layer, end layer) in their order."""
    violations = []
    expected: dict[tuple[int, int], int] = {}
    last_token: dict[int, int] = {}
    for attempt, token, first, end in runs:
        if expected.get((attempt, token), 0) != first:
            violations.append(f'attempt {attempt} token {token}: layer {first}')
        if token < last_token.get(attempt, token):
            violations.append(f'attempt {attempt}: token {token} out of order')
        last_token[attempt] = token
        expected[attempt, token] = end
    return violations


def check_settings(record, killed: bool = False) -> list[str]:
    """Returns violations of the guarantees for settings.

    Args:
        record: A `settings_world.Record`.
        killed: Whether the host that received the change was killed.
    """
    violations = _check_audit(record)
    contents: dict[int, str] = {}
    for host, entries in record.in_force.items():
        versions = [version for _, version, _ in entries]
        if versions != sorted(set(versions)):
            violations.append(f'{host} applied versions {versions}')
        for _, version, content in entries:
            if contents.setdefault(version, content) != content:
                violations.append(f'version {version} differs at {host}')
    last = max((version for version, _, _ in record.audit), default=1)
    for answer in record.answers:
        if answer.kind == 'accepted':
            violations += _check_in_force(record, answer)
    for host, entries in record.in_force.items():
        if host not in record.killed_hosts and entries[-1][1] != last:
            violations.append(f'{host} ended at {entries[-1][1]}, not {last}')
    return violations


def _check_audit(record) -> list[str]:
    violations = []
    made = {change_id: where for _, change_id, where in record.audit}
    versions = [version for version, _, _ in record.audit]
    if versions != list(range(2, 2 + len(versions))):
        violations.append(f'the audit trail has versions {versions}')
    if len(made) != len(record.audit):
        violations.append(f'a change was made twice: {record.audit}')
    for answer in record.answers:
        is_made = answer.change_id in made
        if answer.kind in ('accepted', 'committed') and not is_made:
            violations.append(
                f'{answer.change_id} was reported as made but is not in the'
                ' audit trail'
            )
        if answer.kind == 'conflict' and is_made:
            violations.append(
                f'{answer.change_id} was made but reported as a conflict'
            )
        if (
            answer.kind == 'unavailable'
            and made.get(answer.change_id) == answer.host
        ):
            violations.append(f'{answer.change_id} was refused but made')
    nodes = {}
    for _, change_id, _ in record.audit:
        node, value = record.edits[change_id]
        nodes[node] = value
    for node, value in nodes.items():
        if record.final_nodes.get(node) != value:
            violations.append(f'{node} ended as {record.final_nodes.get(node)}')
    return violations


def _check_in_force(record, answer) -> list[str]:
    violations = []
    for host, entries in record.in_force.items():
        reachable_at = max(
            answer.at, record.unreachable_until.get(host, 0), entries[0][0]
        )
        limit = reachable_at + SETTINGS_BOUND_S
        in_force = [version for at, version, _ in entries if at <= limit]
        if host not in record.killed_hosts and max(in_force) < answer.version:
            violations.append(f'{host} lacks {answer.version} at {limit:.1f}')
    return violations


def check_orders(record, killed: bool = False) -> list[str]:
    """Returns violations of the guarantees for orders.

    Args:
        record: An `orders_world.Record`.
        killed: Whether the first holder of the lease was killed.
    """
    violations = []
    wrong = {k: v for k, v in record.held.items() if v != record.desired}
    if wrong:
        violations.append(f'ended with {wrong}, desired is {record.desired}')
    last: dict[str, int] = {}
    holders: dict[int, str] = {}
    for order in record.started_orders:
        holder = holders.setdefault(order.fencing, order.host)
        if holder != order.host:
            violations.append(
                f'{holder} and {order.host} ordered under {order.fencing}'
            )
        if order.endpoint_id in CHECKS_FENCING:
            if order.fencing < last.get(order.endpoint_id, 0):
                violations.append(
                    f'{order.endpoint_id} started an outdated order'
                )
            last[order.endpoint_id] = order.fencing
    is_late = any(fault == 'order_late' for _, fault in record.injected)
    slack_s = LATE_ORDER_S if is_late else HOP_SLACK_S
    violations += _check_rate(record.started_orders, slack_s)
    return violations


def _check_rate(started_orders, slack_s: float) -> list[str]:
    """Checks the load rate of the weight store for each lease holder."""
    violations = []
    for fencing in {order.fencing for order in started_orders}:
        times = sorted(
            item.at for item in started_orders if item.fencing == fencing
        )
        for first, later in zip(times, times[LOADS_PER_PERIOD:], strict=False):
            if later - first < LOAD_PERIOD_S - slack_s:
                violations.append(
                    f'too many loads from {first:.1f} to {later:.1f}'
                )
    return violations
