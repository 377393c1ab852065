"""Runs soaks from the command line.

`python -m tests.soak [--processes] [--minutes N] [--size S] SEED[-SEED]...`
"""

import argparse
import functools
import sys

from tests.soak import process_soak
from tests.soak import soak


def main():
    """Prints the violations of each seed; returns 1 if there are any."""
    parser = argparse.ArgumentParser(prog='python -m tests.soak')
    parser.add_argument('seeds', nargs='+', help='SEED or FIRST-LAST')
    parser.add_argument(
        '--processes',
        action='store_true',
        help='use real programs and real time',
    )
    parser.add_argument(
        '--minutes',
        type=float,
        default=0.5,
        help='duration of the faults of each seed',
    )
    parser.add_argument(
        '--size', type=int, default=3, help='number of hosts, with --processes'
    )
    args = parser.parse_args()
    run_soak = soak.run
    if args.processes:
        run_soak = functools.partial(process_soak.run, hosts=args.size)
    has_violations = False
    for text in args.seeds:
        first, _, last = text.partition('-')
        for seed in range(int(first), int(last or first) + 1):
            has_violations |= _report(seed, run_soak(seed, args.minutes * 60))
    return 1 if has_violations else 0


def _report(seed, result):
    """Prints the result of a seed; returns whether it has violations."""
    print(
        f'seed {seed}: {result.request_count} requests,'
        f' {result.served_share:.3f} served,'
        f' {len(result.violations)} violations',
        flush=True,
    )
    for line in result.violations[:5]:
        print('   ', line)
    if result.violations:
        print('\n'.join('      ' + line for line in result.log))
    return bool(result.violations)


if __name__ == '__main__':
    sys.exit(main())
