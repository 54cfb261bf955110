"""Fences: promises not to acknowledge that a silent gateway's record is old.

Fences of a holder are numbered. A holder that has adopted a number, with a
record written since, may have its record's age acknowledged again.
"""

from __future__ import annotations

import msgspec


class FenceRequest(msgspec.Struct, frozen=True):
    """Ask a peer to fence a silent holder.

    :param number: number of the fence, 1 more than the last one in the
        holder's record
    """

    holder: str
    number: int


class FenceReply(msgspec.Struct, frozen=True):
    """Answer whether the peer has fenced the holder.

    :param voter: the peer's incarnation
    """

    voter: str
    fenced: bool


class Fences:
    """Hold the fences of other gateways and the number of the own ones.

    :ivar adopted: number of the fence that the own record has adopted
    """

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self.adopted = 0
        self._announced = 0

    def fence(self, holder: str, number: int) -> None:
        """Refuse votes for a holder until it has adopted a fence."""
        self._numbers[holder] = max(number, self._numbers.get(holder, 0))

    def get_number(self, holder: str) -> int:
        """Return the number of a holder's last fence, 0 if there is none."""
        return self._numbers.get(holder, 0)

    def refuses(self, holder: str, adopted: int) -> bool:
        """Return whether a holder is fenced.

        :param adopted: number that the holder has adopted
        """
        return adopted < self.get_number(holder)

    def announce(self, number: int) -> None:
        """Record that a peer has fenced this gateway."""
        self._announced = max(self._announced, number)

    @property
    def next_adopted(self) -> int:
        """Return the number that the next record adopts.

        Its commit ends what an announced fence was for.
        """
        return max(self.adopted, self._announced)


__all__ = (
    "FenceReply",
    "FenceRequest",
    "Fences",
)
