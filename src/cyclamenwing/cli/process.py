"""Life of a long-running role: logs, signals, graceful stop."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import eliot

from cyclamenwing.settings import errors


class App(Protocol):
    """Run a role until it is closed."""

    @property
    def address(self) -> str:
        """Return the bound ``ip:port``."""

    async def close(self) -> None:
        """Finish the work in progress and stop."""


def run_app(make: Callable[[], App], log_file: str | None) -> int:
    """Run a role until SIGTERM or SIGINT, then stop gracefully."""
    open_log(log_file)
    return asyncio.run(_run(make))


def open_log(log_file: str | None) -> None:
    """Send the structured log to a file, or to standard error."""
    if log_file is None:
        eliot.to_file(sys.stderr)
        return
    # The log stays open for the life of the process.
    eliot.to_file(open(log_file, "ab"))  # noqa: SIM115


async def _run(make: Callable[[], App]) -> int:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    try:
        app = make()
    except OSError as err:
        raise errors.SettingsAddressError(f"can't bind: {err}") from err
    print(f"listening on {app.address}", flush=True)
    await stopped.wait()
    await app.close()
    return 0


__all__ = (
    "App",
    "open_log",
    "run_app",
)
