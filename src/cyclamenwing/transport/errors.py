"""Errors of the HTTP servers and clients."""

from __future__ import annotations

from cyclamenwing import errors


class TransportError(errors.CodedError):
    """Report a failed exchange with another process."""

    code = "transport_error"
    status = 502


class ConnectFailedError(TransportError):
    """Report a request of which nothing was sent to the peer."""

    code = "connect_failed"
    status = 503


class ConnectionLostError(TransportError):
    """Report a broken exchange whose request the peer may have received."""

    code = "connection_lost"


class ConnectionSilentError(ConnectionLostError):
    """Report a peer that sent nothing within the timeout."""

    code = "connection_silent"


class MalformedMessageError(TransportError):
    """Report a message that can't be decoded."""

    code = "malformed_message"
    status = 400


class ForbiddenPeerError(TransportError):
    """Report a request from a process without a valid fleet key."""

    code = "forbidden_peer"
    status = 403


class BodyTooLargeError(TransportError):
    """Report a request body above the size limit."""

    code = "too_large"
    status = 413


class BodyTimeoutError(TransportError):
    """Report a request body that did not arrive within the timeout."""

    code = "body_timeout"
    status = 408


class UnsupportedEncodingError(TransportError):
    """Report a request body with a Content-Encoding."""

    code = "unsupported_encoding"
    status = 415


class AnswerTooLargeError(TransportError):
    """Report a response above the size limit."""

    code = "answer_too_large"


class BindFailedError(TransportError):
    """Report a listen address that can't be bound.

    :param address: ``ip:port`` as it stands in the settings
    :param reason: error text of the operating system
    """

    code = "bind_failed"

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"can't bind {address}: {reason}")
        self.address = address


class NotReadyError(TransportError):
    """Report a process that is not ready to serve yet."""

    code = "not_ready"
    status = 503
    retry_after_s = 1.0


class PeerRefusedError(TransportError):
    """Report a coded error that a peer responded with.

    :param peer_code: the peer's error code
    :param http_status: status of the peer's response
    """

    code = "peer_refused"

    def __init__(
        self,
        peer_code: str,
        message: str,
        run: errors.RunState = "unknown",
        http_status: int = 0,
    ) -> None:
        super().__init__(message, run)
        self.peer_code = peer_code
        self.http_status = http_status


__all__ = (
    "AnswerTooLargeError",
    "BindFailedError",
    "BodyTimeoutError",
    "BodyTooLargeError",
    "ConnectFailedError",
    "ConnectionLostError",
    "ConnectionSilentError",
    "ForbiddenPeerError",
    "MalformedMessageError",
    "NotReadyError",
    "PeerRefusedError",
    "TransportError",
    "UnsupportedEncodingError",
)
