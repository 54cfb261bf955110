"""Names of the keys in the key-value store."""

from __future__ import annotations

CATALOG_HEAD = "catalog/head"
LEDGER_LAYOUT = "ledger/layout"
SESSION_PREFIX = "session/"
OPERATIONS_HEAD = "operations/head"
WEIGHT_STORE_SLOTS = "orders/weight-store"


def name_ledger(shard: int) -> str:
    """Return the key of a ledger shard."""
    return f"ledger/{shard:04d}"


def name_bill_segment(shard: int, number: int) -> str:
    """Return the key of a shard's closed segment of bills."""
    return f"bills/{shard:04d}/{number:08d}"


def name_claims(shard: int) -> str:
    """Return the key of a claim shard."""
    return f"claims/{shard:04d}"


def name_session(session: str) -> str:
    """Return the key of an entry incarnation's session record."""
    return f"session/{session}"


def name_chunk(digest: str) -> str:
    """Return the key of one service's published catalog files."""
    return f"catalog/chunk/{digest}"


def name_audit(chain: str, number: int) -> str:
    """Return the key of a closed segment of an audit chain."""
    return f"audit/{chain}/{number:08d}"


def name_order_number(route: str) -> str:
    """Return the key of a route's fencing token for orders."""
    return f"orders/number/{route}"


def name_order_holder(route: str) -> str:
    """Return the key of the holder of a route's lease on orders."""
    return f"orders/holder/{route}"


__all__ = (
    "CATALOG_HEAD",
    "LEDGER_LAYOUT",
    "OPERATIONS_HEAD",
    "SESSION_PREFIX",
    "WEIGHT_STORE_SLOTS",
    "name_audit",
    "name_bill_segment",
    "name_chunk",
    "name_claims",
    "name_ledger",
    "name_order_holder",
    "name_order_number",
    "name_session",
)
