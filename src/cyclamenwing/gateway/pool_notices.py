"""Exchange of the pools that were read from the store, by gossip."""

from __future__ import annotations

from collections.abc import Mapping

from cyclamenwing.budget import restoration
from cyclamenwing.gateway import blackboard

Pools = dict[str, tuple[int, dict[str, int]]]


class PoolNoticeExchange:
    """Build the notices of pools for each peer and merge those of peers."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        # Eras and revisions of the pools that a peer has received, by its
        # address.
        self._delivered: dict[str, dict[str, tuple[int, int]]] = {}
        # Revisions of pools that came from peers: they are not passed on, as
        # the gateway that read them sends them to all peers itself.
        self._received: dict[str, tuple[int, int]] = {}

    def build(self, address: str) -> Pools:
        """Return revision and holders of the pools that a peer lacks."""
        own_escrow = self._board.escrow
        if own_escrow.era != self._board.eras.known:
            return {}
        delivered = self._delivered.get(address, {})
        return {
            name: (pool.revision, pool.holders)
            for name, pool in own_escrow.pools.items()
            if pool.revision
            and (position := (own_escrow.era, pool.revision))
            > delivered.get(name, (0, 0))
            and position != self._received.get(name)
        }

    def list_marks(self, pools: Pools) -> dict[str, restoration.Mark]:
        """Return the marks of the pools that were restored in this era."""
        return {
            name: mark
            for name in pools
            if (mark := self._board.escrow.find_mark(name)).restored
        }

    def record_delivered(self, address: str, era: int, pools: Pools) -> None:
        """Record that a peer has received pools."""
        delivered = self._delivered.setdefault(address, {})
        for name, (revision, _) in pools.items():
            delivered[name] = (era, revision)

    def forget(self, address: str) -> None:
        """Forget what a former process of a peer has received."""
        self._delivered.pop(address, None)

    def merge(
        self,
        era: int,
        pools: Pools,
        marks: Mapping[str, restoration.Mark],
        host: str,
        now_s: float,
    ) -> None:
        """Adopt the newer pools that a peer has read.

        :param era: era of the store at the peer, 0 if it does not know of eras
        """
        own_escrow = self._board.escrow
        era = era or self._board.eras.first
        self._board.eras.observe(era, host)
        if era != own_escrow.era:
            return
        for name, (revision, holders) in pools.items():
            if revision > own_escrow.open_pool(name).revision:
                own_escrow.update_pool(
                    name, revision, holders, marks.get(name)
                )
                self._board.pools_updated_s[name] = now_s
                self._received[name] = (era, revision)


__all__ = ("PoolNoticeExchange",)
