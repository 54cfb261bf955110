"""Records of the ledger and messages between holders and coordinators."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple
from typing import TypedDict

Unit = Literal["tokens", "requests"]


class Grant(TypedDict):
    """Count what one session was granted, all fields cumulative."""

    granted: int
    spent: int
    returned: int
    version: int


class Budget(TypedDict):
    """Count one prepaid budget.

    `settled` holds the spending of closed grants, `doubt` what closed
    grants may have spent, by session.
    """

    paid: int
    settled: int
    grants: dict[str, Grant]
    doubt: dict[str, int]


class Bill(TypedDict):
    """Record one billed request; `sequence` counts within a session."""

    request: str
    workspace: str
    budget: str
    session: str
    sequence: int
    kind: str
    reviewer: str
    units: int
    at: float


class RunRecord(TypedDict):
    """Record what one run used of one reservation, at its sidecar.

    While `running`, up to `reserved` units may yet be used.
    """

    request: str
    workspace: str
    budget: str
    sequence: int
    kind: str
    reviewer: str
    reserved: int
    used: int
    running: bool
    at: float


class LedgerShard(TypedDict):
    """Hold one shard of the ledger, the value of one key."""

    commits: list[str]
    budgets: dict[str, Budget]
    top_ups: dict[str, int]
    bills: list[Bill]
    billed: dict[str, float]
    segments: int


class GrantRequest(TypedDict):
    """Ask that a session's cumulative grant reach `target`."""

    op: Literal["grant"]
    budget: str
    session: str
    target: int
    floor: int


class Settlement(TypedDict):
    """Report a session's cumulative spending and returns."""

    op: Literal["settle"]
    budget: str
    session: str
    version: int
    spent: int
    returned: int
    bills: list[Bill]


class TopUp(TypedDict):
    """Add money to a budget once by id."""

    op: Literal["top_up"]
    id: str
    budget: str
    amount: int


LedgerOp = GrantRequest | Settlement | TopUp


class LedgerBatch(TypedDict):
    """Carry ledger operations to a shard's coordinator.

    Settlements are applied first, so what they free can be granted.
    """

    shard: int
    settlements: list[Settlement]
    grants: list[GrantRequest]


class OpResult(TypedDict):
    """Answer one operation with the grant as the shard now holds it."""

    budget: str
    error: str | None
    granted: int
    version: int
    free: int
    left: int


class LedgerReply(TypedDict):
    """Answer a batch, one result an operation, in order."""

    settlements: list[OpResult]
    grants: list[OpResult]


class Reservation(NamedTuple):
    """Hold units of one budget for one request."""

    budget: str
    session: str
    sequence: int
    amount: int
    unit: Unit = "tokens"


__all__ = (
    "Bill",
    "Budget",
    "Grant",
    "GrantRequest",
    "LedgerBatch",
    "LedgerOp",
    "LedgerReply",
    "LedgerShard",
    "OpResult",
    "Reservation",
    "RunRecord",
    "Settlement",
    "TopUp",
    "Unit",
)
