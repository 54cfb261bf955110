"""Counters, histograms and gauges for operators."""

from __future__ import annotations

__all__ = ()
