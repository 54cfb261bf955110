"""Settings files of the process roles."""

from __future__ import annotations

__all__ = ()
