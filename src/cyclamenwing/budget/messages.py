"""Ledger operations and the messages between processes about budgets."""

from __future__ import annotations

from typing import Literal
from typing import TypedDict

from cyclamenwing.budget import types


class GrantRequest(TypedDict):
    """Request a larger grant of at least `floor` and preferably `target`.

    Both are cumulative totals of the grant, as the shard counts them.
    `rate` is the session's demand in units per second. With `partial` the
    session also accepts a grant below the floor.
    """

    op: Literal["grant"]
    budget: str
    session: str
    target: int
    floor: int
    rate: float
    partial: bool


class Settlement(TypedDict):
    """Report bills, returned units and transfers of one grant.

    `bills` holds the bills that the shard has not confirmed. Sequence
    numbers below `next` that are not in `open` are closed. `transfers`
    holds the transfers in both directions that the shard has not confirmed.
    `known` acknowledges, by donor and number, received transfers that the
    shard has added to the grant.
    """

    op: Literal["settle"]
    budget: str
    session: str
    next: int
    open: list[int]
    returned: int
    bills: list[types.Bill]
    transfers: list[types.Transfer]
    known: list[tuple[str, int]]
    rate: float


class TopUp(TypedDict):
    """Add paid units to a budget, once for each id."""

    op: Literal["top_up"]
    id: str
    budget: str
    amount: int


class Closing(TypedDict):
    """Mark all grants of a session as closing and refuse further grants."""

    op: Literal["close"]
    session: str


class Recovery(TypedDict):
    """Return the units that a closing grant can no longer spend.

    `running` is the number of units that runs in progress may still use at
    most. If `reason` is not empty, all units that are not billed stay in
    doubt.
    """

    op: Literal["recover"]
    budget: str
    session: str
    bills: list[types.Bill]
    transfers: list[types.Transfer]
    running: int
    reason: str


class DoubtSettlement(TypedDict):
    """Bill `spent` units in doubt of a closing grant; return the rest."""

    op: Literal["settle_doubt"]
    budget: str
    session: str
    spent: int
    workspace: str


LedgerOp = (
    GrantRequest | Settlement | TopUp | Closing | Recovery | DoubtSettlement
)


class LedgerBatch(TypedDict):
    """Carry ledger operations to a shard's coordinator.

    The operations are applied in the order of the fields, so that units
    freed by an earlier operation can be granted by a later one.
    """

    shard: int
    closings: list[Closing]
    settlements: list[Settlement]
    recoveries: list[Recovery]
    grants: list[GrantRequest]


class OpResult(TypedDict):
    """Return the state of the grant in the shard after one operation.

    `error` is the code of a refused operation. `version` orders the results
    of one shard. `outstanding` is the number of units that the grant may
    still spend, `free` the units of the budget that may still be granted,
    `left` the units that are not billed, and `rate` the demand of all
    sessions in units per second.
    """

    budget: str
    error: str | None
    version: int
    granted: int
    next: int
    open: list[int]
    given: int
    taken: list[types.Transfer]
    closing: bool
    outstanding: int
    free: int
    left: int
    rate: float


class LedgerReply(TypedDict):
    """Return one result for each operation of a batch, in its order."""

    results: list[OpResult]


class TransferRequest(TypedDict):
    """Request units from a peer.

    `ask` is an id that makes a repeated request idempotent.
    """

    ask: str
    budget: str
    session: str
    needed: int
    wanted: int


class TransferReply(TypedDict):
    """Return a transfer, if any, and the units that were available.

    `transfers` holds one transfer or none.
    """

    transfers: list[types.Transfer]
    held: int


class SessionQuery(TypedDict):
    """Ask for the runs or transfers of a closing session."""

    session: str


class SidecarReport(TypedDict):
    """Return the runs of a session that a sidecar has records of."""

    incarnation: str
    records: list[types.RunRecord]


class TransferReport(TypedDict):
    """Return the unconfirmed transfers between an entry and a session."""

    session: str
    transfers: list[types.Transfer]


class FenceRequest(TypedDict):
    """Ask a sidecar for the runs of reservations in doubt.

    The sidecar fences the reservations that it has no run of: it refuses
    their orders from then on.
    """

    session: str
    reservations: list[tuple[str, int]]


class SettledNotice(TypedDict):
    """Tell a sidecar which runs of a session the ledger has settled.

    `settled` holds, by budget, a sequence number and the open sequences.
    The sidecar may drop its records of sequences below the number that are
    not open, and all records once the session is `gone`.
    """

    session: str
    gone: bool
    settled: dict[str, tuple[int, list[int]]]


__all__ = (
    "Closing",
    "DoubtSettlement",
    "FenceRequest",
    "GrantRequest",
    "LedgerBatch",
    "LedgerOp",
    "LedgerReply",
    "OpResult",
    "Recovery",
    "SessionQuery",
    "SettledNotice",
    "Settlement",
    "SidecarReport",
    "TopUp",
    "TransferReply",
    "TransferReport",
    "TransferRequest",
)
