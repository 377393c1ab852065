"""Errors of the peers package."""


class PeerError(Exception):
    """Base of every error that this package raises."""


class PeerUnreachable(PeerError):
    """Raised when a peer can't be reached or doesn't answer in time.

    The peer may or may not have received the message.
    """


class MalformedFrame(PeerError):
    """Raised when bytes from a peer aren't a message of the protocol.

    Also raised when the peer ends the stream where a frame is expected. The
    connection is closed. Check that only entry hosts can reach the port.
    """


class PeerNotAuthentic(PeerError):
    """Raised when the other end can't prove that it has the shared secret.

    Give all entry hosts the same `peer_secret_file`.
    """
