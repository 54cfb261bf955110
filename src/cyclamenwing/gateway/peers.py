"""Gossip, token transfers and configurations exchanged between gateways.

Delegates exchange gossip with each other, any other gateway with its delegate
only. Of two delegates the one with the lower host name calls, and the answer
carries the other's gossip message. The exchange needs no store, so peers keep
each other informed during an outage of the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
from typing import TypeVar

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing import errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import compression
from cyclamenwing.gateway import errors as gateway_errors
from cyclamenwing.gateway import fences
from cyclamenwing.gateway import gossip
from cyclamenwing.gateway import gossip_messages
from cyclamenwing.gateway import poison_requests
from cyclamenwing.gateway import record_age
from cyclamenwing.transport import h1
from cyclamenwing.transport import pooled_client

GOSSIP_PATH = "/peers/news"
TRANSFER_PATH = "/peers/transfer"
CONFIGURATION_PATH = "/peers/configuration"
RECORD_AGE_PATH = "/peers/statement"
FENCE_PATH = "/peers/fence"

GOSSIP_INTERVAL_S = 0.2
# Bound on the gossip exchanges per second of one gateway. Each costs about
# 1 ms of CPU time on a small host, so peers in a larger fleet exchange less
# often.
MAX_GOSSIP_PER_S = 20.0
# A peer that should call, but has sent nothing for this many intervals, is
# called from here as well.
SILENT_INTERVALS = 4
GOSSIP_TIMEOUT_S = 0.5
TRANSFER_TIMEOUT_S = 0.1
CONFIGURATION_TIMEOUT_S = 3.0
RECORD_AGE_TIMEOUT_S = 0.3
FENCE_TIMEOUT_S = 0.5
# A new configuration usually arrives by the watch within this time.
FETCH_DELAY_S = 0.3
# Delay before calling a gateway again that did not answer.
RETRY_DELAY_S = 1.0

TransferTokens = Callable[[str, int], Awaitable[int]]
Answer = Callable[[bytes], Awaitable[bytes]]
Reply = TypeVar("Reply")


class Peers:
    """Exchange gossip with other gateways and answer their calls.

    :param adopt: called with a peer's encoded configuration and its host
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        http: pooled_client.PooledClient,
        adopt: Callable[[bytes, str], None],
        poison_tracker: poison_requests.PoisonRequestTracker,
    ) -> None:
        self._board = board
        self._caller = http
        self._adopt = adopt
        self.gossip = gossip.GossipState(board, poison_tracker)
        self.transfer_tokens: TransferTokens | None = None
        # Answers to calls of peers by path; other components add theirs.
        self.handlers: dict[str, Answer] = {
            GOSSIP_PATH: self._answer_gossip,
            TRANSFER_PATH: self._answer_transfer,
            CONFIGURATION_PATH: self._answer_configuration,
            RECORD_AGE_PATH: self._answer_record_age,
            FENCE_PATH: self._answer_fence,
        }
        self._last_call_s: dict[str, float] = {}
        self._retry_at_s: dict[str, float] = {}
        self._fetching = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Exchange gossip until cancelled."""
        while True:
            now_s = clock.read_time()
            self._start_due_exchanges(now_s)
            await asyncio.sleep(GOSSIP_INTERVAL_S)

    async def handle(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        """Answer a call of a peer."""
        path = request.target.decode("latin-1")
        handler = self.handlers.get(path)
        if handler is None:
            await connection.respond(404, (), b"")
            return
        try:
            body = await handler(request.body)
        except msgspec.DecodeError as err:
            eliot.log_message("peers:unreadable", path=path, reason=str(err))
            await connection.respond(400, (), b"")
            return
        except gateway_errors.LeavingError as err:
            await connection.respond(err.status, (), b"")
            return
        await connection.respond(200, pooled_client.JSON_HEADERS, body)

    async def request_tokens(
        self, peer: blackboard.Peer, workspace: str, tokens: int
    ) -> int:
        """Ask a peer for tokens; return how many it transferred."""
        body = msgspec.json.encode(
            gossip_messages.TransferRequest(
                workspace, tokens, self._board.escrow.holder
            )
        )
        try:
            status, answer = await self._caller.call(
                peer.address, "POST", TRANSFER_PATH, body, TRANSFER_TIMEOUT_S
            )
            if status != 200:
                return 0
            reply = decoding.decode(answer, gossip_messages.TransferReply)
        except (errors.CodedError, msgspec.DecodeError) as err:
            eliot.log_message(
                "peers:transfer_failed", peer=peer.host, reason=str(err)
            )
            return 0
        eliot.log_message(
            "peers:tokens_received",
            peer=peer.host,
            workspace=workspace,
            asked=tokens,
            tokens=reply.tokens,
        )
        return max(reply.tokens, 0)

    async def request_record_ages(
        self, holder: str
    ) -> list[record_age.AgeEvidence]:
        """Ask all members about the record of a process that has died."""
        body = msgspec.json.encode(gossip_messages.RecordAgeRequest(holder))
        board = self._board
        # A wall clock that was wrong at the start may have been set since, so
        # peers are compared with the time that it showed then. The time taken
        # by the calls makes peers seem ahead, which is safe.
        wall_s = board.started_wall_s + clock.read_time() - board.started_s
        answers = await asyncio.gather(
            *(
                self._caller.call(
                    address,
                    "POST",
                    RECORD_AGE_PATH,
                    body,
                    RECORD_AGE_TIMEOUT_S,
                )
                for address in self._list_addresses()
            ),
            return_exceptions=True,
        )
        evidence = []
        for answer in answers:
            if isinstance(answer, BaseException):
                eliot.log_message(
                    "peers:record_age_failed", reason=repr(answer)
                )
                continue
            reply = _read_reply(answer, gossip_messages.RecordAgeReply)
            if reply is not None:
                evidence.append(
                    record_age.AgeEvidence(
                        reply.elapsed_s,
                        reply.late,
                        reply.restart_age_s,
                        None
                        if reply.wall_s is None
                        else reply.wall_s - wall_s,
                    )
                )
        return evidence

    def _list_addresses(self) -> list[str]:
        members = self._board.roster.members.values()
        return [member.address for member in members]

    def _start_due_exchanges(self, now_s: float) -> None:
        roster = self._board.roster
        roster.refresh(now_s)
        limits = self._board.directory.limits
        limits.set_members(roster.alive, roster.members, now_s)
        urgent = limits.cold.starts.take_urgent(now_s)
        targets = self._list_targets(now_s, urgent)
        interval_s = 0.0 if urgent else compute_interval(len(targets))
        known = set(self._list_addresses())
        for address in self._board.settings.seeds:
            if address != roster.own.address and address not in known:
                targets.setdefault(address, "")
        for address, host in targets.items():
            due_s = self._last_call_s.get(address, 0.0) + interval_s * 0.9
            if now_s < max(due_s, self._retry_at_s.get(address, 0.0)):
                continue
            self._last_call_s[address] = now_s
            self._start_task(self._exchange_gossip(address, host))

    def _list_targets(self, now_s: float, urgent: bool) -> dict[str, str]:
        """Return the hosts of the peers to call, by address.

        :param urgent: tell also those that call by themselves later
        """
        roster = self._board.roster
        if not roster.acts_as_delegate:
            chosen = roster.find_delegates(now_s)[:1]
            chosen += roster.list_retries(now_s)
            return {member.address: member.host for member in chosen}
        late = self.gossip.has_late_record(now_s)
        others = roster.list_delegates() + roster.list_retries(now_s)
        max_silence_s = SILENT_INTERVALS * compute_interval(len(others))
        return {
            member.address: member.host
            for member in others
            if member.host > roster.own.host
            or late
            or urgent
            or not self._has_recent_gossip(member.host, now_s, max_silence_s)
        }

    def _has_recent_gossip(
        self, host: str, now_s: float, max_silence_s: float
    ) -> bool:
        peer = self._board.peers.get(host)
        return peer is not None and now_s - peer.received_s < max_silence_s

    async def _exchange_gossip(self, address: str, host: str) -> None:
        sent = self.gossip.build_message(address, host)
        record_written_s = self._board.record_written_s
        try:
            status, answer = await self._caller.call(
                address,
                "POST",
                GOSSIP_PATH,
                msgspec.json.encode(sent),
                GOSSIP_TIMEOUT_S,
            )
            if status != 200:
                return
            reply = decoding.decode(answer, gossip_messages.GossipMessage)
        except (errors.CodedError, msgspec.DecodeError) as err:
            if address not in self._retry_at_s:
                eliot.log_message(
                    "peers:lost", address=address, reason=str(err)
                )
            now_s = clock.read_time()
            self._retry_at_s[address] = now_s + RETRY_DELAY_S
            if host:
                self._board.roster.record_failure(host, now_s)
            return
        self.gossip.record_delivered(address, sent)
        self._merge(reply)
        if self._retry_at_s.pop(address, None) is not None:
            eliot.log_message("peers:regained", address=address)
        self._board.fences.announce(reply.fence)
        renewed = record_written_s != self._board.record_written_s
        if sent.late and not renewed:
            self._count_vote(sent, reply)

    def _count_vote(
        self,
        sent: gossip_messages.GossipMessage,
        reply: gossip_messages.GossipMessage,
    ) -> None:
        """Count a peer that has acknowledged that the own record is old."""
        if not reply.registered or sent.adopted_fence < reply.fence:
            return
        own_escrow = self._board.escrow
        own_escrow.votes.add(reply.holder)
        if own_escrow.votes.reached:
            own_escrow.record_peer_notice()

    def _merge(self, message: gossip_messages.GossipMessage) -> None:
        self.gossip.merge_message(message)
        config = self._board.configuration
        newer = message.version > (config.version if config else 0)
        if newer and not self._fetching:
            self._fetching = True
            self._start_task(self._fetch_configuration(message))

    async def _fetch_configuration(
        self, message: gossip_messages.GossipMessage
    ) -> None:
        """Fetch a newer configuration unless it arrives by itself.

        One fetch at a time: all peers announce a new version at once, and
        answers to several fetches would share a slow link.
        """
        try:
            await asyncio.sleep(FETCH_DELAY_S)
            config = self._board.configuration
            if config is not None and config.version >= message.version:
                return
            status, answer = await self._caller.call(
                message.address,
                "GET",
                CONFIGURATION_PATH,
                b"",
                CONFIGURATION_TIMEOUT_S,
            )
            if status == 200 and answer:
                self._adopt(compression.unpack(answer), message.host)
        except errors.CodedError as err:
            eliot.log_message(
                "peers:configuration_failed",
                peer=message.host,
                reason=err.message,
            )
        finally:
            self._fetching = False

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_gossip(self, body: bytes) -> bytes:
        received = decoding.decode(body, gossip_messages.GossipMessage)
        self._merge(received)
        reply = self.gossip.build_message(received.address, received.host)
        reply.fence = self._board.fences.get_number(received.holder)
        # If the reply is lost, the peer learns of the pools by their next
        # revisions or by a conflict of its own commit.
        self.gossip.record_delivered(received.address, reply)
        return msgspec.json.encode(reply)

    async def _answer_transfer(self, body: bytes) -> bytes:
        request = decoding.decode(body, gossip_messages.TransferRequest)
        tokens = 0
        if self.transfer_tokens is not None:
            tokens = await self.transfer_tokens(
                request.workspace, request.tokens
            )
        eliot.log_message(
            "peers:tokens_given",
            holder=request.holder,
            workspace=request.workspace,
            asked=request.tokens,
            tokens=tokens,
            left=self._board.escrow.open_account(request.workspace).held,
        )
        return msgspec.json.encode(gossip_messages.TransferReply(tokens))

    async def _answer_record_age(self, body: bytes) -> bytes:
        request = decoding.decode(body, gossip_messages.RecordAgeRequest)
        reply = self.gossip.report_record_age(request.holder)
        eliot.log_message(
            "peers:record_age_sent",
            holder=request.holder,
            elapsed_s=reply.elapsed_s,
            late=reply.late,
            restart_age_s=reply.restart_age_s,
        )
        return msgspec.json.encode(reply)

    async def request_fence(
        self, voters: Collection[str], request: fences.FenceRequest
    ) -> int:
        """Ask the voters of a record to fence its holder.

        Return how many of them did.
        """
        addresses = [
            peer.address
            for peer in self._board.peers.values()
            if peer.holder in voters
        ]
        body = msgspec.json.encode(request)
        answers = await asyncio.gather(
            *(
                self._caller.call(
                    address, "POST", FENCE_PATH, body, FENCE_TIMEOUT_S
                )
                for address in addresses
            ),
            return_exceptions=True,
        )
        fenced = set()
        if self._board.escrow.holder in voters and self.gossip.fence_holder(
            request
        ):
            fenced.add(self._board.escrow.holder)
        for answer in answers:
            if isinstance(answer, BaseException):
                eliot.log_message("peers:fence_failed", reason=repr(answer))
                continue
            reply = _read_reply(answer, fences.FenceReply)
            if reply is not None and reply.fenced:
                fenced.add(reply.voter)
        return len(fenced & set(voters))

    async def _answer_fence(self, body: bytes) -> bytes:
        request = decoding.decode(body, fences.FenceRequest)
        fenced = self.gossip.fence_holder(request)
        eliot.log_message(
            "peers:fence_answered",
            holder=request.holder,
            number=request.number,
            fenced=fenced,
        )
        return msgspec.json.encode(
            fences.FenceReply(self._board.escrow.holder, fenced)
        )

    async def _answer_configuration(self, _: bytes) -> bytes:
        config = self._board.configuration
        return compression.pack(config.source) if config else b""


def _read_reply(answer: tuple[int, bytes], kind: type[Reply]) -> Reply | None:
    """Return a peer's reply, None if it refused or can't be read."""
    status, body = answer
    if status != 200:
        return None
    try:
        return decoding.decode(body, kind)
    except msgspec.DecodeError as err:
        eliot.log_message("peers:reply_unreadable", reason=str(err))
        return None


def compute_interval(peers: int) -> float:
    """Return the seconds between two exchanges with the same peer.

    :param peers: number of other gateways
    """
    return max(GOSSIP_INTERVAL_S, peers / MAX_GOSSIP_PER_S)


__all__ = (
    "Peers",
    "compute_interval",
)
