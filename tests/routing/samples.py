"""Samples of jobs, candidates and endpoint reports."""

from __future__ import annotations

from cyclamenwing.routing import types

DEADLINE = 1_000.0


def make_job(
    request: str,
    workspace: str = "w",
    priority: types.Priority = "interactive",
    prefix: tuple[int, ...] = (),
    deadline: float = DEADLINE,
    tokens: int = 100,
    fingerprint: str = "",
) -> types.Job:
    return types.Job(
        request,
        workspace,
        "route",
        priority,
        prefix,
        deadline,
        fingerprint or request,
        tokens,
    )


def make_candidate(
    host: str,
    zone: str = "z1",
    load: int = 0,
    reported_at: float = 0.0,
    incarnation: str = "i1",
) -> types.Candidate:
    return types.Candidate(
        host, "127.0.0.1:1", zone, incarnation, load, reported_at
    )


def make_report(
    running: int = 0,
    waiting: int = 0,
    epoch: int = 0,
    stored: tuple[int, ...] = (),
    removed: tuple[int, ...] = (),
    up: bool = True,
    max_running: int = 0,
) -> types.EndpointReport:
    return {
        "up": up,
        "running": running,
        "waiting": waiting,
        "max_running": max_running,
        "epoch": epoch,
        "stored": list(stored),
        "removed": list(removed),
    }
