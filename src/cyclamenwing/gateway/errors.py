"""Errors that a gateway answers requests with."""

from __future__ import annotations

from cyclamenwing import errors
from cyclamenwing.gateway import calls


class GatewayError(errors.CodedError):
    """Report a request that the gateway refuses or can't complete.

    `retry_after_s` of a class is the usual time to return; `refusals` spreads
    it. That of an instance was predicted.
    """

    code = "gateway_error"
    status = 503

    def make_refusal(self) -> calls.Refusal:
        """Return the refusal to send to the client."""
        return calls.Refusal(
            self.status, self.code, self.run, self.retry_after_s
        )


class NoConfigurationError(GatewayError):
    """Report that no configuration has been loaded yet."""

    code = "no_configuration"
    retry_after_s = 0.5


class LeavingError(GatewayError):
    """Report that this process is draining and about to stop."""

    code = "leaving"
    retry_after_s = 0.1


class UnreadableRequestError(GatewayError):
    """Report a request whose headers can't be parsed."""

    code = "unreadable_request"
    status = 400


class UnknownRouteError(GatewayError):
    """Report a path that no route covers."""

    code = "unknown_route"
    status = 404


class UnknownKeyError(GatewayError):
    """Report an API key that belongs to no workspace."""

    code = "unknown_key"
    status = 401


class UnknownWorkspaceError(GatewayError):
    """Report a workspace that the configuration does not have."""

    code = "unknown_workspace"
    status = 404


class UnknownServiceError(GatewayError):
    """Report a service that does not share a route."""

    code = "unknown_service"
    status = 404


class OperatorKeyError(GatewayError):
    """Report an operator's call without the operators' key."""

    code = "operator_key_invalid"
    status = 403


class BudgetSpentError(GatewayError):
    """Report a request that costs more than the budget has left."""

    code = "budget_spent"
    status = 402


class BudgetUnreachableError(GatewayError):
    """Report tokens that may be left but can't be obtained now.

    The gateway's own holdings are too small, and the pool or the peers did
    not provide the rest in time.
    """

    code = "budget_unreachable"
    retry_after_s = 1.0


class NoEndpointError(GatewayError):
    """Report a service without a usable endpoint."""

    code = "no_endpoint"
    retry_after_s = 0.5


class EndpointsWaitingError(GatewayError):
    """Report a service whose endpoints all want no requests for a time.

    `retry_after_s` is the shortest of these times.
    """

    code = "endpoints_waiting"


class ZonesEvacuatedError(GatewayError):
    """Report a service with endpoints in evacuated zones only."""

    code = "zones_evacuated"


class NoHomeEndpointError(GatewayError):
    """Report a service without an endpoint in the homes of a request."""

    code = "no_home_endpoint"


class OverloadedError(GatewayError):
    """Report that endpoints refused the request, or a spent retry budget."""

    code = "overloaded"
    retry_after_s = 0.3


class QuarantinedError(GatewayError):
    """Report a poison request: it has crashed endpoints that ran it."""

    code = "quarantined"
    status = 503
    retry_after_s = 30.0


class StreamVersionUnknownError(GatewayError):
    """Report a stream to take up whose software version no gateway knows."""

    code = "stream_version_unknown"
    retry_after_s = 0.3


class StreamVersionGoneError(GatewayError):
    """Report a stream to take up whose software version no longer serves."""

    code = "stream_version_gone"
    retry_after_s = 1.0


class AnswerLostError(GatewayError):
    """Report a request that may have run and whose answer was lost."""

    code = "answer_lost"
    status = 502


class AnswerLateError(GatewayError):
    """Report a request that may have run without an answer in time."""

    code = "answer_late"
    status = 504


class PeerDataError(GatewayError):
    """Report an answer of another gateway that can't be read."""

    code = "peer_data_unreadable"


class DeadlineError(GatewayError):
    """Report a deadline that passed before any endpoint ran the request."""

    code = "deadline_passed"
    status = 503


__all__ = (
    "AnswerLateError",
    "AnswerLostError",
    "BudgetSpentError",
    "BudgetUnreachableError",
    "DeadlineError",
    "EndpointsWaitingError",
    "GatewayError",
    "LeavingError",
    "NoConfigurationError",
    "NoEndpointError",
    "NoHomeEndpointError",
    "OverloadedError",
    "OperatorKeyError",
    "PeerDataError",
    "QuarantinedError",
    "StreamVersionGoneError",
    "StreamVersionUnknownError",
    "UnknownKeyError",
    "UnknownRouteError",
    "UnknownServiceError",
    "UnknownWorkspaceError",
    "UnreadableRequestError",
    "ZonesEvacuatedError",
)
