"""Checks of what the stand-ins recorded, apart from the code they check."""

import collections
import typing

Run = tuple[str, int, int, int, int, float]


def check_layers(runs: typing.Iterable[Run], layers: int) -> list[str]:
    """Returns what contradicts "every layer once for each token, in order".

    Args:
        runs: (request, attempt, token, first layer, end layer, time) of all
            engines.
        layers: Layers of the model.
    """
    faults = []
    by_token: dict[tuple[str, int, int], list[Run]] = collections.defaultdict(
        list
    )
    for run in runs:
        by_token[run[0], run[1], run[2]].append(run)
    last_token: dict[tuple[str, int], tuple[int, float]] = {}
    for key in sorted(by_token):
        parts = sorted(by_token[key], key=lambda run: run[3])
        end, at = 0, 0.0
        for run in parts:
            if run[3] != end:
                faults.append(f'{key}: layer {run[3]} follows layer {end - 1}')
            if run[5] < at:
                faults.append(f'{key}: layer {run[3]} ran before its input')
            end, at = run[4], run[5]
        if end != layers:
            faults.append(f'{key}: {end} of {layers} layers')
        before = last_token.get(key[:2])
        if before is not None and parts[0][5] < before[1]:
            faults.append(f'{key}: ran before token {before[0]} had ended')
        last_token[key[:2]] = (key[2], at)
    return faults


def check_once(runs: typing.Iterable[dict[str, str]]) -> list[str]:
    """Returns the idempotency keys whose call ran more than once."""
    counts = collections.Counter(
        run['key'] for run in runs if run['operation'] == 'confirm'
    )
    return [f'{key}: ran {n} times' for key, n in counts.items() if n > 1]
