"""Watch the configuration and the endpoints in the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import eliot

from cyclamenwing import errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import cold_notices
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import evacuation_notices
from cyclamenwing.gateway import watches
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import evacuations
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

# Length of one long poll. A shorter one detects a dead connection sooner, a
# longer one makes fewer calls.
FOLLOW_WAIT_S = 3.0
# A change counts as recent if the store's answer before it is not older. Long
# polls end sooner unless the store, a link or this process was slow.
MAX_LIVE_GAP_S = FOLLOW_WAIT_S + 0.5
RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
# An endpoint that is removed this soon after an outage of the store may be
# alive: it could not renew its entry, so its lease may have expired.
UNCERTAIN_REMOVAL_S = 3.0


class Position(NamedTuple):
    """Hold the era and the revision up to which a watch has followed."""

    era: int
    revision: int


class Codec(NamedTuple):
    """Hold the keys in the store and the decoders of their values."""

    configuration_prefix: str
    configuration_key: str
    evacuations_prefix: str
    endpoints_prefix: str
    read_configuration: Callable[[bytes], configuration.Configuration]
    read_endpoint: Callable[[str, bytes], endpoints.Endpoint]
    read_endpoint_name: Callable[[str], str]


class Follower:
    """Watch the keys below one prefix of the store.

    `last_failure_s` is the time of the latest failed call, None once the
    store has answered for `UNCERTAIN_REMOVAL_S` since. `position` is that of
    the read or the changes that are being applied.

    :param store: watches the store, maybe through a delegate
    :param load_snapshot: called with all entries after a full read
    :param apply_change: called with each later change
    """

    def __init__(
        self,
        store: watches.DelegatedStore,
        board: blackboard.Blackboard,
        prefix: str,
        load_snapshot: Callable[[Sequence[protocol.Entry]], None],
        apply_change: Callable[[protocol.Change], None],
    ) -> None:
        self._store = store
        self._board = board
        self._prefix = prefix
        self._cache = store.open_cache(prefix)
        self._load_snapshot = load_snapshot
        self._apply_change = apply_change
        self.last_failure_s: float | None = clock.read_time()
        self.position = Position(0, 0)

    @property
    def live(self) -> bool:
        """Return whether the changes being applied were made recently."""
        gap_s = clock.read_time() - self._cache.answered_s
        return self.last_failure_s is None and gap_s < MAX_LIVE_GAP_S

    async def run(self) -> None:
        """Watch until cancelled; read all keys again after lost history."""
        position: Position | None = None
        delay_s = RETRY_DELAY_S
        while True:
            try:
                if position is None:
                    position = await self._read_snapshot()
                else:
                    position = await self._follow(position)
                self._record_success()
                delay_s = RETRY_DELAY_S
            except store_errors.StoreHistoryLostError:
                eliot.log_message(
                    "follower:history_lost",
                    prefix=self._prefix,
                    position=position,
                )
                self.last_failure_s = clock.read_time()
                position = None
            except errors.CodedError as err:
                self._record_failure(err)
                await asyncio.sleep(delay_s)
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _read_snapshot(self) -> Position:
        snapshot = await self._store.read(self._prefix)
        self._note_failure(snapshot.failure_age_s)
        self.position = Position(
            snapshot.era or self._board.eras.known, snapshot.revision
        )
        self._load_snapshot(snapshot.entries)
        await self._cache.load(snapshot)
        return Position(snapshot.era, snapshot.revision)

    async def _follow(self, position: Position) -> Position:
        """Apply the next changes; return where to continue.

        In a new era changes can be missed even if the store has the revision,
        as revisions are reused.
        """
        era, revision = position
        call = self._store.follow(self._prefix, revision, era, FOLLOW_WAIT_S)
        if era:
            call = self._board.eras.run_within(era, call)
        changes = await call
        if changes.era and changes.era != era:
            raise store_errors.StoreHistoryLostError(
                f"era {changes.era} has followed era {era}"
            )
        self._note_failure(changes.failure_age_s)
        self.position = Position(
            era or self._board.eras.known, max(changes.revision, revision)
        )
        for change in changes.changes:
            self._apply_change(change)
        await self._cache.apply(changes)
        return Position(era, max(changes.revision, revision))

    def _note_failure(self, age_s: float | None) -> None:
        """Record that the delegate failed to reach the store."""
        if age_s is not None:
            failed_s = clock.read_time() - age_s
            self.last_failure_s = max(self.last_failure_s or 0.0, failed_s)

    def _record_failure(self, err: errors.CodedError) -> None:
        if self.last_failure_s is None:
            eliot.log_message(
                "follower:store_lost", prefix=self._prefix, code=err.code
            )
        self.last_failure_s = clock.read_time()
        self._cache.failed_s = self.last_failure_s

    def _record_success(self) -> None:
        now_s = clock.read_time()
        self._board.store_contact_s = now_s
        self._cache.answered_s = now_s
        self._cache.failed_s = self.last_failure_s
        if (
            self.last_failure_s is not None
            and now_s - self.last_failure_s > UNCERTAIN_REMOVAL_S
        ):
            eliot.log_message("follower:store_regained", prefix=self._prefix)
            self.last_failure_s = None
            self._cache.failed_s = None


class ConfigurationFollower:
    """Adopt newer configurations, and orders to evacuate zones."""

    def __init__(self, board: blackboard.Blackboard, codec: Codec) -> None:
        self._board = board
        self._codec = codec
        self._notices = evacuation_notices.OrderReporter(board)
        self.follower: Follower | None = None

    def load_snapshot(self, entries: Sequence[protocol.Entry]) -> None:
        """Adopt the orders and the configuration in a full read.

        Orders come first: no request is served by a configuration that was
        read before them.
        """
        zones = {
            zone: entry.revision
            for entry in entries
            if (zone := self._read_zone(entry.key))
        }
        position = self.follower.position if self.follower else Position(0, 0)
        now_s = clock.read_time()
        self._notices.report(
            self._board.directory.evacuations.load(
                zones, position.era, position.revision, now_s
            ),
            "store",
        )
        for entry in entries:
            if entry.key == self._codec.configuration_key:
                self.adopt(entry.value, "store")

    def apply_change(self, change: protocol.Change) -> None:
        """Adopt a changed configuration or order.

        A configuration that is removed stays the current one.
        """
        zone = self._read_zone(change.key)
        if zone:
            self._apply_order(zone, change)
            return
        if change.key != self._codec.configuration_key:
            return
        if change.value is None:
            eliot.log_message("configuration:removed", key=change.key)
            return
        self.adopt(change.value, "store")

    def _read_zone(self, key: str) -> str:
        """Return the zone of an order's key, empty for any other key."""
        prefix = self._codec.evacuations_prefix
        return key.removeprefix(prefix) if key.startswith(prefix) else ""

    def _apply_order(self, zone: str, change: protocol.Change) -> None:
        followed = self.follower
        order = evacuations.Order(
            zone,
            followed.position.era if followed else 0,
            change.revision,
            change.value is not None,
        )
        live = followed is not None and followed.live
        if self._board.directory.evacuations.apply(
            order, clock.read_time(), live
        ):
            self._notices.report([order], "store")

    def adopt(self, value: bytes, source: str) -> None:
        """Adopt an encoded configuration if it is newer than the current one.

        :param source: "store" or the host of a peer, for the log
        """
        try:
            config = self._codec.read_configuration(value)
        except errors.CodedError as err:
            eliot.log_message("configuration:unreadable", reason=err.message)
            return
        current = self._board.configuration
        if current is not None and config.version <= current.version:
            return
        self._board.configuration = config
        cold_notices.apply_configuration(self._board)
        eliot.log_message(
            "configuration:adopted",
            version=config.version,
            before=current.version if current else None,
            source=source,
        )


