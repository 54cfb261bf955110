"""Votes of other gateways that a gateway's record is old.

The late phase of the usage bounds begins once enough voters of the record have
acknowledged its age. So where enough of them promise not to, the holder can't
enter that phase, and its unused holdings can be reclaimed without it.
"""

from __future__ import annotations

from collections.abc import Collection

# Voters of a record. More would add to each record and save no availability.
MAX_VOTERS = 7


def count_needed(voters: int) -> int:
    """Return how many of a record's voters begin the late phase."""
    return max((voters + 1) // 2, 1)


def count_refusals_needed(voters: int) -> int:
    """Return how many voters must refuse for the late phase to be excluded.

    It can't be excluded for a record without voters.
    """
    return voters - count_needed(voters) + 1 if voters else 1


class OutageVotes:
    """Collect the votes on the records that the store may hold.

    Voters are named by their incarnation, so a restarted process, which has
    forgotten its promises, is none.
    """

    def __init__(self) -> None:
        self._records: list[tuple[str, ...]] = []
        self._votes: set[str] = set()

    def open(self, voters: tuple[str, ...]) -> None:
        """Add a record whose commit begins."""
        self._records.append(voters)

    def finish(self, voters: tuple[str, ...]) -> None:
        """Keep the record that took effect; it has no votes yet."""
        self._records = [voters]
        self._votes.clear()

    def cancel(self, voters: tuple[str, ...]) -> None:
        """Drop a record that never takes effect."""
        if len(self._records) > 1 and voters in self._records:
            self._records.remove(voters)

    def add(self, voter: str) -> None:
        """Record that a gateway has acknowledged the record's age."""
        self._votes.add(voter)

    @property
    def reached(self) -> bool:
        """Return whether the late phase may begin whichever record holds."""
        return bool(self._records) and all(
            _is_reached(voters, self._votes) for voters in self._records
        )


def _is_reached(voters: tuple[str, ...], votes: Collection[str]) -> bool:
    if not voters:
        # No gateway was known when the record was written, so any may vote;
        # such a record is never reclaimed.
        return bool(votes)
    return sum(v in votes for v in voters) >= count_needed(len(voters))


__all__ = (
    "MAX_VOTERS",
    "OutageVotes",
    "count_needed",
    "count_refusals_needed",
)
