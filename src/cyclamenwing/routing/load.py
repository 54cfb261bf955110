"""Load of hosts: late reports corrected by own jobs, and limits."""

from __future__ import annotations

import collections
import dataclasses

from cyclamenwing.routing import types

REPORT_LAG_S = 1.0
CHANGES_KEPT_S = 5.0
FIRST_LIMIT = 16
UNREPORTED_LIMIT = 128
MAX_LIMIT = 512
LIMIT_STEP = 2
LIMIT_NEAR = 0.75
# Share of a host's places that batch jobs leave to interactive ones.
INTERACTIVE_SHARE = 8


@dataclasses.dataclass(slots=True)
class HostLoad:
    """Hold an entry's own jobs at a host and the host's learnt limit."""

    in_flight: int = 0
    pending_tokens: float = 0.0
    limit: int = UNREPORTED_LIMIT
    reported: bool = False
    changes: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def change(self, delta: int, now: float) -> None:
        """Count a job that came or went."""
        self.in_flight += delta
        self.changes.append((now, delta))
        while now - self.changes[0][0] > CHANGES_KEPT_S:
            self.changes.popleft()

    def estimate(self, candidate: types.Candidate) -> int:
        """Return the load now from a report that is late."""
        since = candidate.heard_at - REPORT_LAG_S
        delta = 0
        for at, change in reversed(self.changes):
            if at <= since:
                break
            delta += change
        return max(self.in_flight, candidate.load + delta)

    def learn_limit(self, news: types.EndpointNews) -> None:
        """Grow the limit while nothing waits, cut it when something does."""
        if not self.reported:
            self.reported = True
            self.limit = FIRST_LIMIT
        if news["waiting"]:
            self.limit = max(1, news["running"])
        elif news["running"] >= self.limit * LIMIT_NEAR:
            self.limit = min(MAX_LIMIT, self.limit + LIMIT_STEP)


def bound_limit(limit: int, priority: types.Priority) -> int:
    """Return the places of a host that a priority may fill."""
    if priority == "interactive":
        return limit
    return max(1, limit - limit // INTERACTIVE_SHARE)


__all__ = (
    "HostLoad",
    "bound_limit",
)
