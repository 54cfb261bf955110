"""Exchange of the records of requests at crashes with peers, by gossip.

A crash of a busy endpoint leaves a record for each request that ran there.
Each message carries the next records that the peer has not confirmed, so that
none is left out, however many there are. Records with several crashes have a
cursor of their own and so do not wait behind those with one.
"""

from __future__ import annotations

import time

import msgspec

from cyclamenwing.gateway import blackboard
from cyclamenwing.routing import quarantine

MS_PER_S = 1000


class CrashNotice(msgspec.Struct, array_like=True):
    """Hold a crash record; see `quarantine.CrashRecord`."""

    fingerprint: str
    crashes: list[tuple[str, int]]
    cleared_ms: int

    def unpack(self) -> quarantine.CrashRecord:
        """Return the record."""
        return {
            "fingerprint": self.fingerprint,
            "crashes": self.crashes,
            "cleared_ms": self.cleared_ms,
        }


class CrashNotices(msgspec.Struct, array_like=True):
    """Hold changed records of requests.

    :param cursors: the sender's numbers of the last changes that are included
    :param confirmed: those of the receiver that the sender has
    :param confirmed_holder: the receiver's incarnation that had them
    """

    records: list[CrashNotice]
    cursors: quarantine.Cursors
    confirmed: quarantine.Cursors = quarantine.START
    confirmed_holder: str = ""


class CrashNoticeExchange:
    """Build the notices for each peer and merge those that it sends."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        self._controller = quarantine.QuarantineController()
        # Cursors received from peers, by incarnation, and the own ones that
        # they have confirmed, by address.
        self._received: dict[str, quarantine.Cursors] = {}
        self._confirmed: dict[str, quarantine.Cursors] = {}

    def knows(self, host: str) -> bool:
        """Return whether a peer's present process exchanges notices."""
        peer = self._board.peers.get(host)
        return peer is not None and peer.holder in self._received

    def build(self, address: str, host: str) -> CrashNotices:
        """Return the notices for a peer."""
        peer = self._board.peers.get(host)
        holder = peer.holder if peer else ""
        records, cursors = self._controller.list_changed(
            self._board.quarantine,
            self._confirmed.get(address, quarantine.START),
            host,
        )
        return CrashNotices(
            [CrashNotice(**record) for record in records],
            cursors,
            self._received.get(holder, quarantine.START),
            holder,
        )

    def merge(
        self,
        notices: CrashNotices | None,
        address: str,
        host: str,
        holder: str,
    ) -> None:
        """Merge the notices of a peer, None if it sent none."""
        if notices is None:
            self._confirmed.pop(address, None)
            return
        known = notices.confirmed_holder == self._board.escrow.holder
        self._confirmed[address] = (
            notices.confirmed if known else quarantine.START
        )
        if holder not in self._received:
            # The peer's former incarnation sends nothing any more.
            live = {peer.holder for peer in self._board.peers.values()}
            for name in set(self._received) - live:
                del self._received[name]
        self._received[holder] = notices.cursors
        now_ms = int(time.time() * MS_PER_S)
        for notice in notices.records:
            self._controller.merge_record(
                self._board.quarantine,
                notice.unpack(),
                now_ms,
                host,
            )


__all__ = (
    "CrashNotice",
    "CrashNoticeExchange",
    "CrashNotices",
)
