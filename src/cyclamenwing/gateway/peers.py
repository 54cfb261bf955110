"""Gossip, token transfers and configurations exchanged between gateways.

Of each pair the gateway with the lower host name calls, and the answer
carries the other's gossip message. The exchange needs no store, so peers keep
each other informed during an outage of the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine

import eliot
import msgspec

from cyclamenwing import errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import gossip
from cyclamenwing.gateway import poison_requests
from cyclamenwing.gateway import record_age
from cyclamenwing.gateway import relay
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import h1
from cyclamenwing.transport import pooled_client

GOSSIP_PATH = "/peers/news"
TRANSFER_PATH = "/peers/transfer"
CONFIGURATION_PATH = "/peers/configuration"
RECORD_AGE_PATH = "/peers/statement"
HOSTS_PREFIX = "cyclamenwing/hosts/"

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
CONFIGURATION_TIMEOUT_S = 1.0
RECORD_AGE_TIMEOUT_S = 0.3
# Delay before calling a gateway again that did not answer.
RETRY_DELAY_S = 1.0

TransferTokens = Callable[[str, int], Awaitable[int]]


class Peers:
    """Exchange gossip with all other gateways and answer their calls.

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
        self.relayed_store: relay.RelayedStore | None = None
        self.transfer_tokens: TransferTokens | None = None
        self._last_call_s: dict[str, float] = {}
        self._retry_at_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def register(self, store: protocol.TransactionStore) -> None:
        """Register this gateway's address in the store and read all others."""
        board = self._board
        key = HOSTS_PREFIX + board.settings.host
        while True:
            try:
                await store.commit(
                    [], [(key, board.settings.control.encode())]
                )
                snapshot = await store.read(HOSTS_PREFIX)
            except store_errors.StoreError as err:
                eliot.log_message("peers:register_failed", code=err.code)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            for entry in snapshot.entries:
                host = entry.key.removeprefix(HOSTS_PREFIX)
                self._add_member(host, entry.value.decode())
            self.gossip.registered = True
            return

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
        handler = _HANDLERS.get(path)
        relayed_store = (
            self.relayed_store if path == relay.RELAY_PATH else None
        )
        if handler is None and relayed_store is None:
            await connection.respond(404, (), b"")
            return
        try:
            if handler is not None:
                body = await handler(self, request.body)
            elif relayed_store is not None:
                body = await relayed_store.answer_peer(request.body)
        except msgspec.DecodeError as err:
            eliot.log_message("peers:unreadable", path=path, reason=str(err))
            await connection.respond(400, (), b"")
            return
        await connection.respond(200, pooled_client.JSON_HEADERS, body)

    async def request_tokens(
        self, peer: blackboard.Peer, workspace: str, tokens: int
    ) -> int:
        """Ask a peer for tokens; return how many it transferred."""
        body = msgspec.json.encode(
            gossip.TransferRequest(
                workspace, tokens, self._board.escrow.holder
            )
        )
        try:
            status, answer = await self._caller.call(
                peer.address, "POST", TRANSFER_PATH, body, TRANSFER_TIMEOUT_S
            )
            if status != 200:
                return 0
            reply = msgspec.json.decode(answer, type=gossip.TransferReply)
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
        body = msgspec.json.encode(gossip.RecordAgeRequest(holder))
        answers = await asyncio.gather(
            *(
                self._caller.call(
                    address,
                    "POST",
                    RECORD_AGE_PATH,
                    body,
                    RECORD_AGE_TIMEOUT_S,
                )
                for address in self._board.members.values()
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
            if answer[0] == 200:
                reply = msgspec.json.decode(
                    answer[1], type=gossip.RecordAgeReply
                )
                evidence.append(
                    record_age.AgeEvidence(
                        reply.elapsed_s, reply.late, reply.restart_age_s
                    )
                )
        return evidence

    def _add_member(self, host: str, address: str) -> None:
        if host != self._board.settings.host:
            self._board.members.setdefault(host, address)

    def _start_due_exchanges(self, now_s: float) -> None:
        board = self._board
        own_host = board.settings.host
        late = now_s - board.record_written_s > gossip.LATE_RECORD_AGE_S
        targets = {
            address: host
            for host, address in board.members.items()
            if host > own_host
            or late
            or not self._has_recent_gossip(host, now_s)
        }
        interval_s = compute_interval(len(board.members))
        member_addresses = set(board.members.values())
        for address in board.settings.seeds:
            if (
                address != board.settings.control
                and address not in member_addresses
            ):
                targets.setdefault(address, address)
        for address in targets:
            due_s = self._last_call_s.get(address, 0.0) + interval_s * 0.9
            if now_s < max(due_s, self._retry_at_s.get(address, 0.0)):
                continue
            self._last_call_s[address] = now_s
            self._start_task(self._exchange_gossip(address))

    def _has_recent_gossip(self, host: str, now_s: float) -> bool:
        peer = self._board.peers.get(host)
        max_silence_s = SILENT_INTERVALS * compute_interval(
            len(self._board.members)
        )
        return peer is not None and now_s - peer.received_s < max_silence_s

    async def _exchange_gossip(self, address: str) -> None:
        sent = self.gossip.build_message(address)
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
            reply = msgspec.json.decode(answer, type=gossip.GossipMessage)
        except (errors.CodedError, msgspec.DecodeError) as err:
            if address not in self._retry_at_s:
                eliot.log_message(
                    "peers:lost", address=address, reason=str(err)
                )
            self._retry_at_s[address] = clock.read_time() + RETRY_DELAY_S
            return
        self.gossip.record_delivered(address, sent)
        self._merge(reply)
        if self._retry_at_s.pop(address, None) is not None:
            eliot.log_message("peers:regained", address=address)
        renewed = record_written_s != self._board.record_written_s
        if sent.late and reply.registered and not renewed:
            self._board.escrow.record_peer_notice()

    def _merge(self, message: gossip.GossipMessage) -> None:
        self.gossip.merge_message(message)
        config = self._board.configuration
        if message.version > (config.version if config else 0):
            self._start_task(self._fetch_configuration(message))

    async def _fetch_configuration(
        self, message: gossip.GossipMessage
    ) -> None:
        try:
            status, answer = await self._caller.call(
                message.address,
                "GET",
                CONFIGURATION_PATH,
                b"",
                CONFIGURATION_TIMEOUT_S,
            )
        except errors.CodedError as err:
            eliot.log_message(
                "peers:configuration_failed",
                peer=message.host,
                reason=err.message,
            )
            return
        if status == 200 and answer:
            self._adopt(answer, message.host)

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_gossip(self, body: bytes) -> bytes:
        received = msgspec.json.decode(body, type=gossip.GossipMessage)
        self._merge(received)
        reply = self.gossip.build_message(received.address)
        # If the reply is lost, the peer learns of the pools by their next
        # revisions or by a conflict of its own commit.
        self.gossip.record_delivered(received.address, reply)
        return msgspec.json.encode(reply)

    async def _answer_transfer(self, body: bytes) -> bytes:
        request = msgspec.json.decode(body, type=gossip.TransferRequest)
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
        return msgspec.json.encode(gossip.TransferReply(tokens))

    async def _answer_record_age(self, body: bytes) -> bytes:
        request = msgspec.json.decode(body, type=gossip.RecordAgeRequest)
        reply = self.gossip.report_record_age(request.holder)
        eliot.log_message(
            "peers:record_age_sent",
            holder=request.holder,
            elapsed_s=reply.elapsed_s,
            late=reply.late,
            restart_age_s=reply.restart_age_s,
        )
        return msgspec.json.encode(reply)

    async def _answer_configuration(self, _: bytes) -> bytes:
        config = self._board.configuration
        return config.source if config else b""


def compute_interval(peers: int) -> float:
    """Return the seconds between two exchanges with the same peer.

    :param peers: number of other gateways
    """
    return max(GOSSIP_INTERVAL_S, peers / MAX_GOSSIP_PER_S)


_HANDLERS: dict[str, Callable[[Peers, bytes], Awaitable[bytes]]] = {
    GOSSIP_PATH: Peers._answer_gossip,
    TRANSFER_PATH: Peers._answer_transfer,
    CONFIGURATION_PATH: Peers._answer_configuration,
    RECORD_AGE_PATH: Peers._answer_record_age,
}

__all__ = (
    "Peers",
    "compute_interval",
)
