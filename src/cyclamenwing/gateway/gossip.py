"""Gossip messages between gateways, and the state to build and merge them.

Delegates exchange messages with each other, and with the gateways that are
attached to them. A message to an attached gateway speaks for the whole fleet,
one to another delegate for the sender and the gateways attached to it. So no
load is counted twice, and the size of a message grows with the endpoints
rather than with the gateways.
"""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import NamedTuple

import eliot
import msgspec

from cyclamenwing.budget import restoration
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import poison_notices
from cyclamenwing.gateway import poison_requests
from cyclamenwing.membership import delegates
from cyclamenwing.routing import exclusions
from cyclamenwing.routing import placement
from cyclamenwing.routing import quarantine
from cyclamenwing.routing import rate_limits
from cyclamenwing.routing import versions

# Records are renewed more often than this while the store is reachable. Peers
# learn of an older record early enough for its usage bounds to enter their
# late phase on time.
LATE_RECORD_AGE_S = 1.8
# For this long after its start a process reports the age of its own
# predecessor's record by wall clock.
RESTART_WINDOW_S = 10.0
# Prompt parts are in gossip messages for this long, once for each peer.
RECENT_PARTS_WINDOW_S = 2.5
MAX_RECENT_PARTS = 1000
# Limits of endpoints in one message; the others follow in the next ones.
MAX_LIMIT_NOTICES = 100


class EndpointLoad(msgspec.Struct, array_like=True):
    """Hold the load that gateways put on an endpoint.

    :param running: requests that the gateways have in flight
    :param prefill_tokens: estimated prompt tokens of these that await prefill
    """

    endpoint: str
    running: int
    prefill_tokens: int


class SentParts(msgspec.Struct, array_like=True):
    """Name prompt parts that were sent to an endpoint.

    :param number: sequence number among all that the sender's process has sent
    :param parts: names of the parts with their numbers of tokens
    """

    number: int
    endpoint: str
    parts: list[tuple[str, int]]


class GossipMessage(msgspec.Struct):
    """Hold one gossip message of a gateway to a peer.

    :param holder: name of the sender's incarnation in the pools
    :param version: version of its configuration
    :param member: the sender
    :param attached: the sender uses the receiver as its delegate
    :param members: members that the peer has not been told of yet
    :param lost: delegates that have been silent for long
    :param gateways: live gateways that the message speaks for
    :param sites: the load that these put on endpoints
    :param sent: prompt parts that these sent to endpoints recently
    :param available: tokens by workspace that it may use or transfer now
    :param held: tokens by workspace that it holds, including those that its
        usage bound does not allow yet
    :param pools: revision and holders of the pools that it read from the store
        and has not sent to this peer yet
    :param record_age_s: age of its record of usage bounds in the store
    :param suspects: requests that were running when endpoints crashed
    :param store_age_s: time since it last reached the store directly
    :param late: its record is older than `LATE_RECORD_AGE_S`; the usage bounds
        may enter their late phase only after a peer has received this
    :param registered: the store lists it, so any other gateway can find and
        ask it
    :param number: sequence number among the messages of its incarnation
    :param wall_s: time of sending by its wall clock
    :param superseded: endpoints whose address belongs to another incarnation
    :param era: era of the store that it knows, and of `pools`
    :param marks: marks of those `pools` that were restored in this era
    :param limits: limits of endpoints that the peer has not been told of yet
    :param parts: suspect parts of prompts
    :param software: software versions of the endpoints that it saw lately
    :param software_span_s: time for which it has missed none
    """

    host: str
    address: str
    holder: str
    version: int
    member: delegates.Member
    attached: bool
    members: list[delegates.Member]
    lost: list[str]
    gateways: int
    sites: list[EndpointLoad]
    sent: list[SentParts]
    available: dict[str, int]
    held: dict[str, int]
    pools: dict[str, tuple[int, dict[str, int]]]
    record_age_s: float
    suspects: quarantine.QuarantineGossip | None
    store_age_s: float
    late: bool
    registered: bool
    number: int
    wall_s: float | None = None
    superseded: list[placement.SupersededEndpoint] = []
    era: int = 0
    marks: dict[str, restoration.Mark] = {}
    limits: list[rate_limits.LimitNotice] = []
    parts: poison_notices.PartNotices | None = None
    software: list[versions.SeenVersion] = []
    software_span_s: float = 0.0


