"""Orders to engines: fencing tokens, leases and weight store slots."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

from cyclamenwing.membership import errors

LEASE_TTL_S = 15
# The holder stops using a lease this long before the store lets it expire.
LEASE_MARGIN_S = 2.0
LOADS_PER_MINUTE = 12
MAX_REPLIES = 256

OrderKind = Literal["load_model", "load_adapter", "load_version", "set_role"]
ORDER_KINDS: tuple[OrderKind, ...] = (
    "load_model",
    "load_adapter",
    "load_version",
    "set_role",
)
LOADING_KINDS = frozenset(ORDER_KINDS[:3])


class EndpointOrder(TypedDict):
    """Hold an order to a sidecar's endpoint.

    A repeated order has the same `id`. `number` is the fencing token,
    which grows with each holder of the route's lease.
    """

    id: str
    route: str
    kind: OrderKind
    value: str
    number: int
    holder: str


class OrderReply(TypedDict):
    """Answer an order that was executed."""

    host: str
    number: int


class CommittedRecord(TypedDict):
    """Hold the ids of the last commits to a record in the store."""

    commits: list[str]


class NumberRecord(CommittedRecord):
    """Hold a route's highest fencing token."""

    number: int


class LeaseHolderRecord(TypedDict):
    """Hold the id of the holder of a route's lease."""

    holder: str


class SlotRecord(CommittedRecord):
    """Hold the wall time of the weight store's next free slot."""

    next_at: float


class ConfirmedHolder(NamedTuple):
    """Hold a route's fencing token and lease holder from the store.

    `holder` is empty if nobody holds the lease.
    """

    number: int
    holder: str


class OrderLease(NamedTuple):
    """Hold the lease that permits orders to a route's endpoints.

    `number` is the fencing token, `lease_id` the lease in the store and
    `expires_at` its end on the local clock, less a margin.
    """

    route: str
    holder: str
    number: int
    lease_id: int
    expires_at: float


@dataclasses.dataclass(slots=True)
class OrderBoard:
    """Hold a sidecar's state of orders.

    `highest_number` is the highest fencing token seen; `replies` holds the
    replies to the last orders, by order id.
    """

    highest_number: int = 0
    replies: dict[str, OrderReply] = dataclasses.field(default_factory=dict)


class OrderController:
    """Admit orders of the current lease holder only."""

    def find_reply(
        self, board: OrderBoard, order: EndpointOrder
    ) -> OrderReply | None:
        """Return the reply to an order that was executed before."""
        return board.replies.get(order["id"])

    def admit(
        self,
        board: OrderBoard,
        order: EndpointOrder,
        confirmed: ConfirmedHolder,
    ) -> None:
        """Check that an order comes from the current lease holder.

        :param confirmed: read from the store after the order arrived, so
            that a restarted sidecar knows the current token too
        :raises StaleOrderError: if its fencing token is stale or its holder
            no longer has the lease
        """
        board.highest_number = max(board.highest_number, confirmed.number)
        if order["number"] < board.highest_number:
            raise errors.StaleOrderError(
                f"fencing token {order['number']} of {order['route']!r} is"
                f" stale, token {board.highest_number} is current"
            )
        if confirmed.holder != order["holder"]:
            raise errors.StaleOrderError(
                f"{order['holder']!r} no longer holds the lease of"
                f" {order['route']!r}"
            )

    def record_done(
        self, board: OrderBoard, order: EndpointOrder, reply: OrderReply
    ) -> None:
        """Store the reply to an order for repetitions of it."""
        board.replies[order["id"]] = reply
        while len(board.replies) > MAX_REPLIES:
            del board.replies[next(iter(board.replies))]


def check_lease(lease: OrderLease, now: float) -> None:
    """Check, before an order is sent, that its lease has not expired.

    :raises OrderLeaseLapsedError: if the lease may have expired
    """
    if now >= lease.expires_at:
        raise errors.OrderLeaseLapsedError(
            f"lease of {lease.route!r} with token {lease.number} has expired"
        )


def reserve_slot(
    record: SlotRecord, now: float, loads_a_minute: float
) -> float:
    """Reserve the weight store's next slot; return its wall time."""
    starts_at = max(now, record["next_at"])
    record["next_at"] = starts_at + 60.0 / loads_a_minute
    return starts_at


def is_loading(kind: str) -> bool:
    """Return whether an order makes the engine read the weight store."""
    return kind in LOADING_KINDS


def make_engine_order(order: EndpointOrder) -> dict[str, Any]:
    """Return an order in the form that engines accept."""
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
    "CommittedRecord",
    "ConfirmedHolder",
    "EndpointOrder",
    "LeaseHolderRecord",
    "NumberRecord",
    "OrderBoard",
    "OrderController",
    "OrderKind",
    "OrderLease",
    "OrderReply",
    "SlotRecord",
    "check_lease",
    "is_loading",
    "make_engine_order",
    "reserve_slot",
)
