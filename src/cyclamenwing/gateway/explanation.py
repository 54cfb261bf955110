"""Explanation of where a request would go now, without sending it."""

from __future__ import annotations

import msgspec

from cyclamenwing import decoding
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import errors
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import evacuations
from cyclamenwing.routing import obstacles
from cyclamenwing.routing import placement

EXPLAIN_PATH = "/operators/placement"


class Query(msgspec.Struct):
    """Describe a request to explain.

    :param workspace: name of its workspace, empty for a public route
    :param service: one of the services that share the route, empty for the
        one with the largest share
    :param parts: names and token counts of the parts of its prompt
    """

    virtual_host: str
    path: str
    workspace: str = ""
    service: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: list[tuple[str, int]] = []


class Candidate(msgspec.Struct):
    """Describe what the gateway knows of one endpoint of the service.

    :param cost_ms: predicted cost of the request there
    :param uncached_tokens: prompt tokens that the endpoint would have to read
    :param backlog_tokens: prompt tokens of all gateways that still await it
    :param load_age_s: age of the oldest load of other gateways in this, None
        without any
    :param obstacles: why it gets no requests now, empty if it may
    """

    endpoint: str
    zone: str
    address: str
    software: str
    cost_ms: float
    running: int
    uncached_tokens: int
    backlog_tokens: int
    failure_cost_ms: float
    load_age_s: float | None
    obstacles: list[str]


class Budget(msgspec.Struct):
    """Describe what a workspace's budget allows at this gateway.

    :param tokens: most tokens that the request may cost
    :param held: tokens that the gateway holds
    :param available: those of them that its usage bound allows now
    :param free: tokens of the pool that no gateway holds
    :param holds: the gateway reserves itself, not through a holder
    :param pool_age_s: age of what it knows of the pool, None if nothing
    """

    workspace: str
    tokens: int
    prepaid: int
    held: int
    available: int
    free: int
    holds: bool
    pool_age_s: float | None


class Explanation(msgspec.Struct):
    """Explain where a request would go now, and why.

    :param endpoint: cheapest endpoint that may get it, empty if none may
    :param sampled: gateways compare only a sample of so many endpoints, so
        another one of them may be chosen
    :param candidates: endpoints that may get it, by cost, then the others
    """

    gateway: str
    version: int
    route: str
    service: str
    endpoint: str
    sampled: bool
    zones_evacuated: int
    store_age_s: float
    live_gateways: int
    budget: Budget | None
    candidates: list[Candidate]


class PlacementExplainer:
    """Explain decisions; reserves nothing and sends nothing."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board

    async def answer(self, body: bytes) -> bytes:
        """Answer an operator's query.

        :raises GatewayError: if the request would be refused at once
        """
        query = decoding.decode(body, Query)
        return msgspec.json.encode(self.explain(query))

    def explain(self, query: Query) -> Explanation:
        """Return where a request would go.

        :raises GatewayError: if its route, workspace or service is unknown,
            or no configuration has been loaded
        """
        board = self._board
        config = board.configuration
        if config is None:
            raise errors.NoConfigurationError("no configuration loaded yet")
        route = config.find_route(query.virtual_host.lower(), query.path)
        if route is None:
            raise errors.UnknownRouteError(query.path)
        workspace = config.workspaces.get(query.workspace)
        if query.workspace and workspace is None:
            raise errors.UnknownWorkspaceError(query.workspace)
        service = _find_service(config, route, query.service)
        now_s = clock.read_time()
        candidates = self._list_candidates(
            query, route, workspace, service, now_s
        )
        usable = [c for c in candidates if not c.obstacles]
        return Explanation(
            gateway=board.settings.host,
            version=config.version,
            route=route.name,
            service=service.name,
            endpoint=usable[0].endpoint if usable else "",
            sampled=len(usable) > placement.MAX_COMPARED,
            zones_evacuated=board.directory.evacuations.count_zones(),
            store_age_s=now_s - board.store_contact_s,
            live_gateways=board.count_gateways(now_s),
            budget=self._describe_budget(query, workspace, now_s),
            candidates=candidates,
        )

    def _list_candidates(
        self,
        query: Query,
        route: configuration.Route,
        workspace: configuration.Workspace | None,
        service: configuration.Service,
        now_s: float,
    ) -> list[Candidate]:
        board = self._board
        scope = endpoints.Scope(
            board.homes.find_zones(
                route.homes,
                workspace.homes if workspace else frozenset(),
            ),
            evacuations.find_moving_part(query.parts),
        )
        demand = placement.Demand(query.parts, query.prompt_tokens)
        cache_tokens = service.engine.cache_tokens if service.engine else 0
        candidates = [
            self._describe(endpoint, demand, cache_tokens, scope, now_s)
            for endpoint in board.directory.registered.values()
            if endpoint.service == service.name
        ]
        candidates.sort(key=lambda c: (bool(c.obstacles), c.cost_ms))
        return candidates

    def _describe(
        self,
        endpoint: endpoints.Endpoint,
        demand: placement.Demand,
        cache_tokens: int,
        scope: endpoints.Scope,
        now_s: float,
    ) -> Candidate:
        board = self._board
        state = board.placement.ensure_state(endpoint, cache_tokens)
        ages = [
            now_s - load.received_s
            for load in state.peer_loads.values()
            if now_s - load.received_s < placement.PEER_LOAD_TTL_S
        ]
        reasons = obstacles.list_obstacles(
            board.directory, endpoint, scope, now_s
        )
        if state.superseded_until_s > now_s:
            reasons.append("address_reused")
        return Candidate(
            endpoint=endpoint.name,
            zone=endpoint.zone,
            address=endpoint.address,
            software=endpoint.software,
            cost_ms=round(
                board.placement.predict_cost(
                    endpoint, demand, cache_tokens, now_s
                ),
                1,
            ),
            running=state.count_running(now_s),
            uncached_tokens=state.count_uncached(demand),
            backlog_tokens=int(state.count_backlog(now_s)),
            failure_cost_ms=round(state.read_failure_cost(now_s), 1),
            load_age_s=round(max(ages), 3) if ages else None,
            obstacles=reasons,
        )

    def _describe_budget(
        self,
        query: Query,
        workspace: configuration.Workspace | None,
        now_s: float,
    ) -> Budget | None:
        if workspace is None or workspace.prepaid_tokens is None:
            return None
        board = self._board
        account = board.escrow.accounts.get(workspace.name)
        updated_s = board.pools_updated_s.get(workspace.name)
        return Budget(
            workspace=workspace.name,
            tokens=query.prompt_tokens + query.output_tokens,
            prepaid=workspace.prepaid_tokens,
            held=account.held if account else 0,
            available=account.count_available(now_s) if account else 0,
            free=board.escrow.count_free(
                workspace.name, workspace.prepaid_tokens
            ),
            holds=board.roster.holds(workspace.name),
            pool_age_s=None if updated_s is None else now_s - updated_s,
        )


def _find_service(
    config: configuration.Configuration,
    route: configuration.Route,
    name: str,
) -> configuration.Service:
    shares = {share.service: share.weight for share in route.shares}
    if name and name not in shares:
        raise errors.UnknownServiceError(
            f"route {route.name} has no service {name}"
        )
    if not shares:
        raise errors.NoEndpointError(f"route {route.name} has no service")
    chosen = name or max(shares, key=lambda service: shares[service])
    return config.services.get(chosen) or configuration.Service(
        chosen, "", 0, None
    )


__all__ = (
    "EXPLAIN_PATH",
    "Budget",
    "Candidate",
    "Explanation",
    "PlacementExplainer",
    "Query",
)
