"""Measures what logging one served request costs a host."""

import json
import os
import time
import typing

from sardinebend_gateway import audit
from sardinebend_gateway import events

REQUESTS: typing.Final = 20_000


def measure() -> dict[str, float]:
    """Returns processor time and bytes of the lines of one served stream."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    handler = audit.set_up(writer, 'host-1')
    log = audit.Audit()
    size = spent_s = 0.0
    for number in range(REQUESTS):
        if not number % 40:
            # A second's share of lines doesn't end the measurement.
            handler._written.clear()
        name = f'{number:016x}'
        begun = time.process_time()
        log.log(
            events.REQUEST_SENT,
            request=name,
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
            request=name,
            route='draft',
            status='200',
            took_s=2.3171,
        )
        spent_s += time.process_time() - begun
        size += len(os.read(reader, 65536))
    return {
        'bytes_a_request': round(size / REQUESTS),
        'us_a_request': round(spent_s / REQUESTS * 1e6, 1),
        'lines_left_out': handler.lines_dropped,
    }


if __name__ == '__main__':
    print(json.dumps(measure()))
