"""Heads of many fields, beside bodies that never end."""

import tracemalloc

import trio

from tests.common import gateway_world as world_lib

MB = 1024 * 1024


# Guards against heads of many fields that are kept beside endless bodies.
async def test_heads_of_very_many_fields_are_not_kept_beside_their_bodies():
    fields = b'ab:cd\r\n' * 13_000

    async def script(headers, stream):
        fixed_headers = [('Request-Id', headers['request-id']), world_lib.SEAL]
        head = world_lib.head(200, fixed_headers, 'none')
        await stream.send_all(head[:-2] + fields + b'\r\n')
        await trio.sleep_forever()

    server = world_lib.Server('app-1', 'app', script)
    answers = []
    async with world_lib.running(server) as world:

        async def ask(number):
            answers.append(
                await world.ask(
                    '/book/x',
                    'POST',
                    b'1',
                    request_id=f'q{number}',
                    deadline_ms='2000',
                )
            )

        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:
                for number in range(30):
                    nursery.start_soon(ask, number)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert all(answer[0] in (502, 503, 504) for answer in answers)
    assert peak < 8 * MB
