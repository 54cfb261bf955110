"""News, tokens and configurations that gateways exchange directly.

Of each pair the gateway with the lower name calls; the answer carries the
other's news. So peers keep each other informed while the store is away.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
from typing import NamedTuple

import eliot
import msgspec

from cyclamenwing import errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import succession
from cyclamenwing.routing import placement
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
NEWS_TIMEOUT_S = 0.5
TRANSFER_TIMEOUT_S = 0.1
CONFIGURATION_TIMEOUT_S = 1.0
STATEMENT_TIMEOUT_S = 0.3
# Pools are told in the news of about this long.
POOL_NEWS_S = 0.45
# A record of this age is missing its renewals; peers hear of it in time for
# the promises to grow.
LATE_NOTICE_S = 1.8
# A process that began this lately speaks of its own predecessor.
RESTART_LIFE_S = 10.0
# A gateway that did not answer is tried again this much later.
SILENT_PAUSE_S = 1.0
# Parts sent within this time are named in the news.
SENT_LIFE_S = 1.0
# A member that was never heard of in this time is no longer called.
MEMBER_LIFE_S = 30.0
MAX_SENT = 200


class SiteNews(msgspec.Struct, array_like=True):
    """Hold what a gateway runs at an endpoint."""

    endpoint: str
    running: int
    prefill_tokens: int


class SentNews(msgspec.Struct, array_like=True):
    """Name the prompt parts that an endpoint was sent."""

    number: int
    endpoint: str
    parts: list[tuple[str, int]]


class News(msgspec.Struct):
    """Hold what a gateway tells its peers."""

    host: str
    address: str
    holder: str
    version: int
    members: dict[str, str]
    sites: list[SiteNews]
    sent: list[SentNews]
    available: dict[str, int]
    held: dict[str, int]
    # Revision and holders of the pools that were seen lately.
    pools: dict[str, tuple[int, dict[str, int]]]
    # Age of the record that bounds the use of budgets.
    record_age_s: float
    # The record is old: its promises may grow fast once a peer knows.
    late: bool
    # The store lists this gateway, so that every other one can find it.
    registered: bool
    # Orders the news of one holder.
    number: int


class StatementRequest(msgspec.Struct):
    """Ask what is known of a process that has died."""

    holder: str


class StatementReply(msgspec.Struct):
    """Say how old its record is; see `succession.Statement`."""

    elapsed_s: float | None
    late: bool | None
    restart_age_s: float | None


class TransferRequest(msgspec.Struct):
    """Ask for tokens of a workspace."""

    workspace: str
    tokens: int
    holder: str


class TransferReply(msgspec.Struct):
    """Hand tokens over; a reply that gets lost loses them."""

    tokens: int


class Sent(NamedTuple):
    """Remember a request's prompt parts."""

    number: int
    endpoint: str
    parts: tuple[tuple[str, int], ...]
    sent_s: float


