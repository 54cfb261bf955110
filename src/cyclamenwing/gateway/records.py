"""Records of budgets in the store."""

from __future__ import annotations

import msgspec


class PoolRecord(msgspec.Struct):
    """Hold a workspace's pool as it is stored, in tokens."""

    drawn: dict[str, int] = {}


class PromiseRecord(msgspec.Struct, array_like=True):
    """Hold a bound on use: tokens, and tokens a second."""

    ceiling: int
    early: float
    late: float


class HolderRecord(msgspec.Struct):
    """Hold what a gateway promises, by the boot clock of its host.

    `wall_s` is the time of day, in Unix seconds.
    """

    holder: str
    boot_id: str
    since_s: float
    wall_s: float
    promises: dict[str, PromiseRecord]


__all__ = (
    "HolderRecord",
    "PoolRecord",
    "PromiseRecord",
)
