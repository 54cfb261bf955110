"""Request routing: candidates, scoring, queues, retries and quarantine."""

from __future__ import annotations

__all__ = ()
