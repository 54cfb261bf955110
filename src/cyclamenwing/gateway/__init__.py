"""Entry that reaches endpoints directly, without a sidecar between."""

from __future__ import annotations

__all__ = ()
