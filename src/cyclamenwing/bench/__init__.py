"""Measurements, one module a subject."""

from __future__ import annotations

__all__ = ()
