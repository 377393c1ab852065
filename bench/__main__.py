"""Runs all scenarios and writes the report."""

from concurrent import futures
import os

import defopt

from bench import report
from bench import scenarios


def main(*, processes: int = 4) -> None:
    """Runs the bench.

    Args:
        processes: Scenarios that run at once.
    """
    last = report.read_last()
    wanted = scenarios.list_scenarios()
    results: report.Results = {}
    workers = max(1, min(processes, os.cpu_count() or 1))
    with futures.ProcessPoolExecutor(workers) as pool:
        runs = pool.map(scenarios.run, wanted)
        for scenario, numbers in zip(wanted, runs, strict=True):
            place = scenario.deployment.name
            name = f'{scenario.name}, {place}, {scenario.variant}'
            results[name] = numbers
            share = numbers['delivered_share']
            print(f'{len(results)}/{len(wanted)} {name}: {share:.2f}')
    report.write(results, last)
    print(f'see {report.PAGE}')


if __name__ == '__main__':
    defopt.run(main)
