"""Runs soaks from the command line: `python -m tests.soak SEED [SEED...]`."""

import sys

from tests.soak import soak


def main():
    """Prints what each seed breaks; ends with 1 if any does."""
    is_bad = False
    for text in sys.argv[1:]:
        first, _, last = text.partition('-')
        for seed in range(int(first), int(last or first) + 1):
            result = soak.play(seed)
            is_bad |= bool(result.broken)
            print(
                f'seed {seed}: {result.asked} asked,'
                f' {result.served:.3f} served, {len(result.broken)} broken',
                flush=True,
            )
            for line in result.broken[:5]:
                print('   ', line)
            if result.broken:
                print('\n'.join('      ' + line for line in result.log))
    return 1 if is_bad else 0


if __name__ == '__main__':
    sys.exit(main())
