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


class BodyTooLargeError(TransportError):
    """Report a body beyond the limit of its route."""

    code = "too_large"
    status = 413


class BodyTimeoutError(TransportError):
    """Report a body that did not arrive in time."""

    code = "body_timeout"
    status = 408


class UnsupportedEncodingError(TransportError):
    """Report a compressed body, which is not accepted."""

    code = "unsupported_encoding"
    status = 415


class AnswerTooLargeError(TransportError):
    """Report an answer beyond the limit."""

    code = "answer_too_large"


class BindFailedError(TransportError):
    """Report an address that can't be bound.

    :param address: ``ip:port`` as it was given
    :param reason: why the system refused
    """

    code = "bind_failed"

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"can't bind {address}: {reason}")
        self.address = address


class NotReadyError(TransportError):
    """Report a process that can't serve yet."""

    code = "not_ready"
    status = 503
    retry_after_s = 1.0


class PeerRefusedError(TransportError):
    """Report a coded refusal by the other process.

    :param peer_code: the refusal's code
    :param http_status: status of the answer
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