class RecordAgeRequest(msgspec.Struct):
    """Ask a peer about the record of a process that has died."""

    holder: str


class RecordAgeReply(msgspec.Struct):
    """Report the age of a dead process's record.

    The fields are those of `record_age.AgeEvidence`.

    :param wall_s: time of the reply by the peer's wall clock
    """

    elapsed_s: float | None
    late: bool | None
    restart_age_s: float | None
    wall_s: float | None = None


class TransferRequest(msgspec.Struct):
    """Ask a peer to transfer tokens of a workspace."""

    workspace: str
    tokens: int
    holder: str


class TransferReply(msgspec.Struct):
    """Transfer tokens; they are lost if the reply is lost."""

    tokens: int


class RecentParts(NamedTuple):
    """Hold the prompt parts of a request that was sent to an endpoint.

    :param source: host of the peer that reported it, empty for this gateway
    :param from_delegate: the peer is a delegate, which reports it to all
        other delegates itself
    """

    number: int
    endpoint: str
    parts: tuple[tuple[str, int], ...]
    sent_s: float
    source: str = ""
    from_delegate: bool = False


@dataclasses.dataclass(slots=True)
class DeliveredGossip:
    """Track the data that a peer has received and is not sent again.

    :param sent_number: newest `SentParts.number` that the peer has received
    :param revisions: eras and revisions of the pools that it has received
    :param members: start times of the members that it knows, by host
    :param limits: origins and numbers of the limits that it has received
    """

    sent_number: int = 0
    revisions: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    members: dict[str, int] = dataclasses.field(default_factory=dict)
    limits: dict[exclusions.Incarnation, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )


