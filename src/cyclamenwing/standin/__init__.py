"""Small stand-ins for the platform in tests and demos."""

from __future__ import annotations

__all__ = ()
