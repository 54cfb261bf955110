"""Interface and client of the platform's key-value store."""

from __future__ import annotations

__all__ = ()
