"""Transfers between grants, folded into the shard once by number."""

from __future__ import annotations

from cyclamenwing.budget import errors
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types


def is_given(grant: types.Grant, number: int) -> bool:
    """Tell whether a transfer was folded."""
    return number < grant["given"] or number in grant["early"]


def fold_transfer(
    shard: types.LedgerShard, budget: types.Budget, transfer: types.Transfer
) -> None:
    """Move a transfer's units once, whichever side reports it first."""
    donor = budget["grants"].get(transfer["donor"])
    if donor is None or is_given(donor, transfer["number"]):
        return
    if shards.count_outstanding(donor) < transfer["amount"]:
        raise errors.LedgerInvariantError(
            f"session {transfer['donor']!r} gave more than its grant"
        )
    _mark_given(donor, transfer["number"])
    donor["granted"] -= transfer["amount"]
    receiver = budget["grants"].get(transfer["receiver"])
    if receiver is None:
        receiver = shards.make_grant()
        # What a closed session may have spent of it, recovery finds out.
        receiver["closing"] = shard["closed"].get(transfer["receiver"], 0.0)
        budget["grants"][transfer["receiver"]] = receiver
    receiver["granted"] += transfer["amount"]
    receiver["taken"].append(transfer)


def acknowledge_taken(
    grant: types.Grant, known: list[tuple[str, int]]
) -> None:
    """Drop transfers that the receiver knows to be in its grant."""
    names = set(known)
    grant["taken"] = [
        transfer
        for transfer in grant["taken"]
        if (transfer["donor"], transfer["number"]) not in names
    ]


def _mark_given(grant: types.Grant, number: int) -> None:
    grant["early"].append(number)
    while grant["given"] in grant["early"]:
        grant["early"].remove(grant["given"])
        grant["given"] += 1


__all__ = (
    "acknowledge_taken",
    "fold_transfer",
    "is_given",
)
