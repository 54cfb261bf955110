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
# An effect of a larger limit is reported within this time.
GROWTH_INTERVAL_S = 2.0
PEAK_KEPT_S = 60.0
SATURATED_REPORTS = 2
# Share of a host's places that batch jobs leave to interactive ones.
INTERACTIVE_SHARE = 6
SPARE_SHARE = 10


@dataclasses.dataclass(slots=True)
class HostLoad:
    """Hold an entry's own jobs at a host and the host's learnt limit."""

    in_flight: int = 0
    interactive: int = 0
    pending: dict[types.Priority, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(types.PRIORITIES, 0.0)
    )
    limit: int = UNREPORTED_LIMIT
    reported: bool = False
    peak: int = 0
    peak_at: float = 0.0
    saturated: int = 0
    full_until: float = 0.0
    grown_at: float = 0.0
    changes: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def count_ahead(self, priority: types.Priority) -> float:
        """Return own jobs' prompt tokens that go before a priority's."""
        if priority == "interactive":
            return self.pending["interactive"]
        return self.pending["interactive"] + self.pending["batch"]

    def change(self, priority: types.Priority, delta: int, now: float) -> None:
        """Count a job that came or went."""
        self.in_flight += delta
        if priority == "interactive":
            self.interactive += delta
        self.changes.append((now, delta))
        while now - self.changes[0][0] > CHANGES_KEPT_S:
            self.changes.popleft()

    def estimate(self, candidate: types.Candidate) -> int:
        """Return the load now from a report that is late."""
        grown = self._count_growth(candidate)
        return max(self.in_flight, candidate.load + grown)

    def count_free_slots(
        self,
        candidate: types.Candidate,
        priority: types.Priority,
        entries: int,
    ) -> float:
        """Return this entry's share of the places free at the report.

        Other entries' jobs since then are not known, so each takes no
        more than its share until the next report.
        """
        grown = self._count_growth(candidate)
        bounds: list[float] = [self.limit - self.in_flight]
        free = self.limit - candidate.load
        if priority == "batch":
            # Batch jobs leave places besides those that interactive ones
            # hold, and a few free whatever those hold.
            kept = self.limit // INTERACTIVE_SHARE
            bounds.append(self.limit - kept - self._count_batch())
            bounds.append((free - kept) / entries - grown + self.interactive)
            free -= self.limit // SPARE_SHARE
        return max(0.0, min(free / entries - grown, *bounds))

    def is_full(
        self,
        candidate: types.Candidate,
        priority: types.Priority,
        entries: int,
        draw: float,
    ) -> bool:
        """Return whether a priority's places are taken.

        Of batch jobs' places each entry takes its share only; one below
        one place is taken at random, by `draw`.
        """
        if priority == "interactive":
            return self.estimate(candidate) >= self.limit
        return self.count_free_slots(candidate, priority, entries) <= draw

    def _count_batch(self) -> int:
        return self.in_flight - self.interactive

    def _count_growth(self, candidate: types.Candidate) -> int:
        since = candidate.reported_at - REPORT_LAG_S
        grown = 0
        for at, change in reversed(self.changes):
            if at <= since:
                break
            grown += change
        return grown

    def learn_limit(self, news: types.EndpointReport, now: float) -> None:
        """Take the limit that an engine tells, or learn it.

        It grows while nothing waits and is cut when something does.

        A job that waits for the next step only is no sign of a full
        batch, so it takes several reports, and the most that ran counts.
        """
        if news["max_running"]:
            self.limit = news["max_running"]
            return
        if not self.reported:
            self.reported = True
            self.limit = FIRST_LIMIT
        if news["running"] >= self.peak or now - self.peak_at > PEAK_KEPT_S:
            self.peak = news["running"]
            self.peak_at = now
        self.saturated = self.saturated + 1 if news["waiting"] else 0
        if self.saturated >= SATURATED_REPORTS:
            self.limit = max(1, self.peak)
            self.full_until = now + PEAK_KEPT_S
        elif now < self.full_until:
            self.limit = max(self.limit, self.peak)
        elif (
            news["running"] >= self.limit * LIMIT_NEAR
            and now - self.grown_at >= GROWTH_INTERVAL_S
        ):
            self.limit = min(MAX_LIMIT, self.limit + LIMIT_STEP)
            self.grown_at = now


__all__ = ("HostLoad",)
