"""Records of pools and usage bounds in the store."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing.budget import escrow
from cyclamenwing.budget import restoration
from cyclamenwing.gateway import eras
from cyclamenwing.gateway import record_age
from cyclamenwing.store import protocol

# Most predecessors in a record. Where the processes of a host keep dying, only
# the latest ones are kept; the holdings of older ones are not freed.
MAX_PREDECESSORS = 8
# Holder and tokens by which a pool that can't be read counts as used up.
UNREADABLE = "unreadable"
UNREADABLE_DRAWN = 2**62


class PoolRecord(msgspec.Struct, omit_defaults=True):
    """Hold a workspace's pool: the tokens drawn by each holder.

    The other fields are those of `restoration.Mark`.
    """

    drawn: dict[str, decoding.Integer] = {}
    era: decoding.Integer = 0
    basis: tuple[decoding.Integer, decoding.Integer] = (0, 0)
    restored: tuple[str, ...] = ()


class UsageBoundRecord(msgspec.Struct, array_like=True):
    """Hold a usage bound.

    The fields are those of `usage_bounds.UsageBound`. Versions that do not
    know the last two count `late` alone, which frees less.
    """

    ceiling: decoding.Integer
    early: float
    late: float
    burst: decoding.Integer | None = None
    steady: float = 0.0


class PredecessorRecord(msgspec.Struct):
    """Hold the usage bounds of a dead process with holdings not freed yet.

    :param elapsed_s: upper bound on the age of its record at its death, None
        if the writer had no evidence for one
    :param late: the usage bounds may have entered their late phase
    """

    holder: str
    promises: dict[str, UsageBoundRecord]
    elapsed_s: float | None
    late: bool


class HolderRecord(msgspec.Struct):
    """Hold the usage bounds of a gateway.

    :param since_s: time of writing by the boot clock of the host
    :param wall_s: time of writing in Unix seconds
    :param former: predecessors whose holdings still count in the pools
    :param clock_confirmed: peers confirmed that the wall clock was not ahead;
        read by versions that do not know the next field
    :param clock_lead_s: upper bound on how far it was ahead, None if they did
        not confirm it
    :param voters: incarnations of the gateways of which enough must have
        acknowledged the record's age before its late phase
    :param fence: number of the last fence by which other gateways have
        reclaimed holdings; see `fences`
    :param reclaimed: written by the gateway that reclaimed them
    :param era: era of the store in which the record was written
    :param restoring: pools of an earlier era are not restored by it yet
    """

    holder: str
    boot_id: str
    since_s: float
    wall_s: float
    promises: dict[str, UsageBoundRecord]
    former: list[PredecessorRecord] = []
    clock_confirmed: bool = False
    era: decoding.Integer = 0
    restoring: bool = False
    clock_lead_s: float | None = None
    voters: tuple[str, ...] = ()
    fence: decoding.Integer = 0
    reclaimed: bool = False


class ProcessStart(msgspec.Struct, frozen=True):
    """Hold the start time of a process by the boot and the wall clock."""

    boot_id: str
    boot_s: float
    wall_s: float


def encode_pool(holders: Mapping[str, int], mark: restoration.Mark) -> bytes:
    """Return a pool as it is stored."""
    return msgspec.json.encode(PoolRecord(dict(holders), *mark))


def read_pool(
    entry: protocol.Entry, tracker: eras.EraTracker
) -> restoration.PoolState:
    """Return a pool that is stored, closed if it can't be read.

    :param tracker: names the era of records that name none, the first one,
        and that of records that can't be read, the present one, so that no
        older state is restored in their place
    """
    try:
        record = decoding.decode(entry.value, PoolRecord)
    except msgspec.DecodeError as err:
        eliot.log_message(
            "funds:pool_unreadable", key=entry.key, reason=str(err)
        )
        record = PoolRecord({UNREADABLE: UNREADABLE_DRAWN}, tracker.known)
    mark = restoration.Mark(
        record.era or tracker.first, record.basis, record.restored
    )
    return restoration.PoolState(entry.revision, record.drawn, mark)


def read_holder(entry: protocol.Entry) -> HolderRecord | None:
    """Return the record of a gateway, None if it can't be read."""
    try:
        return decoding.decode(entry.value, HolderRecord)
    except msgspec.DecodeError as err:
        eliot.log_message(
            "funds:record_unreadable", key=entry.key, reason=str(err)
        )
        return None


def write_usage_bounds(
    usage_bounds: Mapping[str, escrow.UsageBound],
) -> dict[str, UsageBoundRecord]:
    """Return usage bounds as they are stored."""
    return {
        name: UsageBoundRecord(
            bound.ceiling, bound.early, bound.late, bound.burst, bound.steady
        )
        for name, bound in usage_bounds.items()
    }


def write_predecessors(
    predecessors: Sequence[record_age.Predecessor],
) -> list[PredecessorRecord]:
    """Return the predecessors as stored for the next process of the host.

    An age of `record_age.MAX_AGE_S` or more by the boot clock is left out:
    the next process may find better evidence.
    """
    records = []
    for predecessor in predecessors[-MAX_PREDECESSORS:]:
        age = predecessor.age
        elapsed_s = predecessor.boot_elapsed_s
        if (
            age is None
            and elapsed_s is not None
            and (elapsed_s < record_age.MAX_AGE_S)
        ):
            age = record_age.Age(elapsed_s, True)
        records.append(
            PredecessorRecord(
                predecessor.holder,
                write_usage_bounds(predecessor.usage_bounds),
                age and age.elapsed_s,
                age is None or age.late,
            )
        )
    return records


def read_predecessors(
    record: HolderRecord, start: ProcessStart
) -> list[record_age.Predecessor]:
    """Return the predecessors that a record shows, the latest last.

    :param record: last record of the latest predecessor
    :param start: start of this process
    """
    predecessors = [
        record_age.Predecessor(
            holder=former.holder,
            usage_bounds=read_usage_bounds(former.promises),
            boot_elapsed_s=None,
            wall_elapsed_s=None,
            age=(
                None
                if former.elapsed_s is None
                else record_age.Age(former.elapsed_s, former.late)
            ),
        )
        for former in record.former
    ]
    same_boot = record.boot_id == start.boot_id != ""
    elapsed_s = start.boot_s - record.since_s
    predecessors.append(
        record_age.Predecessor(
            holder=record.holder,
            usage_bounds=read_usage_bounds(record.promises),
            boot_elapsed_s=(
                elapsed_s if same_boot and elapsed_s >= 0 else None
            ),
            wall_elapsed_s=start.wall_s - record.wall_s,
            clock_lead_s=_read_clock_lead(record),
        )
    )
    return predecessors


def _read_clock_lead(record: HolderRecord) -> float | None:
    if record.clock_lead_s is None and record.clock_confirmed:
        # Written by a version that did not record by how much.
        return record_age.MAX_CLOCK_LEAD_S
    return record.clock_lead_s


def read_usage_bounds(
    stored: Mapping[str, UsageBoundRecord],
) -> dict[str, escrow.UsageBound]:
    """Return usage bounds with ages that count from their record."""
    return {
        name: escrow.UsageBound(
            bound.ceiling,
            bound.early,
            bound.late,
            0.0,
            bound.burst,
            bound.steady,
        )
        for name, bound in stored.items()
    }


__all__ = (
    "HolderRecord",
    "PoolRecord",
    "PredecessorRecord",
    "ProcessStart",
    "UsageBoundRecord",
    "encode_pool",
    "read_holder",
    "read_pool",
    "read_predecessors",
    "read_usage_bounds",
    "write_predecessors",
    "write_usage_bounds",
)
