"""Load of hosts: delayed reports corrected by own jobs, and limits."""

from __future__ import annotations

import collections
import dataclasses

from cyclamenwing.routing import types

# A report may be this old when it arrives, so own jobs that started or ended
# within this time before it are counted on top of the reported load.
REPORT_LAG_S = 1.0
CHANGE_RETENTION_S = 5.0
INITIAL_LIMIT = 16
UNREPORTED_LIMIT = 128
MAX_LIMIT = 512
LIMIT_INCREMENT = 2
GROWTH_THRESHOLD = 0.75
# Within this time, reports show the effect of a raised limit.
GROWTH_INTERVAL_S = 2.0
PEAK_RETENTION_S = 60.0
SATURATED_REPORTS = 2
# Batch jobs leave a sixth of a host's slots to interactive jobs, and a tenth
# free in any case.
INTERACTIVE_DIVISOR = 6
SPARE_DIVISOR = 10


@dataclasses.dataclass(slots=True)
class HostLoad:
    """Hold an entry's own jobs at a host and the host's concurrency limit.

    `pending_tokens` counts prompt tokens whose answer has not begun;
    `peak` is the highest number of running jobs lately reported.
    """

    in_flight: int = 0
    interactive: int = 0
    pending_tokens: dict[types.Priority, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(types.PRIORITIES, 0.0)
    )
    limit: int = UNREPORTED_LIMIT
    has_reported: bool = False
    peak: int = 0
    peak_at: float = 0.0
    saturated_reports: int = 0
    limit_held_until: float = 0.0
    limit_raised_at: float = 0.0
    changes: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def count_tokens_ahead(self, priority: types.Priority) -> float:
        """Return own pending prompt tokens that run before a priority's."""
        if priority == "interactive":
            return self.pending_tokens["interactive"]
        return (
            self.pending_tokens["interactive"] + self.pending_tokens["batch"]
        )

    def record_change(
        self, priority: types.Priority, delta: int, now: float
    ) -> None:
        """Count a job that was sent (1) or has ended (-1)."""
        self.in_flight += delta
        if priority == "interactive":
            self.interactive += delta
        self.changes.append((now, delta))
        while now - self.changes[0][0] > CHANGE_RETENTION_S:
            self.changes.popleft()

    def estimate_load(self, candidate: types.Candidate) -> int:
        """Return the estimated present load from a delayed report."""
        unreported = self._count_unreported(candidate)
        return max(self.in_flight, candidate.load + unreported)

    def count_free_slots(
        self,
        candidate: types.Candidate,
        priority: types.Priority,
        entries: int,
    ) -> float:
        """Return this entry's share of the slots free at the last report.

        The jobs that other entries have sent since then are unknown, so
        each entry uses no more than its share until the next report.
        """
        unreported = self._count_unreported(candidate)
        bounds: list[float] = [self.limit - self.in_flight]
        free = self.limit - candidate.load
        if priority == "batch":
            # Interactive jobs in progress count towards the reserved slots.
            # Some slots stay free even if those are all in use.
            reserved = self.limit // INTERACTIVE_DIVISOR
            bounds.append(self.limit - reserved - self._count_batch())
            bounds.append(
                (free - reserved) / entries - unreported + self.interactive
            )
            free -= self.limit // SPARE_DIVISOR
        return max(0.0, min(free / entries - unreported, *bounds))

    def is_full(
        self,
        candidate: types.Candidate,
        priority: types.Priority,
        entries: int,
        draw: float,
    ) -> bool:
        """Return whether a host has no free slot for a priority.

        For batch jobs each entry uses only its share of the slots; a
        share below one slot counts as free with that probability.

        :param draw: random number in [0, 1)
        """
        if priority == "interactive":
            return self.estimate_load(candidate) >= self.limit
        return self.count_free_slots(candidate, priority, entries) <= draw

    def _count_batch(self) -> int:
        return self.in_flight - self.interactive

    def _count_unreported(self, candidate: types.Candidate) -> int:
        since = candidate.reported_at - REPORT_LAG_S
        unreported = 0
        for at, change in reversed(self.changes):
            if at <= since:
                break
            unreported += change
        return unreported

    def update_limit(self, report: types.EndpointReport, now: float) -> None:
        """Set the limit to the engine's own, or adapt it to its reports.

        An adapted limit is raised while no job waits at the engine and cut
        to the peak of running jobs when some do. It is cut only after
        several reports in a row with waiting jobs, as a job that just
        waits for the next decoding step does not mean a full batch.
        """
        if report["max_running"]:
            self.limit = report["max_running"]
            return
        if not self.has_reported:
            self.has_reported = True
            self.limit = INITIAL_LIMIT
        if (
            report["running"] >= self.peak
            or now - self.peak_at > PEAK_RETENTION_S
        ):
            self.peak = report["running"]
            self.peak_at = now
        self.saturated_reports = (
            self.saturated_reports + 1 if report["waiting"] else 0
        )
        if self.saturated_reports >= SATURATED_REPORTS:
            self.limit = max(1, self.peak)
            self.limit_held_until = now + PEAK_RETENTION_S
        elif now < self.limit_held_until:
            self.limit = max(self.limit, self.peak)
        elif (
            report["running"] >= self.limit * GROWTH_THRESHOLD
            and now - self.limit_raised_at >= GROWTH_INTERVAL_S
        ):
            self.limit = min(MAX_LIMIT, self.limit + LIMIT_INCREMENT)
            self.limit_raised_at = now


__all__ = ("HostLoad",)
