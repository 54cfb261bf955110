"""Operations on the ledger and messages between processes."""

from __future__ import annotations

from typing import Literal
from typing import TypedDict

from cyclamenwing.budget import types


class GrantRequest(TypedDict):
    """Ask for a larger grant: at least `floor`, rather `target`.

    Both are totals of the grant as the shard counts it; `rate` is the
    session's demand in units a second. With `partial` less than the
    floor is taken too.
    """

    op: Literal["grant"]
    budget: str
    session: str
    target: int
    floor: int
    rate: float
    partial: bool


class Settlement(TypedDict):
    """Report bills, returns and transfers of one grant.

    `bills` holds those that the shard has not confirmed; sequences
    below `next` and not in `open` are over. `transfers` holds those,
    given or taken, that the shard has not confirmed, `known` donor and
    number of transfers that the session knows to be in its grant.
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
    """Add money to a budget once by id."""

    op: Literal["top_up"]
    id: str
    budget: str
    amount: int


class Closing(TypedDict):
    """Mark all grants of a session; no more is granted to it."""

    op: Literal["close"]
    session: str


class Recovery(TypedDict):
    """Return what a closing grant can no longer spend.

    `running` bounds what runs in progress may yet use. With a `reason`
    all that is not billed stays in doubt.
    """

    op: Literal["recover"]
    budget: str
    session: str
    bills: list[types.Bill]
    transfers: list[types.Transfer]
    running: int
    reason: str


class DoubtSettlement(TypedDict):
    """Bill a part of a closing grant's doubt and return the rest."""

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

    They are applied in the order of the fields, so that what one frees
    can be granted by a later one.
    """

    shard: int
    closings: list[Closing]
    settlements: list[Settlement]
    recoveries: list[Recovery]
    grants: list[GrantRequest]


class OpResult(TypedDict):
    """Answer one operation with the grant as the shard now holds it.

    `version` orders results of one shard, `outstanding` is what the
    grant may still spend, `rate` the demand of all sessions.
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
    """Answer a batch, one result an operation, in the batch's order."""

    results: list[OpResult]


class TransferRequest(TypedDict):
    """Ask a peer for units; `ask` makes a repeated request idempotent."""

    ask: str
    budget: str
    session: str
    needed: int
    wanted: int


class TransferReply(TypedDict):
    """Answer with a transfer, or with none and what the peer holds."""

    transfers: list[types.Transfer]
    held: int


class SessionQuery(TypedDict):
    """Ask what a closing session left behind."""

    session: str


class SidecarReport(TypedDict):
    """Tell what a sidecar ran under a session that it now refuses."""

    incarnation: str
    records: list[types.RunRecord]


class TransferReport(TypedDict):
    """Tell the transfers between an entry and a closing session."""

    session: str
    transfers: list[types.Transfer]


class FenceRequest(TypedDict):
    """Ask what became of reservations whose run is unknown.

    Those that the sidecar does not know it refuses from now on.
    """

    session: str
    reservations: list[tuple[str, int]]


class SettledNotice(TypedDict):
    """Tell a sidecar what the ledger holds of a session, by budget.

    Records of sequences below the number and not listed may be dropped,
    all of them once the session is `gone`.
    """

    session: str
    gone: bool
    settled: dict[str, tuple[int, list[int]]]


__all__ = (
    "FenceRequest",
    "Closing",
    "DoubtSettlement",
    "TransferReport",
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
    "TransferRequest",
)
