"""Benchmarks, one module for each subject that `bench` measures."""

from __future__ import annotations

__all__ = ()
