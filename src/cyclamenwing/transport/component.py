"""Interface of the components that a role consists of."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import Protocol

from cyclamenwing import tasks


class Component(Protocol):
    """Provide HTTP handlers or background work to a role."""

    def list_handlers(self) -> list[Any]:
        """Return the HTTP handlers for peers as Tornado rules."""

    def start(self) -> None:
        """Start background work.

        It is called once the addresses of the role are bound.
        """

    async def close(self) -> None:
        """Stop background work."""


class LoopComponent:
    """Run one background loop; provide no HTTP handlers."""

    _task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return the HTTP handlers for peers as Tornado rules."""
        return []

    def start(self) -> None:
        """Start the loop."""
        self._task = tasks.start_loop(self._run)

    async def close(self) -> None:
        """Stop the loop."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Run the loop until it is cancelled."""
        raise NotImplementedError


__all__ = (
    "Component",
    "LoopComponent",
)
