"""Checks of a request before anything is reserved or sent."""

from __future__ import annotations

import random

from cyclamenwing import errors as base_errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import request_context
from cyclamenwing.routing import placement
from cyclamenwing.transport import h1

# A request without a deadline is bound by this.
DEFAULT_WAIT_S = 60.0
# The balancer and clients know by this long after the signal that a process
# leaves; what comes later begins only if it ends in time.
ADMIT_ALL_WHILE_DRAINING_S = 3.0


def admit(
    board: blackboard.Blackboard,
    dialect: calls.Dialect,
    request: h1.Request,
    started_s: float,
) -> request_context.RequestContext:
    """Return a request's ticket; raise a `GatewayError` to refuse it."""
    config = board.configuration
    if config is None:
        raise errors.NoConfigurationError("no configuration yet")
    try:
        call = dialect.read_call(request)
    except base_errors.CodedError as err:
        raise errors.UnreadableRequestError(err.message) from err
    route = config.find_route(call.virtual_host, call.path)
    if route is None:
        raise errors.UnknownRouteError(call.path)
    workspace = _find_workspace(config, route, call)
    service = _choose_service(config, route)
    if _lacks_size(service, workspace, call):
        # Without its size nothing could be reserved for it.
        raise errors.UnreadableRequestError("no token counts")
    wait_s = call.wait_s if call.wait_s is not None else DEFAULT_WAIT_S
    if route.timeout_s is not None:
        wait_s = min(wait_s, route.timeout_s)
    now_s = clock.read_time()
    if started_s + wait_s <= now_s:
        raise errors.DeadlineError("the deadline has passed")
    _check_draining(board, started_s + wait_s, now_s)
    return request_context.RequestContext(
        request=request,
        call=call,
        route=route,
        workspace=workspace,
        demand=placement.Demand(
            call.parts, call.size.prompt_tokens if call.size else 0
        ),
        service=service,
        started_s=started_s,
        deadline_s=started_s + wait_s,
    )


def _check_draining(
    board: blackboard.Blackboard, deadline_s: float, now_s: float
) -> None:
    if (
        board.drain_started_s is None
        or now_s - board.drain_started_s < ADMIT_ALL_WHILE_DRAINING_S
    ):
        return
    if (
        board.shutdown_deadline_s is not None
        and deadline_s > board.shutdown_deadline_s
    ):
        raise errors.LeavingError("the process may end before the answer")


def _find_workspace(
    config: configuration.Configuration,
    route: configuration.Route,
    call: calls.Call,
) -> configuration.Workspace | None:
    if route.public or not config.workspaces:
        return None
    workspace = config.find_workspace(call.key)
    if workspace is None:
        raise errors.UnknownKeyError("no workspace holds the key")
    return workspace


def _lacks_size(
    service: configuration.Service,
    workspace: configuration.Workspace | None,
    call: calls.Call,
) -> bool:
    return (
        service.engine is not None
        and workspace is not None
        and workspace.prepaid_tokens is not None
        and call.size is None
    )


def _choose_service(
    config: configuration.Configuration, route: configuration.Route
) -> configuration.Service:
    names = [share.service for share in route.shares]
    weights = [max(share.weight, 0.0) for share in route.shares]
    if not names or not any(weights):
        raise errors.NoEndpointError(f"route {route.name} has no service")
    name = random.choices(names, weights)[0]
    service = config.services.get(name)
    if service is None:
        return configuration.Service(name, "", 0, None)
    return service


__all__ = ("admit",)
