"""Operators' files and published revisions."""

from __future__ import annotations

from typing import Any
from typing import NotRequired
from typing import TypedDict

from cyclamenwing.budget import types as budget_types
from cyclamenwing.request import types as request_types
from cyclamenwing.routing import types as routing_types


class Workspace(TypedDict):
    """Describe a workspace; `keys` are SHA-256 digests in hex.

    `weight` is its share in fair queues, 1 when absent; `max_running` and
    `max_queued` bound its requests at one entry.
    """

    name: str
    keys: list[str]
    budgets: list[str]
    weight: NotRequired[int]
    max_running: NotRequired[int]
    max_queued: NotRequired[int]


class BudgetRule(TypedDict):
    """Describe what a budget counts; an absent filter takes all."""

    name: str
    unit: budget_types.Unit
    kind: NotRequired[str]
    reviewer: NotRequired[str]


class CallRule(TypedDict):
    """Describe calls of a plain route; `path` is a prefix."""

    method: str
    path: str
    idempotent: NotRequired[bool]
    kind: NotRequired[str]


class Route(TypedDict):
    """Describe a way to endpoints; `workspaces` may hold ``*``."""

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
    """Hold one service's operators' file."""

    service: str
    workspaces: NotRequired[list[Workspace]]
    budgets: NotRequired[list[BudgetRule]]
    routes: NotRequired[list[Route]]


class AuditRecord(TypedDict):
    """Record who changed what; `previous` chains the records.

    `commit` is the id of the commit that brought the record.
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
    """Hold the youngest audit records of a chain.

    `commits` are the ids of the last commits, `audit_segments` counts the
    closed runs of records under keys of their own.
    """

    commits: list[str]
    audit: list[AuditRecord]
    audit_segments: int


class ServiceRef(TypedDict):
    """Point to the published file of one service; no digest: removed."""

    digest: str
    revision: int
    author: str


class Head(Chain):
    """Name the revision in force, the value of one key.

    `removed` remembers who took a service away, for later publishers.
    """

    revision: int
    services: dict[str, ServiceRef]
    removed: dict[str, ServiceRef]


class Revision(TypedDict):
    """Hold a whole revision as processes pass it on.

    `refs` name each service's file by digest and the revision that
    brought it.
    """

    revision: int
    services: dict[str, ServiceFile]
    refs: NotRequired[dict[str, ServiceRef]]
    removed: NotRequired[dict[str, ServiceRef]]


class Delta(TypedDict):
    """Hold the services that changed after revision `since`.

    `digest` is that of all references after the step.
    """

    since: int
    revision: int
    refs: dict[str, ServiceRef]
    removed: dict[str, ServiceRef]
    files: dict[str, ServiceFile]
    digest: str


class DeltaRequest(TypedDict):
    """Ask a process for what changed after a revision."""

    since: int


class SidecarRules(TypedDict):
    """Hold what a sidecar needs of a revision: its own route."""

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
