"""Records of the ledger."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple
from typing import TypedDict

Unit = Literal["tokens", "requests"]


class Transfer(TypedDict):
    """Describe units moved from one session's grant to another's.

    `donor` and `number` identify the transfer within the budget.
    """

    budget: str
    donor: str
    number: int
    receiver: str
    amount: int


class Grant(TypedDict):
    """Count what one session holds of a budget.

    `granted`, `spent`, `refunded` and `returned` are cumulative units.
    Sequence numbers below `next` are closed, except those in `open`.
    Transfers to other sessions are applied if their number is below `given`
    or in `early`, which holds numbers applied out of order. `taken` holds
    received transfers that the session has not acknowledged. `rate` is the
    session's demand in units per second. `closing` is the time when closing
    began, in Unix seconds, or 0; `reason` then says why units are still in
    doubt. Once a grant is `final`, recovery has accounted for all transfers
    from it, and further ones are ignored.
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
    """Count the units of one prepaid budget.

    `settled` holds the billed units of grants that were dropped.
    """

    paid: int
    settled: int
    grants: dict[str, Grant]


class Bill(TypedDict):
    """Record one billed request.

    `sequence` numbers the reservations of a grant. `key` identifies the
    request across retries; it is empty if the caller gave no idempotency
    key.
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

    While `running` is set, the run may use up to `reserved` units.
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
    """Record one top-up, stored under its id."""

    budget: str
    amount: int
    at: float


class BilledKeys(TypedDict):
    """Hold the digests of keys billed within one time span from `at` on."""

    at: float
    digests: list[str]


class LedgerShard(TypedDict):
    """Hold one shard of the ledger, which is stored under one key.

    `version` counts the commits and `commits` holds the ids of the newest.
    `closed` holds the sessions that get no more grants, with the time when
    they were closed. `segments` counts the groups of bills that were moved
    to separate keys.
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
