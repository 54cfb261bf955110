"""What one session holds of its budgets."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import NamedTuple

from cyclamenwing.budget import messages
from cyclamenwing.budget import types

RATE_WINDOW_S = 60.0
MAX_SEEN = 10_000
TransferName = tuple[str, int]
ReservationName = tuple[str, int]


class Doubtful(NamedTuple):
    """Hold a reservation whose run is unknown, and its bill if it ran."""

    reservation: types.Reservation
    bill: types.Bill
    since: float


@dataclasses.dataclass(slots=True)
class BudgetAccount:
    """Count what a session holds of one budget, fields cumulative.

    `granted` is what the shard counts, `giving` and `incoming` hold
    transfers that it may not count yet, `known` those that it counts
    and this session has not acknowledged, `seen` all that it counted.
    `waiting` holds the amounts that requests wait for. `free`, `left`
    and `demand` are the budget's as of the last answer, `confirmed_sequences`
    the next sequence and the open ones.
    """

    granted: int = 0
    version: int = -1
    spent: int = 0
    returned: int = 0
    reserved: int = 0
    sequence: int = 0
    numbers: int = 0
    open: set[int] = dataclasses.field(default_factory=set)
    bills: list[types.Bill] = dataclasses.field(default_factory=list)
    giving: dict[int, types.Transfer] = dataclasses.field(default_factory=dict)
    incoming: dict[TransferName, types.Transfer] = dataclasses.field(
        default_factory=dict
    )
    known: dict[TransferName, None] = dataclasses.field(default_factory=dict)
    seen: dict[TransferName, None] = dataclasses.field(default_factory=dict)
    waiting: dict[int, int] = dataclasses.field(default_factory=dict)
    tickets: int = 0
    confirmed_sequences: tuple[int, tuple[int, ...]] = (1, ())
    partial: bool = False
    dirty: bool = False
    answered: bool = False
    exists: bool = False
    free: int = 0
    left: int = 0
    demand: float = 0.0
    rate: float = 0.0
    rate_at: float = 0.0

    def count_available(self) -> int:
        """Return the units that may be reserved now."""
        given = sum(item["amount"] for item in self.giving.values())
        taken = sum(item["amount"] for item in self.incoming.values())
        return self.count_held() - self.reserved - given + taken

    def count_wanted(self) -> int:
        """Return the units that requests wait for."""
        return sum(self.waiting.values())

    def count_held(self) -> int:
        """Return the shard's grant less what was spent or returned."""
        return self.granted - self.spent - self.returned

    def measure_rate(self, now: float) -> float:
        """Return the demand in units a second."""
        return self.rate * math.exp((self.rate_at - now) / RATE_WINDOW_S)

    def note_demand(self, units: int, now: float) -> None:
        """Add units to the measured demand."""
        self.rate = self.measure_rate(now) + units / RATE_WINDOW_S
        self.rate_at = now


@dataclasses.dataclass(slots=True)
class HolderBoard:
    """Hold the accounts of one session by budget.

    `asks` holds the transfers made for peers by the id of the ask, so
    that a repeated one is answered alike; `eligible_donors` holds the sessions
    that the store showed open once this one was open, `barred` those
    whose transfers are no longer taken; `waiting` holds the budgets
    that requests wait for, `unreported_budgets` those of transfers that
    the shard shall count soon; `opened` is set once the session's record
    is in the store, `stale` once the ledger refuses the session.

    :param session: id of the entry's incarnation
    """

    session: str
    accounts: dict[str, BudgetAccount] = dataclasses.field(
        default_factory=dict
    )
    open: dict[ReservationName, types.Reservation] = dataclasses.field(
        default_factory=dict
    )
    in_doubt: dict[ReservationName, Doubtful] = dataclasses.field(
        default_factory=dict
    )
    asks: collections.OrderedDict[str, messages.TransferReply] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    eligible_donors: set[str] = dataclasses.field(default_factory=set)
    barred: set[str] = dataclasses.field(default_factory=set)
    waiting: set[str] = dataclasses.field(default_factory=set)
    unreported_budgets: set[str] = dataclasses.field(default_factory=set)
    unsettled: int = 0
    opened: bool = False
    stale: bool = False

    def get_account(self, budget: str) -> BudgetAccount:
        """Return a budget's account, making it if absent."""
        return self.accounts.setdefault(budget, BudgetAccount())


__all__ = (
    "MAX_SEEN",
    "RATE_WINDOW_S",
    "BudgetAccount",
    "Doubtful",
    "HolderBoard",
)
