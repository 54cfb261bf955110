"""Request keys, claims, runs, answers and bills."""

from __future__ import annotations

__all__ = ()
