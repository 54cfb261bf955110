"""Estimates of state and load by role for the fleet size in two years."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cyclamenwing.bench import slopes
from cyclamenwing.bench import tables
from cyclamenwing.membership import topology

ENTRIES = 340
SIDECARS = 600
ZONES = 7
BUDGETS = 120_000
WORKSPACES = 32_000
REQUESTS_PER_S = 7_100
TOKENS_PER_S = 1_700_000
CHANGES_PER_DAY = 2_000
HOSTS_REPLACED_PER_DAY = 130
DAY_S = 86_400
MB = 1_000_000
PERCENT = 100
US_PER_S = 1_000_000
MAX_CONTROL_BYTES = 32 * MB
MAX_STORE_READS_PER_S = 2_000
SHARD_BYTES = 50_000
ANSWER_RETENTION_S = 600
TOMBSTONE_RETENTION_S = 3_600
MAX_RUN_BYTES = 64 * 1024 * 1024
SCAN_INTERVAL_S = 2
SIDECAR_NAME_BYTES = 36
BILL_BYTES = 350


class Estimate(NamedTuple):
    """Describe one estimate.

    :param mechanism: the module or rule that holds the state or does the
        work
    :param bound: the target, or None if there is none
    :param compute: returns the value in `unit` from the fitted slopes
    """

    role: str
    quantity: str
    mechanism: str
    origin: slopes.Origin
    unit: str
    bound: float | None
    compute: Callable[[slopes.SlopesByName], float]


def estimate_all(fitted: list[slopes.Slope]) -> tables.Table:
    """Return a table with one row for each estimate."""
    slopes_by_name: slopes.SlopesByName = {
        slope["name"]: slope for slope in fitted
    }
    return {
        "title": "At the size expected in two years",
        "columns": [
            "role",
            "what",
            "value",
            "target",
            "within",
            "origin",
            "carried by",
        ],
        "rows": [
            _make_row(estimate, slopes_by_name) for estimate in ESTIMATES
        ],
    }


def _make_row(
    estimate: Estimate, slopes_by_name: slopes.SlopesByName
) -> list[str]:
    value = estimate.compute(slopes_by_name)
    bound = estimate.bound
    within = "" if bound is None else ("yes" if value <= bound else "NO")
    return [
        estimate.role,
        estimate.quantity,
        f"{value:.3g} {estimate.unit}",
        "" if bound is None else f"{bound:g} {estimate.unit}",
        within,
        estimate.origin,
        estimate.mechanism,
    ]


def _extrapolate(
    slopes_by_name: slopes.SlopesByName, name: str, size: float
) -> float:
    return slopes.extrapolate(slopes_by_name[name], size)


def _get_slope(slopes_by_name: slopes.SlopesByName, name: str) -> float:
    return slopes_by_name[name]["slope"]


def _index_mb(slopes_by_name: slopes.SlopesByName) -> float:
    return (
        _extrapolate(
            slopes_by_name, "memory of a revision and its index", WORKSPACES
        )
        / MB
    )


def _view_mb(slopes_by_name: slopes.SlopesByName) -> float:
    return (
        _extrapolate(
            slopes_by_name, "memory of the member view", ENTRIES + SIDECARS
        )
        / MB
    )


def _receive_percent(slopes_by_name: slopes.SlopesByName) -> float:
    interval_s = topology.get_heartbeat_interval_s(ENTRIES)
    senders = (
        topology.FINGER_COUNT
        + SIDECARS * topology.REPORT_TARGET_COUNT / ENTRIES
    )
    cost_us = _get_slope(slopes_by_name, "processor time to hear heartbeats")
    return senders / interval_s * cost_us / US_PER_S * PERCENT


def _all_accounts_mb(slopes_by_name: slopes.SlopesByName) -> float:
    return (
        _extrapolate(slopes_by_name, "memory of a holder's accounts", BUDGETS)
        / MB
    )


def _home_accounts_mb(slopes_by_name: slopes.SlopesByName) -> float:
    accounts = BUDGETS * ZONES / ENTRIES
    return (
        _extrapolate(slopes_by_name, "memory of a holder's accounts", accounts)
        / MB
    )


def _count_shards(slopes_by_name: slopes.SlopesByName) -> float:
    return BUDGETS * _budget_bytes(slopes_by_name) / SHARD_BYTES


def _budget_bytes(slopes_by_name: slopes.SlopesByName) -> float:
    return _get_slope(slopes_by_name, "shard value, four grants a budget")


def _sidecar_answers_mb(slopes_by_name: slopes.SlopesByName) -> float:
    runs = REQUESTS_PER_S / SIDECARS * ANSWER_RETENTION_S
    name = "memory of ended runs, 2 kB prompt and 200 tokens"
    return _extrapolate(slopes_by_name, name, runs) / MB


def _sidecar_keys_mb(slopes_by_name: slopes.SlopesByName) -> float:
    keys = REQUESTS_PER_S / SIDECARS * TOMBSTONE_RETENTION_S
    return (
        _extrapolate(slopes_by_name, "memory of tombstones of runs", keys) / MB
    )


def _token_percent(slopes_by_name: slopes.SlopesByName) -> float:
    meter_us = _get_slope(slopes_by_name, "processor time to meter tokens")
    frame_us = _get_slope(
        slopes_by_name, "processor time to frame and assemble tokens"
    )
    rate = TOKENS_PER_S / SIDECARS
    return rate * (meter_us + frame_us) / US_PER_S * PERCENT


def _scan_bytes(slopes_by_name: slopes.SlopesByName) -> float:
    record = SIDECARS * SIDECAR_NAME_BYTES
    return ENTRIES * ENTRIES * record / SCAN_INTERVAL_S / MB


def _claims_a_day(slopes_by_name: slopes.SlopesByName) -> float:
    claim = _get_slope(slopes_by_name, "size of a claim shard, 200 B answers")
    # 64 claim shards, each half full with 450 kB.
    return 64 * 450_000 / claim / DAY_S


ESTIMATES = (
    Estimate(
        "entry",
        "configuration and its index",
        "`catalog/index.py`, whole revision decoded",
        "extrapolated",
        "MB",
        MAX_CONTROL_BYTES / MB,
        _index_mb,
    ),
    Estimate(
        "entry",
        "view of all members",
        "`membership/view.py`, spread as deltas",
        "extrapolated",
        "MB",
        MAX_CONTROL_BYTES / MB,
        _view_mb,
    ),
    Estimate(
        "entry",
        "hearing heartbeats, share of a core",
        "`membership/topology.py`: ring of entries, two reporters a sidecar",
        "extrapolated",
        "%",
        1.2,
        _receive_percent,
    ),
    Estimate(
        "entry",
        "accounts, every entry a home of every budget (today's form)",
        "`budget/holder.py`",
        "extrapolated",
        "MB",
        MAX_CONTROL_BYTES / MB,
        _all_accounts_mb,
    ),
    Estimate(
        "entry",
        "accounts, one home a zone",
        "homes by rendezvous hash (not built)",
        "extrapolated",
        "MB",
        MAX_CONTROL_BYTES / MB,
        _home_accounts_mb,
    ),
    Estimate(
        "store",
        "ledger shards of 50 kB, four grants a budget",
        "`budget/layout.py`",
        "extrapolated",
        "shards",
        None,
        _count_shards,
    ),
    Estimate(
        "store",
        "reads for session scans",
        "`entry/sessions.py`: each entry lists them to know its donors",
        "assumed",
        "/s",
        MAX_STORE_READS_PER_S,
        lambda _slopes: ENTRIES / SCAN_INTERVAL_S,
    ),
    Estimate(
        "store",
        "bytes for session scans",
        "`entry/sessions.py`",
        "assumed",
        "MB/s",
        None,
        _scan_bytes,
    ),
    Estimate(
        "store",
        "writes to name replaced sidecars in sessions",
        "`entry/sessions.py`: one commit a session and sidecar",
        "assumed",
        "/s",
        300,
        lambda _slopes: HOSTS_REPLACED_PER_DAY * ENTRIES / DAY_S,
    ),
    Estimate(
        "store",
        "billing records",
        "`budget/segments.py`: one record a request and budget",
        "assumed",
        "MB/s",
        None,
        lambda _slopes: REQUESTS_PER_S * BILL_BYTES / MB,
    ),
    Estimate(
        "store",
        "claims that 64 half-full shards keep for a day",
        "`request/claims.py`",
        "extrapolated",
        "/s",
        None,
        _claims_a_day,
    ),
    Estimate(
        "sidecar",
        "answers kept 600 s, 2 kB prompts and 200 tokens",
        "`request/runs.py`, oldest dropped at the bound",
        "extrapolated",
        "MB",
        MAX_RUN_BYTES / MB,
        _sidecar_answers_mb,
    ),
    Estimate(
        "sidecar",
        "tombstones kept 3,600 s, if every request has a key",
        "`request/retention.py`",
        "extrapolated",
        "MB",
        MAX_RUN_BYTES / MB,
        _sidecar_keys_mb,
    ),
    Estimate(
        "sidecar",
        "metering and framing tokens, share of a core",
        "`sidecar/meter.py`, `request/assembly.py`; without HTTP",
        "extrapolated",
        "%",
        None,
        _token_percent,
    ),
)

__all__ = (
    "ESTIMATES",
    "Estimate",
    "estimate_all",
)
