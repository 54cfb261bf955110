"""HTTP server and client adapters."""

from __future__ import annotations

__all__ = ()
