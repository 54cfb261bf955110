"""Orders to engines: fencing numbers, holders, the weight store's rate."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

from cyclamenwing.membership import errors

LEASE_TTL_S = 15
LEASE_MARGIN_S = 2.0
LOADS_PER_MINUTE = 12
MAX_DONE = 256

OrderKind = Literal["load_model", "load_adapter", "load_version", "set_role"]
ORDER_KINDS: tuple[OrderKind, ...] = (
    "load_model",
    "load_adapter",
    "load_version",
    "set_role",
)
LOADING_KINDS = frozenset(ORDER_KINDS[:3])


class EndpointOrder(TypedDict):
    """Order a sidecar's endpoint; `id` is the same when repeated.

    `number` fences: it grows with each holder of the route's lease.
    """

    id: str
    route: str
    kind: OrderKind
    value: str
    number: int
    holder: str


class OrderReply(TypedDict):
    """Answer an order that was carried out."""

    host: str
    number: int


class CountedRecord(TypedDict):
    """Hold the ids of the last commits of a record in the store."""

    commits: list[str]


class NumberRecord(CountedRecord):
    """Hold a route's highest fencing number."""

    number: int


class HolderRecord(TypedDict):
    """Name who holds a route's lease."""

    holder: str


class SlotRecord(CountedRecord):
    """Hold the wall time at which the weight store may serve a load."""

    next_at: float


class ConfirmedHolder(NamedTuple):
    """Hold what the store says of a route; no holder: none now."""

    number: int
    holder: str


class OrderLease(NamedTuple):
    """Hold the right to give a route's endpoints orders."""

    route: str
    holder: str
    number: int
    lease: int
    ends_at: float


@dataclasses.dataclass(slots=True)
class OrderBoard:
    """Hold what a sidecar remembers of orders.

    `done` holds the answers of the last orders, by id.
    """

    highest: int = 0
    done: dict[str, OrderReply] = dataclasses.field(default_factory=dict)


class OrderController:
    """Admit orders of the present holder only."""

    def find_reply(
        self, board: OrderBoard, order: EndpointOrder
    ) -> OrderReply | None:
        """Return the answer of an order that was carried out before."""
        return board.done.get(order["id"])

    def admit(
        self,
        board: OrderBoard,
        order: EndpointOrder,
        confirmed: ConfirmedHolder,
    ) -> None:
        """Raise unless the order comes from the present holder.

        `confirmed` was read from the store after the order came, so that
        a sidecar that restarted knows the number as well as any.
        """
        board.highest = max(board.highest, confirmed.number)
        if order["number"] < board.highest:
            raise errors.StaleOrderError(
                f"number {order['number']} of {order['route']!r} is old,"
                f" {board.highest} is in use"
            )
        if confirmed.holder != order["holder"]:
            raise errors.StaleOrderError(
                f"{order['holder']!r} no longer holds the lease of"
                f" {order['route']!r}"
            )

    def record_done(
        self, board: OrderBoard, order: EndpointOrder, reply: OrderReply
    ) -> None:
        """Remember an answer for repetitions."""
        board.done[order["id"]] = reply
        while len(board.done) > MAX_DONE:
            del board.done[next(iter(board.done))]


def check_lease(held: OrderLease, now: float) -> None:
    """Raise once a lease may have lapsed, before an order is sent."""
    if now >= held.ends_at:
        raise errors.OrderLeaseLapsedError(
            f"the lease of {held.route!r} under number {held.number} lapsed"
        )


def reserve_slot(
    record: SlotRecord, now: float, loads_a_minute: float
) -> float:
    """Take the weight store's next slot; return when it begins."""
    begins_at = max(now, record["next_at"])
    record["next_at"] = begins_at + 60.0 / loads_a_minute
    return begins_at


def is_loading(kind: str) -> bool:
    """Tell whether an order reads from the weight store."""
    return kind in LOADING_KINDS


def make_engine_order(order: EndpointOrder) -> dict[str, Any]:
    """Return the order as engines take it."""
    return {
        "kind": order["kind"],
        "value": order["value"],
        "fence": order["number"],
    }


__all__ = (
    "LEASE_MARGIN_S",
    "LEASE_TTL_S",
    "LOADING_KINDS",
    "LOADS_PER_MINUTE",
    "ORDER_KINDS",
    "ConfirmedHolder",
    "CountedRecord",
    "EndpointOrder",
    "OrderLease",
    "HolderRecord",
    "NumberRecord",
    "OrderBoard",
    "OrderController",
    "OrderKind",
    "OrderReply",
    "SlotRecord",
    "check_lease",
    "is_loading",
    "make_engine_order",
    "reserve_slot",
)
