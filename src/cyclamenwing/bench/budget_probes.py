"""Probes of ledger shards and of a holder's accounts."""

from __future__ import annotations

from cyclamenwing.bench import memory
from cyclamenwing.bench import slopes
from cyclamenwing.bench import timing
from cyclamenwing.budget import account
from cyclamenwing.budget import ledger
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types

NOW = 1_800_000_000.0
SESSION = "entry-0000/0123456789abcdef0123456789abcdef"


def make_shard(budgets: int, grants: int) -> types.LedgerShard:
    """Return a shard with a number of budgets and of grants on each."""
    shard = shards.make_shard()
    for number in range(budgets):
        name = f"workspace-{number:06d}-tokens"
        ledger.apply_op(
            shard,
            {
                "op": "top_up",
                "id": f"payment-{number:012d}",
                "budget": name,
                "amount": 1_000_000_000,
            },
            NOW,
        )
        for holder_number in range(grants):
            ledger.apply_op(
                shard,
                {
                    "op": "grant",
                    "budget": name,
                    "session": f"{SESSION}{holder_number:04d}",
                    "target": 1_000_000,
                    "floor": 1_000,
                    "rate": 10.0,
                    "partial": False,
                },
                NOW,
            )
    return shard


def measure_shard_bytes(budgets: int) -> float:
    """Return the encoded bytes of a shard with four grants per budget."""
    return float(len(shards.ShardCodec().encode(make_shard(budgets, 4))))


def measure_commit_cpu(budgets: int) -> float:
    """Return the microseconds to decode, change and encode a shard."""
    codec = shards.ShardCodec()
    value = codec.encode(make_shard(budgets, 4))

    def commit_change() -> None:
        shard = codec.decode(value)
        shards.record_commit(shard, "0" * 32)
        codec.encode(shard)

    return timing.measure_cpu_us(commit_change)


def measure_account_bytes(accounts: int) -> float:
    """Return the bytes of memory that a holder's accounts allocate."""

    def make_accounts() -> account.HolderBoard:
        board = account.HolderBoard(SESSION)
        for number in range(accounts):
            board.get_account(f"workspace-{number:06d}-tokens")
        return board

    return memory.measure_bytes(make_accounts)


PROBES = (
    slopes.Probe(
        "shard value, four grants a budget",
        "store",
        "budgets",
        "B",
        (10, 100, 400),
        measure_shard_bytes,
    ),
    slopes.Probe(
        "processor time of a shard's commit",
        "coordinator",
        "budgets",
        "us",
        (10, 100, 400),
        measure_commit_cpu,
    ),
    slopes.Probe(
        "memory of a holder's accounts",
        "entry",
        "budgets",
        "B",
        (100, 1_000, 5_000),
        measure_account_bytes,
    ),
)

__all__ = (
    "PROBES",
    "make_shard",
)
