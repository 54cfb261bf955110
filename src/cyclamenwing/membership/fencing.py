"""Fencing tokens and leases of orders, in the store."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import msgspec

from cyclamenwing import decoding
from cyclamenwing.membership import errors
from cyclamenwing.membership import orders
from cyclamenwing.store import commits
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

MAX_COMMIT_IDS = 16

Record = TypeVar("Record", bound=orders.CommittedRecord)


class RecordCodec(Generic[Record]):
    """Convert a record with commit ids to and from JSON.

    :param kind: type of the record
    :param make_empty: returns the record that stands for a missing key
    """

    def __init__(
        self, kind: type[Record], make_empty: Callable[[], Record]
    ) -> None:
        self._kind: type[Record] = kind
        self._make_empty = make_empty

    def decode(self, value: bytes | None) -> Record:
        """Return the record of a stored value."""
        if value is None:
            return self._make_empty()
        return _decode(value, self._kind)

    def encode(self, document: Record) -> bytes:
        """Return the JSON of a record."""
        return msgspec.json.encode(document)

    def contains(self, document: Record, commit_id: str) -> bool:
        """Return whether a commit was applied to the record."""
        return commit_id in document["commits"]


NUMBER_CODEC: RecordCodec[orders.NumberRecord] = RecordCodec(
    orders.NumberRecord, lambda: {"number": 0, "commits": []}
)
SLOT_CODEC: RecordCodec[orders.SlotRecord] = RecordCodec(
    orders.SlotRecord, lambda: {"next_at": 0.0, "commits": []}
)


class LeaseManager:
    """Acquire, renew and release the lease of a route's orders.

    :param store: the platform's key-value service
    :param read_clock: monotonic time in seconds
    """

    def __init__(
        self, store: protocol.Store, read_clock: Callable[[], float]
    ) -> None:
        self._store = store
        self._read_clock = read_clock

    async def acquire(self, route: str, name: str) -> orders.OrderLease:
        """Acquire a route's lease and its next fencing token.

        :raises OrderHeldError: if another holder has the lease
        """
        requested_at = self._read_clock()
        lease_id = await self._store.grant_lease(orders.LEASE_TTL_S)
        # Each acquisition has its own holder id, even in the same process.
        holder = f"{name}/{uuid.uuid4().hex}"
        await self._claim(route, {"holder": holder}, lease_id)
        # Only the holder raises the number; otherwise a competitor without the
        # lease would make the holder's token stale.
        number = await self._raise_number(route)
        expires_at = requested_at + orders.LEASE_TTL_S - orders.LEASE_MARGIN_S
        lease = orders.OrderLease(route, holder, number, lease_id, expires_at)
        orders.check_lease(lease, self._read_clock())
        return lease

    async def renew(self, lease: orders.OrderLease) -> orders.OrderLease:
        """Renew a lease.

        :raises OrderLeaseLapsedError: if the lease has expired
        """
        requested_at = self._read_clock()
        if not await self._store.renew_lease(lease.lease_id):
            raise errors.OrderLeaseLapsedError(
                f"lease of {lease.route!r} has expired"
            )
        expires_at = requested_at + orders.LEASE_TTL_S - orders.LEASE_MARGIN_S
        return lease._replace(expires_at=expires_at)

    async def release(self, lease: orders.OrderLease) -> None:
        """Release a lease, so that others need not wait for its expiry."""
        key = keys.name_order_holder(lease.route)
        stored = await self._store.get(key)
        if stored is None:
            return
        if (
            _decode(stored.value, orders.LeaseHolderRecord)["holder"]
            == lease.holder
        ):
            await self._store.delete(key, stored.revision)

    async def read_holder(self, route: str) -> orders.ConfirmedHolder:
        """Return the fencing token and the lease holder from the store."""
        number = await self._store.get(keys.name_order_number(route))
        stored = await self._store.get(keys.name_order_holder(route))
        record = NUMBER_CODEC.decode(number.value if number else None)
        holder = ""
        if stored is not None:
            holding = _decode(stored.value, orders.LeaseHolderRecord)
            holder = holding["holder"]
        return orders.ConfirmedHolder(record["number"], holder)

    async def reserve_slot(
        self, wall_now: float, loads_a_minute: float
    ) -> float:
        """Reserve the weight store's next slot; return its wall time."""
        reserved: list[float] = []
        commit_id = uuid.uuid4().hex

        def change(record: orders.SlotRecord) -> None:
            starts_at = orders.reserve_slot(record, wall_now, loads_a_minute)
            reserved[:] = [starts_at]
            _append_commit(record["commits"], commit_id)

        await commits.commit(
            self._store,
            keys.WEIGHT_STORE_SLOTS,
            SLOT_CODEC,
            commit_id,
            change,
        )
        return reserved[0]

    async def _raise_number(self, route: str) -> int:
        commit_id = uuid.uuid4().hex

        def change(record: orders.NumberRecord) -> None:
            record["number"] += 1
            _append_commit(record["commits"], commit_id)

        committed = await commits.commit(
            self._store,
            keys.name_order_number(route),
            NUMBER_CODEC,
            commit_id,
            change,
        )
        return committed.document["number"]

    async def _claim(
        self, route: str, record: orders.LeaseHolderRecord, lease_id: int
    ) -> None:
        key = keys.name_order_holder(route)
        value = msgspec.json.encode(record)
        try:
            written = await self._store.swap(key, 0, value, lease_id)
        except store_errors.StoreAnswerLostError:
            stored = await self._store.get(key)
            written = 1 if stored and stored.value == value else None
        if written is None:
            raise errors.OrderHeldError(
                f"another holder has the order lease of {route!r}"
            )


def _append_commit(commit_ids: list[str], commit_id: str) -> None:
    commit_ids.append(commit_id)
    del commit_ids[:-MAX_COMMIT_IDS]


T = TypeVar("T")


def _decode(value: bytes, kind: type[T]) -> T:
    try:
        return decoding.decode(value, kind)
    except msgspec.DecodeError as err:
        raise store_errors.StoreMalformedError(str(err)) from err


__all__ = (
    "LeaseManager",
    "RecordCodec",
)