class GossipState:
    """Build this gateway's gossip messages and merge those of peers."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        poison_tracker: poison_requests.PoisonRequestTracker,
    ) -> None:
        self._board = board
        self._poison_requests = poison_tracker
        self._part_notices = poison_notices.PartNoticeExchange(board)
        self._recent_parts: collections.deque[RecentParts] = collections.deque(
            maxlen=MAX_RECENT_PARTS
        )
        self._parts_number = 0
        self._message_number = 0
        self._received_parts_numbers: dict[str, int] = {}
        self._replaced_peers: dict[str, blackboard.Peer] = {}
        self._last_message_numbers: dict[str, int] = {}
        self._late_records: dict[str, bool] = {}
        # By the control address of the peer.
        self._delivered: dict[str, DeliveredGossip] = {}
        # Revisions of pools that came from peers: they are not passed on, as
        # the gateway that read them sends them to all peers itself.
        self._peer_pool_revisions: dict[str, tuple[int, int]] = {}

    def record_sent_parts(
        self,
        endpoint: str,
        parts: tuple[tuple[str, int], ...],
        source: str = "",
        from_delegate: bool = False,
    ) -> None:
        """Record prompt parts for the next gossip messages."""
        self._parts_number += 1
        self._recent_parts.append(
            RecentParts(
                self._parts_number,
                endpoint,
                parts,
                clock.read_time(),
                source,
                from_delegate,
            )
        )

    def build_message(self, address: str, host: str = "") -> GossipMessage:
        """Return the next message to a peer.

        :param host: its host, empty if it is not known yet
        """
        delivered = self._delivered.setdefault(address, DeliveredGossip())
        board = self._board
        roster = board.roster
        now_s = clock.read_time()
        self._message_number += 1
        config = board.configuration
        attached = roster.list_attached(now_s)
        serves = host in attached
        sends_pools = roster.acts_as_delegate and not serves
        pools = self._list_pools(delivered) if sends_pools else {}
        return GossipMessage(
            host=board.settings.host,
            address=board.settings.control,
            holder=board.escrow.holder,
            version=config.version if config else 0,
            member=roster.own,
            attached=not roster.acts_as_delegate,
            members=[
                member
                for member in roster.members.values()
                if delivered.members.get(member.host) != member.started_ms
            ],
            lost=roster.list_lost(now_s),
            gateways=(
                board.count_gateways(now_s)
                if serves
                else board.count_cluster(now_s)
            ),
            sites=self._sum_loads(None if serves else attached, host, now_s),
            superseded=board.placement.list_superseded(now_s),
            sent=self._list_parts(delivered, serves, host, now_s),
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
            pools=pools,
            record_age_s=now_s - board.record_written_s,
            suspects=self._poison_requests.build_gossip(),
            store_age_s=now_s - board.direct_contact_s,
            late=self.has_late_record(now_s),
            registered=board.registered,
            number=self._message_number,
            wall_s=time.time(),
            era=board.eras.known,
            marks={
                name: mark
                for name in pools
                if (mark := board.escrow.find_mark(name)).restored
            },
            limits=self._list_limits(delivered, serves, host, now_s),
            parts=self._part_notices.build(address, host),
            software=board.versions.list_seen(now_s),
            software_span_s=board.versions.measure_span(now_s),
        )

    def _list_pools(
        self, delivered: DeliveredGossip
    ) -> dict[str, tuple[int, dict[str, int]]]:
        own_escrow = self._board.escrow
        if own_escrow.era != self._board.eras.known:
            return {}
        return {
            name: (pool.revision, pool.holders)
            for name, pool in own_escrow.pools.items()
            if pool.revision
            and (position := (own_escrow.era, pool.revision))
            > delivered.revisions.get(name, (0, 0))
            and position != self._peer_pool_revisions.get(name)
        }

    def has_late_record(self, now_s: float) -> bool:
        """Return whether this gateway has a record that became old."""
        written_s = self._board.record_written_s
        return written_s > 0 and now_s - written_s > LATE_RECORD_AGE_S

    def _sum_loads(
        self, included: set[str] | None, receiver: str, now_s: float
    ) -> list[EndpointLoad]:
        """Return the loads of this gateway and of some of its peers.

        :param included: hosts of these peers, None for all but the receiver
        """
        loads = []
        for key, state in self._board.placement.sites.items():
            others = [
                load
                for host, load in state.peer_loads.items()
                if (host != receiver if included is None else host in included)
                and now_s - load.received_s < placement.PEER_LOAD_TTL_S
            ]
            running = len(state.in_flight) + sum(o.running for o in others)
            if running:
                tokens = state.count_own_backlog(now_s) + sum(
                    o.prefill_tokens for o in others
                )
                loads.append(EndpointLoad(key[0], running, int(tokens)))
        return loads

    def _list_parts(
        self,
        delivered: DeliveredGossip,
        serves: bool,
        receiver: str,
        now_s: float,
    ) -> list[SentParts]:
        return [
            SentParts(item.number, item.endpoint, list(item.parts))
            for item in self._recent_parts
            if item.number > delivered.sent_number
            and now_s - item.sent_s < RECENT_PARTS_WINDOW_S
            and not (item.source and item.source == receiver)
            and (serves or not item.from_delegate)
        ]

    def _list_limits(
        self,
        delivered: DeliveredGossip,
        serves: bool,
        receiver: str,
        now_s: float,
    ) -> list[rate_limits.LimitNotice]:
        notices = [
            notice
            for notice, limit in self._board.directory.limits.list_notices(
                now_s
            )
            if delivered.limits.get(notice.incarnation)
            != (notice.origin, notice.number)
            and not (limit.source and limit.source == receiver)
            and (serves or not limit.from_delegate)
        ]
        return notices[:MAX_LIMIT_NOTICES]

    def record_delivered(self, address: str, message: GossipMessage) -> None:
        """Record that a message has reached a peer."""
        delivered = self._delivered.setdefault(address, DeliveredGossip())
        for item in message.sent:
            delivered.sent_number = max(delivered.sent_number, item.number)
        for name, (revision, _) in message.pools.items():
            delivered.revisions[name] = (message.era, revision)
        for member in message.members:
            delivered.members[member.host] = member.started_ms
        if len(delivered.limits) > 2 * rate_limits.MAX_KEPT:
            delivered.limits.clear()
        for notice in message.limits:
            delivered.limits[notice.incarnation] = (
                notice.origin,
                notice.number,
            )

    def merge_message(self, message: GossipMessage) -> None:
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
        )
        self._merge_members(message, now_s)
        self._merge_loads(message, now_s)
        self._merge_pools(message, now_s)
        board.placement.merge_superseded(message.superseded, now_s)
        self._merge_limits(message, now_s)
        board.versions.merge(message.software, message.software_span_s, now_s)
        if message.suspects is not None:
            self._poison_requests.merge_gossip(message.suspects)
        self._part_notices.merge(
            message.parts, message.address, message.host, message.holder
        )

    def report_record_age(self, holder: str) -> RecordAgeReply:
        """Return the evidence on the age of a dead process's record."""
        board = self._board
        now_s = clock.read_time()
        peer = self._replaced_peers.get(holder) or next(
            (p for p in board.peers.values() if p.holder == holder), None
        )
        restarted = now_s - board.started_s < RESTART_WINDOW_S
        return RecordAgeReply(
            peer and peer.record_age_s + now_s - peer.received_s,
            self._late_records.get(holder),
            board.predecessor_wall_age_s if restarted else None,
            time.time(),
        )

    def _record_incarnation(self, message: GossipMessage) -> None:
        previous = self._board.peers.get(message.host)
        if previous is not None and previous.holder == message.holder:
            return
        eliot.log_message(
            "peers:new_incarnation", peer=message.host, holder=message.holder
        )
        if previous is not None:
            self._received_parts_numbers.pop(message.host, None)
            self._delivered.pop(message.address, None)
            self._replaced_peers[previous.holder] = previous

    def _merge_members(self, message: GossipMessage, now_s: float) -> None:
        roster = self._board.roster
        roster.add(message.member)
        for member in message.members:
            roster.add(member)
        delivered = self._delivered.setdefault(
            message.address, DeliveredGossip()
        )
        for member in (message.member, *message.members):
            # The peer knows them already.
            delivered.members[member.host] = member.started_ms
        roster.record_contact(message.host, now_s)
        if message.attached:
            roster.record_attached(message.host, now_s)
        else:
            roster.detach(message.host)
            roster.merge_lost(message.lost)

    def _merge_pools(self, message: GossipMessage, now_s: float) -> None:
        own_escrow = self._board.escrow
        # A peer that does not know of eras names none.
        era = message.era or self._board.eras.first
        self._board.eras.observe(era, message.host)
        if era != own_escrow.era:
            return
        for name, (revision, holders) in message.pools.items():
            if revision > own_escrow.open_pool(name).revision:
                own_escrow.update_pool(
                    name, revision, holders, message.marks.get(name)
                )
                self._board.pools_updated_s[name] = now_s
                self._peer_pool_revisions[name] = (era, revision)

    def _merge_limits(self, message: GossipMessage, now_s: float) -> None:
        limits = self._board.directory.limits
        for notice in message.limits:
            if limits.merge_notice(
                notice, now_s, message.host, not message.attached
            ):
                eliot.log_message(
                    "endpoint:limit_merged",
                    endpoint=notice.incarnation.name,
                    address=notice.incarnation.address,
                    limit_rps=notice.limit_rps,
                    peer=message.host,
                    origin=notice.origin,
                    age_s=round(notice.age_s, 3),
                    wait_s=round(
                        limits.measure_wait(notice.incarnation, now_s), 3
                    ),
                )

    def _merge_loads(self, message: GossipMessage, now_s: float) -> None:
        own_placement = self._board.placement
        loads = {item.endpoint: item for item in message.sites}
        # An attached gateway learns all loads from its delegate. Those of a
        # former delegate would count twice.
        alone = not self._board.roster.acts_as_delegate
        for key, endpoint_state in own_placement.sites.items():
            if alone:
                endpoint_state.peer_loads.clear()
            item = loads.get(key[0])
            if item is None:
                endpoint_state.peer_loads.pop(message.host, None)
                continue
            endpoint_state.peer_loads[message.host] = placement.PeerLoad(
                item.running, item.prefill_tokens, now_s
            )
        last_number = self._received_parts_numbers.get(message.host, 0)
        for sent in message.sent:
            if sent.number <= last_number:
                continue
            target_state = own_placement.find_state(sent.endpoint)
            if target_state is not None:
                target_state.cache_parts(sent.parts)
            last_number = sent.number
            if not alone:
                self.record_sent_parts(
                    sent.endpoint,
                    tuple(sent.parts),
                    message.host,
                    not message.attached,
                )
        self._received_parts_numbers[message.host] = last_number


__all__ = (
    "EndpointLoad",
    "GossipMessage",
    "GossipState",
    "RecordAgeReply",
    "RecordAgeRequest",
    "SentParts",
    "TransferReply",
    "TransferRequest",
)
