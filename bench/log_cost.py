"""Measures the cost to a host of logging one served request."""

import json
import os
import time
import typing

from sardinebend_gateway import audit
from sardinebend_gateway import events

REQUESTS: typing.Final = 20_000


def measure() -> dict[str, float]:
    """Returns processor time and bytes of the log lines of one stream."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    handler = audit.set_up(writer, 'host-1')
    log = audit.Audit()
    size = cpu_s = 0.0
    for number in range(REQUESTS):
        if not number % 40:
            # Resets the limit of lines per second, so that no line is dropped.
            handler._written.clear()
        request_id = f'{number:016x}'
        start = time.process_time()
        log.log(
            events.REQUEST_SENT,
            request=request_id,
            route='draft',
            endpoint='endpoint-17',
            parts=7,
            attempt=1,
            time_left_s=19.97,
            after_s=0.0031,
            tokens=960,
            crossings=0,
            link_use=0.0,
            domain='east',
        )
        log.log(
            events.REQUEST_ENDED,
            request=request_id,
            route='draft',
            status='200',
            took_s=2.3171,
        )
        cpu_s += time.process_time() - start
        size += len(os.read(reader, 65536))
    return {
        'bytes_a_request': round(size / REQUESTS),
        'us_a_request': round(cpu_s / REQUESTS * 1e6, 1),
        'lines_left_out': handler.lines_dropped,
    }


if __name__ == '__main__':
    print(json.dumps(measure()))