class EndpointFollower:
    """Keep the directory of endpoints that register in the store."""

    def __init__(self, board: blackboard.Blackboard, codec: Codec) -> None:
        self._board = board
        self._codec = codec
        self.follower: Follower | None = None

    def load_snapshot(self, entries: Sequence[protocol.Entry]) -> None:
        """Replace the directory by a full read.

        Endpoints that are missing now are removed as in doubt: their leases
        may have expired during an outage of the store.
        """
        now_s = clock.read_time()
        names = set()
        for entry in entries:
            names.add(self._codec.read_endpoint_name(entry.key))
            self._put(entry.key, entry.value, entry.revision, live=False)
        for name in set(self._board.directory.registered) - names:
            self._drop(name, now_s, in_doubt=True)
        self._board.endpoints_loaded = True
        self._board.placement.forget(self._list_names())

    def apply_change(self, change: protocol.Change) -> None:
        """Apply one change to the directory."""
        if change.value is not None:
            self._put(change.key, change.value, change.revision, live=True)
            return
        now_s = clock.read_time()
        last_failure_s = (
            self.follower.last_failure_s if self.follower else None
        )
        name = self._codec.read_endpoint_name(change.key)
        self._drop(
            name,
            now_s,
            in_doubt=last_failure_s is not None
            and now_s - last_failure_s < UNCERTAIN_REMOVAL_S,
            revision=change.revision,
        )
        self._board.placement.forget(self._list_names())

    def _put(self, key: str, value: bytes, revision: int, live: bool) -> None:
        try:
            endpoint = self._codec.read_endpoint(key, value)
        except errors.CodedError as err:
            eliot.log_message("endpoint:unreadable", reason=err.message)
            name = self._codec.read_endpoint_name(key)
            self._drop(name, clock.read_time(), False, revision)
            return
        now_s = clock.read_time()
        self._board.versions.record(
            [(endpoint.service, endpoint.software)], now_s
        )
        if self._board.directory.record_cold_entry(
            endpoint, now_s, time.time(), live
        ):
            cold_notices.log_cold(self._board, endpoint.incarnation, now_s)
        if self._board.directory.put(endpoint, revision):
            eliot.log_message(
                "endpoint:seen",
                endpoint=endpoint.name,
                service=endpoint.service,
                address=endpoint.address,
                software=endpoint.software,
                draining=endpoint.draining,
                excluded=self._board.directory.is_gone(endpoint),
            )

    def _drop(
        self, name: str, now_s: float, in_doubt: bool, revision: int = 0
    ) -> None:
        if self._board.directory.drop(name, now_s, in_doubt, revision):
            eliot.log_message(
                "endpoint:gone", endpoint=name, in_doubt=in_doubt
            )

    def _list_names(self) -> list[str]:
        directory = self._board.directory
        return [*directory.registered, *directory.lapsed]


__all__ = (
    "Codec",
    "ConfigurationFollower",
    "EndpointFollower",
    "Follower",
)
