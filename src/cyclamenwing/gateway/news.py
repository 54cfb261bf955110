"""What gateways tell each other, and what each makes of it."""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

import eliot
import msgspec

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import suspects
from cyclamenwing.routing import placement
from cyclamenwing.routing import quarantine

# A record of this age is missing its renewals; peers hear of it in time for
# the promises to grow.
LATE_NOTICE_S = 1.8
# A process that began this lately speaks of its own predecessor.
RESTART_LIFE_S = 10.0
# Parts sent within this time are named in the news, to each peer once.
SENT_LIFE_S = 2.5
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
    # Revision and holders of the pools that the gateway saw in the store
    # and has not told this peer.
    pools: dict[str, tuple[int, dict[str, int]]]
    # Age of the record that bounds the use of budgets.
    record_age_s: float
    # Requests that were running at crashes of endpoints.
    suspects: quarantine.QuarantineNews | None
    # Time since this gateway reached the store itself.
    store_age_s: float
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


@dataclasses.dataclass(slots=True)
class Told:
    """Remember what a peer was told, so that it isn't told again."""

    sent_number: int = 0
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)


class NewsDesk:
    """Write this gateway's news and read those of its peers."""

    def __init__(
        self, board: blackboard.Blackboard, found: suspects.Suspects
    ) -> None:
        self._board = board
        self._suspects = found
        self._sent: collections.deque[Sent] = collections.deque(
            maxlen=MAX_SENT
        )
        self._number = 0
        self._news_number = 0
        self._heard: dict[str, int] = {}
        self._former: dict[str, blackboard.Peer] = {}
        self._last_numbers: dict[str, int] = {}
        self._late: dict[str, bool] = {}
        # By the peer's address.
        self._told: dict[str, Told] = {}
        # Revisions of pools that only peers have shown.
        self._heard_pools: dict[str, int] = {}
        self.registered = False

    def note_sent(
        self, endpoint: str, parts: tuple[tuple[str, int], ...]
    ) -> None:
        """Remember prompt parts for the next news."""
        self._number += 1
        self._sent.append(
            Sent(self._number, endpoint, parts, clock.read_time())
        )

    def write_news(self, address: str) -> News:
        """Return this gateway's news for the peer at an address."""
        told = self._told.setdefault(address, Told())
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
                and item.number > told.sent_number
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
                if pool.revision > told.revisions.get(name, 0)
                and pool.revision != self._heard_pools.get(name)
            },
            record_age_s=now_s - board.record_at_s,
            suspects=self._suspects.tell(),
            store_age_s=now_s - board.direct_seen_s,
            late=now_s - board.record_at_s > LATE_NOTICE_S,
            registered=self.registered,
            number=self._news_number,
        )

    def note_told(self, address: str, news: News) -> None:
        """Remember news that have reached a peer."""
        told = self._told.setdefault(address, Told())
        for item in news.sent:
            told.sent_number = max(told.sent_number, item.number)
        for name, (revision, _) in news.pools.items():
            told.revisions[name] = revision

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
        self._note_change(news)
        board.peers[news.host] = blackboard.Peer(
            news.host,
            news.address,
            news.holder,
            news.version,
            news.available,
            news.held,
            now_s,
            news.record_age_s,
            news.store_age_s,
        )
        board.members[news.host] = news.address
        for host, address in news.members.items():
            if host != board.settings.host:
                board.members.setdefault(host, address)
        self._read_loads(news, now_s)
        self._read_pools(news, now_s)
        if news.suspects is not None:
            self._suspects.hear(news.suspects)

    def state(self, holder: str) -> StatementReply:
        """Say what is known of a process that has died."""
        board = self._board
        now_s = clock.read_time()
        known = self._former.get(holder) or next(
            (p for p in board.peers.values() if p.holder == holder), None
        )
        fresh = now_s - board.began_s < RESTART_LIFE_S
        return StatementReply(
            known and known.record_age_s + now_s - known.seen_s,
            self._late.get(holder),
            board.wall_age_s if fresh else None,
        )

    def _note_change(self, news: News) -> None:
        before = self._board.peers.get(news.host)
        if before is not None and before.holder == news.holder:
            return
        eliot.log_message("peers:met", peer=news.host, holder=news.holder)
        if before is not None:
            self._heard.pop(news.host, None)
            self._told.pop(news.address, None)
            self._former[before.holder] = before

    def _read_pools(self, news: News, now_s: float) -> None:
        ledger = self._board.escrow
        for name, (revision, holders) in news.pools.items():
            if revision > ledger.open_pool(name).revision:
                ledger.update_pool(name, revision, holders)
                self._board.pools_seen_s[name] = now_s
                self._heard_pools[name] = revision

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
                told_site = sites.find_site(sent.endpoint)
                if told_site is not None:
                    told_site.keep_parts(sent.parts)
                heard = sent.number
        self._heard[news.host] = heard


__all__ = (
    "News",
    "NewsDesk",
    "SentNews",
    "SiteNews",
    "StatementReply",
    "StatementRequest",
    "TransferReply",
    "TransferRequest",
)
