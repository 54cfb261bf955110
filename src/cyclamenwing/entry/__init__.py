"""Blackboard and wiring of the entry role."""

from __future__ import annotations

__all__ = ()
