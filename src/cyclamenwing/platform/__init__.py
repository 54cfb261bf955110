"""Adapter between the platform's wire formats and the gateway's types."""

from __future__ import annotations

__all__ = ()
