"""Demo fleet on the loopback interface, with sample requests."""

from __future__ import annotations

__all__ = ()
