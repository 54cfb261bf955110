"""Operators' files: schema, collection, merge, publication, audit."""

from __future__ import annotations

__all__ = ()
