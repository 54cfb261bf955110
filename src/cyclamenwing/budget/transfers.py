"""Transfers between grants of a shard, applied once for each number."""

from __future__ import annotations

from cyclamenwing.budget import errors
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types


def is_applied(grant: types.Grant, number: int) -> bool:
    """Return whether a grant's transfer of this number was applied."""
    return number < grant["given"] or number in grant["early"]


def apply_transfer(
    shard: types.LedgerShard, budget: types.Budget, transfer: types.Transfer
) -> None:
    """Apply a transfer once, whether donor or receiver reports it first.

    :raises LedgerInvariantError: if the donor's grant holds too few units
    """
    donor = budget["grants"].get(transfer["donor"])
    if donor is None or is_applied(donor, transfer["number"]):
        return
    if donor["final"]:
        # Recovery found that no session received it, and has returned the
        # remaining units.
        return
    if shards.count_outstanding(donor) < transfer["amount"]:
        raise errors.LedgerInvariantError(
            f"session {transfer['donor']!r} transferred more than its grant"
        )
    _mark_applied(donor, transfer["number"])
    donor["granted"] -= transfer["amount"]
    receiver = budget["grants"].get(transfer["receiver"])
    if receiver is None:
        receiver = shards.make_grant()
        # A closed session may have spent some of these units, so its new
        # grant is closing and recovery settles it.
        receiver["closing"] = shard["closed"].get(transfer["receiver"], 0.0)
        budget["grants"][transfer["receiver"]] = receiver
    receiver["granted"] += transfer["amount"]
    receiver["taken"].append(transfer)


def acknowledge_taken(
    grant: types.Grant, acknowledged: list[tuple[str, int]]
) -> None:
    """Drop received transfers that the session has acknowledged."""
    names = set(acknowledged)
    grant["taken"] = [
        transfer
        for transfer in grant["taken"]
        if (transfer["donor"], transfer["number"]) not in names
    ]


def _mark_applied(grant: types.Grant, number: int) -> None:
    grant["early"].append(number)
    while grant["given"] in grant["early"]:
        grant["early"].remove(grant["given"])
        grant["given"] += 1


__all__ = (
    "acknowledge_taken",
    "apply_transfer",
    "is_applied",
)
