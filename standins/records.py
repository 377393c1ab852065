"""Checks of the stand-ins' records, independent of the code under test."""

import collections
import typing

TokenRecord = tuple[str, int, int, int, int, float]


def check_layers(
    token_records: typing.Iterable[TokenRecord], layers: int
) -> list[str]:
    """Returns the violations of "each token runs every layer once, in order".

    Args:
        token_records: Token records of all engines: tuples of request,
            attempt, token index, first layer, end layer and start time.
        layers: Number of layers of the model.
    """
    violations = []
    by_token: dict[tuple[str, int, int], list[TokenRecord]] = (
        collections.defaultdict(list)
    )
    for record in token_records:
        by_token[record[0], record[1], record[2]].append(record)
    last_token: dict[tuple[str, int], tuple[int, float]] = {}
    for key in sorted(by_token):
        stage_records = sorted(by_token[key], key=lambda record: record[3])
        end, started_at = 0, 0.0
        for record in stage_records:
            if record[3] != end:
                violations.append(
                    f'{key}: layer {record[3]} follows layer {end - 1}'
                )
            if record[5] < started_at:
                violations.append(
                    f'{key}: layer {record[3]} ran before the preceding layer'
                )
            end, started_at = record[4], record[5]
        if end != layers:
            violations.append(f'{key}: ran {end} of {layers} layers')
        previous = last_token.get(key[:2])
        if previous is not None and stage_records[0][5] < previous[1]:
            violations.append(
                f'{key}: started before the last stage of token {previous[0]}'
            )
        last_token[key[:2]] = (key[2], started_at)
    return violations


def check_once(executions: typing.Iterable[dict[str, str]]) -> list[str]:
    """Returns the idempotency keys whose `confirm` ran more than once."""
    counts = collections.Counter(
        execution['key']
        for execution in executions
        if execution['operation'] == 'confirm'
    )
    return [f'{key}: ran {n} times' for key, n in counts.items() if n > 1]
