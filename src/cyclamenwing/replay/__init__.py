"""Replay of recorded traces, compared with their stated outcomes."""

from __future__ import annotations

__all__ = ()
