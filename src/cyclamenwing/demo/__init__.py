"""Small fleet on loopback for trials."""

from __future__ import annotations

__all__ = ()
