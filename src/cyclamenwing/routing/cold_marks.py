"""What is known of cold endpoints, and the notices of it between gateways."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Container
from collections.abc import Mapping
from typing import NamedTuple

from cyclamenwing.routing import exclusions

# After the cold time the limit doubles each step, this many times. An empty
# cache makes an endpoint the cheapest at all gateways at the same moment.
RAMP_STEP_S = 0.5
RAMP_STEPS = 3
# An endpoint that refused a connection counts as down for this long if
# nothing is heard of it; gateways that still try it renew that.
DOWN_S = 10.0
# Ends of the cold time that differ by less are not worth another notice.
SAME_END_S = 0.5
# Starts longer ago are never kept while the configuration is not known.
MAX_COLD_S = 60.0
# Cold times that are stated are cut to this.
MAX_LEFT_S = 3600.0
# Least time between two rounds of gossip that don't wait for their interval.
URGENT_INTERVAL_S = 0.5
# Ended marks are kept against notices that arrive late.
KEPT_S = 30.0
MAX_KEPT = 1024
MAX_ORIGINS_KEPT = 64
# Sources of marks.
ENTRY = "entry"
START = "start"
REFUSED = "refused"
ANSWERED = "answered"
HEADER = "answer"
EVACUATION = "evacuation"


class ColdTerms(NamedTuple):
    """Hold what a service states of its cold endpoints.

    :param duration_s: time for which an endpoint is cold after its start
    :param limit_rps: requests per second that it takes meanwhile
    """

    duration_s: float
    limit_rps: float


class ColdNotice(NamedTuple):
    """Tell another gateway that an endpoint is cold.

    :param left_s: remaining time, None while the endpoint is down
    :param origin: process of the gateway that found out
    :param number: sequence number among the notices of that process
    :param age_s: time since it found out
    :param settled: numbers of earlier marks, by origin, that this one follows
    """

    incarnation: exclusions.Incarnation
    left_s: float | None
    source: str
    origin: str
    number: int
    age_s: float
    settled: dict[str, int]


class ColdLimit(NamedTuple):
    """Hold the limit of a cold endpoint.

    :param left_s: time until the end of the limit
    :param ramps: the cold time is over and the limit grows
    """

    limit_rps: float
    left_s: float
    ramps: bool


@dataclasses.dataclass(slots=True)
class ColdMark:
    """Hold what is known of one cold incarnation.

    It is down until an answer unless one of the two times is given.

    :param heard_s: time of the latest evidence
    :param until_s: end of the cold time
    :param since_s: start of a cold time of the service's usual length
    :param announced_s: time of the evidence that peers were told of
    :param peer: host that told, empty for own evidence
    :param from_delegate: that host tells all other delegates itself
    :param seen: newest number of each process
    """

    heard_s: float
    source: str
    origin: str = ""
    number: int = 0
    until_s: float | None = None
    since_s: float | None = None
    announced_s: float = 0.0
    peer: str = ""
    from_delegate: bool = False
    reported_warm: bool = False
    seen: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def down(self) -> bool:
        """Return whether the endpoint has not answered since."""
        return self.until_s is None and self.since_s is None

    def find_end(self, duration_s: float) -> float:
        """Return the end of the cold time."""
        if self.until_s is not None:
            return self.until_s
        if self.since_s is not None:
            return self.since_s + duration_s
        return self.heard_s + DOWN_S


class ColdMarks:
    """Hold which incarnations are cold, and exchange that with gateways.

    Times are seconds of the gateway's clock.

    :param origin: process of this gateway
    """

    def __init__(self, origin: str = "") -> None:
        self._origin = origin
        self._number = 0
        # None until the configuration is known.
        self._terms: Mapping[str, ColdTerms] | None = None
        self._services: dict[str, str] = {}
        self._urgent = False
        self._urgent_s = -math.inf
        self.marks: dict[exclusions.Incarnation, ColdMark] = {}

    def set_terms(self, terms: Mapping[str, ColdTerms]) -> bool:
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
    ) -> ColdTerms | None:
        """Return the terms of an endpoint's service, None without any."""
        service = self._services.get(incarnation.name)
        if service is None or self._terms is None:
            return None
        return self._terms.get(service)

    def read(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> ColdLimit | None:
        """Return the limit of an endpoint, None if it is not cold."""
        mark = self.marks.get(incarnation)
        terms = self.find_terms(incarnation)
        if mark is None or terms is None:
            return None
        end_s = mark.find_end(terms.duration_s)
        warm_s = end_s + RAMP_STEPS * RAMP_STEP_S
        if now_s >= warm_s:
            return None
        if now_s < end_s:
            return ColdLimit(terms.limit_rps, warm_s - now_s, False)
        doublings = 1 + int((now_s - end_s) / RAMP_STEP_S)
        return ColdLimit(terms.limit_rps * 2**doublings, warm_s - now_s, True)

    def measure_cold(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> float:
        """Return the remaining cold time in seconds, 0 if it is over."""
        limit = self.read(incarnation, now_s)
        if limit is None:
            return 0.0
        return max(limit.left_s - RAMP_STEPS * RAMP_STEP_S, 0.0)

    def take_urgent(self, now_s: float) -> bool:
        """Return whether peers are to be told at once, and reset that."""
        if not self._urgent or now_s - self._urgent_s < URGENT_INTERVAL_S:
            return False
        self._urgent = False
        self._urgent_s = now_s
        return True

    def merge_notice(
        self,
        notice: ColdNotice,
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
            or not 0 <= (notice.left_s or 0.0) <= MAX_LEFT_S
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
        new = ColdMark(heard_s, notice.source, until_s=until_s, peer=peer)
        new.from_delegate = from_delegate
        self._store(incarnation, new, notice.origin, notice.number)
        for origin, number in notice.settled.items():
            new.seen[origin] = max(number, new.seen.get(origin, 0))
        return not cold

    def _supersedes(
        self,
        mark: ColdMark,
        notice: ColdNotice,
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
        if notice.source == HEADER:
            return heard_s >= mark.heard_s
        end_s = self._find_end(notice.incarnation, mark)
        return until_s > end_s + SAME_END_S

    def list_notices(self, now_s: float) -> list[tuple[ColdNotice, ColdMark]]:
        """Return a notice for each cold endpoint, the oldest ones first."""
        notices = []
        for incarnation, mark in self.marks.items():
            terms = self.find_terms(incarnation)
            if terms is None:
                continue
            left_s = mark.find_end(terms.duration_s) - now_s
            if left_s <= 0 and mark.source != HEADER:
                continue
            notice = ColdNotice(
                incarnation,
                None if mark.down else max(left_s, 0.0),
                mark.source,
                mark.origin,
                mark.number,
                max(now_s - mark.heard_s, 0.0),
                dict(mark.seen) if mark.source in (ANSWERED, HEADER) else {},
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
                RAMP_STEPS * RAMP_STEP_S
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
        self, incarnation: exclusions.Incarnation, mark: ColdMark
    ) -> float:
        terms = self.find_terms(incarnation)
        return mark.find_end(terms.duration_s if terms else MAX_COLD_S)

    def _put(
        self, incarnation: exclusions.Incarnation, mark: ColdMark
    ) -> None:
        self._number += 1
        self._store(incarnation, mark, self._origin, self._number)

    def _is_cold(self, mark: ColdMark | None) -> bool:
        """Return whether a mark stood for a cold time until now."""
        return mark is not None and (mark.down or not mark.reported_warm)

    def _store(
        self,
        incarnation: exclusions.Incarnation,
        mark: ColdMark,
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
        news = mark.source == HEADER and not self._is_cold(known)
        if news or (mark.down and not (known and known.down)):
            self._urgent = True
        # The last ones are the latest.
        self.marks[incarnation] = mark


__all__ = (
    "ColdLimit",
    "ColdMark",
    "ColdMarks",
    "ColdNotice",
    "ColdTerms",
)
