"""Reports of changed members on their way to all entries."""

from __future__ import annotations

import dataclasses
import math

from cyclamenwing.membership import types

MAX_REPORTS = 6
SPREAD_FACTOR = 3


@dataclasses.dataclass(slots=True)
class DisseminationBoard:
    """Hold reports to pass on and how often, by host."""

    reports: dict[str, types.MemberReport] = dataclasses.field(
        default_factory=dict
    )
    left: dict[str, int] = dataclasses.field(default_factory=dict)


class DisseminationController:
    """Pass each report on a bounded number of times."""

    def note(
        self,
        board: DisseminationBoard,
        report: types.MemberReport,
        entries: int,
    ) -> None:
        """Take up a report for a fleet of some entries."""
        host = report["host"]
        times = SPREAD_FACTOR * math.ceil(math.log2(entries + 2))
        board.reports[host] = report
        board.left[host] = times

    def pick(self, board: DisseminationBoard) -> list[types.MemberReport]:
        """Return the reports for one message, the least told first."""
        ordered = sorted(board.left, key=lambda host: -board.left[host])
        picked = ordered[:MAX_REPORTS]
        found = [board.reports[host] for host in picked]
        for host in picked:
            board.left[host] -= 1
            if board.left[host] <= 0:
                del board.left[host], board.reports[host]
        return found


__all__ = (
    "MAX_REPORTS",
    "SPREAD_FACTOR",
    "DisseminationBoard",
    "DisseminationController",
)
