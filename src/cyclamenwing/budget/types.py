"""Records of the ledger and of its operations."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple
from typing import TypedDict

Unit = Literal["tokens", "requests"]


class Transfer(TypedDict):
    """Move units from one session's grant to another's.

    `donor` and `number` identify it within the budget.
    """

    budget: str
    donor: str
    number: int
    receiver: str
    amount: int


class Grant(TypedDict):
    """Count what one session holds of a budget, all fields cumulative.

    Sequences below `next` are folded but for those in `open`, transfers
    given below `given` but for those at or above it in `early`. `taken`
    holds transfers that the session has not acknowledged. A grant that
    is `closing` since a time has a `reason` for what is still in doubt;
    once it is `final`, no further transfer of it is known to anybody.
    """

    granted: int
    spent: int
    refunded: int
    returned: int
    next: int
    open: list[int]
    given: int
    early: list[int]
    taken: list[Transfer]
    rate: float
    closing: float
    final: bool
    reason: str


class Budget(TypedDict):
    """Count one prepaid budget.

    `settled` holds the billed units of grants that are gone.
    """

    paid: int
    settled: int
    grants: dict[str, Grant]


class Bill(TypedDict):
    """Record one billed request; `sequence` counts within a grant.

    `key` names the request across retries; an empty one has none.
    """

    request: str
    key: str
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
    key: str
    workspace: str
    budget: str
    sequence: int
    kind: str
    reviewer: str
    reserved: int
    used: int
    running: bool
    at: float


class Payment(TypedDict):
    """Remember one top-up by its id."""

    budget: str
    amount: int
    at: float


class BilledKeys(TypedDict):
    """Hold digests of keys billed since a time, for one span."""

    at: float
    digests: list[str]


class LedgerShard(TypedDict):
    """Hold one shard of the ledger, the value of one key.

    `version` counts commits, `closed` holds the sessions that may hold
    no grant and when they were closed, `segments` counts the runs of
    bills that were moved to keys of their own.
    """

    version: int
    commits: list[str]
    budgets: dict[str, Budget]
    top_ups: dict[str, Payment]
    bills: list[Bill]
    billed: list[BilledKeys]
    segments: int
    closed: dict[str, float]


class Reservation(NamedTuple):
    """Hold units of one budget for one request."""

    budget: str
    session: str
    sequence: int
    amount: int
    unit: Unit = "tokens"


__all__ = (
    "Bill",
    "BilledKeys",
    "Budget",
    "Grant",
    "LedgerShard",
    "Payment",
    "Reservation",
    "RunRecord",
    "Transfer",
    "Unit",
)
