"""News, tokens and configurations that gateways exchange directly.

Of each pair the gateway with the lower name calls; the answer carries the
other's news. So peers keep each other informed while the store is away.
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
from cyclamenwing.gateway import news
from cyclamenwing.gateway import relay
from cyclamenwing.gateway import succession
from cyclamenwing.gateway import suspects
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import caller
from cyclamenwing.transport import h1

NEWS_PATH = "/peers/news"
TRANSFER_PATH = "/peers/transfer"
CONFIGURATION_PATH = "/peers/configuration"
STATEMENT_PATH = "/peers/statement"
HOSTS_PREFIX = "cyclamenwing/hosts/"

NEWS_INTERVAL_S = 0.2
# Exchanges a gateway takes part in, a second; each costs about 1 ms of a
# small host's processor, so a larger fleet hears less often of each peer.
MAX_NEWS_PER_S = 20.0
# A peer that was not heard for this many intervals is called from here too.
SILENT_INTERVALS = 4
NEWS_TIMEOUT_S = 0.5
TRANSFER_TIMEOUT_S = 0.1
CONFIGURATION_TIMEOUT_S = 1.0
STATEMENT_TIMEOUT_S = 0.3
# A gateway that did not answer is tried again this much later.
SILENT_PAUSE_S = 1.0

GiveTokens = Callable[[str, int], Awaitable[int]]


class Peers:
    """Exchange news with all other gateways.

    :param adopt: takes the bytes of a peer's configuration
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        http: caller.Caller,
        adopt: Callable[[bytes, str], None],
        found: suspects.Suspects,
    ) -> None:
        self._board = board
        self._caller = http
        self._adopt = adopt
        self.desk = news.NewsDesk(board, found)
        self.relayed: relay.RelayedStore | None = None
        self.give_tokens: GiveTokens | None = None
        self._called_s: dict[str, float] = {}
        self._silent_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def register(self, store: protocol.TransactionStore) -> None:
        """Write this gateway's address to the store and read the others'."""
        board = self._board
        key = HOSTS_PREFIX + board.settings.host
        while True:
            try:
                await store.commit(
                    [], [(key, board.settings.control.encode())]
                )
                found = await store.read(HOSTS_PREFIX)
            except store_errors.StoreError as err:
                eliot.log_message("peers:register_failed", code=err.code)
                await asyncio.sleep(SILENT_PAUSE_S)
                continue
            for entry in found.entries:
                host = entry.key.removeprefix(HOSTS_PREFIX)
                self._meet(host, entry.value.decode())
            self.desk.registered = True
            return

    async def run(self) -> None:
        """Exchange news until cancelled."""
        while True:
            now_s = clock.read_time()
            self._call_due(now_s)
            await asyncio.sleep(NEWS_INTERVAL_S)

    async def handle(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        """Answer a peer's call."""
        path = request.target.decode("latin-1")
        answer = _HANDLERS.get(path)
        relayed = self.relayed if path == relay.PATH else None
        if answer is None and relayed is None:
            await connection.respond(404, (), b"")
            return
        try:
            if answer is not None:
                body = await answer(self, request.body)
            elif relayed is not None:
                body = await relayed.answer(request.body)
        except msgspec.DecodeError as err:
            eliot.log_message("peers:unreadable", path=path, reason=str(err))
            await connection.respond(400, (), b"")
            return
        await connection.respond(200, caller.JSON_HEADERS, body)

    async def ask_tokens(
        self, peer: blackboard.Peer, workspace: str, tokens: int
    ) -> int:
        """Ask a peer for tokens; return how many it handed over."""
        body = msgspec.json.encode(
            news.TransferRequest(workspace, tokens, self._board.escrow.holder)
        )
        try:
            status, answer = await self._caller.call(
                peer.address, "POST", TRANSFER_PATH, body, TRANSFER_TIMEOUT_S
            )
            if status != 200:
                return 0
            reply = msgspec.json.decode(answer, type=news.TransferReply)
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

    async def ask_statements(self, holder: str) -> list[succession.Statement]:
        """Ask all members what they know of a process that has died."""
        body = msgspec.json.encode(news.StatementRequest(holder))
        answers = await asyncio.gather(
            *(
                self._caller.call(
                    address, "POST", STATEMENT_PATH, body, STATEMENT_TIMEOUT_S
                )
                for address in self._board.members.values()
            ),
            return_exceptions=True,
        )
        found = []
        for answer in answers:
            if isinstance(answer, BaseException):
                eliot.log_message("peers:no_statement", reason=repr(answer))
                continue
            if answer[0] == 200:
                reply = msgspec.json.decode(
                    answer[1], type=news.StatementReply
                )
                found.append(
                    succession.Statement(
                        reply.elapsed_s, reply.late, reply.restart_age_s
                    )
                )
        return found

    def _meet(self, host: str, address: str) -> None:
        if host != self._board.settings.host:
            self._board.members.setdefault(host, address)

    def _call_due(self, now_s: float) -> None:
        board = self._board
        own = board.settings.host
        late = now_s - board.record_at_s > news.LATE_NOTICE_S
        targets = {
            address: host
            for host, address in board.members.items()
            if host > own or late or not self._is_heard(host, now_s)
        }
        interval_s = measure_interval(len(board.members))
        heard = set(board.members.values())
        for address in board.settings.seeds:
            if address != board.settings.control and address not in heard:
                targets.setdefault(address, address)
        for address in targets:
            due_s = self._called_s.get(address, 0.0) + interval_s * 0.9
            if now_s < max(due_s, self._silent_s.get(address, 0.0)):
                continue
            self._called_s[address] = now_s
            self._start(self._exchange(address))

    def _is_heard(self, host: str, now_s: float) -> bool:
        peer = self._board.peers.get(host)
        limit_s = SILENT_INTERVALS * measure_interval(len(self._board.members))
        return peer is not None and now_s - peer.seen_s < limit_s

    async def _exchange(self, address: str) -> None:
        told = self.desk.write_news(address)
        record_at_s = self._board.record_at_s
        try:
            status, answer = await self._caller.call(
                address,
                "POST",
                NEWS_PATH,
                msgspec.json.encode(told),
                NEWS_TIMEOUT_S,
            )
            if status != 200:
                return
            reply = msgspec.json.decode(answer, type=news.News)
        except (errors.CodedError, msgspec.DecodeError) as err:
            if address not in self._silent_s:
                eliot.log_message(
                    "peers:lost", address=address, reason=str(err)
                )
            self._silent_s[address] = clock.read_time() + SILENT_PAUSE_S
            return
        self.desk.note_told(address, told)
        self._read(reply)
        if self._silent_s.pop(address, None) is not None:
            eliot.log_message("peers:regained", address=address)
        renewed = record_at_s != self._board.record_at_s
        if told.late and reply.registered and not renewed:
            self._board.escrow.record_peer_notice()

    def _read(self, told: news.News) -> None:
        self.desk.read_news(told)
        known = self._board.configuration
        if told.version > (known.version if known else 0):
            self._start(self._fetch_configuration(told))

    async def _fetch_configuration(self, told: news.News) -> None:
        try:
            status, answer = await self._caller.call(
                told.address,
                "GET",
                CONFIGURATION_PATH,
                b"",
                CONFIGURATION_TIMEOUT_S,
            )
        except errors.CodedError as err:
            eliot.log_message(
                "peers:configuration_failed",
                peer=told.host,
                reason=err.message,
            )
            return
        if status == 200 and answer:
            self._adopt(answer, told.host)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_news(self, body: bytes) -> bytes:
        heard = msgspec.json.decode(body, type=news.News)
        self._read(heard)
        told = self.desk.write_news(heard.address)
        # If the answer gets lost, newer revisions and conflicts make up.
        self.desk.note_told(heard.address, told)
        return msgspec.json.encode(told)

    async def _answer_transfer(self, body: bytes) -> bytes:
        request = msgspec.json.decode(body, type=news.TransferRequest)
        tokens = 0
        if self.give_tokens is not None:
            tokens = await self.give_tokens(request.workspace, request.tokens)
        eliot.log_message(
            "peers:tokens_given",
            holder=request.holder,
            workspace=request.workspace,
            asked=request.tokens,
            tokens=tokens,
            left=self._board.escrow.open_account(request.workspace).held,
        )
        return msgspec.json.encode(news.TransferReply(tokens))

    async def _answer_statement(self, body: bytes) -> bytes:
        request = msgspec.json.decode(body, type=news.StatementRequest)
        reply = self.desk.state(request.holder)
        eliot.log_message(
            "peers:statement_given",
            holder=request.holder,
            elapsed_s=reply.elapsed_s,
            late=reply.late,
            restart_age_s=reply.restart_age_s,
        )
        return msgspec.json.encode(reply)

    async def _answer_configuration(self, _: bytes) -> bytes:
        known = self._board.configuration
        return known.source if known else b""


def measure_interval(peers: int) -> float:
    """Return the seconds between two exchanges with the same peer."""
    return max(NEWS_INTERVAL_S, peers / MAX_NEWS_PER_S)


_HANDLERS: dict[str, Callable[[Peers, bytes], Awaitable[bytes]]] = {
    NEWS_PATH: Peers._answer_news,
    TRANSFER_PATH: Peers._answer_transfer,
    CONFIGURATION_PATH: Peers._answer_configuration,
    STATEMENT_PATH: Peers._answer_statement,
}

__all__ = (
    "Peers",
    "measure_interval",
)
