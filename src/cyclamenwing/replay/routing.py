"""Replay of routing traces on the policy and the simple ones."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cyclamenwing.bench import routing
from cyclamenwing.bench import routing_policies
from cyclamenwing.bench import routing_traces
from cyclamenwing.replay import protocol


class RoutingReplayer:
    """Play a trace and compare the figures with the stated outcomes."""

    KIND = routing_traces.KIND

    def replay(self, trace: protocol.Trace) -> list[str]:
        """Return each outcome that differs from the stated one."""
        events = routing_traces.read_events(trace)
        made = routing.measure_policy(
            events, routing_policies.make_scoring_policy, trace["seed"]
        )
        found: list[str] = []
        for name, stated in trace["outcomes"].items():
            if name not in _CHECKS:
                found.append(f"outcome {name!r} is not known")
                continue
            found.extend(_CHECKS[name](made, stated, trace, events))
        return found


def _check_better(
    made: routing.Figures,
    stated: Any,
    trace: protocol.Trace,
    events: routing_traces.Events,
) -> list[str]:
    found: list[str] = []
    for name in stated:
        maker = routing_policies.POLICIES[name]
        other = routing.measure_policy(events, maker, trace["seed"])
        if made.hit_share <= other.hit_share:
            found.append(f"cache hits are not better than of {name}")
        if made.first_ms[95] >= other.first_ms[95]:
            found.append(f"p95 to first token is not better than of {name}")
    return found


def _check_refused(
    made: routing.Figures,
    stated: Any,
    trace: protocol.Trace,
    events: routing_traces.Events,
) -> list[str]:
    if made.refused <= stated:
        return []
    return [f"{made.refused} requests refused"]


def _check_drain(
    made: routing.Figures,
    stated: Any,
    trace: protocol.Trace,
    events: routing_traces.Events,
) -> list[str]:
    if made.asked_after_drain_s <= stated:
        return []
    return [f"leaving host asked after {made.asked_after_drain_s:.1f} s"]


_Check = Callable[
    [routing.Figures, Any, protocol.Trace, routing_traces.Events], list[str]
]
_CHECKS: dict[str, _Check] = {
    "better_than": _check_better,
    "refused": _check_refused,
    "asked_after_drain_s": _check_drain,
}

__all__ = ("RoutingReplayer",)
