"""Accounts of the units that one session holds of its budgets."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import NamedTuple

from cyclamenwing.budget import messages
from cyclamenwing.budget import types

# Time constant of the measured demand.
RATE_WINDOW_S = 60.0
MAX_COUNTED_TRANSFERS = 10_000
TransferName = tuple[str, int]
ReservationName = tuple[str, int]


class InDoubtReservation(NamedTuple):
    """Hold a reservation of a run whose outcome is unknown.

    :param bill: the bill to charge if the request ran
    :param since: time when the outcome became unknown, in Unix seconds
    """

    reservation: types.Reservation
    bill: types.Bill
    since: float


@dataclasses.dataclass(slots=True)
class BudgetAccount:
    """Count what a session holds of one budget.

    `granted`, `spent` and `returned` are totals over the whole session.

    :param granted: units granted, as the ledger shard counts them
    :param version: version of the shard in the newest result applied
    :param reserved: units reserved for requests in progress
    :param last_sequence: sequence number of the newest reservation
    :param last_transfer: number of the newest transfer to a peer
    :param open: sequence numbers of open reservations
    :param bills: bills that the shard has not confirmed
    :param outgoing: transfers to peers that the shard may not count yet
    :param incoming: transfers from peers that the shard may not count yet
    :param unacknowledged: transfers that the shard counts and this session
        has not acknowledged to it
    :param counted_transfers: transfers that the shard has counted, the
        newest `MAX_COUNTED_TRANSFERS` of them
    :param waiting_amounts: units that requests wait for, by ticket
    :param confirmed_sequences: the next sequence number and the open ones,
        as the shard has confirmed them
    :param partial: whether a grant below the floor is accepted
    :param dirty: whether a settlement has to be sent
    :param answered: whether the shard has answered an operation
    :param exists: whether the shard holds the budget
    :param free: units of the budget not granted, in the newest result
    :param left: units of the budget not billed, in the newest result
    :param total_rate: demand of all sessions, in the newest result, in units
        per second
    :param rate: demand of this session at `rate_at`, in units per second
    """

    granted: int = 0
    version: int = -1
    spent: int = 0
    returned: int = 0
    reserved: int = 0
    last_sequence: int = 0
    last_transfer: int = 0
    open: set[int] = dataclasses.field(default_factory=set)
    bills: list[types.Bill] = dataclasses.field(default_factory=list)
    outgoing: dict[int, types.Transfer] = dataclasses.field(
        default_factory=dict
    )
    incoming: dict[TransferName, types.Transfer] = dataclasses.field(
        default_factory=dict
    )
    unacknowledged: dict[TransferName, None] = dataclasses.field(
        default_factory=dict
    )
    counted_transfers: dict[TransferName, None] = dataclasses.field(
        default_factory=dict
    )
    waiting_amounts: dict[int, int] = dataclasses.field(default_factory=dict)
    last_ticket: int = 0
    confirmed_sequences: tuple[int, tuple[int, ...]] = (1, ())
    partial: bool = False
    dirty: bool = False
    answered: bool = False
    exists: bool = False
    free: int = 0
    left: int = 0
    total_rate: float = 0.0
    rate: float = 0.0
    rate_at: float = 0.0

    def count_available(self) -> int:
        """Return the units that may be reserved now."""
        outgoing = sum(item["amount"] for item in self.outgoing.values())
        incoming = sum(item["amount"] for item in self.incoming.values())
        return self.count_held() - self.reserved - outgoing + incoming

    def count_waiting(self) -> int:
        """Return the units that all waiting requests need."""
        return sum(self.waiting_amounts.values())

    def count_held(self) -> int:
        """Return the granted units that were neither spent nor returned."""
        return self.granted - self.spent - self.returned

    def measure_rate(self, now: float) -> float:
        """Return the present demand in units per second."""
        return self.rate * math.exp((self.rate_at - now) / RATE_WINDOW_S)

    def record_demand(self, units: int, now: float) -> None:
        """Add the units of a reservation to the measured demand."""
        self.rate = self.measure_rate(now) + units / RATE_WINDOW_S
        self.rate_at = now


@dataclasses.dataclass(slots=True)
class HolderBoard:
    """Hold the accounts of one session by budget.

    :param session: id of the entry's incarnation
    :param open: reservations whose request has not ended
    :param in_doubt: open reservations of runs whose outcome is unknown
    :param transfer_replies: replies to peers' transfer requests by request
        id, so that a repeated request gets the same reply
    :param eligible_donors: sessions that were open in the store while this
        session was open, from which it accepts transfers
    :param closing_sessions: closing sessions, which no more transfers are
        accepted from or given to
    :param waiting_budgets: budgets that requests wait for
    :param unreported_budgets: budgets with incoming transfers that the shard
        has to count soon
    :param unsettled: number of bills that the ledger has not confirmed
    :param record_stored: whether the session's record is in the store
    :param stale: whether the ledger refuses this session
    """

    session: str
    accounts: dict[str, BudgetAccount] = dataclasses.field(
        default_factory=dict
    )
    open: dict[ReservationName, types.Reservation] = dataclasses.field(
        default_factory=dict
    )
    in_doubt: dict[ReservationName, InDoubtReservation] = dataclasses.field(
        default_factory=dict
    )
    transfer_replies: collections.OrderedDict[str, messages.TransferReply] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    eligible_donors: set[str] = dataclasses.field(default_factory=set)
    closing_sessions: set[str] = dataclasses.field(default_factory=set)
    waiting_budgets: set[str] = dataclasses.field(default_factory=set)
    unreported_budgets: set[str] = dataclasses.field(default_factory=set)
    unsettled: int = 0
    record_stored: bool = False
    stale: bool = False

    def get_account(self, budget: str) -> BudgetAccount:
        """Return a budget's account, creating it if absent."""
        return self.accounts.setdefault(budget, BudgetAccount())


__all__ = (
    "MAX_COUNTED_TRANSFERS",
    "RATE_WINDOW_S",
    "BudgetAccount",
    "HolderBoard",
    "InDoubtReservation",
)
