"""Orders to the engine stand-in, with an optional fencing check."""

from __future__ import annotations

from typing import Literal
from typing import TypedDict

OrderKind = Literal["load_model", "load_adapter", "load_version", "set_role"]


class EngineOrder(TypedDict):
    """Order a change of an engine.

    `fence` is the fencing token, which grows with each new coordinator.
    """

    kind: OrderKind
    value: str
    fence: int


class OrderBook:
    """Apply orders and record the applied ones.

    :param model: the model that is loaded at the start
    :param checks_fence: whether orders with stale fencing tokens are refused
    """

    def __init__(self, model: str, checks_fence: bool) -> None:
        self.model = model
        self.version = ""
        self.role = "serve"
        self.adapters: list[str] = []
        self.applied: list[EngineOrder] = []
        self.highest_fence = 0
        self._checks_fence = checks_fence

    def apply(self, order: EngineOrder) -> bool:
        """Apply an order; return False if its fencing token is stale."""
        if self._checks_fence and order["fence"] < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, order["fence"])
        self.applied.append(order)
        _APPLIERS[order["kind"]](self, order["value"])
        return True


def _load_model(book: OrderBook, value: str) -> None:
    book.model = value


def _load_adapter(book: OrderBook, value: str) -> None:
    if value not in book.adapters:
        book.adapters.append(value)


def _load_version(book: OrderBook, value: str) -> None:
    book.version = value


def _set_role(book: OrderBook, value: str) -> None:
    book.role = value


_APPLIERS = {
    "load_model": _load_model,
    "load_adapter": _load_adapter,
    "load_version": _load_version,
    "set_role": _set_role,
}

__all__ = (
    "EngineOrder",
    "OrderBook",
    "OrderKind",
)
