"""Command line, one module a subcommand."""

from __future__ import annotations

__all__ = ()
