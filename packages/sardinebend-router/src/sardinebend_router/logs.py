"""Logs as JSON lines on standard error."""

import logging
import sys
import typing

from pythonjsonlogger import json as json_logger

LOGGER_NAME: typing.Final = 'sardinebend'


def set_up(level: str, host_id: str) -> None:
    """Writes the package's logs to standard error, one JSON object a line."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            '%(asctime)s %(levelname)s %(message)s',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'message': 'event',
            },
            static_fields={'host': host_id},
            datefmt='%Y-%m-%dT%H:%M:%S%z',
        )
    )
    logger = get()
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


def log_cut(request_id: str, customer: str, kind: str, took_s: float) -> None:
    """Logs a request that ended without an outcome.

    Its host ended, or an error ended its task.

    Args:
        request_id: Id of the request.
        customer: Its customer.
        kind: `draft`, `lookup` or `booking`.
        took_s: Time since it began to wait for admission.
    """
    get().warning(
        'request cut',
        extra={
            'request_id': request_id,
            'customer': customer,
            'kind': kind,
            'took_s': round(took_s, 3),
        },
    )


def log_delay(delay_s: float) -> None:
    """Logs that this host was held up."""
    get().warning('host delayed', extra={'delay_s': delay_s})


def get() -> logging.Logger:
    """Returns the package's logger."""
    return logging.getLogger(LOGGER_NAME)
