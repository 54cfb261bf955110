"""Store client that falls back to a peer while the store is unreachable.

A relayed commit carries the revisions that it expects, so it takes effect at
most once even if it is sent twice. If the answer of the store or of the peer
is lost, the commit stays in doubt as with a direct call.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import TypeVar

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import pooled_client

RELAY_PATH = "/peers/store"
RELAY_TIMEOUT_S = 0.6
# Added to the long poll of a relayed `follow` to get its timeout.
FOLLOW_TIMEOUT_SLACK_S = 1.0
# Interval of direct calls that test whether the store is reachable again.
PROBE_INTERVAL_S = 0.7
PROBE_PREFIX = "cyclamenwing/probe"
# Calls are relayed only by peers that reached the store this recently.
MAX_PEER_STORE_AGE_S = 2.5

Answer = TypeVar(
    "Answer",
    protocol.Snapshot,
    protocol.Changes,
    protocol.Committed | protocol.Conflict,
)


class WatchSilencedError(errors.StoreUnavailableError):
    """Report a watch that ended as its connection may be silent."""

    code = "watch_silenced"


class RelayRequest(msgspec.Struct):
    """Ask a peer to make one store call, `read`, `follow` or `commit`."""

    call: str
    prefix: str = ""
    revision: int = 0
    wait_s: float = 0.0
    expected: list[tuple[str, int]] = []
    writes: list[tuple[str, bytes]] = []


class RelayReply(msgspec.Struct):
    """Hold the result of a relayed call, or its error code.

    :param era: era of the store, 0 from a peer that does not know of eras
    """

    error: str = ""
    revision: int = 0
    conflict: bool = False
    entries: list[tuple[str, bytes, int]] = []
    changes: list[tuple[str, bytes | None, int]] = []
    era: int = 0


class RelayedStore:
    """Call the store directly, or through a peer while direct calls fail."""

    def __init__(
        self,
        direct: protocol.TransactionStore,
        board: blackboard.Blackboard,
        http: pooled_client.PooledClient,
    ) -> None:
        self._direct = direct
        self._board = board
        self._caller = http
        self._unreachable = False
        # Set, and replaced, when a call got no answer at all. Connections on
        # which watches wait may then be silent as well.
        self._silenced = asyncio.Event()
        self._probe_due = asyncio.Event()

    async def read(
        self, prefix: str, stale: bool = False
    ) -> protocol.Snapshot:
        """Read all keys below a prefix.

        :param stale: the entries may be some seconds old
        """
        try:
            return await self._call_direct(
                lambda: self._direct.read(prefix, stale)
            )
        except errors.StoreError as err:
            reply = await self._relay(RelayRequest("read", prefix), err)
        return protocol.Snapshot(
            [protocol.Entry(*item) for item in reply.entries],
            reply.revision,
            era=reply.era,
        )

    async def follow(
        self, prefix: str, revision: int, wait_s: float
    ) -> protocol.Changes:
        """Wait for changes after a revision, by long polling."""
        try:
            return await self._call_direct(
                lambda: self._watch(prefix, revision, wait_s)
            )
        except errors.StoreHistoryLostError:
            raise
        except errors.StoreError as err:
            reply = await self._relay(
                RelayRequest("follow", prefix, revision, wait_s), err
            )
        return protocol.Changes(
            [protocol.Change(*item) for item in reply.changes],
            reply.revision,
            era=reply.era,
        )

    async def commit(
        self,
        expected: Sequence[tuple[str, int]],
        writes: Sequence[tuple[str, bytes]],
    ) -> protocol.Committed | protocol.Conflict:
        """Write keys atomically if all expected revisions match.

        A direct call whose answer was lost is not relayed: it may have taken
        effect.
        """
        try:
            return await self._call_direct(
                lambda: self._direct.commit(expected, writes)
            )
        except errors.StoreAnswerLostError:
            raise
        except errors.StoreError as err:
            request = RelayRequest(
                "commit", expected=list(expected), writes=list(writes)
            )
            reply = await self._relay(request, err)
        if reply.conflict:
            return protocol.Conflict(
                [protocol.Entry(*item) for item in reply.entries], reply.era
            )
        return protocol.Committed(reply.revision, reply.era)

    async def probe(self) -> None:
        """Test direct calls periodically while the store is unreachable.

        The first test follows a silent call at once: new connections may work
        though those that were open have gone silent.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    await self._probe_due.wait()
            self._probe_due.clear()
            if not self._unreachable:
                continue
            if not self._board.roster.acts_as_delegate:
                # Its few calls test the store themselves.
                self._unreachable = False
                continue
            try:
                await self._direct.read(PROBE_PREFIX)
            except errors.StoreError:
                continue
            self._unreachable = False
            self._board.direct_contact_s = clock.read_time()
            eliot.log_message("relay:store_regained")

    async def answer_peer(self, body: bytes) -> bytes:
        """Make a store call for a peer; return the encoded reply."""
        request = decoding.decode(body, RelayRequest)
        try:
            reply = await self._execute(request)
        except errors.StoreError as err:
            reply = RelayReply(error=err.code)
        eliot.log_message(
            "relay:answered", call=request.call, error=reply.error or None
        )
        return msgspec.json.encode(reply)

    async def _call_direct(
        self, call: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        """Call the store.

        A late answer of an earlier era is dropped.
        """
        if self._unreachable:
            raise errors.StoreUnavailableError(
                "the store can't be reached directly"
            )
        try:
            result = await call()
        except (
            errors.StoreHistoryLostError,
            errors.StoreRefusedError,
            WatchSilencedError,
        ):
            raise
        except errors.StoreError as err:
            self._unreachable = True
            eliot.log_message("relay:store_lost", code=err.code)
            if isinstance(
                err.__cause__, transport_errors.ConnectionSilentError
            ):
                self._silenced.set()
                self._silenced = asyncio.Event()
                self._probe_due.set()
            raise
        self._board.direct_contact_s = clock.read_time()
        self._board.eras.check(result.era, "store")
        return result

    async def _watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> protocol.Changes:
        """Wait for changes until another call got no answer.

        :raises WatchSilencedError: if one got none
        """
        watch = asyncio.ensure_future(
            self._direct.follow(prefix, revision, wait_s)
        )
        silenced = asyncio.ensure_future(self._silenced.wait())
        try:
            await asyncio.wait(
                (watch, silenced), return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done():
                return watch.result()
            raise WatchSilencedError(
                "another call got no answer during the watch"
            )
        finally:
            watch.cancel()
            silenced.cancel()

    async def _relay(
        self, request: RelayRequest, cause: errors.StoreError
    ) -> RelayReply:
        peer = self._find_peer()
        if peer is None:
            raise cause
        timeout_s = RELAY_TIMEOUT_S
        if request.call == "follow":
            timeout_s = request.wait_s + FOLLOW_TIMEOUT_SLACK_S
        try:
            status, answer = await self._caller.call(
                peer.address,
                "POST",
                RELAY_PATH,
                msgspec.json.encode(request),
                timeout_s,
            )
            reply = decoding.decode(answer, RelayReply)
        except transport_errors.ConnectFailedError as err:
            raise errors.StoreUnavailableError(err.message) from err
        except (
            transport_errors.TransportError,
            msgspec.DecodeError,
        ) as err:
            raise errors.StoreAnswerLostError(str(err)) from err
        if status != 200:
            raise errors.StoreUnavailableError(
                f"relaying peer answered with status {status}"
            )
        if reply.error:
            raise _ERRORS_BY_CODE.get(
                reply.error, errors.StoreAnswerLostError
            )(f"{peer.host}: {reply.error}")
        # A peer that does not know of eras names none.
        reply.era = reply.era or self._board.eras.first
        self._board.eras.check(reply.era, peer.host)
        return reply

    def _find_peer(self) -> blackboard.Peer | None:
        now_s = clock.read_time()
        candidates = [
            peer
            for peer in self._board.list_live_peers(now_s)
            if peer.store_age_s + now_s - peer.received_s
            < MAX_PEER_STORE_AGE_S
        ]
        return min(candidates, key=lambda p: p.store_age_s, default=None)

    async def _execute(self, request: RelayRequest) -> RelayReply:
        if request.call == "read":
            snapshot = await self._call_direct(
                lambda: self._direct.read(request.prefix)
            )
            return RelayReply(
                revision=snapshot.revision,
                entries=_pack_entries(snapshot.entries),
                era=snapshot.era,
            )
        if request.call == "follow":
            changes = await self._call_direct(
                lambda: self._watch(
                    request.prefix, request.revision, request.wait_s
                )
            )
            return RelayReply(
                revision=changes.revision,
                changes=[
                    (item.key, item.value, item.revision)
                    for item in changes.changes
                ],
                era=changes.era,
            )
        outcome = await self._call_direct(
            lambda: self._direct.commit(request.expected, request.writes)
        )
        if isinstance(outcome, protocol.Conflict):
            return RelayReply(
                conflict=True,
                entries=_pack_entries(outcome.entries),
                era=outcome.era,
            )
        return RelayReply(revision=outcome.revision, era=outcome.era)


def _pack_entries(
    entries: Sequence[protocol.Entry],
) -> list[tuple[str, bytes, int]]:
    return [(item.key, item.value, item.revision) for item in entries]


_ERRORS_BY_CODE: dict[str, type[errors.StoreError]] = {
    error_type.code: error_type
    for error_type in (
        errors.StoreUnavailableError,
        errors.StoreBusyError,
        errors.StoreHistoryLostError,
        errors.StoreRefusedError,
        WatchSilencedError,
    )
}

__all__ = (
    "RELAY_PATH",
    "RelayReply",
    "RelayRequest",
    "RelayedStore",
)
