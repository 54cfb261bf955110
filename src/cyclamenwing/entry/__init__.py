"""Entry role: admits, funds, queues and serves callers' requests."""

from __future__ import annotations

__all__ = ()
