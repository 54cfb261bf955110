"""Interface of a role's part: its handlers and its life."""

from __future__ import annotations

from typing import Any
from typing import Protocol


class Part(Protocol):
    """Serve one concern of a role beside the others."""

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""

    def start(self) -> None:
        """Start background work; the role's addresses are bound."""

    async def close(self) -> None:
        """Stop background work."""


__all__ = ("Part",)
