"""Interface of a role's part: its handlers and its life."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import Protocol


class Component(Protocol):
    """Serve one concern of a role beside the others."""

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""

    def start(self) -> None:
        """Start background work; the role's addresses are bound."""

    async def close(self) -> None:
        """Stop background work."""


class LoopComponent:
    """Run one loop in the background; has no handlers of its own."""

    _task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        return []

    def start(self) -> None:
        """Start the loop."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the loop."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Work until cancelled."""
        raise NotImplementedError


__all__ = (
    "LoopComponent",
    "Component",
)