class Peers:
    """Exchange news with all other gateways.

    :param adopt: takes the bytes of a peer's configuration
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        http: caller.Caller,
        adopt: Callable[[bytes, str], None],
    ) -> None:
        self._board = board
        self._caller = http
        self._adopt = adopt
        self._sent: collections.deque[Sent] = collections.deque(
            maxlen=MAX_SENT
        )
        self._number = 0
        self._heard: dict[str, int] = {}
        self._former: dict[str, blackboard.Peer] = {}
        self._called_s: dict[str, float] = {}
        self._silent_s: dict[str, float] = {}
        self._registered = False
        self._news_number = 0
        self._last_numbers: dict[str, int] = {}
        self._late: dict[str, bool] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def note_sent(
        self, endpoint: str, parts: tuple[tuple[str, int], ...]
    ) -> None:
        """Remember prompt parts for the next news."""
        self._number += 1
        self._sent.append(
            Sent(self._number, endpoint, parts, clock.read_time())
        )

    async def register(self, store: protocol.Journal) -> None:
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
            self._registered = True
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
        if answer is None:
            await connection.respond(404, (), b"")
            return
        try:
            body = answer(self, request.body)
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
            TransferRequest(workspace, tokens, self._board.escrow.holder)
        )
        try:
            status, answer = await self._caller.call(
                peer.address, "POST", TRANSFER_PATH, body, TRANSFER_TIMEOUT_S
            )
            if status != 200:
                return 0
            reply = msgspec.json.decode(answer, type=TransferReply)
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

    async def ask_statements(
        self, holder: str
    ) -> list[succession.Statement]:
        """Ask all members what they know of a process that has died."""
        body = msgspec.json.encode(StatementRequest(holder))
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
                reply = msgspec.json.decode(answer[1], type=StatementReply)
                found.append(
                    succession.Statement(
                        reply.elapsed_s, reply.late, reply.restart_age_s
                    )
                )
        return found

    def write_news(self) -> News:
        """Return this gateway's news."""
        board = self._board
        now_s = clock.read_time()
        self._news_number += 1
        known = board.configuration
        names = {key: key[0] for key in board.placement.sites}
        return News(
            host=board.settings.host,
            address=board.settings.control,
            holder=board.escrow.holder,
            version=known.version if known else 0,
            members={
                peer.host: peer.address for peer in board.list_peers(now_s)
            },
            sites=[
                SiteNews(
                    names[key], len(site.jobs), int(site.count_own(now_s))
                )
                for key, site in board.placement.sites.items()
                if site.jobs
            ],
            sent=[
                SentNews(item.number, item.endpoint, list(item.parts))
                for item in self._sent
                if now_s - item.sent_s < SENT_LIFE_S
            ],
            available={
                name: account.count_available(now_s)
                for name, account in board.escrow.accounts.items()
                if account.count_available(now_s) > 0
            },
            held={
                name: account.held
                for name, account in board.escrow.accounts.items()
                if account.held > 0
            },
            pools={
                name: (pool.revision, pool.holders)
                for name, pool in board.escrow.pools.items()
                if now_s - board.pools_seen_s.get(name, 0.0) < POOL_NEWS_S
            },
            record_age_s=now_s - board.record_at_s,
            late=now_s - board.record_at_s > LATE_NOTICE_S,
            registered=self._registered,
            number=self._news_number,
        )

    def read_news(self, news: News) -> None:
        """Take over a peer's news."""
        board = self._board
        now_s = clock.read_time()
        if news.host == board.settings.host:
            return
        if news.number <= self._last_numbers.get(news.holder, 0):
            # Overtaken on another connection; what it says is outdated.
            return
        self._last_numbers[news.holder] = news.number
        self._late[news.holder] = news.late
        if news.host not in board.peers:
            eliot.log_message("peers:met", peer=news.host, holder=news.holder)
        before = board.peers.get(news.host)
        if before is not None and before.holder != news.holder:
            self._heard.pop(news.host, None)
            self._former[before.holder] = before
        board.peers[news.host] = blackboard.Peer(
            news.host,
            news.address,
            news.holder,
            news.version,
            news.available,
            news.held,
            now_s,
            news.record_age_s,
        )
        board.members[news.host] = news.address
        for host, address in news.members.items():
            if host != board.settings.host:
                board.members.setdefault(host, address)
        self._read_loads(news, now_s)
        for name, (revision, holders) in news.pools.items():
            if revision > board.escrow.open_pool(name).revision:
                board.escrow.see_pool(name, revision, holders)
                board.pools_seen_s[name] = now_s
        own = board.configuration.version if board.configuration else 0
        if news.version > own:
            self._start(self._fetch_configuration(news))

    def _read_loads(self, news: News, now_s: float) -> None:
        sites = self._board.placement
        told = {item.endpoint: item for item in news.sites}
        for key, site in sites.sites.items():
            item = told.get(key[0])
            if item is None:
                site.remote.pop(news.host, None)
                continue
            site.remote[news.host] = placement.RemoteLoad(
                item.running, item.prefill_tokens, now_s
            )
        heard = self._heard.get(news.host, 0)
        for sent in news.sent:
            if sent.number > heard:
                site = sites.find_site(sent.endpoint)
                if site is not None:
                    site.keep_parts(sent.parts)
                heard = sent.number
        self._heard[news.host] = heard

    def _meet(self, host: str, address: str) -> None:
        if host != self._board.settings.host:
            self._board.members.setdefault(host, address)

    def _call_due(self, now_s: float) -> None:
        board = self._board
        own = board.settings.host
        late = now_s - board.record_at_s > LATE_NOTICE_S
        targets = {
            address: host
            for host, address in board.members.items()
            if host > own or late or not self._is_heard(host, now_s)
        }
        heard = set(board.members.values())
        for address in board.settings.seeds:
            if address != board.settings.control and address not in heard:
                targets.setdefault(address, address)
        for address in targets:
            due_s = self._called_s.get(address, 0.0) + NEWS_INTERVAL_S * 0.9
            if now_s < max(due_s, self._silent_s.get(address, 0.0)):
                continue
            self._called_s[address] = now_s
            self._start(self._exchange(address))

    def _is_heard(self, host: str, now_s: float) -> bool:
        peer = self._board.peers.get(host)
        return (
            peer is not None and now_s - peer.seen_s < NEWS_INTERVAL_S * 4
        )

    async def _exchange(self, address: str) -> None:
        news = self.write_news()
        record_at_s = self._board.record_at_s
        body = msgspec.json.encode(news)
        try:
            status, answer = await self._caller.call(
                address, "POST", NEWS_PATH, body, NEWS_TIMEOUT_S
            )
            if status != 200:
                return
            reply = msgspec.json.decode(answer, type=News)
            self.read_news(reply)
            if (
                news.late
                and reply.registered
                and record_at_s == self._board.record_at_s
            ):
                self._board.escrow.allow_late()
            if self._silent_s.pop(address, None) is not None:
                eliot.log_message("peers:regained", address=address)
        except (errors.CodedError, msgspec.DecodeError) as err:
            if address not in self._silent_s:
                eliot.log_message(
                    "peers:lost", address=address, reason=str(err)
                )
            self._silent_s[address] = clock.read_time() + SILENT_PAUSE_S

    async def _fetch_configuration(self, news: News) -> None:
        try:
            status, answer = await self._caller.call(
                news.address,
                "GET",
                CONFIGURATION_PATH,
                b"",
                CONFIGURATION_TIMEOUT_S,
            )
        except errors.CodedError as err:
            eliot.log_message(
                "peers:configuration_failed",
                peer=news.host,
                reason=err.message,
            )
            return
        if status == 200 and answer:
            self._adopt(answer, news.host)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _answer_news(self, body: bytes) -> bytes:
        self.read_news(msgspec.json.decode(body, type=News))
        return msgspec.json.encode(self.write_news())

    def _answer_transfer(self, body: bytes) -> bytes:
        request = msgspec.json.decode(body, type=TransferRequest)
        account = self._board.escrow.open_account(request.workspace)
        tokens = account.give(request.tokens, clock.read_time())
        eliot.log_message(
            "peers:tokens_given",
            holder=request.holder,
            workspace=request.workspace,
            asked=request.tokens,
            tokens=tokens,
            left=account.held,
        )
        return msgspec.json.encode(TransferReply(tokens))

    def _answer_statement(self, body: bytes) -> bytes:
        request = msgspec.json.decode(body, type=StatementRequest)
        board = self._board
        now_s = clock.read_time()
        known = self._former.get(request.holder) or next(
            (p for p in board.peers.values() if p.holder == request.holder),
            None,
        )
        elapsed_s = known and known.record_age_s + now_s - known.seen_s
        fresh = now_s - board.began_s < RESTART_LIFE_S
        reply = StatementReply(
            elapsed_s,
            self._late.get(request.holder),
            board.wall_age_s if fresh else None,
        )
        eliot.log_message(
            "peers:statement_given",
            holder=request.holder,
            elapsed_s=reply.elapsed_s,
            late=reply.late,
            restart_age_s=reply.restart_age_s,
        )
        return msgspec.json.encode(reply)

    def _answer_configuration(self, _: bytes) -> bytes:
        known = self._board.configuration
        return known.source if known else b""


_HANDLERS: dict[str, Callable[[Peers, bytes], bytes]] = {
    NEWS_PATH: Peers._answer_news,
    TRANSFER_PATH: Peers._answer_transfer,
    CONFIGURATION_PATH: Peers._answer_configuration,
    STATEMENT_PATH: Peers._answer_statement,
}

__all__ = (
    "News",
    "Peers",
    "SentNews",
    "SiteNews",
    "StatementReply",
    "StatementRequest",
    "TransferReply",
    "TransferRequest",
)
