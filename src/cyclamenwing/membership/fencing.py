"""Fencing numbers and leases of orders, as the store holds them."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import msgspec

from cyclamenwing.membership import errors
from cyclamenwing.membership import orders
from cyclamenwing.store import commits
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

MAX_COMMIT_IDS = 16

Record = TypeVar("Record", bound=orders.CountedRecord)


class RecordCodec(Generic[Record]):
    """Convert a counted record to and from JSON.

    :param kind: type of the record
    :param make_empty: returns the record of an absent key
    """

    def __init__(
        self, kind: type[Record], make_empty: Callable[[], Record]
    ) -> None:
        self._kind: type[Record] = kind
        self._make_empty = make_empty

    def decode(self, value: bytes | None) -> Record:
        """Read the record."""
        if value is None:
            return self._make_empty()
        return _decode(value, self._kind)

    def encode(self, document: Record) -> bytes:
        """Write the record."""
        return msgspec.json.encode(document)

    def contains(self, document: Record, commit_id: str) -> bool:
        """Tell whether the record holds a commit."""
        return commit_id in document["commits"]


NUMBER_CODEC: RecordCodec[orders.NumberRecord] = RecordCodec(
    orders.NumberRecord, lambda: {"number": 0, "commits": []}
)
SLOT_CODEC: RecordCodec[orders.SlotRecord] = RecordCodec(
    orders.SlotRecord, lambda: {"next_at": 0.0, "commits": []}
)


class Fence:
    """Take and confirm the right to give orders.

    :param store: the platform's key-value service
    :param read_clock: monotonic time in seconds
    """

    def __init__(
        self, store: protocol.Store, read_clock: Callable[[], float]
    ) -> None:
        self._store = store
        self._read_clock = read_clock

    async def take(self, route: str, name: str) -> orders.Held:
        """Take a route's lease and the next number.

        Raise `OrderHeldError` while another holds it.
        """
        asked_at = self._read_clock()
        lease = await self._store.grant_lease(orders.LEASE_TTL_S)
        # Each taking is a holder of its own, also by the same process.
        holder = f"{name}/{uuid.uuid4().hex}"
        await self._claim(route, {"holder": holder}, lease)
        # Only the holder raises the number: a rival must not fence it.
        number = await self._raise_number(route)
        ends_at = asked_at + orders.LEASE_TTL_S - orders.LEASE_MARGIN_S
        held = orders.Held(route, holder, number, lease, ends_at)
        orders.check_lease(held, self._read_clock())
        return held

    async def keep(self, held: orders.Held) -> orders.Held:
        """Renew a lease; raise `OrderLeaseLapsedError` if it is gone."""
        asked_at = self._read_clock()
        if not await self._store.renew_lease(held.lease):
            raise errors.OrderLeaseLapsedError(
                f"the lease of {held.route!r} lapsed"
            )
        ends_at = asked_at + orders.LEASE_TTL_S - orders.LEASE_MARGIN_S
        return held._replace(ends_at=ends_at)

    async def drop(self, held: orders.Held) -> None:
        """Give a lease back so that others need not wait."""
        key = keys.name_order_holder(held.route)
        found = await self._store.get(key)
        if found is None:
            return
        if _decode(found.value, orders.HolderRecord)["holder"] == held.holder:
            await self._store.delete(key, found.revision)

    async def confirm(self, route: str) -> orders.Confirmed:
        """Read who may give orders now."""
        number = await self._store.get(keys.name_order_number(route))
        found = await self._store.get(keys.name_order_holder(route))
        record = NUMBER_CODEC.decode(number.value if number else None)
        holder = ""
        if found is not None:
            held = _decode(found.value, orders.HolderRecord)
            holder = held["holder"]
        return orders.Confirmed(record["number"], holder)

    async def take_slot(self, wall_now: float, loads_a_minute: float) -> float:
        """Take the weight store's next slot; return its wall time."""
        taken: list[float] = []
        commit_id = uuid.uuid4().hex

        def change(record: orders.SlotRecord) -> None:
            begins_at = orders.take_slot(record, wall_now, loads_a_minute)
            taken[:] = [begins_at]
            _note_commit(record["commits"], commit_id)

        await commits.commit(
            self._store,
            keys.WEIGHT_STORE_SLOTS,
            SLOT_CODEC,
            commit_id,
            change,
        )
        return taken[0]

    async def _raise_number(self, route: str) -> int:
        commit_id = uuid.uuid4().hex

        def change(record: orders.NumberRecord) -> None:
            record["number"] += 1
            _note_commit(record["commits"], commit_id)

        done = await commits.commit(
            self._store,
            keys.name_order_number(route),
            NUMBER_CODEC,
            commit_id,
            change,
        )
        return done.document["number"]

    async def _claim(
        self, route: str, record: orders.HolderRecord, lease: int
    ) -> None:
        key = keys.name_order_holder(route)
        value = msgspec.json.encode(record)
        try:
            written = await self._store.swap(key, 0, value, lease)
        except store_errors.StoreAnswerLostError:
            found = await self._store.get(key)
            written = 1 if found and found.value == value else None
        if written is None:
            raise errors.OrderHeldError(
                f"another holder gives orders to {route!r}"
            )


def _note_commit(noted: list[str], commit_id: str) -> None:
    noted.append(commit_id)
    del noted[:-MAX_COMMIT_IDS]


T = TypeVar("T")


def _decode(value: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.ValidationError, msgspec.DecodeError) as err:
        raise store_errors.StoreMalformedError(str(err)) from err


__all__ = (
    "Fence",
    "RecordCodec",
)
