"""Checks of the stand-ins' records, independent of the code under test."""

import collections
import typing

Run = tuple[str, int, int, int, int, float]


def check_layers(runs: typing.Iterable[Run], layers: int) -> list[str]:
    """Returns the violations of "each token runs every layer once, in order".

    Args:
        runs: Tuples of request, attempt, token, first layer, end layer and
            start time, from all engines.
        layers: Number of layers of the model.
    """
    violations = []
    by_token: dict[tuple[str, int, int], list[Run]] = collections.defaultdict(
        list
    )
    for run in runs:
        by_token[run[0], run[1], run[2]].append(run)
    last_token: dict[tuple[str, int], tuple[int, float]] = {}
    for key in sorted(by_token):
        stage_runs = sorted(by_token[key], key=lambda run: run[3])
        end, started_at = 0, 0.0
        for run in stage_runs:
            if run[3] != end:
                violations.append(
                    f'{key}: layer {run[3]} follows layer {end - 1}'
                )
            if run[5] < started_at:
                violations.append(
                    f'{key}: layer {run[3]} ran before the preceding layer'
                )
            end, started_at = run[4], run[5]
        if end != layers:
            violations.append(f'{key}: ran {end} of {layers} layers')
        previous = last_token.get(key[:2])
        if previous is not None and stage_runs[0][5] < previous[1]:
            violations.append(
                f'{key}: started before the last stage of token {previous[0]}'
            )
        last_token[key[:2]] = (key[2], started_at)
    return violations


def check_once(runs: typing.Iterable[dict[str, str]]) -> list[str]:
    """Returns the idempotency keys whose `confirm` ran more than once."""
    counts = collections.Counter(
        run['key'] for run in runs if run['operation'] == 'confirm'
    )
    return [f'{key}: ran {n} times' for key, n in counts.items() if n > 1]
