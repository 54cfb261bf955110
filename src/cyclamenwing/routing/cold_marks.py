"""What is known of cold endpoints, and the notices of it between gateways."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from cyclamenwing.routing import exclusions

# After the cold time the limit doubles each step, this many times. An empty
# cache makes an endpoint the cheapest at all gateways at the same moment.
RAMP_STEP_S = 1.0
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
# Sources of marks.
ENTRY = "entry"
START = "start"
REFUSED = "refused"
ANSWERED = "answered"
HEADER = "answer"


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


__all__ = (
    "ColdLimit",
    "ColdMark",
    "ColdNotice",
    "ColdTerms",
)
