"""A server of streams as a process of its own, so that it can be killed.

Usage: `stream_server.py PORT NAME EVENTS EVENT_S`. It writes a line for each
run that begins to its standard output.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import lab  # noqa: E402


class StreamServer(lab.Listener):
    """Sends numbered events; goes on after `Last-Event-Id`."""

    def __init__(self, port, name, events, event_s):
        super().__init__(port)
        self.name = name
        self.events = events
        self.event_s = event_s

    async def serve(self, reader, writer):
        """Answers the request of one channel."""
        req = await lab.read_message(reader)
        if req is None:
            return
        headers = req[1]
        request_id = headers.get('request-id', '')
        own = [('Request-Id', request_id), ('Instance-Id', self.name)]
        if headers.get('expect-instance', self.name) != self.name:
            writer.write(lab.message(421, [*own, ('Not-Executed', '1')]))
            await writer.drain()
            return
        after = int(headers.get('last-event-id', 0))
        print(f'{request_id} after {after}', flush=True)
        lines = ['HTTP/1.1 200 X', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in own]
        lines += [f'Response-Seal: {self.name}.1', 'Transfer-Encoding: chunked']
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        gone = asyncio.create_task(reader.read(1))
        for number in range(after + 1, self.events + 1):
            await asyncio.wait([gone], timeout=self.event_s)
            if gone.done():
                return
            data = f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(data), data))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        gone.cancel()


async def main(port, name, events, event_s):
    """Serves until it is killed."""
    await StreamServer(port, name, events, event_s).listen()
    print('listens', flush=True)
    await asyncio.sleep(3600)


if __name__ == '__main__':
    asyncio.run(
        main(
            int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
        )
    )
