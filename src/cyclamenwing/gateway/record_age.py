"""Upper bounds on the age of a predecessor's last record.

The usage bound of a dead process grows with the age of its record, so its
holdings can be freed only once that age has an upper bound. Evidence for one
comes from:

- the boot clock, if the host has not restarted;
- a peer that received gossip of the process and has run ever since;
- the wall clocks of all hosts, if all of them restarted and the records have
  about the same age;
- the host's own wall clock, if peers confirmed it both when the record was
  written and after the restart.

If all peers have run ever since and none received that the record was late,
as in an outage of the store, the usage bound has not entered its late phase,
whatever the age.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from cyclamenwing.budget import escrow
from cyclamenwing.budget import usage_bounds

# Wall clocks are no evidence with fewer hosts than this.
MIN_WALL_CLOCK_HOSTS = 3
# Records are renewed about each second, so the ages on hosts that failed
# together differ by little more. A larger difference shows that a clock was
# set.
MAX_WALL_SPREAD_S = 2.5
# Ages beyond this point to an outage of the store before the hosts failed.
MAX_WALL_AGE_S = 6.0
# A usage bound that has grown for longer leaves nothing to free, so a bound on
# the age beyond this is used only if no outage was noticed.
MAX_AGE_S = usage_bounds.MAX_AGE_S
# Added because clocks drift and differ a little even if none was set.
WALL_SLACK_S = 0.5
# Peers confirm a wall clock that differs from theirs by at most this.
MAX_CLOCK_LEAD_S = 0.5
# Added because confirmed clocks drift between the record and the restart.
CLOCK_DRIFT_S = 0.05


class Age(NamedTuple):
    """Hold an upper bound on a record's age at the death of its process.

    :param elapsed_s: the bound, in seconds
    :param late: the usage bound may have entered its late phase
    """

    elapsed_s: float
    late: bool


class Predecessor(NamedTuple):
    """Describe an earlier process of this host.

    :param boot_elapsed_s: time from its last record to the start of this
        process by the boot clock, None if the host has restarted
    :param wall_elapsed_s: the same by the wall clock; None if a later process
        has written the record since, as the wall clocks of other hosts are
        then no evidence
    :param age: upper bound on the age of its record if one was proved already
    :param clock_lead_s: upper bound on how far the wall clock was ahead of the
        peers' when the record was written; None if they did not confirm it
    """

    holder: str
    usage_bounds: dict[str, escrow.UsageBound]
    boot_elapsed_s: float | None
    wall_elapsed_s: float | None
    age: Age | None = None
    clock_lead_s: float | None = None


class AgeEvidence(NamedTuple):
    """Hold what a peer reports about a predecessor's record.

    :param elapsed_s: age of the record, None if the peer received no gossip
        of the process
    :param late: the last gossip said that the record was late, None if the
        peer received none
    :param restart_age_s: age of the record of the peer's own predecessor by
        wall clock, None unless the peer itself has just started
    :param clock_lead_s: upper bound on how far the peer's wall clock is ahead
        of this host's at the start of this process
    """

    elapsed_s: float | None
    late: bool | None
    restart_age_s: float | None
    clock_lead_s: float | None = None


def bound_clock_lead(
    wall_s: float, peer_walls: Sequence[float], other_records: int
) -> float | None:
    """Return an upper bound on how far a wall clock is ahead of the peers'.

    None means that they do not confirm the clock.

    :param wall_s: present time by the clock
    :param peer_walls: the same by the peers' clocks; a delay of their messages
        makes them less
    :param other_records: number of other hosts that write records
    """
    if len(peer_walls) < max(other_records, MIN_WALL_CLOCK_HOSTS - 1):
        return None
    lead_s = max(wall_s - min(peer_walls), 0.0)
    return lead_s if lead_s <= MAX_CLOCK_LEAD_S else None


def bound_age(
    predecessor: Predecessor,
    other_hosts: int,
    other_records: int,
    evidence: Sequence[AgeEvidence],
) -> Age | None:
    """Return the best upper bound on the age of a predecessor's record.

    None means that there is no evidence, or none that is of use yet.

    :param other_hosts: number of hosts of the fleet besides this one
    :param other_records: number of these that write records
    """
    if predecessor.age is not None:
        return predecessor.age
    bounds = [e.elapsed_s for e in evidence if e.elapsed_s is not None]
    if predecessor.boot_elapsed_s is not None:
        bounds.append(predecessor.boot_elapsed_s)
    wall_bounds = (
        _bound_by_wall_clocks(predecessor, other_records, evidence),
        _bound_by_confirmed_clock(predecessor, other_records, evidence),
    )
    bounds += [bound_s for bound_s in wall_bounds if bound_s is not None]
    if not bounds:
        return None
    no_outage_noticed = len(evidence) >= max(other_hosts, 1) and all(
        e.late is False for e in evidence
    )
    # This age frees nothing; better evidence may still arrive.
    if min(bounds) >= MAX_AGE_S and not no_outage_noticed:
        return None
    return Age(min(bounds), not no_outage_noticed)


def _bound_by_wall_clocks(
    predecessor: Predecessor,
    other_records: int,
    evidence: Sequence[AgeEvidence],
) -> float | None:
    ages = [e.restart_age_s for e in evidence if e.restart_age_s is not None]
    if predecessor.wall_elapsed_s is None:
        return None
    if len(ages) < other_records or len(ages) + 1 < MIN_WALL_CLOCK_HOSTS:
        return None
    ages.append(predecessor.wall_elapsed_s)
    if max(ages) - min(ages) > MAX_WALL_SPREAD_S or min(ages) < 0:
        return None
    if max(ages) > MAX_WALL_AGE_S:
        return None
    return max(ages) + WALL_SLACK_S


def _bound_by_confirmed_clock(
    predecessor: Predecessor,
    other_records: int,
    evidence: Sequence[AgeEvidence],
) -> float | None:
    """Return a bound by the wall clock of this host alone.

    Records of different ages are no contradiction here: hosts may have lost
    the store at different times. The clock shows too little if it was ahead
    when the record was written, or is behind now. Peers bound both.
    """
    wall_s = predecessor.wall_elapsed_s
    leads = [e.clock_lead_s for e in evidence if e.clock_lead_s is not None]
    if wall_s is None or predecessor.clock_lead_s is None:
        return None
    if len(leads) < max(other_records, MIN_WALL_CLOCK_HOSTS - 1):
        return None
    if max(leads) > MAX_CLOCK_LEAD_S or wall_s < 0:
        return None
    lead_s = max(*leads, 0.0)
    return wall_s + predecessor.clock_lead_s + lead_s + CLOCK_DRIFT_S


__all__ = (
    "Age",
    "AgeEvidence",
    "Predecessor",
    "bound_age",
    "bound_clock_lead",
)
