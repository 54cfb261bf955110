"""Errors for requests that no endpoint may get now."""

from __future__ import annotations

import random

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import exclusions
from cyclamenwing.gateway import request_context
from cyclamenwing.metrics import types as metric_types

# Operators end such a state by hand, at a time that no gateway can predict.
# The spread keeps clients from returning all at once when it ends.
MIN_RETURN_S = 1.0
MAX_RETURN_S = 5.0

HOME_REFUSALS = metric_types.Counter(
    "gateway_home_refusals",
    "Requests refused because no endpoint is in their home regions",
)


def make_error(
    board: blackboard.Blackboard, context: request_context.RequestContext
) -> errors.GatewayError | None:
    """Return the error if a request can't be sent to any endpoint now."""
    service = context.service.name
    scope = context.scope
    now_s = clock.read_time()
    error: errors.GatewayError
    if not board.directory.has_home(service, now_s, scope):
        board.metrics.count(HOME_REFUSALS)
        names = ", ".join(sorted(context.homes or ())) or "none in common"
        error = errors.NoHomeEndpointError(
            f"no endpoint of {service} is in the home regions ({names})"
        )
    elif board.directory.is_evacuated(service, now_s, scope):
        error = errors.ZonesEvacuatedError(
            f"all endpoints of {service} are in evacuated zones"
        )
    else:
        return exclusions.make_waiting_error(board, service, scope)
    error.retry_after_s = random.uniform(MIN_RETURN_S, MAX_RETURN_S)
    return error


__all__ = (
    "HOME_REFUSALS",
    "make_error",
)
