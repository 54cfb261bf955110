"""Command line, with one module for each subcommand."""

from __future__ import annotations

__all__ = ()
