"""The store by way of a peer, for a gateway that is cut off from it.

A relayed commit keeps its conditions, so one that takes effect twice does so
once; an answer that gets lost on either way leaves it in doubt as before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import TypeVar

import eliot
import msgspec

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import caller
from cyclamenwing.transport import errors as transport_errors

PATH = "/peers/store"
RELAY_TIMEOUT_S = 0.6
# Added to the wait of a watch that is relayed.
FOLLOW_SLACK_S = 1.0
# While the store is out of direct reach it is tried this often.
PROBE_INTERVAL_S = 0.7
PROBE_PREFIX = "cyclamenwing/probe"
# A peer is asked if it reached the store itself this lately.
NEAR_S = 2.5

T = TypeVar("T")


class RelayRequest(msgspec.Struct):
    """Ask a peer for one call of the store."""

    call: str
    prefix: str = ""
    revision: int = 0
    wait_s: float = 0.0
    expected: list[tuple[str, int]] = []
    writes: list[tuple[str, bytes]] = []


class RelayReply(msgspec.Struct):
    """Hold the call's outcome, or the code of its error."""

    error: str = ""
    revision: int = 0
    conflict: bool = False
    entries: list[tuple[str, bytes, int]] = []
    changes: list[tuple[str, bytes | None, int]] = []


class RelayedStore:
    """Call the store directly, or through a peer while that fails."""

    def __init__(
        self,
        direct: protocol.TransactionStore,
        board: blackboard.Blackboard,
        http: caller.Caller,
    ) -> None:
        self._direct = direct
        self._board = board
        self._caller = http
        self._lost = False

    async def read(self, prefix: str) -> protocol.Snapshot:
        """Read all keys below a prefix."""
        try:
            return await self._try(lambda: self._direct.read(prefix))
        except errors.StoreError as err:
            reply = await self._relay(RelayRequest("read", prefix), err)
        return protocol.Snapshot(
            [protocol.Entry(*item) for item in reply.entries], reply.revision
        )

    async def follow(
        self, prefix: str, revision: int, wait_s: float
    ) -> protocol.Changes:
        """Wait for changes after a revision."""
        try:
            return await self._try(
                lambda: self._direct.follow(prefix, revision, wait_s)
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
        )

    async def commit(
        self,
        expected: Sequence[tuple[str, int]],
        writes: Sequence[tuple[str, bytes]],
    ) -> protocol.Committed | protocol.Conflict:
        """Write keys at once if all expected revisions hold."""
        try:
            return await self._try(
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
            return protocol.Conflict([
                protocol.Entry(*item) for item in reply.entries
            ])
        return protocol.Committed(reply.revision)

    async def probe(self) -> None:
        """Try the store directly while it is out of reach."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self._lost:
                continue
            try:
                await self._direct.read(PROBE_PREFIX)
            except errors.StoreError:
                continue
            self._lost = False
            self._board.direct_seen_s = clock.read_time()
            eliot.log_message("relay:store_regained")

    async def answer(self, body: bytes) -> bytes:
        """Make a call for a peer."""
        request = msgspec.json.decode(body, type=RelayRequest)
        try:
            reply = await self._make(request)
        except errors.StoreError as err:
            reply = RelayReply(error=err.code)
        eliot.log_message(
            "relay:made", call=request.call, error=reply.error or None
        )
        return msgspec.json.encode(reply)

    async def _try(self, call: Callable[[], Awaitable[T]]) -> T:
        if self._lost:
            raise errors.StoreUnavailableError("not in direct reach")
        try:
            found = await call()
        except (
            errors.StoreHistoryLostError,
            errors.StoreRefusedError,
        ):
            raise
        except errors.StoreError as err:
            self._lost = True
            eliot.log_message("relay:store_lost", code=err.code)
            raise
        self._board.direct_seen_s = clock.read_time()
        return found

    async def _relay(
        self, request: RelayRequest, cause: errors.StoreError
    ) -> RelayReply:
        peer = self._find_peer()
        if peer is None:
            raise cause
        timeout_s = RELAY_TIMEOUT_S
        if request.call == "follow":
            timeout_s = request.wait_s + FOLLOW_SLACK_S
        try:
            status, answer = await self._caller.call(
                peer.address,
                "POST",
                PATH,
                msgspec.json.encode(request),
                timeout_s,
            )
            reply = msgspec.json.decode(answer, type=RelayReply)
        except transport_errors.ConnectFailedError as err:
            raise errors.StoreUnavailableError(err.message) from err
        except (
            transport_errors.TransportError,
            msgspec.DecodeError,
        ) as err:
            raise errors.StoreAnswerLostError(str(err)) from err
        if status != 200:
            raise errors.StoreUnavailableError(f"relay answered {status}")
        if reply.error:
            raise _ERRORS.get(reply.error, errors.StoreAnswerLostError)(
                f"{peer.host}: {reply.error}"
            )
        return reply

    def _find_peer(self) -> blackboard.Peer | None:
        now_s = clock.read_time()
        near = [
            peer
            for peer in self._board.list_peers(now_s)
            if peer.store_age_s + now_s - peer.seen_s < NEAR_S
        ]
        return min(near, key=lambda p: p.store_age_s, default=None)

    async def _make(self, request: RelayRequest) -> RelayReply:
        if request.call == "read":
            found = await self._try(lambda: self._direct.read(request.prefix))
            return RelayReply(
                revision=found.revision,
                entries=_pack(found.entries),
            )
        if request.call == "follow":
            changes = await self._try(
                lambda: self._direct.follow(
                    request.prefix, request.revision, request.wait_s
                )
            )
            return RelayReply(
                revision=changes.revision,
                changes=[
                    (item.key, item.value, item.revision)
                    for item in changes.changes
                ],
            )
        outcome = await self._try(
            lambda: self._direct.commit(request.expected, request.writes)
        )
        if isinstance(outcome, protocol.Conflict):
            return RelayReply(
                conflict=True,
                entries=_pack(outcome.entries),
            )
        return RelayReply(revision=outcome.revision)


def _pack(
    entries: Sequence[protocol.Entry],
) -> list[tuple[str, bytes, int]]:
    return [(item.key, item.value, item.revision) for item in entries]


_ERRORS: dict[str, type[errors.StoreError]] = {
    kind.code: kind
    for kind in (
        errors.StoreUnavailableError,
        errors.StoreBusyError,
        errors.StoreHistoryLostError,
        errors.StoreRefusedError,
    )
}

__all__ = (
    "PATH",
    "RelayReply",
    "RelayRequest",
    "RelayedStore",
)
