"""Records of budgets in the store."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import succession

# A host whose processes keep dying passes on this many of them.
MAX_FORMER = 8


class PoolRecord(msgspec.Struct):
    """Hold a workspace's pool as it is stored, in tokens."""

    drawn: dict[str, int] = {}


class PromiseRecord(msgspec.Struct, array_like=True):
    """Hold a bound on use: tokens, and tokens a second."""

    ceiling: int
    early: float
    late: float


class FormerRecord(msgspec.Struct):
    """Hold what a dead process promised that nobody has freed yet.

    :param elapsed_s: age of its own record at its death at the most, None
        if the process that wrote this had no proof
    """

    holder: str
    promises: dict[str, PromiseRecord]
    elapsed_s: float | None
    late: bool


class HolderRecord(msgspec.Struct):
    """Hold what a gateway promises, by the boot clock of its host.

    `wall_s` is the time of day, in Unix seconds; `former` are the host's
    earlier processes whose holdings still count.
    """

    holder: str
    boot_id: str
    since_s: float
    wall_s: float
    promises: dict[str, PromiseRecord]
    former: list[FormerRecord] = []


class Start(msgspec.Struct, frozen=True):
    """Hold the start of a process, by the clocks of its host."""

    boot_id: str
    boot_s: float
    wall_s: float


def write_promises(
    promises: Mapping[str, escrow.UsageBound],
) -> dict[str, PromiseRecord]:
    """Return promises as they are stored."""
    return {
        name: PromiseRecord(made.ceiling, made.early, made.late)
        for name, made in promises.items()
    }


def write_former(
    predecessors: Sequence[succession.Predecessor],
) -> list[FormerRecord]:
    """Return the dead processes that the next one must know as well."""
    found = []
    for dead in predecessors[-MAX_FORMER:]:
        age = dead.age
        elapsed_s = dead.boot_elapsed_s
        if (
            age is None
            and elapsed_s is not None
            and (elapsed_s < succession.MAX_AGE_S)
        ):
            age = succession.Age(elapsed_s, True)
        found.append(
            FormerRecord(
                dead.holder,
                write_promises(dead.promises),
                age and age.elapsed_s,
                age is None or age.late,
            )
        )
    return found


def read_predecessors(
    record: HolderRecord, start: Start
) -> list[succession.Predecessor]:
    """Return the host's dead processes, the latest last."""
    found = [
        succession.Predecessor(
            holder=former.holder,
            promises=_read_promises(former.promises),
            boot_elapsed_s=None,
            wall_elapsed_s=None,
            age=(
                None
                if former.elapsed_s is None
                else succession.Age(former.elapsed_s, former.late)
            ),
        )
        for former in record.former
    ]
    same_boot = record.boot_id == start.boot_id != ""
    elapsed_s = start.boot_s - record.since_s
    found.append(
        succession.Predecessor(
            holder=record.holder,
            promises=_read_promises(record.promises),
            boot_elapsed_s=(
                elapsed_s if same_boot and elapsed_s >= 0 else None
            ),
            wall_elapsed_s=start.wall_s - record.wall_s,
        )
    )
    return found


def _read_promises(
    promises: Mapping[str, PromiseRecord],
) -> dict[str, escrow.UsageBound]:
    return {
        name: escrow.UsageBound(made.ceiling, made.early, made.late, 0.0)
        for name, made in promises.items()
    }


__all__ = (
    "FormerRecord",
    "HolderRecord",
    "PoolRecord",
    "PromiseRecord",
    "Start",
    "read_predecessors",
    "write_former",
    "write_promises",
)
