"""Keeps a row that can't be used from affecting the others of its table.

Rows come from other programs. One that can't be applied is skipped and logged;
what was known under its key before stays in force.
"""

import logging
import typing

from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import state as state_lib
from sardinebend_store import feeds

# A reason may quote the row, which may be long.
MAX_REASON_CHARS: typing.Final = 200

_LOGGER = logging.getLogger(__name__)


def apply_row(
    state: state_lib.State,
    table: str,
    row: feeds.FeedRow,
    apply: typing.Callable[[feeds.FeedRow], bool | None],
) -> bool:
    """Applies a row, or skips and logs it if that fails.

    Args:
        state: The host's state.
        table: The row's table.
        row: The row.
        apply: Applies a row and returns whether that changed anything.

    Returns:
        Whether anything has changed.
    """
    try:
        return bool(apply(row))
    except errors.Malformed as exc:
        log_skipped(state, table, row.key, str(exc))
    except Exception as exc:
        # A follower passes each row on once, so an error that got out of here
        # would cost all rows after this one.
        _LOGGER.error('a row of %s was not applied', table, exc_info=exc)
        state.metrics.count('rows_failed', table=table)
        log_skipped(state, table, row.key, f'{type(exc).__name__}: {exc}')
    return False


def log_skipped(
    state: state_lib.State, table: str, key: str, reason: str
) -> None:
    """Logs that an entry was skipped."""
    state.audit.log(
        events.ENTRY_SKIPPED,
        table=table,
        key=key[:MAX_REASON_CHARS],
        reason=reason[:MAX_REASON_CHARS],
    )
