"""Gateway: an entry that calls endpoints directly, without sidecars."""

from __future__ import annotations

__all__ = ()
