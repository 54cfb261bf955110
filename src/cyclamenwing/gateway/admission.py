"""Admission of requests, before tokens are reserved or anything is sent."""

from __future__ import annotations

import random

from cyclamenwing import errors as base_errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import request_context
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import evacuations
from cyclamenwing.routing import homes
from cyclamenwing.routing import placement
from cyclamenwing.transport import h1

# Deadline of requests that don't set one.
DEFAULT_WAIT_S = 60.0
# The load balancer and clients need this long to notice that a process
# leaves. Until then it admits all requests, afterwards only those whose
# deadline is before the end of the process.
ADMIT_ALL_WHILE_DRAINING_S = 2.8


def admit(
    board: blackboard.Blackboard,
    dialect: calls.Dialect,
    request: h1.Request,
    started_s: float,
) -> request_context.RequestContext:
    """Return the context of a request that may be served.

    :param started_s: time at which the request arrived
    :raises GatewayError: if the request is refused
    """
    if board.admission_closed:
        raise errors.LeavingError("the process stops")
    config = _get_configuration(board)
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
        # Without token counts there is nothing to reserve from the budget.
        raise errors.UnreadableRequestError("token counts are missing")
    wait_s = call.wait_s if call.wait_s is not None else DEFAULT_WAIT_S
    if route.timeout_s is not None:
        wait_s = min(wait_s, route.timeout_s)
    now_s = clock.read_time()
    if started_s + wait_s <= now_s:
        raise errors.DeadlineError("the deadline passed before admission")
    _check_draining(board, started_s + wait_s, now_s)
    regions = (
        route.homes,
        workspace.homes if workspace else frozenset(),
    )
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
        scope=endpoints.Scope(
            board.homes.find_zones(*regions),
            evacuations.find_moving_part(call.parts),
        ),
        homes=homes.join_regions(*regions),
    )


def _get_configuration(
    board: blackboard.Blackboard,
) -> configuration.Configuration:
    config = board.configuration
    if config is None:
        raise errors.NoConfigurationError("no configuration loaded yet")
    if not board.confirm_configuration(clock.read_time()):
        raise errors.NoConfigurationError(
            "no peer has confirmed the configuration yet"
        )
    return config


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
        raise errors.LeavingError(
            "the process may stop before the deadline of the request"
        )


def _find_workspace(
    config: configuration.Configuration,
    route: configuration.Route,
    call: calls.Call,
) -> configuration.Workspace | None:
    if route.public or not config.workspaces:
        return None
    workspace = config.find_workspace(call.key)
    if workspace is None:
        raise errors.UnknownKeyError("no workspace has the API key")
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
        raise errors.NoEndpointError(
            f"route {route.name} has no service with a weight"
        )
    name = random.choices(names, weights)[0]
    service = config.services.get(name)
    if service is None:
        return configuration.Service(name, "", 0, None)
    return service


__all__ = ("admit",)
