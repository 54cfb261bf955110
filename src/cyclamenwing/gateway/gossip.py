"""State to build gossip messages and to merge those of peers.

Delegates exchange messages with each other, and with the gateways that are
attached to them. A message to an attached gateway speaks for the whole fleet,
one to another delegate for the sender and the gateways attached to it. So no
load is counted twice, and the size of a message grows with the endpoints
rather than with the gateways.
"""

from __future__ import annotations

import time

import eliot

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import cold_notices
from cyclamenwing.gateway import crash_notices
from cyclamenwing.gateway import evacuation_notices
from cyclamenwing.gateway import fences
from cyclamenwing.gateway import gossip_messages
from cyclamenwing.gateway import limit_notices
from cyclamenwing.gateway import load_notices
from cyclamenwing.gateway import poison_notices
from cyclamenwing.gateway import poison_requests
from cyclamenwing.gateway import pool_notices
from cyclamenwing.gateway import rate_notices

# Records are renewed more often than this while the store is reachable. Peers
# learn of an older record early enough for its usage bounds to enter their
# late phase on time.
LATE_RECORD_AGE_S = 1.8
# For this long after its start a process reports the age of its own
# predecessor's record by wall clock.
RESTART_WINDOW_S = 10.0


class GossipState:
    """Build this gateway's gossip messages and merge those of peers."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        poison_tracker: poison_requests.PoisonRequestTracker,
    ) -> None:
        self._board = board
        self._poison_requests = poison_tracker
        self._crash_notices = crash_notices.CrashNoticeExchange(board)
        self._part_notices = poison_notices.PartNoticeExchange(board)
        self._load_notices = load_notices.LoadNoticeExchange(board)
        self.rate_notices = rate_notices.RateNoticeExchange(board)
        self._limit_notices = limit_notices.LimitNoticeExchange(board)
        self._cold_notices = cold_notices.ColdNoticeExchange(board)
        self._pool_notices = pool_notices.PoolNoticeExchange(board)
        self._order_notices = evacuation_notices.OrderNoticeExchange(board)
        self.record_sent_parts = self._load_notices.record_sent_parts
        self._message_number = 0
        self._replaced_peers: dict[str, blackboard.Peer] = {}
        self._last_message_numbers: dict[str, int] = {}
        self._late_records: dict[str, bool] = {}
        # Start times of the members that a peer knows, by host, for each
        # control address.
        self._delivered_members: dict[str, dict[str, int]] = {}

    def build_message(
        self, address: str, host: str = ""
    ) -> gossip_messages.GossipMessage:
        """Return the next message to a peer.

        :param host: its host, empty if it is not known yet
        """
        known_members = self._delivered_members.get(address, {})
        board = self._board
        roster = board.roster
        now_s = clock.read_time()
        self._message_number += 1
        self._poison_requests.expire()
        config = board.configuration
        attached = roster.list_attached(now_s)
        serves = host in attached
        sends_pools = roster.acts_as_delegate and not serves
        pools = self._pool_notices.build(address) if sends_pools else {}
        return gossip_messages.GossipMessage(
            host=board.settings.host,
            address=board.settings.control,
            holder=board.escrow.holder,
            version=config.version if config else 0,
            member=roster.own,
            attached=not roster.acts_as_delegate,
            members=[
                member
                for member in roster.members.values()
                if known_members.get(member.host) != member.started_ms
            ],
            lost=roster.list_lost(now_s),
            gateways=(
                board.count_gateways(now_s)
                if serves
                else board.count_cluster(now_s)
            ),
            sites=self._load_notices.sum_loads(
                None if serves else attached, host, now_s
            ),
            superseded=board.placement.list_superseded(now_s),
            sent=self._load_notices.list_parts(address, serves, host, now_s),
            available={
                name: account.count_available(now_s)
                for name, account in board.escrow.accounts.items()
                if not serves and account.count_available(now_s) > 0
            },
            held={
                name: account.held
                for name, account in board.escrow.accounts.items()
                if not serves and account.held > 0
            },
            deferred={
                name: account.deferred
                for name, account in board.escrow.accounts.items()
                if not serves and account.deferred
            },
            pools=pools,
            record_age_s=now_s - board.record_written_s,
            suspects=(
                None
                if self._crash_notices.knows(host)
                else self._poison_requests.build_gossip()
            ),
            crashes=self._crash_notices.build(address, host),
            store_age_s=now_s - board.direct_contact_s,
            late=self.has_late_record(now_s),
            registered=board.registered,
            number=self._message_number,
            wall_s=time.time(),
            era=board.eras.known,
            marks=self._pool_notices.list_marks(pools),
            limits=self._limit_notices.build(address, serves, host, now_s),
            parts=self._part_notices.build(address, host),
            rates=self.rate_notices.build(address, serves, host, now_s),
            software=board.versions.list_seen(now_s),
            software_span_s=board.versions.measure_span(now_s),
            evacuations=self._order_notices.build(now_s),
            cold=self._cold_notices.build(address, serves, host, now_s),
            adopted_fence=board.fences.adopted,
        )

    def has_late_record(self, now_s: float) -> bool:
        """Return whether this gateway has a record that became old."""
        written_s = self._board.record_written_s
        return written_s > 0 and now_s - written_s > LATE_RECORD_AGE_S

    def record_delivered(
        self, address: str, message: gossip_messages.GossipMessage
    ) -> None:
        """Record that a message has reached a peer."""
        self._load_notices.record_delivered(address, message.sent)
        self.rate_notices.record_delivered(
            address, message.rates, clock.read_time()
        )
        self._pool_notices.record_delivered(
            address, message.era, message.pools
        )
        self._limit_notices.record_delivered(address, message.limits)
        self._cold_notices.record_delivered(address, message.cold)
        members = self._delivered_members.setdefault(address, {})
        for member in message.members:
            members[member.host] = member.started_ms

    def merge_message(self, message: gossip_messages.GossipMessage) -> None:
        """Update the blackboard from a peer's message."""
        board = self._board
        now_s = clock.read_time()
        if message.host == board.settings.host:
            return
        if message.number <= self._last_message_numbers.get(message.holder, 0):
            # A newer message has overtaken this one on another connection.
            return
        self._last_message_numbers[message.holder] = message.number
        self._late_records[message.holder] = message.late
        self._record_incarnation(message)
        board.peers[message.host] = blackboard.Peer(
            message.host,
            message.address,
            message.holder,
            message.version,
            message.available,
            message.held,
            now_s,
            message.record_age_s,
            message.store_age_s,
            message.gateways,
            None if message.wall_s is None else message.wall_s - now_s,
            {
                name: board.escrow.open_pool(name).holders.get(
                    message.holder, 0
                )
                for name in message.held
            },
            message.deferred,
        )
        self._order_notices.merge(message.evacuations, message.host, now_s)
        self._merge_members(message, now_s)
        from_delegate = not message.attached
        self._load_notices.merge_loads(message.host, message.sites, now_s)
        self._load_notices.merge_parts(
            message.host, message.sent, from_delegate
        )
        self.rate_notices.merge(
            message.rates, message.host, from_delegate, now_s
        )
        self._pool_notices.merge(
            message.era, message.pools, message.marks, message.host, now_s
        )
        board.placement.merge_superseded(message.superseded, now_s)
        self._limit_notices.merge(
            message.limits, message.host, from_delegate, now_s
        )
        self._cold_notices.merge(
            message.cold, message.host, from_delegate, now_s
        )
        board.versions.merge(message.software, message.software_span_s, now_s)
        if message.suspects is not None:
            self._poison_requests.merge_gossip(message.suspects)
        self._crash_notices.merge(
            message.crashes, message.address, message.host, message.holder
        )
        self._part_notices.merge(
            message.parts, message.address, message.host, message.holder
        )

    def fence_holder(self, request: fences.FenceRequest) -> bool:
        """Fence a silent holder; return False if that may be too late.

        It is if this process has acknowledged the record's age, or if it
        still hears from the holder.
        """
        board = self._board
        now_s = clock.read_time()
        heard = any(
            peer.holder == request.holder
            for peer in board.list_live_peers(now_s)
        )
        if heard or self._late_records.get(request.holder, False):
            return False
        board.fences.fence(request.holder, request.number)
        return True

    def report_record_age(self, holder: str) -> gossip_messages.RecordAgeReply:
        """Return the evidence on the age of a dead process's record."""
        board = self._board
        now_s = clock.read_time()
        peer = self._replaced_peers.get(holder) or next(
            (p for p in board.peers.values() if p.holder == holder), None
        )
        restarted = now_s - board.started_s < RESTART_WINDOW_S
        return gossip_messages.RecordAgeReply(
            peer and peer.record_age_s + now_s - peer.received_s,
            self._late_records.get(holder),
            board.predecessor_wall_age_s if restarted else None,
            time.time(),
        )

    def _record_incarnation(
        self, message: gossip_messages.GossipMessage
    ) -> None:
        previous = self._board.peers.get(message.host)
        if previous is not None and previous.holder == message.holder:
            return
        eliot.log_message(
            "peers:new_incarnation", peer=message.host, holder=message.holder
        )
        if previous is not None:
            self._load_notices.forget(message.host, message.address)
            self.rate_notices.forget(message.host, message.address)
            self._pool_notices.forget(message.address)
            self._limit_notices.forget(message.address)
            self._cold_notices.forget(message.address)
            self._delivered_members.pop(message.address, None)
            self._replaced_peers[previous.holder] = previous

    def _merge_members(
        self, message: gossip_messages.GossipMessage, now_s: float
    ) -> None:
        roster = self._board.roster
        roster.add(message.member)
        for member in message.members:
            roster.add(member)
        delivered = self._delivered_members.setdefault(message.address, {})
        for member in (message.member, *message.members):
            # The peer knows them already.
            delivered[member.host] = member.started_ms
        roster.record_contact(message.host, now_s)
        if message.attached:
            roster.record_attached(message.host, now_s)
        else:
            roster.detach(message.host)
            roster.merge_lost(message.lost)


__all__ = ("GossipState",)
