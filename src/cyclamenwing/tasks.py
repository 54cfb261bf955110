"""Background tasks that outlive an unexpected error."""

from __future__ import annotations

import asyncio
import functools
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

import eliot

# A task that fails at once each time leaves the event loop to the others.
RESTART_DELAY_S = 1.0
# Innermost calls of the traceback in a log line.
TRACEBACK_CALLS = 4


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; start it again if it raises.

    A process whose watches have ended would serve on with what it knew last,
    and count as ready.
    """
    while True:
        try:
            await run()
        except Exception as err:
            eliot.log_message(
                "task:failed",
                task=name,
                reason=repr(err),
                trace=traceback.format_exc(limit=-TRACEBACK_CALLS),
            )
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return


def start_loop(
    run: Callable[..., Awaitable[None]], *args: object
) -> asyncio.Task[None]:
    """Start a supervised background task, named after its method."""
    return asyncio.create_task(
        supervise(run.__qualname__, functools.partial(run, *args))
    )


__all__ = (
    "RESTART_DELAY_S",
    "start_loop",
    "supervise",
)
