"""Errors of a gateway."""

from __future__ import annotations

from cyclamenwing import errors
from cyclamenwing.gateway import calls


class GatewayError(errors.CodedError):
    """Report a request that the gateway does not serve."""

    code = "gateway_error"
    status = 503

    def make_refusal(self) -> calls.Refusal:
        """Return the answer to the client."""
        return calls.Refusal(
            self.status, self.code, self.run, self.retry_after_s
        )


class NoConfigurationError(GatewayError):
    """Report that no configuration is known yet."""

    code = "no_configuration"
    retry_after_s = 0.5


class LeavingError(GatewayError):
    """Report that this process is about to end."""

    code = "leaving"
    retry_after_s = 0.1


class UnreadableRequestError(GatewayError):
    """Report headers that can't be read."""

    code = "unreadable_request"
    status = 400


class UnknownRouteError(GatewayError):
    """Report a path below no route."""

    code = "unknown_route"
    status = 404


class UnknownKeyError(GatewayError):
    """Report a key that no workspace holds."""

    code = "unknown_key"
    status = 401


class BudgetSpentError(GatewayError):
    """Report a budget whose rest does not cover the request."""

    code = "budget_spent"
    status = 402


class BudgetUnreachableError(GatewayError):
    """Report that the pool can't be asked and what is held is too little."""

    code = "budget_unreachable"
    retry_after_s = 1.0


class NoEndpointError(GatewayError):
    """Report a service without an endpoint to use."""

    code = "no_endpoint"
    retry_after_s = 0.5


class OverloadedError(GatewayError):
    """Report endpoints that are full, or an allowance that is used up."""

    code = "overloaded"
    retry_after_s = 0.3


class QuarantinedError(GatewayError):
    """Report a request that has crashed the endpoints that ran it."""

    code = "quarantined"
    status = 503
    retry_after_s = 30.0


class AnswerLostError(GatewayError):
    """Report a request that may have run and whose answer is lost."""

    code = "answer_lost"
    status = 502


class AnswerLateError(GatewayError):
    """Report a request without an answer at its deadline."""

    code = "answer_late"
    status = 504


class DeadlineError(GatewayError):
    """Report a deadline that passed before the request was sent."""

    code = "deadline_passed"
    status = 503


__all__ = (
    "AnswerLateError",
    "AnswerLostError",
    "BudgetSpentError",
    "BudgetUnreachableError",
    "DeadlineError",
    "GatewayError",
    "LeavingError",
    "NoConfigurationError",
    "NoEndpointError",
    "OverloadedError",
    "QuarantinedError",
    "UnknownKeyError",
    "UnknownRouteError",
    "UnreadableRequestError",
)
