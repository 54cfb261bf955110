"""The sidecar role, which runs requests at one endpoint."""

from __future__ import annotations

__all__ = ()
