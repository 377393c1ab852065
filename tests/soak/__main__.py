"""Runs soaks from the command line.

`python -m tests.soak [--processes] [--minutes N] [--size S] SEED[-SEED]...`
"""

import argparse
import functools
import sys

from tests.soak import process_soak
from tests.soak import soak


def main():
    """Prints what each seed breaks; ends with 1 if any does."""
    parser = argparse.ArgumentParser(prog='python -m tests.soak')
    parser.add_argument('seeds', nargs='+', help='SEED or FIRST-LAST')
    parser.add_argument(
        '--processes', action='store_true', help='real programs, real time'
    )
    parser.add_argument(
        '--minutes', type=float, default=0.5, help='of faults, for each seed'
    )
    parser.add_argument(
        '--size', type=int, default=3, help='hosts, with --processes'
    )
    args = parser.parse_args()
    play = soak.play
    if args.processes:
        play = functools.partial(process_soak.play, hosts=args.size)
    is_bad = False
    for text in args.seeds:
        first, _, last = text.partition('-')
        for seed in range(int(first), int(last or first) + 1):
            is_bad |= _report(seed, play(seed, args.minutes * 60))
    return 1 if is_bad else 0


def _report(seed, result):
    """Prints what a seed has shown; returns whether it broke a promise."""
    print(
        f'seed {seed}: {result.asked} asked,'
        f' {result.served:.3f} served, {len(result.broken)} broken',
        flush=True,
    )
    for line in result.broken[:5]:
        print('   ', line)
    if result.broken:
        print('\n'.join('      ' + line for line in result.log))
    return bool(result.broken)


if __name__ == '__main__':
    sys.exit(main())
