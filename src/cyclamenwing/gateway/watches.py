"""Watches of the store through a delegate.

Each delegate keeps the entries that it watches. The gateways attached to it
follow these by long polls, so that the store sees only the delegates. An
answer holds each changed key once, with its newest value.

If no delegate answers, or all have lost the store for too long, a gateway
calls the store itself, but not more often than each `FALLBACK_INTERVAL_S`.
"""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Iterator

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing import errors as base_errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import compression
from cyclamenwing.membership import delegates
from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import pooled_client

WATCH_PATH = "/peers/watch"
# Length of one long poll of a delegate. A shorter one detects a frozen
# delegate sooner.
WAIT_S = 1.0
# Time after the long poll by which the head of an answer must arrive.
ANSWER_DELAY_S = 0.5
BODY_TIMEOUT_S = 4.0
# Delegates asked before the store is called.
MAX_DELEGATES_ASKED = 2
# A delegate's entries count as outdated this long after the store's last
# answer. The delegate's own long poll takes up to 3 s.
MAX_VIEW_AGE_S = 5.0
FALLBACK_INTERVAL_S = 2.0
# At its start a gateway waits this long to learn of the delegates, and for a
# delegate that has just started itself to load its entries.
SETTLE_WAIT_S = 2.5
LOAD_WAIT_S = 0.4
# Removals kept for attached gateways; who has missed more reads all entries.
MAX_REMOVALS = 500


class WatchRequest(msgspec.Struct):
    """Ask a delegate for the changes of a prefix after a revision.

    A revision below 0 asks for all entries.

    :param era: era of the store to which the revision belongs, 0 if unknown
    """

    prefix: str
    revision: int
    wait_s: float
    host: str
    era: int = 0


class WatchReply(msgspec.Struct):
    """Hold changes of a prefix.

    :param complete: these are all entries, not only the changed ones
    :param entries: key, packed value or None if removed, revision
    :param view_age_s: time since the store last answered the delegate
    :param failure_age_s: time since the delegate last failed to reach the
        store, None if it did not lately
    :param era: era of the store that the entries were read in, 0 if unknown
    """

    revision: int
    complete: bool
    entries: list[tuple[str, bytes | None, int]]
    view_age_s: float
    failure_age_s: float | None
    era: int = 0


