"""Runs all benchmark scenarios and writes the report."""

from concurrent import futures
import os

import defopt

from bench import report
from bench import scenarios


def main(*, processes: int = 4) -> None:
    """Runs the benchmark.

    Args:
        processes: Number of scenarios that run at once.
    """
    previous = report.read_previous()
    selected = scenarios.list_scenarios()
    results: report.Results = {}
    workers = max(1, min(processes, os.cpu_count() or 1))
    with futures.ProcessPoolExecutor(workers) as pool:
        runs = pool.map(scenarios.run, selected)
        for scenario, numbers in zip(selected, runs, strict=True):
            deployment_name = scenario.deployment.name
            name = f'{scenario.name}, {deployment_name}, {scenario.variant}'
            results[name] = numbers
            share = numbers['delivered_share']
            print(f'{len(results)}/{len(selected)} {name}: {share:.2f}')
    report.write(results, previous)
    print(f'see {report.PAGE}')


if __name__ == '__main__':
    defopt.run(main)
