"""Replay of budget traces on the fleet's own budget design."""

from __future__ import annotations

from cyclamenwing.bench import budget
from cyclamenwing.replay import protocol

DESIGN_SYSTEM = "this design"


class BudgetReplayer:
    """Replay a budget trace and compare the results with its bounds.

    The outcome `overspend` bounds the tokens served beyond the budget.
    `in_reach` bounds the requests refused although the budget was
    reachable, and `false_requests` bounds the share of requests refused
    that a ledger with complete knowledge admits.
    """

    KIND = "budget"

    def replay(self, trace: protocol.Trace) -> list[str]:
        """Return each outcome that exceeds its stated bound."""
        figures = next(
            row
            for row in budget.measure_trace(trace)
            if row.system == DESIGN_SYSTEM
        )._asdict()
        return [
            f"{name} {figures[name]}, stated at most {bound}"
            for name, bound in trace["outcomes"].items()
            if figures[name] > bound
        ]


__all__ = ("BudgetReplayer",)
