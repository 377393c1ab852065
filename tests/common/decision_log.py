"""Collects the lines of the decision log in a test."""

import contextlib
import logging

from sardinebend_gateway import audit


class _Collector(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        event = getattr(record, 'decision_event', None)
        name = event.name if event else record.getMessage()
        self.lines.append((name, getattr(record, 'decision_fields', {})))


@contextlib.contextmanager
def collecting():
    """Yields a list that grows by `(event or text, fields)` of each line."""
    logger = logging.getLogger(audit.LOGGER_NAME)
    handlers, level = logger.handlers[:], logger.level
    collector = _Collector()
    logger.handlers[:] = [collector]
    logger.setLevel(logging.INFO)
    try:
        yield collector.lines
    finally:
        logger.handlers[:] = handlers
        logger.setLevel(level)