class WatchCache:
    """Hold the entries below one prefix as last read.

    :param revision: revision of the store up to which changes are included;
        below 0 until the entries were read
    :param era: era of the store to which the revisions belong
    :param answered_s: time of the store's last answer
    :param failed_s: time of the last failure to reach it, None if not lately
    """

    def __init__(self) -> None:
        self.revision = -1
        self.era = 0
        self.answered_s = 0.0
        self.failed_s: float | None = None
        self._entries: dict[str, tuple[bytes, int]] = {}
        self._removals: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Removals up to this revision are no longer known.
        self._floor = -1
        self._changed = asyncio.Condition()

    async def load(self, snapshot: protocol.Snapshot) -> None:
        """Replace all entries."""
        if snapshot.era != self.era:
            # Revisions of different eras can't be compared.
            self._entries.clear()
            self._removals.clear()
            self.era = snapshot.era
            self.revision = -1
        names = {entry.key for entry in snapshot.entries}
        for name in set(self._entries) - names:
            self._remove(name, snapshot.revision)
        for entry in snapshot.entries:
            self._put(entry.key, entry.value, entry.revision)
        if self.revision < 0:
            self._floor = snapshot.revision
        await self._advance(snapshot.revision)

    async def apply(self, changes: protocol.Changes) -> None:
        """Add changes."""
        for change in changes.changes:
            if change.value is None:
                self._remove(change.key, change.revision)
            else:
                self._put(change.key, change.value, change.revision)
        await self._advance(changes.revision)

    async def wait(self, revision: int, wait_s: float, era: int = 0) -> None:
        """Wait until there are changes after a revision of an era."""
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        self.era > era > 0
                        or (
                            not self._is_other_era(era)
                            and next(self._list_changes(revision), None)
                            is not None
                        )
                    )
                )
        except TimeoutError:
            return

    def collect(self, revision: int, now_s: float, era: int = 0) -> WatchReply:
        """Return the changes after a revision, all entries if unknown."""
        if self._is_other_era(era):
            revision = -1
        complete = revision < self._floor
        entries = list(self._list_changes(-1 if complete else revision))
        if complete:
            entries = [item for item in entries if item[1] is not None]
        return WatchReply(
            max(self.revision, revision),
            complete,
            entries,
            now_s - self.answered_s,
            None if self.failed_s is None else now_s - self.failed_s,
            self.era,
        )

    def _is_other_era(self, era: int) -> bool:
        return 0 < era != self.era

    def _list_changes(
        self, revision: int
    ) -> Iterator[tuple[str, bytes | None, int]]:
        yield from (
            (name, value, changed)
            for name, (value, changed) in self._entries.items()
            if changed > revision
        )
        yield from (
            (name, None, changed)
            for name, changed in self._removals.items()
            if changed > revision
        )

    def _put(self, name: str, value: bytes, revision: int) -> None:
        known = self._entries.get(name)
        if known is None or known[1] < revision:
            self._entries[name] = (compression.pack(value), revision)
        self._removals.pop(name, None)

    def _remove(self, name: str, revision: int) -> None:
        self._entries.pop(name, None)
        self._removals[name] = revision
        self._removals.move_to_end(name)
        while len(self._removals) > MAX_REMOVALS:
            self._floor = max(self._floor, self._removals.popitem(False)[1])

    async def _advance(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        async with self._changed:
            self._changed.notify_all()


class DelegatedStore:
    """Watch the store, through a delegate unless this gateway is one.

    :param store: reaches the store itself
    :param settled: set once the delegates are known
    """

    def __init__(
        self,
        store: protocol.TransactionStore,
        board: blackboard.Blackboard,
        http: pooled_client.PooledClient,
        settled: asyncio.Event,
    ) -> None:
        self._store = store
        self._settled = settled
        self._board = board
        self._caller = http
        self.caches: dict[str, WatchCache] = {}
        self._fallback_s: dict[str, float] = {}

    def open_cache(self, prefix: str) -> WatchCache:
        """Return the cache of a prefix, creating an empty one if absent."""
        return self.caches.setdefault(prefix, WatchCache())

    async def read(self, prefix: str) -> protocol.Snapshot:
        """Read all entries below a prefix."""
        reply = await self._ask_delegates(prefix, -1, 0, 0.0)
        if reply is None:
            return await self._store.read(prefix)
        return protocol.Snapshot(
            [
                protocol.Entry(name, compression.unpack(value), revision)
                for name, value, revision in reply.entries
                if value is not None
            ],
            reply.revision,
            reply.failure_age_s,
            reply.era,
        )

    async def follow(
        self, prefix: str, revision: int, era: int, wait_s: float
    ) -> protocol.Changes:
        """Wait for changes after a revision of an era.

        :param wait_s: longest wait at the store; delegates answer sooner
        :raises StoreHistoryLostError: if all entries must be read again
        """
        reply = await self._ask_delegates(prefix, revision, era, WAIT_S)
        if reply is None:
            if not self._board.roster.acts_as_delegate:
                # Delegates may answer again soon.
                wait_s = min(wait_s, WAIT_S)
            return await self._store.follow(prefix, revision, wait_s)
        if reply.complete:
            raise errors.StoreHistoryLostError(prefix)
        return protocol.Changes(
            [
                protocol.Change(
                    name,
                    None if value is None else compression.unpack(value),
                    changed,
                )
                for name, value, changed in reply.entries
            ],
            reply.revision,
            reply.failure_age_s,
            reply.era,
        )

    async def answer(self, body: bytes) -> bytes:
        """Answer the long poll of an attached gateway."""
        request = decoding.decode(body, WatchRequest)
        self._board.roster.record_attached(request.host, clock.read_time())
        cache = self.open_cache(request.prefix)
        if cache.revision < 0:
            await cache.wait(-1, LOAD_WAIT_S)
        if request.wait_s > 0 and cache.revision >= 0:
            await cache.wait(
                request.revision, min(request.wait_s, WAIT_S), request.era
            )
        return msgspec.json.encode(
            cache.collect(request.revision, clock.read_time(), request.era)
        )

    async def _ask_delegates(
        self, prefix: str, revision: int, era: int, wait_s: float
    ) -> WatchReply | None:
        """Return a delegate's answer, None if the store is to be called."""
        await self._wait_settled()
        roster = self._board.roster
        if roster.acts_as_delegate:
            return None
        outdated: WatchReply | None = None
        for member in roster.find_delegates(clock.read_time())[
            :MAX_DELEGATES_ASKED
        ]:
            request = WatchRequest(
                prefix, revision, wait_s, self._board.settings.host, era
            )
            reply = await self._ask(member, request)
            if reply is None or reply.revision < 0:
                continue
            if self._is_outdated(reply, revision, era):
                # Older than what is known here.
                continue
            if reply.view_age_s < MAX_VIEW_AGE_S:
                return reply
            outdated = reply
        return outdated if self._spare_store(prefix) else None

    def _is_outdated(self, reply: WatchReply, revision: int, era: int) -> bool:
        """Return whether an answer is older than what is known here.

        A delegate that does not know of eras names none.
        """
        eras = self._board.eras
        eras.observe(reply.era, "delegate")
        if 0 < reply.era < eras.known:
            return True
        return (
            reply.complete and reply.revision < revision and reply.era <= era
        )

    async def _wait_settled(self) -> None:
        """Wait for the delegates to be known, for some time after the start.

        A whole fleet that starts would otherwise watch the store at once.
        """
        waited_s = clock.read_time() - self._board.started_s
        if self._settled.is_set() or waited_s >= SETTLE_WAIT_S:
            return
        try:
            async with asyncio.timeout(SETTLE_WAIT_S - waited_s):
                await self._settled.wait()
        except TimeoutError:
            eliot.log_message(
                "watch:delegates_unknown", waited_s=SETTLE_WAIT_S
            )

    def _spare_store(self, prefix: str) -> bool:
        """Return whether the store was called too recently."""
        now_s = clock.read_time()
        if now_s < self._fallback_s.get(prefix, 0.0):
            return True
        delay_s = FALLBACK_INTERVAL_S * random.uniform(0.7, 1.3)
        self._fallback_s[prefix] = now_s + delay_s
        return False

    async def _ask(
        self,
        member: delegates.Member,
        request: WatchRequest,
    ) -> WatchReply | None:
        try:
            status, answer = await self._caller.call(
                member.address,
                "POST",
                WATCH_PATH,
                msgspec.json.encode(request),
                request.wait_s + ANSWER_DELAY_S,
                BODY_TIMEOUT_S,
            )
            if status != 200:
                return None
            reply = decoding.decode(answer, WatchReply)
        except (base_errors.CodedError, msgspec.DecodeError) as err:
            eliot.log_message(
                "watch:delegate_failed",
                delegate=member.host,
                prefix=request.prefix,
                reason=str(err),
            )
            self._board.roster.record_failure(member.host, clock.read_time())
            return None
        self._board.roster.record_contact(member.host, clock.read_time())
        return reply


__all__ = (
    "WATCH_PATH",
    "DelegatedStore",
    "WatchCache",
    "WatchReply",
    "WatchRequest",
)
