"""Blackboard and wiring of the sidecar role."""

from __future__ import annotations

__all__ = ()
