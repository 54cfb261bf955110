"""Data types of operators' files and published revisions."""

from __future__ import annotations

from typing import Any
from typing import NotRequired
from typing import TypedDict

from cyclamenwing.budget import types as budget_types
from cyclamenwing.request import types as request_types
from cyclamenwing.routing import types as routing_types


class Workspace(TypedDict):
    """Describe a workspace.

    `keys` are the SHA-256 digests of its API keys in hex. `weight` is its
    share in fair queues, 1 when absent. `max_running` and `max_queued`
    limit its requests at one entry.
    """

    name: str
    keys: list[str]
    budgets: list[str]
    weight: NotRequired[int]
    max_running: NotRequired[int]
    max_queued: NotRequired[int]


class BudgetRule(TypedDict):
    """Describe what a budget counts.

    `kind` and `reviewer` restrict it to such requests; when absent, every
    request counts.
    """

    name: str
    unit: budget_types.Unit
    kind: NotRequired[str]
    reviewer: NotRequired[str]


class CallRule(TypedDict):
    """Describe the calls of a plain route that match.

    `path` is a prefix of the call's path.
    """

    method: str
    path: str
    idempotent: NotRequired[bool]
    kind: NotRequired[str]


class Route(TypedDict):
    """Describe a route to endpoints.

    `workspaces` names the admitted workspaces; ``*`` admits all.
    """

    name: str
    protocol: request_types.Protocol
    model: NotRequired[str]
    workspaces: list[str]
    kind: NotRequired[str]
    priority: NotRequired[routing_types.Priority]
    max_tokens: NotRequired[int]
    timeout_s: NotRequired[float]
    max_body_bytes: NotRequired[int]
    calls: NotRequired[list[CallRule]]
    orders_checked: NotRequired[bool]


class ServiceFile(TypedDict):
    """Hold the operators' file of one service."""

    service: str
    workspaces: NotRequired[list[Workspace]]
    budgets: NotRequired[list[BudgetRule]]
    routes: NotRequired[list[Route]]


class AuditRecord(TypedDict):
    """Record who changed what.

    `previous` is the digest of the preceding record in the chain, `commit`
    the id of the commit that appended the record.
    """

    number: int
    at: float
    author: str
    origin: str
    kind: str
    subject: str
    workspace: str
    before: Any
    after: Any
    commit: str
    previous: str
    digest: str


class Chain(TypedDict):
    """Hold the latest audit records of a chain.

    `commits` are the ids of the last commits, `audit_segments` is the
    number of segments of older records, each under a key of its own.
    """

    commits: list[str]
    audit: list[AuditRecord]
    audit_segments: int


class ServiceRef(TypedDict):
    """Refer to the published file of one service.

    An empty digest means that the service was removed.
    """

    digest: str
    revision: int
    author: str


class Head(Chain):
    """Describe the active revision; the store holds it under one key.

    `removed` refers to removed services, so that a later publication based
    on an older revision conflicts with the removal.
    """

    revision: int
    services: dict[str, ServiceRef]
    removed: dict[str, ServiceRef]


class Revision(TypedDict):
    """Hold a full revision as processes send it to each other.

    `refs` holds the digest of each service's file and the revision that
    last changed it.
    """

    revision: int
    services: dict[str, ServiceFile]
    refs: NotRequired[dict[str, ServiceRef]]
    removed: NotRequired[dict[str, ServiceRef]]


class Delta(TypedDict):
    """Hold the services that changed after revision `since`.

    `digest` is that of all references after the delta is applied.
    """

    since: int
    revision: int
    refs: dict[str, ServiceRef]
    removed: dict[str, ServiceRef]
    files: dict[str, ServiceFile]
    digest: str


class DeltaRequest(TypedDict):
    """Request the changes after revision `since`."""

    since: int


class SidecarRules(TypedDict):
    """Hold the part of a revision that a sidecar needs: its own route."""

    revision: int
    route: Route | None


__all__ = (
    "AuditRecord",
    "BudgetRule",
    "CallRule",
    "Chain",
    "Delta",
    "DeltaRequest",
    "Head",
    "Revision",
    "Route",
    "ServiceFile",
    "ServiceRef",
    "SidecarRules",
    "Workspace",
)
