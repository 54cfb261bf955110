"""Settings of one process."""

from __future__ import annotations

__all__ = ()
