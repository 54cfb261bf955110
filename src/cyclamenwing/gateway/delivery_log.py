"""Record of the numbered notices that peers have received by gossip."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from cyclamenwing.routing import exclusions


class Notice(Protocol):
    """Be about one endpoint, with a number of the process that made it."""

    @property
    def incarnation(self) -> exclusions.Incarnation:
        """Return the endpoint."""

    @property
    def origin(self) -> str:
        """Return the process that made the notice."""

    @property
    def number(self) -> int:
        """Return its number among the notices of that process."""


class DeliveryLog:
    """Hold the latest notice of each endpoint that each peer has received."""

    def __init__(self) -> None:
        # Origins and numbers by endpoint, by the address of the peer.
        self._delivered: dict[
            str, dict[exclusions.Incarnation, tuple[str, int]]
        ] = {}

    def lacks(self, address: str, notice: Notice) -> bool:
        """Return whether a peer has not received a notice yet."""
        received = self._delivered.get(address, {}).get(notice.incarnation)
        return received != (notice.origin, notice.number)

    def record(self, address: str, notices: Iterable[Notice]) -> None:
        """Record that a peer has received notices."""
        delivered = self._delivered.setdefault(address, {})
        if len(delivered) > 2 * exclusions.MAX_KEPT:
            delivered.clear()
        for notice in notices:
            delivered[notice.incarnation] = (notice.origin, notice.number)

    def forget(self, address: str) -> None:
        """Forget what a former process of a peer has received."""
        self._delivered.pop(address, None)


__all__ = (
    "DeliveryLog",
    "Notice",
)
