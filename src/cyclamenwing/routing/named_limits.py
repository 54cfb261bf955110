"""Records of limits that endpoints name in their answers."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from cyclamenwing.routing import exclusions
from cyclamenwing.routing import limit_shares

# Limits are kept within these bounds.
MIN_LIMIT_RPS = 1e-6
MAX_LIMIT_RPS = 1e6
# An unconfirmed limit is probed by one gateway after the other, as the senders
# may have no requests for the endpoint.
CONFIRM_S = 10.0


class LimitNotice(NamedTuple):
    """Tell another gateway what an endpoint said in an answer.

    :param limit_rps: None if the limit has ended
    :param origin: process of the gateway that got the answer
    :param number: sequence number among the notices of that process
    :param age_s: time since the answer
    """

    incarnation: exclusions.Incarnation
    limit_rps: float | None
    origin: str
    number: int
    age_s: float

    @property
    def is_valid(self) -> bool:
        """Return whether the limit is within its bounds."""
        limit_rps = self.limit_rps
        return limit_rps is None or MIN_LIMIT_RPS <= limit_rps <= MAX_LIMIT_RPS


@dataclasses.dataclass(slots=True)
class EndpointLimit(limit_shares.Allowance):
    """Hold the limit of one incarnation of an endpoint.

    :param heard_s: time of the latest answer that is known to say so
    :param origin: process that got this answer
    :param number: its sequence number among the notices of that process
    :param source: host that passed the notice on, empty for an own one
    :param from_delegate: that host tells all other delegates itself
    :param seen: newest number of each process
    """

    heard_s: float
    origin: str
    number: int
    source: str = ""
    from_delegate: bool = False
    seen: dict[str, int] = dataclasses.field(default_factory=dict)

    def measure_probe(
        self, place: int, members: int, gap_s: float, now_s: float
    ) -> float:
        """Return the seconds until a gateway that is no sender may probe.

        :param place: its place among these gateways, 0 for the first
        :param gap_s: time between the probes of two gateways
        """
        due_s = self.heard_s + CONFIRM_S + place * gap_s
        if self.probed_s:
            due_s = max(due_s, self.probed_s + CONFIRM_S + members * gap_s)
        return max(due_s - now_s, 0.0)


__all__ = ("EndpointLimit", "LimitNotice")
