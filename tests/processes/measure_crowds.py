"""Measures what crowds of clients outside the limits cost one host.

Usage: `python -m tests.processes.measure_crowds`. Not a part of the tests: the
crowds are large, and the limits those of an ordinary small host.
"""

import pathlib
import tempfile

import trio

from tests.processes import test_outside_limits as crowds

MEMORY_MB = 200
BODY_BYTES = 4_000_000
MAX_FDS = 4200
MEASURED = (
    (crowds.announced_bodies, 300),
    (crowds.announced_bodies, 900),
    (crowds.sent_bodies, 900),
    (crowds.heads_without_end, 900),
    (crowds.large_chunks_that_stop_short, 300),
    (crowds.small_chunks_that_stop_short, 300),
    (crowds.endless_framing, 300),
)


def main():
    crowds.MEMORY_MB = MEMORY_MB
    crowds.BODY_BYTES = BODY_BYTES
    for kind, size in MEASURED:
        with tempfile.TemporaryDirectory(prefix='crowd-') as folder:
            scene = trio.run(
                crowds.play_crowd,
                kind,
                size,
                MAX_FDS,
                pathlib.Path(folder) / 'scene',
            )
        print(
            f'{size} {kind.__name__}: {scene.peak_mb:.0f} MB,'
            f' {scene.peak_fds} descriptors, status {scene.status}',
            flush=True,
        )


if __name__ == '__main__':
    main()
