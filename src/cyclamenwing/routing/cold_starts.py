"""Cold endpoints: which are cold until when, and what they take.

Handles two patterns. An endpoint starts, or starts again under its name, while
traffic runs: all gateways would send to it at once, as its queue is empty. An
endpoint becomes cold without any restart. In both it crashes well above the
rate that its service states, and its entry may say so two seconds late.

The gateways' shares of that rate are in `rate_limits`.
"""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable

from cyclamenwing.routing import cold_marks
from cyclamenwing.routing import exclusions

# Wall clocks of hosts may differ by this much.
CLOCK_TOLERANCE_S = 1.0
# A known mark is announced again after this time at the earliest.
ANNOUNCE_INTERVAL_S = 2.0


class ColdStarts(cold_marks.ColdMarks):
    """Find out which incarnations are cold.

    Times are seconds of the gateway's clock.
    """

    def __init__(self, origin: str = "") -> None:
        super().__init__(origin)
        # Latest entry of each name and the remaining time that it states.
        self._entries: dict[str, tuple[exclusions.Incarnation, float]] = {}

    def record_entry(
        self,
        incarnation: exclusions.Incarnation,
        service: str,
        left_s: float,
        now_s: float,
        wall_s: float,
        live: bool,
    ) -> bool:
        """Record an endpoint's entry; return whether it is cold anew.

        An entry that says the same as the one before has no new information.

        :param left_s: remaining cold time that it states, 0 for none
        :param wall_s: time by the wall clock at `now_s`
        :param live: the entry was just written, as far as the store says
        """
        name = incarnation.name
        self._services[name] = service
        known, known_left_s = self._entries.get(name, (None, 0.0))
        # An earlier start is of an older copy of the store.
        if (
            self._is_unlimited(incarnation)
            or (known == incarnation and known_left_s == left_s)
            or (known and 0 < incarnation.started_ms < known.started_ms)
        ):
            return False
        self._entries[name] = (incarnation, left_s)
        if left_s > 0:
            until_s = now_s + min(left_s, cold_marks.MAX_LEFT_S)
            return self._extend(incarnation, until_s, cold_marks.ENTRY, now_s)
        if known != incarnation:
            return self._record_start(incarnation, now_s, wall_s, live)
        mark = self.marks.get(incarnation)
        if mark is not None and mark.source == cold_marks.ENTRY:
            mark.until_s = min(mark.until_s or now_s, now_s)
        return False

    def _record_start(
        self,
        incarnation: exclusions.Incarnation,
        now_s: float,
        wall_s: float,
        live: bool,
    ) -> bool:
        if incarnation.started_ms:
            age_s = wall_s - incarnation.started_ms / 1000
            since_s = now_s - max(age_s - CLOCK_TOLERANCE_S, 0.0)
        elif live:
            since_s = now_s
        else:
            return False
        terms = self.find_terms(incarnation)
        duration_s = terms.duration_s if terms else cold_marks.MAX_COLD_S
        if since_s + duration_s <= now_s:
            return False
        mark = self.marks.get(incarnation)
        if mark is not None and mark.find_end(duration_s) >= (
            since_s + duration_s
        ):
            return False
        self._put(
            incarnation,
            cold_marks.ColdMark(now_s, cold_marks.START, since_s=since_s),
        )
        return True

    def record_refused(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> bool:
        """Record that an endpoint refused or reset; return whether new."""
        if self._is_unlimited(incarnation):
            return False
        mark = self.marks.get(incarnation)
        if mark is not None and mark.down:
            known = now_s - mark.heard_s < cold_marks.DOWN_S
            mark.heard_s = now_s
            if now_s - mark.announced_s >= ANNOUNCE_INTERVAL_S:
                self._put(
                    incarnation, cold_marks.ColdMark(now_s, cold_marks.REFUSED)
                )
            return not known
        self._put(incarnation, cold_marks.ColdMark(now_s, cold_marks.REFUSED))
        return True

    def record_answer(
        self,
        incarnation: exclusions.Incarnation,
        remaining_s: float | None,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Record an answer; return whether the endpoint is cold anew.

        :param remaining_s: cold time that the answer states, None for none
        :param sent_s: time at which the request was sent
        """
        mark = self.marks.get(incarnation)
        if remaining_s is None:
            if mark is not None and mark.down and sent_s > mark.heard_s:
                self._put(
                    incarnation,
                    cold_marks.ColdMark(
                        now_s, cold_marks.ANSWERED, since_s=now_s
                    ),
                )
            return False
        until_s = now_s + min(remaining_s, cold_marks.MAX_LEFT_S)
        if self._is_unlimited(incarnation) or not self._is_news(
            incarnation, until_s, sent_s, now_s
        ):
            return False
        cold = self.measure_cold(incarnation, now_s) > 0
        self._put(
            incarnation,
            cold_marks.ColdMark(now_s, cold_marks.HEADER, until_s=until_s),
        )
        return not cold and remaining_s > 0

    def _is_news(
        self,
        incarnation: exclusions.Incarnation,
        until_s: float,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Return whether the end that an answer states is not known yet."""
        mark = self.marks.get(incarnation)
        if mark is None:
            return until_s > now_s
        if mark.down or until_s <= now_s:
            # An answer of the process before says nothing of the next one.
            return (
                sent_s > mark.heard_s
                and self._find_end(incarnation, mark) > now_s
            )
        end_s = self._find_end(incarnation, mark)
        return abs(end_s - until_s) >= cold_marks.SAME_END_S

    def mark_cold(
        self,
        incarnations: Iterable[exclusions.Incarnation],
        seconds: float | None,
        source: str,
        now_s: float,
    ) -> list[exclusions.Incarnation]:
        """Take endpoints as cold; return those that were not before.

        An earlier mark that ends later stays.

        :param seconds: None for the usual time of their service
        :param source: where this comes from, for the log
        """
        marked = []
        for incarnation in incarnations:
            terms = self.find_terms(incarnation)
            if terms is None:
                continue
            duration_s = terms.duration_s if seconds is None else seconds
            cold = self.measure_cold(incarnation, now_s) > 0
            self._extend(incarnation, now_s + duration_s, source, now_s)
            if not cold:
                marked.append(incarnation)
        return marked

    def _extend(
        self,
        incarnation: exclusions.Incarnation,
        until_s: float,
        source: str,
        now_s: float,
    ) -> bool:
        """Mark an endpoint unless it is cold for about as long already.

        One that is down stays so: what is said may be of its former process.
        """
        mark = self.marks.get(incarnation)
        if mark is not None and (
            mark.down
            or self._find_end(incarnation, mark)
            > until_s - cold_marks.SAME_END_S
        ):
            return False
        cold = self.measure_cold(incarnation, now_s) > 0
        self._put(
            incarnation, cold_marks.ColdMark(now_s, source, until_s=until_s)
        )
        return not cold

    def trim(
        self, registered: Container[str], now_s: float
    ) -> list[exclusions.Incarnation]:
        """Forget old marks and entries; return endpoints that are warm now.

        Each is returned once.
        """
        for name in list(self._entries):
            if len(self._entries) > cold_marks.MAX_KEPT and (
                name not in registered
            ):
                del self._entries[name]
                self._services.pop(name, None)
        return super().trim(registered, now_s)


__all__ = ("ColdStarts",)
