"""Epidemic dissemination of member reports to all entries."""

from __future__ import annotations

import dataclasses
import math

from cyclamenwing.membership import types

MAX_REPORTS_PER_MESSAGE = 6
RETRANSMIT_FACTOR = 3


@dataclasses.dataclass(slots=True)
class DisseminationBoard:
    """Hold the reports to send and the remaining sends of each, by host."""

    reports: dict[str, types.MemberReport] = dataclasses.field(
        default_factory=dict
    )
    sends_left: dict[str, int] = dataclasses.field(default_factory=dict)


class DisseminationController:
    """Send each report a bounded number of times."""

    def enqueue(
        self,
        board: DisseminationBoard,
        report: types.MemberReport,
        entries: int,
    ) -> None:
        """Queue a report; it replaces an earlier one of the same host.

        :param entries: number of entries in the fleet; the number of sends
            grows with its logarithm
        """
        host = report["host"]
        sends = RETRANSMIT_FACTOR * math.ceil(math.log2(entries + 2))
        board.reports[host] = report
        board.sends_left[host] = sends

    def take_batch(
        self, board: DisseminationBoard
    ) -> list[types.MemberReport]:
        """Return the reports for one message, the least often sent first."""
        hosts = sorted(
            board.sends_left, key=lambda host: -board.sends_left[host]
        )
        picked = hosts[:MAX_REPORTS_PER_MESSAGE]
        reports = [board.reports[host] for host in picked]
        for host in picked:
            board.sends_left[host] -= 1
            if board.sends_left[host] <= 0:
                del board.sends_left[host], board.reports[host]
        return reports


__all__ = (
    "MAX_REPORTS_PER_MESSAGE",
    "RETRANSMIT_FACTOR",
    "DisseminationBoard",
    "DisseminationController",
)
