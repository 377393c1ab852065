"""Runs the whole fault matrix and writes the report."""

import collections
import pathlib
import sys
import time

from tests.common import matrix

PAGE = pathlib.Path('docs/reports/fault-matrix.md')

HEAD = """# Fault matrix

Written by `make matrix`; seed {seed}. Every fault at every step, then every
pair at the same step and at consecutive steps. The sessions and the code that
carries them are the shipped ones; the network, the platform, the engines and
the services are fakes under a virtual clock, in which hosts can be frozen, cut
off and killed. The checkers read what the fakes recorded and what callers were
told.

In a cell: runs that held / runs in which the fault at that step took part
(alone and in pairs). A pair whose second step isn't reached after the first
fault counts under *not reached*.

"""


def render(kind: matrix.Kind, cells: list[matrix.Cell]) -> list[str]:
    """Returns the lines of the section of one kind of request."""
    kept_counts: collections.Counter = collections.Counter()
    total_counts: collections.Counter = collections.Counter()
    for cell in cells:
        for step_fault in set(cell.faults):
            if cell.reached:
                total_counts[step_fault] += 1
                kept_counts[step_fault] += not cell.violations
    not_reached = sum(not cell.reached for cell in cells)
    broken = [cell for cell in cells if cell.violations]
    lines = [
        f'## {kind.name.capitalize()}',
        '',
        f'{len(cells)} runs, {len(cells) - len(broken)} held, '
        f'{len(broken)} not held, {not_reached} with a step not reached.',
        '',
        f'| step | {" | ".join(kind.faults)} |',
        '| --- ' * (len(kind.faults) + 1) + '|',
    ]
    for step in kind.steps:
        row = [
            f'{kept_counts[step, fault]}/{total_counts[step, fault]}'
            for fault in kind.faults
        ]
        lines.append(f'| {step} | {" | ".join(row)} |')
    lines.append('')
    lines += [
        f'- not applicable: `{fault}`: {reason}'
        for fault, reason in kind.not_applicable.items()
    ]
    lines += [
        f'- **not held**: {cell.faults}: {cell.violations}' for cell in broken
    ]
    return [*lines, '']


def main() -> None:
    """Writes the report; exits with 1 if there are violations."""
    lines = HEAD.format(seed=matrix.SEED).splitlines()
    broken = 0
    for kind in matrix.KINDS:
        start = time.monotonic()
        faults = matrix.list_singles(kind) + matrix.list_pairs(kind)
        cells = matrix.run_cells(kind, faults)
        broken += sum(bool(cell.violations) for cell in cells)
        lines += render(kind, cells)
        elapsed_s = time.monotonic() - start
        print(f'{kind.name}: {len(cells)} runs in {elapsed_s:.0f} s')
    PAGE.parent.mkdir(parents=True, exist_ok=True)
    PAGE.write_text('\n'.join(lines).rstrip() + '\n')
    print(f'{broken} not held; see {PAGE}')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
