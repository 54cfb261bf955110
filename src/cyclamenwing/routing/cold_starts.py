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
from collections.abc import Mapping

from cyclamenwing.routing import cold_marks
from cyclamenwing.routing import exclusions

# Wall clocks of hosts may differ by this much.
CLOCK_TOLERANCE_S = 1.0
# A known mark is announced again after this time at the earliest.
ANNOUNCE_INTERVAL_S = 2.0
# Ended marks are kept against notices that arrive late.
KEPT_S = 30.0
MAX_KEPT = 1024
MAX_ORIGINS_KEPT = 64


class ColdStarts:
    """Hold which incarnations are cold.

    Times are seconds of the gateway's clock.

    :param origin: process of this gateway
    """

    def __init__(self, origin: str = "") -> None:
        self._origin = origin
        self._number = 0
        # None until the configuration is known.
        self._terms: Mapping[str, cold_marks.ColdTerms] | None = None
        self._services: dict[str, str] = {}
        # Latest entry of each name and the remaining time that it states.
        self._entries: dict[str, tuple[exclusions.Incarnation, float]] = {}
        self._urgent = False
        self.marks: dict[exclusions.Incarnation, cold_marks.ColdMark] = {}

    def set_terms(self, terms: Mapping[str, cold_marks.ColdTerms]) -> bool:
        """Replace what services state; return whether this is the first."""
        first = self._terms is None
        self._terms = dict(terms)
        for incarnation in list(self.marks):
            service = self._services.get(incarnation.name)
            if service is not None and service not in terms:
                del self.marks[incarnation]
        return first

    def find_terms(
        self, incarnation: exclusions.Incarnation
    ) -> cold_marks.ColdTerms | None:
        """Return the terms of an endpoint's service, None without any."""
        service = self._services.get(incarnation.name)
        if service is None or self._terms is None:
            return None
        return self._terms.get(service)

    def read(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> cold_marks.ColdLimit | None:
        """Return the limit of an endpoint, None if it is not cold."""
        mark = self.marks.get(incarnation)
        terms = self.find_terms(incarnation)
        if mark is None or terms is None:
            return None
        end_s = mark.find_end(terms.duration_s)
        warm_s = end_s + cold_marks.RAMP_STEPS * cold_marks.RAMP_STEP_S
        if now_s >= warm_s:
            return None
        if now_s < end_s:
            return cold_marks.ColdLimit(terms.limit_rps, warm_s - now_s, False)
        doublings = 1 + int((now_s - end_s) / cold_marks.RAMP_STEP_S)
        return cold_marks.ColdLimit(
            terms.limit_rps * 2**doublings, warm_s - now_s, True
        )

    def measure_cold(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> float:
        """Return the remaining cold time in seconds, 0 if it is over."""
        limit = self.read(incarnation, now_s)
        if limit is None:
            return 0.0
        return max(
            limit.left_s - cold_marks.RAMP_STEPS * cold_marks.RAMP_STEP_S, 0.0
        )

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

    def take_urgent(self) -> bool:
        """Return whether peers are to be told at once, and reset that."""
        urgent, self._urgent = self._urgent, False
        return urgent

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

    def merge_notice(
        self,
        notice: cold_marks.ColdNotice,
        now_s: float,
        peer: str = "",
        from_delegate: bool = False,
    ) -> bool:
        """Record what another gateway found; return whether it is cold anew.

        A notice that is passed back changes nothing, so that delays on the
        way don't prolong the cold time again and again.
        """
        incarnation = notice.incarnation
        if (
            notice.origin == self._origin
            or self._is_unlimited(incarnation)
            or not 0 <= (notice.left_s or 0.0) <= cold_marks.MAX_LEFT_S
        ):
            return False
        mark = self.marks.get(incarnation)
        heard_s = now_s - max(notice.age_s, 0.0)
        until_s = None if notice.left_s is None else now_s + notice.left_s
        if mark is not None:
            if notice.number <= mark.seen.get(notice.origin, 0):
                return False
            mark.seen[notice.origin] = notice.number
            if not self._supersedes(mark, notice, heard_s, until_s):
                return False
        cold = self.measure_cold(incarnation, now_s) > 0
        new = cold_marks.ColdMark(
            heard_s, notice.source, until_s=until_s, peer=peer
        )
        new.from_delegate = from_delegate
        self._store(incarnation, new, notice.origin, notice.number)
        for origin, number in notice.settled.items():
            new.seen[origin] = max(number, new.seen.get(origin, 0))
        return not cold

    def _supersedes(
        self,
        mark: cold_marks.ColdMark,
        notice: cold_marks.ColdNotice,
        heard_s: float,
        until_s: float | None,
    ) -> bool:
        """Return whether a notice replaces what is known.

        The time for which an endpoint is down ends with an answer at a
        gateway that knew of it: ages don't tell, as notices take up to two
        seconds, and a peer's entry may be that of the process before.
        """
        if until_s is None:
            return heard_s >= mark.heard_s
        if mark.down:
            return notice.settled.get(mark.origin, 0) >= mark.number
        if notice.source == cold_marks.HEADER:
            return heard_s >= mark.heard_s
        end_s = self._find_end(notice.incarnation, mark)
        return until_s > end_s + cold_marks.SAME_END_S

    def list_notices(
        self, now_s: float
    ) -> list[tuple[cold_marks.ColdNotice, cold_marks.ColdMark]]:
        """Return a notice for each cold endpoint, the oldest ones first."""
        notices = []
        for incarnation, mark in self.marks.items():
            terms = self.find_terms(incarnation)
            if terms is None:
                continue
            left_s = mark.find_end(terms.duration_s) - now_s
            if left_s <= 0 and mark.source != cold_marks.HEADER:
                continue
            notice = cold_marks.ColdNotice(
                incarnation,
                None if mark.down else max(left_s, 0.0),
                mark.source,
                mark.origin,
                mark.number,
                max(now_s - mark.heard_s, 0.0),
                dict(mark.seen)
                if mark.source in (cold_marks.ANSWERED, cold_marks.HEADER)
                else {},
            )
            notices.append((notice, mark))
        return notices

    def trim(
        self, registered: Container[str], now_s: float
    ) -> list[exclusions.Incarnation]:
        """Forget marks that ended long ago; return those that just ended.

        An endpoint is returned once.
        """
        ended = []
        for incarnation, mark in list(self.marks.items()):
            warm_s = self._find_end(incarnation, mark) + (
                cold_marks.RAMP_STEPS * cold_marks.RAMP_STEP_S
            )
            if now_s < warm_s:
                mark.reported_warm = False
                continue
            if not mark.reported_warm:
                mark.reported_warm = True
                ended.append(incarnation)
            if now_s > warm_s + KEPT_S:
                del self.marks[incarnation]
        exclusions.trim_records(self.marks, registered, MAX_KEPT)
        for name in list(self._entries):
            if len(self._entries) > MAX_KEPT and name not in registered:
                del self._entries[name]
                self._services.pop(name, None)
        return ended

    def _is_unlimited(self, incarnation: exclusions.Incarnation) -> bool:
        """Return whether the endpoint's service is known to have no terms."""
        service = self._services.get(incarnation.name)
        return (
            self._terms is not None
            and service is not None
            and service not in self._terms
        )

    def _find_end(
        self, incarnation: exclusions.Incarnation, mark: cold_marks.ColdMark
    ) -> float:
        terms = self.find_terms(incarnation)
        return mark.find_end(
            terms.duration_s if terms else cold_marks.MAX_COLD_S
        )

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

    def _put(
        self, incarnation: exclusions.Incarnation, mark: cold_marks.ColdMark
    ) -> None:
        self._number += 1
        self._store(incarnation, mark, self._origin, self._number)

    def _store(
        self,
        incarnation: exclusions.Incarnation,
        mark: cold_marks.ColdMark,
        origin: str,
        number: int,
    ) -> None:
        known = self.marks.pop(incarnation, None)
        if known is not None:
            mark.seen = known.seen
        mark.origin = origin
        mark.number = number
        mark.announced_s = mark.heard_s
        mark.seen.pop(origin, None)
        mark.seen[origin] = number
        while len(mark.seen) > MAX_ORIGINS_KEPT:
            del mark.seen[next(iter(mark.seen))]
        if mark.down and not (known and known.down):
            self._urgent = True
        # The last ones are the latest.
        self.marks[incarnation] = mark


__all__ = ("ColdStarts",)
