"""Replay of routing traces on the scoring and the simple policies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cyclamenwing.bench import routing
from cyclamenwing.bench import routingpolicies
from cyclamenwing.bench import routingtraces
from cyclamenwing.replay import protocol


class RoutingReplayer:
    """Replay a routing trace and compare its figures with the outcomes."""

    KIND = routingtraces.KIND

    def replay(self, trace: protocol.Trace) -> list[str]:
        """Return each outcome that differs from the stated one."""
        events = routingtraces.read_events(trace)
        figures = routing.measure(
            events, routingpolicies.make_scoring, trace["seed"]
        )
        differences: list[str] = []
        for name, stated in trace["outcomes"].items():
            if name not in _CHECKS:
                differences.append(f"outcome {name!r} is unknown")
                continue
            differences.extend(_CHECKS[name](figures, stated, trace, events))
        return differences


def _check_better(
    figures: routing.Figures,
    stated: Any,
    trace: protocol.Trace,
    events: routingtraces.Events,
) -> list[str]:
    differences: list[str] = []
    for name in stated:
        make_policy = routingpolicies.POLICIES[name]
        policy_figures = routing.measure(events, make_policy, trace["seed"])
        if figures.hit_share <= policy_figures.hit_share:
            differences.append(
                f"cache hit share is not higher than with {name}"
            )
        if figures.first_ms[95] >= policy_figures.first_ms[95]:
            differences.append(
                f"p95 time to first token is not lower than with {name}"
            )
    return differences


def _check_refused(
    figures: routing.Figures,
    stated: Any,
    trace: protocol.Trace,
    events: routingtraces.Events,
) -> list[str]:
    if figures.refused <= stated:
        return []
    return [f"{figures.refused} requests refused"]


def _check_drain(
    figures: routing.Figures,
    stated: Any,
    trace: protocol.Trace,
    events: routingtraces.Events,
) -> list[str]:
    if figures.late_ask_s <= stated:
        return []
    return [f"draining host got a request after {figures.late_ask_s:.1f} s"]


_Check = Callable[
    [routing.Figures, Any, protocol.Trace, routingtraces.Events], list[str]
]
_CHECKS: dict[str, _Check] = {
    "better_than": _check_better,
    "refused": _check_refused,
    "asked_after_drain_s": _check_drain,
}

__all__ = ("RoutingReplayer",)
