"""Time limits that a test ends."""

import contextlib

import trio


class Limits:
    """Lets a test decide when the wait for a caller is over."""

    def __init__(self):
        self.scopes = []

    @contextlib.contextmanager
    def wait(self, seconds):
        with trio.CancelScope() as scope:
            self.scopes.append(scope)
            try:
                yield scope
            finally:
                self.scopes.remove(scope)

    def end(self):
        for scope in self.scopes:
            scope.cancel()
