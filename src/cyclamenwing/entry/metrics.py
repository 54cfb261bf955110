"""Metrics of callers' requests at an entry."""

from __future__ import annotations

from cyclamenwing.metrics import types

REQUESTS = types.Counter(
    "requests", "Callers' requests by HTTP status", ("status",)
)
REFUSALS = types.Counter(
    "refusals", "Refused callers' requests", ("code", "run")
)
DURATION = types.Timer(
    "request", "Time from a request's arrival to its last byte", ("route",)
)
FIRST_BYTE = types.Timer(
    "first_token",
    "Time from a request's arrival to its answer's first bytes",
    ("route",),
)
IN_PROGRESS = types.Gauge("in_progress", "Requests in progress")
REVISION = types.Gauge("revision", "Configuration revision in force here")

__all__ = (
    "DURATION",
    "FIRST_BYTE",
    "IN_PROGRESS",
    "REFUSALS",
    "REQUESTS",
    "REVISION",
)
