"""Histograms and counters for operators."""

from __future__ import annotations

__all__ = ()
