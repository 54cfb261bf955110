"""Following of the configuration and the endpoints in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import eliot

from cyclamenwing import errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import configuration
from cyclamenwing.routing import endpoints
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

# A shorter wait notices a silent connection sooner, a longer one calls less.
FOLLOW_WAIT_S = 3.0
RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 1.0
# Removals this long after a gap may be of entries that lapsed in it.
DOUBT_S = 3.0


class Codec(NamedTuple):
    """Name the store's keys and read their values."""

    configuration_prefix: str
    configuration_key: str
    endpoints_prefix: str
    read_configuration: Callable[[bytes], configuration.Configuration]
    read_endpoint: Callable[[str, bytes], endpoints.Endpoint]
    read_endpoint_name: Callable[[str], str]


class Follower:
    """Keep one prefix of the store in the blackboard.

    :param accept: takes the keys of a whole read
    :param apply: takes a change
    """

    def __init__(
        self,
        store: protocol.TransactionStore,
        board: blackboard.Blackboard,
        prefix: str,
        accept: Callable[[Sequence[protocol.Entry]], None],
        apply: Callable[[protocol.Change], None],
    ) -> None:
        self._store = store
        self._board = board
        self._prefix = prefix
        self._accept = accept
        self._apply = apply
        self.lost_s: float | None = clock.read_time()

    async def run(self) -> None:
        """Follow until cancelled; read all again after a gap."""
        revision: int | None = None
        pause_s = RETRY_PAUSE_S
        while True:
            try:
                if revision is None:
                    revision = await self._read()
                else:
                    revision = await self._follow(revision)
                self._regain()
                pause_s = RETRY_PAUSE_S
            except store_errors.StoreHistoryLostError:
                eliot.log_message(
                    "follower:history_lost",
                    prefix=self._prefix,
                    revision=revision,
                )
                self.lost_s = clock.read_time()
                revision = None
            except errors.CodedError as err:
                self._lose(err)
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, MAX_RETRY_PAUSE_S)

    async def _read(self) -> int:
        found = await self._store.read(self._prefix)
        self._accept(found.entries)
        return found.revision

    async def _follow(self, revision: int) -> int:
        found = await self._store.follow(self._prefix, revision, FOLLOW_WAIT_S)
        for change in found.changes:
            self._apply(change)
        return max(found.revision, revision)

    def _lose(self, err: errors.CodedError) -> None:
        if self.lost_s is None:
            eliot.log_message(
                "follower:store_lost", prefix=self._prefix, code=err.code
            )
        self.lost_s = clock.read_time()

    def _regain(self) -> None:
        now_s = clock.read_time()
        self._board.store_seen_s = now_s
        if self.lost_s is not None and now_s - self.lost_s > DOUBT_S:
            eliot.log_message("follower:store_regained", prefix=self._prefix)
            self.lost_s = None


class ConfigurationFollower:
    """Adopt newer configurations, from the store or a peer."""

    def __init__(self, board: blackboard.Blackboard, codec: Codec) -> None:
        self._board = board
        self._codec = codec

    def accept(self, entries: Sequence[protocol.Entry]) -> None:
        """Adopt the configuration of a whole read."""
        for entry in entries:
            self.apply(protocol.Change(entry.key, entry.value, entry.revision))

    def apply(self, change: protocol.Change) -> None:
        """Adopt a changed configuration; a removed one stays in force."""
        if change.key != self._codec.configuration_key:
            return
        if change.value is None:
            eliot.log_message("configuration:removed", key=change.key)
            return
        self.adopt(change.value, "store")

    def adopt(self, value: bytes, source: str) -> None:
        """Adopt a configuration if it is newer than the one in force."""
        try:
            found = self._codec.read_configuration(value)
        except errors.CodedError as err:
            eliot.log_message("configuration:unreadable", reason=err.message)
            return
        known = self._board.configuration
        if known is not None and found.version <= known.version:
            return
        self._board.configuration = found
        eliot.log_message(
            "configuration:adopted",
            version=found.version,
            before=known.version if known else None,
            source=source,
        )


class EndpointFollower:
    """Keep the endpoints that register themselves in the store."""

    def __init__(self, board: blackboard.Blackboard, codec: Codec) -> None:
        self._board = board
        self._codec = codec
        self.follower: Follower | None = None

    def accept(self, entries: Sequence[protocol.Entry]) -> None:
        """Take over a whole read; what is missing may have lapsed."""
        now_s = clock.read_time()
        names = set()
        for entry in entries:
            names.add(self._codec.read_endpoint_name(entry.key))
            self._put(entry.key, entry.value)
        for name in set(self._board.directory.known) - names:
            self._drop(name, now_s, in_doubt=True)
        self._board.endpoints_known = True
        self._board.placement.forget(self._list_names())

    def apply(self, change: protocol.Change) -> None:
        """Take over one change."""
        if change.value is not None:
            self._put(change.key, change.value)
            return
        now_s = clock.read_time()
        lost_s = self.follower.lost_s if self.follower else None
        name = self._codec.read_endpoint_name(change.key)
        self._drop(
            name,
            now_s,
            in_doubt=lost_s is not None and now_s - lost_s < DOUBT_S,
        )
        self._board.placement.forget(self._list_names())

    def _put(self, key: str, value: bytes) -> None:
        try:
            found = self._codec.read_endpoint(key, value)
        except errors.CodedError as err:
            eliot.log_message("endpoint:unreadable", reason=err.message)
            self._drop(
                self._codec.read_endpoint_name(key), clock.read_time(), False
            )
            return
        if self._board.directory.put(found):
            eliot.log_message(
                "endpoint:seen",
                endpoint=found.name,
                service=found.service,
                address=found.address,
                draining=found.draining,
            )

    def _drop(self, name: str, now_s: float, in_doubt: bool) -> None:
        if self._board.directory.drop(name, now_s, in_doubt):
            eliot.log_message(
                "endpoint:gone", endpoint=name, in_doubt=in_doubt
            )

    def _list_names(self) -> list[str]:
        directory = self._board.directory
        return [*directory.known, *directory.doubtful]


__all__ = (
    "Codec",
    "ConfigurationFollower",
    "EndpointFollower",
    "Follower",
)
