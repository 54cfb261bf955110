"""Replay of routing traces on the scoring and the simple policies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cyclamenwing.bench import routing
from cyclamenwing.bench import routing_policies
from cyclamenwing.bench import routing_traces
from cyclamenwing.replay import protocol


class RoutingReplayer:
    """Replay a routing trace and compare its figures with the outcomes."""

    KIND = routing_traces.KIND

    def replay(self, trace: protocol.Trace) -> list[str]:
        """Return each outcome that differs from the stated one."""
        events = routing_traces.read_events(trace)
        figures = routing.measure_policy(
            events, routing_policies.make_scoring_policy, trace["seed"]
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
    events: routing_traces.Events,
) -> list[str]:
    differences: list[str] = []
    for name in stated:
        make_policy = routing_policies.POLICIES[name]
        policy_figures = routing.measure_policy(
            events, make_policy, trace["seed"]
        )
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
    events: routing_traces.Events,
) -> list[str]:
    if figures.refused <= stated:
        return []
    return [f"{figures.refused} requests refused"]


def _check_drain(
    figures: routing.Figures,
    stated: Any,
    trace: protocol.Trace,
    events: routing_traces.Events,
) -> list[str]:
    if figures.asked_after_drain_s <= stated:
        return []
    return [
        "draining host got a request after "
        f"{figures.asked_after_drain_s:.1f} s"
    ]


_Check = Callable[
    [routing.Figures, Any, protocol.Trace, routing_traces.Events], list[str]
]
_CHECKS: dict[str, _Check] = {
    "better_than": _check_better,
    "refused": _check_refused,
    "asked_after_drain_s": _check_drain,
}

__all__ = ("RoutingReplayer",)
