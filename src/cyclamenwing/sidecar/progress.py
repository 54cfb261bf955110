"""Event that notifies the followers of a run of its progress."""

from __future__ import annotations

import asyncio


class ProgressEvent:
    """Wake all waiting tasks at each notification."""

    def __init__(self) -> None:
        self._waiting: list[asyncio.Future[None]] = []

    def notify(self) -> None:
        """Wake all tasks that are waiting."""
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the next notification; return False on a timeout."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return False
        return True


__all__ = ("ProgressEvent",)
