"""Errors of the HTTP adapters."""

from __future__ import annotations

from cyclamenwing import errors


class TransportError(errors.CodedError):
    """Report a failed exchange with another process."""

    code = "transport_error"
    status = 502


class ConnectFailedError(TransportError):
    """Report that nothing was sent."""

    code = "connect_failed"
    status = 503


class ConnectionLostError(TransportError):
    """Report that the exchange broke after it may have been received."""

    code = "connection_lost"


class ConnectionSilentError(ConnectionLostError):
    """Report that nothing arrived within the bound."""

    code = "connection_silent"


class MalformedMessageError(TransportError):
    """Report a message that can't be read."""

    code = "malformed_message"
    status = 400


class ForbiddenPeerError(TransportError):
    """Report a process without a valid fleet key."""

    code = "forbidden_peer"
    status = 403


class PeerRefusedError(TransportError):
    """Report a coded refusal by the other process.

    :param peer_code: the refusal's code
    """

    code = "peer_refused"

    def __init__(
        self, peer_code: str, message: str, run: errors.RunState = "unknown"
    ) -> None:
        super().__init__(message, run)
        self.peer_code = peer_code


__all__ = (
    "ConnectFailedError",
    "ConnectionLostError",
    "ConnectionSilentError",
    "ForbiddenPeerError",
    "MalformedMessageError",
    "PeerRefusedError",
    "TransportError",
)
