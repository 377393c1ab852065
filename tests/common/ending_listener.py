"""A listener that closes while a connection is being opened to it."""

import contextlib
import select
import socket

import trio


class EndingListener(trio.abc.Instrument):
    """The listener of a process that ends, a little later than its streams.

    Attributes:
        port: Its port.
    """

    def __init__(self, waits: int) -> None:
        """Opens the listener.

        Args:
            waits: How often the event loop still waits for I/O, once there is a
                connection, before the listener closes: 0 to close before a
                connect returns.
        """
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._waits = waits
        self.port: int = self._listener.getsockname()[1]

    def before_io_wait(self, timeout: float) -> None:
        """Closes the listener when it is time."""
        if self._listener.fileno() < 0:
            return
        if any(select.select([self._listener], [], [], 0)):
            if not self._waits:
                self.close()
            self._waits -= 1

    def close(self) -> None:
        """Closes the listener."""
        self._listener.close()


@contextlib.contextmanager
def run(waits: int = 0):
    """Yields a listener that is about to close."""
    ending = EndingListener(waits)
    trio.lowlevel.add_instrument(ending)
    try:
        yield ending
    finally:
        trio.lowlevel.remove_instrument(ending)
        ending.close()
