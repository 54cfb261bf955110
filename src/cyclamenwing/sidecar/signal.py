"""Wake-up of all tasks that follow one run."""

from __future__ import annotations

import asyncio


class Signal:
    """Wake every waiting task at once."""

    def __init__(self) -> None:
        self._waiting: list[asyncio.Future[None]] = []

    def notify(self) -> None:
        """Wake the tasks that wait now."""
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the next notification; False means timeout."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return False
        return True


__all__ = ("Signal",)
