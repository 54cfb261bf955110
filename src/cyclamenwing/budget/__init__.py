"""Ledger shards, grants, reservations, settlement and escrow of tokens."""

from __future__ import annotations

__all__ = ()
