"""Tokens drawn so lately that an older copy of the store may not list them.

If all gateways are lost with a return of the store, the copy is all that is
left. What it lists for each holder bounds what that holder can have used, and
what it lists as free can't have been used, if gateways use no token before
its draw is so old that each copy lists it.

A pool that was created lately is an exception: it has the entry `FRESH`, and
tokens drawn from it are usable at once. What is free in a copy of such a pool
may have been used.
"""

from __future__ import annotations

from typing import NamedTuple

# Oldest copy of which the free tokens stay usable, by its age at the return.
MAX_COPY_AGE_S = 7.0
# Entry without tokens of a pool that was created lately, and the time for
# which it is kept: all gateways draw for the first time meanwhile.
FRESH = "fresh"
FRESH_S = 2.0


class DrawnState(NamedTuple):
    """Hold what a pool listed for a holder.

    :param replaced_s: time by which it was replaced, None while a copy that is
        taken now may have it
    """

    drawn: int
    replaced_s: float | None = None


class DrawHistory:
    """Hold what copies of a pool may list for one holder."""

    def __init__(self, drawn: int) -> None:
        self._states = [DrawnState(drawn)]

    @property
    def lowest(self) -> int:
        """Return the tokens that each copy lists at least."""
        return min(state.drawn for state in self._states)

    @property
    def settled(self) -> bool:
        """Return whether all copies list the same."""
        return len(self._states) == 1

    def add(self, drawn: int) -> None:
        """Record what the pool lists now."""
        self._states.append(DrawnState(drawn))

    def add_credit(self, tokens: int) -> None:
        """Add tokens that earlier copies list for a predecessor."""
        self._states[:-1] = [
            state._replace(drawn=state.drawn + tokens)
            for state in self._states[:-1]
        ]

    def reopen(self) -> None:
        """Count all states as present: the store may have returned to one."""
        self._states = [
            state._replace(replaced_s=None) for state in self._states
        ]

    def confirm(self, began_s: float, answered_s: float) -> None:
        """Forget states that no copy can have any more.

        A commit that was sent at `began_s` has succeeded in the present era,
        so a copy to which the store returns later was taken at most
        `MAX_COPY_AGE_S` before that.
        """
        stamped = [
            state
            if state.replaced_s is not None
            else state._replace(replaced_s=answered_s)
            for state in self._states[:-1]
        ]
        oldest_s = began_s - MAX_COPY_AGE_S
        self._states[:-1] = [
            state
            for state in stamped
            if state.replaced_s is not None and state.replaced_s >= oldest_s
        ]


__all__ = (
    "FRESH",
    "FRESH_S",
    "MAX_COPY_AGE_S",
    "DrawHistory",
    "DrawnState",
)
