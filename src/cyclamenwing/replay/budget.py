"""Replay of budget traces on the design's controllers."""

from __future__ import annotations

from cyclamenwing.bench import budget
from cyclamenwing.replay import protocol

DESIGN = "this design"


class BudgetReplayer:
    """Replay a budget trace and compare what it states.

    `overspend` bounds the tokens served beyond the budget, `in_reach`
    the false refusals with the budget in reach, `false_requests` their
    share of what an all-knowing ledger lets through.
    """

    KIND = "budget"

    def replay(self, trace: protocol.Trace) -> list[str]:
        """Return each outcome beyond the stated bound."""
        figures = next(
            made
            for made in budget.measure_trace(trace)
            if made.system == DESIGN
        )._asdict()
        return [
            f"{name} {figures[name]}, stated at most {bound}"
            for name, bound in trace["outcomes"].items()
            if figures[name] > bound
        ]


__all__ = ("BudgetReplayer",)
