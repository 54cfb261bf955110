"""Exchange of the records of suspect prompt parts with peers, by gossip.

Each message carries the records that the peer has not confirmed, and confirms
those that came from it. So a lost message or reply delays a record, and a
process that starts gets all of them.
"""

from __future__ import annotations

import time

import eliot
import msgspec

from cyclamenwing.gateway import blackboard
from cyclamenwing.routing import poison_parts

MS_PER_S = 1000


class PartNotices(msgspec.Struct, array_like=True):
    """Hold changed records of suspect parts.

    :param number: the sender's number of the last change that is included
    :param confirmed: number of the receiver's last change that the sender has
    :param confirmed_holder: the receiver's incarnation that had it
    """

    records: list[poison_parts.PartRecord]
    number: int
    confirmed: int = 0
    confirmed_holder: str = ""


class PartNoticeExchange:
    """Build the notices for each peer and merge those that it sends."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        # Numbers of the last change that came from a peer, by incarnation,
        # and of the last own one that it has confirmed, by address.
        self._received: dict[str, int] = {}
        self._confirmed: dict[str, int] = {}

    def build(self, address: str, host: str) -> PartNotices | None:
        """Return the notices for a peer, None without any."""
        peer = self._board.peers.get(host)
        holder = peer.holder if peer else ""
        records, number = self._board.poison_parts.list_notices(
            self._confirmed.get(address, 0), host
        )
        confirmed = self._received.get(holder, 0)
        if not number and not confirmed:
            return None
        return PartNotices(records, number, confirmed, holder)

    def merge(
        self, notices: PartNotices | None, address: str, host: str, holder: str
    ) -> None:
        """Merge the notices of a peer, None if it sent none."""
        if notices is None:
            self._confirmed.pop(address, None)
            return
        known = notices.confirmed_holder == self._board.escrow.holder
        self._confirmed[address] = notices.confirmed if known else 0
        if holder not in self._received:
            # The peer's former incarnation sends nothing any more.
            live = {peer.holder for peer in self._board.peers.values()}
            for name in set(self._received) - live:
                del self._received[name]
        self._received[holder] = notices.number
        now_ms = int(time.time() * MS_PER_S)
        parts = self._board.poison_parts
        for name in parts.merge_notices(notices.records, host, now_ms):
            eliot.log_message(
                "suspect:part_merged",
                part=name,
                crashes=parts.count_crashes(name),
                quarantined=parts.is_quarantined(name, now_ms),
                peer=host,
            )


__all__ = (
    "PartNoticeExchange",
    "PartNotices",
)
