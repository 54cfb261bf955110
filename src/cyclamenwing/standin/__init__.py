"""Stand-ins of the platform's services, for tests and the demo."""

from __future__ import annotations

__all__ = ()
