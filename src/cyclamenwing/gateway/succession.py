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
MIN_HOSTS = 3
# Records are renewed each second, so agreeing hosts differ by little more;
# a clock that was set shows as a larger difference.
MAX_SPREAD_S = 2.5
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
    promises: dict[str, escrow.UsageBound]
    boot_elapsed_s: float | None
    wall_elapsed_s: float | None
    age: Age | None = None


class Statement(NamedTuple):
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
    dead: Predecessor, hosts: int, statements: Sequence[Statement]
) -> Age | None:
    """Return the record's age at the most, None if nothing bounds it.

    :param hosts: hosts of the fleet besides this one
    """
    if dead.age is not None:
        return dead.age
    bounds = [s.elapsed_s for s in statements if s.elapsed_s is not None]
    if dead.boot_elapsed_s is not None:
        bounds.append(dead.boot_elapsed_s)
    agreed_s = _compare_clocks(dead, hosts, statements)
    if agreed_s is not None:
        bounds.append(agreed_s)
    if not bounds:
        return None
    unnoticed = len(statements) >= max(hosts, 1) and all(
        s.late is False for s in statements
    )
    # A larger age frees next to nothing; a better proof may still come.
    if min(bounds) >= MAX_AGE_S and not unnoticed:
        return None
    return Age(min(bounds), not unnoticed)


def _compare_clocks(
    dead: Predecessor, hosts: int, statements: Sequence[Statement]
) -> float | None:
    ages = [s.restart_age_s for s in statements if s.restart_age_s is not None]
    if dead.wall_elapsed_s is None:
        return None
    if len(ages) < hosts or len(ages) + 1 < MIN_HOSTS:
        return None
    ages.append(dead.wall_elapsed_s)
    if max(ages) - min(ages) > MAX_SPREAD_S or min(ages) < 0:
        return None
    if max(ages) > MAX_WALL_AGE_S:
        return None
    return max(ages) + WALL_SLACK_S


__all__ = (
    "Age",
    "Predecessor",
    "Statement",
    "bound_age",
)
