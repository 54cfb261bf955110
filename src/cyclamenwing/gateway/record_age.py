"""How long ago an earlier process of this host wrote its last record.

What that process may have used grows with the age of its record, so its
holdings are freed only once this age has an upper bound:

- the boot clock, if the host has not restarted;
- a peer that heard the process and has run ever since;
- the times of day of all hosts, if all of them restarted and agree.

If all peers have run ever since and none took notice of an outage of the
store, the promise has not grown past its early part, whatever the age.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from cyclamenwing.budget import escrow

# Times of day prove nothing with fewer hosts than this.
MIN_WALL_CLOCK_HOSTS = 3
# Records are renewed each second, so agreeing hosts differ by little more;
# a clock that was set shows as a larger difference.
MAX_WALL_SPREAD_S = 2.5
# Ages beyond this hint at an outage of the store before the loss.
MAX_WALL_AGE_S = 6.0
MAX_AGE_S = 10.0
# Clocks drift and differ a little even if none was set.
WALL_SLACK_S = 0.5


class Age(NamedTuple):
    """Bound a record's age.

    :param late: the promise may have grown past its early part
    """

    elapsed_s: float
    late: bool


class Predecessor(NamedTuple):
    """Describe a process that held this host's record before.

    :param wall_elapsed_s: None if other processes held it in between: the
        other hosts' times of day prove nothing for it
    :param age: the age that is proved already
    """

    holder: str
    usage_bounds: dict[str, escrow.Promise]
    boot_elapsed_s: float | None
    wall_elapsed_s: float | None
    age: Age | None = None


class AgeEvidence(NamedTuple):
    """Hold what another host says.

    :param elapsed_s: age of the record, by a peer that heard the process
    :param late: the peer took notice that the record was old, None if it
        did not hear the process
    :param restart_age_s: age of the peer's own predecessor's record by its
        time of day, if the peer itself has just begun
    """

    elapsed_s: float | None
    late: bool | None
    restart_age_s: float | None


def bound_age(
    predecessor: Predecessor, other_hosts: int, evidence: Sequence[AgeEvidence]
) -> Age | None:
    """Return the record's age at the most, None if nothing bounds it.

    :param other_hosts: hosts of the fleet besides this one
    """
    if predecessor.age is not None:
        return predecessor.age
    bounds = [s.elapsed_s for s in evidence if s.elapsed_s is not None]
    if predecessor.boot_elapsed_s is not None:
        bounds.append(predecessor.boot_elapsed_s)
    wall_bound_s = _bound_by_wall_clocks(predecessor, other_hosts, evidence)
    if wall_bound_s is not None:
        bounds.append(wall_bound_s)
    if not bounds:
        return None
    no_outage_seen = len(evidence) >= max(other_hosts, 1) and all(
        s.late is False for s in evidence
    )
    # A larger age frees next to nothing; a better proof may still come.
    if min(bounds) >= MAX_AGE_S and not no_outage_seen:
        return None
    return Age(min(bounds), not no_outage_seen)


def _bound_by_wall_clocks(
    predecessor: Predecessor, other_hosts: int, evidence: Sequence[AgeEvidence]
) -> float | None:
    ages = [s.restart_age_s for s in evidence if s.restart_age_s is not None]
    if predecessor.wall_elapsed_s is None:
        return None
    if len(ages) < other_hosts or len(ages) + 1 < MIN_WALL_CLOCK_HOSTS:
        return None
    ages.append(predecessor.wall_elapsed_s)
    if max(ages) - min(ages) > MAX_WALL_SPREAD_S or min(ages) < 0:
        return None
    if max(ages) > MAX_WALL_AGE_S:
        return None
    return max(ages) + WALL_SLACK_S


__all__ = (
    "Age",
    "Predecessor",
    "AgeEvidence",
    "bound_age",
)
