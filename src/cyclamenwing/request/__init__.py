"""Claims, attempts, runs and answers of single requests."""

from __future__ import annotations

__all__ = ()
