"""Probes of the published catalog and its index."""

from __future__ import annotations

import hashlib

import msgspec

from cyclamenwing import decoding
from cyclamenwing.bench import memory
from cyclamenwing.bench import slopes
from cyclamenwing.bench import timing
from cyclamenwing.catalog import index
from cyclamenwing.catalog import types

BUDGETS_PER_WORKSPACE = 4


def make_revision(workspaces: int) -> types.Revision:
    """Return a revision of one service with a number of workspaces."""
    names = [f"workspace-{number:06d}" for number in range(workspaces)]
    budgets = [
        f"{name}-budget-{number}"
        for name in names
        for number in range(BUDGETS_PER_WORKSPACE)
    ]
    file: types.ServiceFile = {
        "service": "bench",
        "workspaces": [
            {
                "name": name,
                "keys": [hashlib.sha256(name.encode()).hexdigest()],
                "budgets": [
                    f"{name}-budget-{number}"
                    for number in range(BUDGETS_PER_WORKSPACE)
                ],
            }
            for name in names
        ],
        "budgets": [{"name": name, "unit": "tokens"} for name in budgets],
        "routes": [],
    }
    return {"revision": 1, "services": {"bench": file}}


def measure_value_bytes(workspaces: int) -> float:
    """Return the encoded bytes of a revision."""
    return float(len(msgspec.json.encode(make_revision(workspaces))))


def measure_index_bytes(workspaces: int) -> float:
    """Return the bytes of memory that a revision and its index allocate."""
    encoded = msgspec.json.encode(make_revision(workspaces))

    def build_index() -> index.Index:
        decoded = decoding.decode(encoded, types.Revision)
        return index.Index(decoded)

    return memory.measure_bytes(build_index)


def measure_index_cpu(workspaces: int) -> float:
    """Return the microseconds to decode and index a revision."""
    encoded = msgspec.json.encode(make_revision(workspaces))

    def adopt_revision() -> None:
        decoded = decoding.decode(encoded, types.Revision)
        index.Index(decoded)

    return timing.measure_cpu_us(adopt_revision)


SIZES = (100, 1_000, 4_000)
PROBES = (
    slopes.Probe(
        "published files, four budgets a workspace",
        "store",
        "workspaces",
        "B",
        SIZES,
        measure_value_bytes,
    ),
    slopes.Probe(
        "memory of a revision and its index",
        "entry",
        "workspaces",
        "B",
        SIZES,
        measure_index_bytes,
    ),
    slopes.Probe(
        "processor time to adopt a revision",
        "entry",
        "workspaces",
        "us",
        SIZES,
        measure_index_cpu,
    ),
)

__all__ = (
    "PROBES",
    "make_revision",
)
