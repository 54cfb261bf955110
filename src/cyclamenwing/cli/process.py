"""Running of a role's process: log, signals, graceful stop."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import eliot

from cyclamenwing.settings import errors


class App(Protocol):
    """Represent a running role."""

    @property
    def address(self) -> str:
        """Return the ``ip:port`` on which the role listens."""

    async def close(self) -> None:
        """Finish the requests in progress and stop."""


def run_app(create_app: Callable[[], App], log_file: str | None) -> int:
    """Run a role until SIGTERM or SIGINT, then stop gracefully.

    :param create_app: creates the role and binds its addresses
    :param log_file: file to append the log to, None for standard error
    """
    open_log(log_file)
    return asyncio.run(_run(create_app))


def open_log(log_file: str | None) -> None:
    """Write the structured log to a file, or to standard error if None."""
    if log_file is None:
        eliot.to_file(sys.stderr)
        return
    # The log file stays open until the process ends.
    eliot.to_file(open(log_file, "ab"))  # noqa: SIM115


async def _run(create_app: Callable[[], App]) -> int:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    try:
        app = create_app()
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
