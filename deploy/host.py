"""Starts one host from a checkout, without an installed workspace."""

import pathlib
import signal
import sys

# Until the host handles it, a signal to reload the settings would end the
# process. They are read later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SOURCES = [_ROOT / 'platform', *sorted((_ROOT / 'packages').glob('*/src'))]
sys.path[:0] = [str(path) for path in _SOURCES]

from sardinebend_adapter import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main.main())
