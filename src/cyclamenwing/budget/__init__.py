"""Ledger shards, grants, reservations and settlement."""

from __future__ import annotations

__all__ = ()
