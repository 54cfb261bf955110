"""Operator configuration: schema, validation, publication, audit."""

from __future__ import annotations

__all__ = ()
