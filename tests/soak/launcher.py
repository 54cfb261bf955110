"""Start a gateway with a stepped wall clock or with planted faults.

Arguments are the settings file, the step in seconds and the planted faults,
separated by commas. Without any of them the program starts unchanged.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import runpy
import sys
import time
from collections.abc import Callable
from typing import Any

from cyclamenwing.gateway import app
from cyclamenwing.gateway import attempts
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import delivery
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import follower
from cyclamenwing.gateway import handler
from cyclamenwing.gateway import reservations
from cyclamenwing.gateway import stream_origins
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import rate_limits

PROGRAM = pathlib.Path(__file__).parents[2] / "src" / "gateway.py"


def plant_former_shutdown() -> None:
    """Serve requests while holdings are returned, then cut them."""

    async def close(self: app.Gateway) -> None:
        started_s = clock.read_time()
        self.board.drain_started_s = started_s
        deadline_s = (
            started_s + self._settings.bounds.grace_s - app.SHUTDOWN_MARGIN_S
        )
        self.board.shutdown_deadline_s = deadline_s
        self._client_server.drain()
        while clock.read_time() < deadline_s:
            await asyncio.sleep(app.DRAIN_POLL_INTERVAL_S)
            if clock.read_time() - started_s >= app.LOAD_BALANCER_DELAY_S:
                self._client_server.close_idle()
                if not self.board.active_requests:
                    break
        await self._return_holdings()
        # A slow store makes the return take as long as it may.
        await asyncio.sleep(app.RETURN_TIMEOUT_S)
        self.stop()

    _replace(app.Gateway, "close", close)


def plant_second_run() -> None:
    """Repeat each request whose answer was lost."""
    _replace(
        handler.RequestHandler,
        "_may_retry",
        lambda self, context, forwarder: not forwarder.started,
    )


def plant_overspending() -> None:
    """Reserve nothing."""

    async def reserve(*args: Any) -> None:
        pass

    _replace(reservations.Reservations, "reserve", reserve)
    _replace(reservations.Reservations, "settle", lambda *args: None)


def plant_untrue_refusal() -> None:
    """Say 503 after a lost answer."""
    errors.AnswerLostError.status = 503


def plant_other_body() -> None:
    """Add a byte to each whole answer."""
    start = delivery.Delivery.start

    def start_other(
        self: delivery.Delivery, head: Any, length: int | None
    ) -> None:
        if length is not None:
            self.hold(b"!")
            length += 1
        start(self, head, length)

    _replace(delivery.Delivery, "start", start_other)


def plant_disorder() -> None:
    """Repeat the first event of each stream."""
    write = delivery.Delivery.write

    def write_twice(self: delivery.Delivery, data: bytes, events: int) -> None:
        write(self, data + data, events)

    _replace(delivery.Delivery, "write", write_twice)


def plant_ignored_drain() -> None:
    """Use endpoints that drain."""
    _replace(
        endpoints.Directory,
        "list_usable",
        lambda self, service, *args: [
            e for e in self.registered.values() if e.service == service
        ],
    )
    _replace(endpoints.Directory, "accepts", lambda *args: True)


def plant_old_configuration() -> None:
    """Return to the configuration before, some time after a newer one."""
    adopt = follower.ConfigurationFollower.adopt

    def adopt_and_return(
        self: follower.ConfigurationFollower, value: bytes, source: str
    ) -> None:
        before = self._board.configuration
        adopt(self, value, source)
        if before is not None and before is not self._board.configuration:
            asyncio.get_running_loop().call_later(
                0.8, setattr, self._board, "configuration", before
            )

    _replace(follower.ConfigurationFollower, "adopt", adopt_and_return)


def plant_hang() -> None:
    """Keep each request whose answer was lost."""
    run = attempts.Attempts.run

    async def hang(self: attempts.Attempts, *args: Any) -> None:
        try:
            await run(self, *args)
        except errors.GatewayError:
            await asyncio.sleep(60)

    _replace(attempts.Attempts, "run", hang)


def plant_late_exit() -> None:
    """Stay longer than the grace and end with an error."""
    close = app.Gateway.close

    async def close_late(self: app.Gateway) -> None:
        await close(self)
        await asyncio.sleep(3.0)
        sys.exit(5)

    _replace(app.Gateway, "close", close_late)


def plant_leak() -> None:
    """Open a descriptor for each request and never close it."""
    handle = handler.RequestHandler._handle

    async def leak(self: handler.RequestHandler, *args: Any) -> None:
        for _ in range(20):
            os.open(os.devnull, os.O_RDONLY)
        await handle(self, *args)

    _replace(handler.RequestHandler, "_handle", leak)


def plant_whole_limit() -> None:
    """Use the whole limit of an endpoint, as if there were no others."""
    _replace(rate_limits, "count_senders", lambda limit_rps, members: members)
    _replace(
        rate_limits,
        "compute_share",
        lambda limit_rps, members: rate_limits.Share(
            limit_rps, int(4 * limit_rps + 2)
        ),
    )


def plant_any_version() -> None:
    """Let streams go on at any version."""

    async def resolve(*args: Any) -> None:
        pass

    _replace(stream_origins.StreamOrigins, "record", lambda *args: None)
    _replace(stream_origins.StreamOrigins, "resolve", resolve)


PLANTS: dict[str, Callable[[], None]] = {
    "former-shutdown": plant_former_shutdown,
    "second-run": plant_second_run,
    "overspending": plant_overspending,
    "untrue-refusal": plant_untrue_refusal,
    "other-body": plant_other_body,
    "disorder": plant_disorder,
    "ignored-drain": plant_ignored_drain,
    "old-configuration": plant_old_configuration,
    "hang": plant_hang,
    "late-exit": plant_late_exit,
    "leak": plant_leak,
    "whole-limit": plant_whole_limit,
    "any-version": plant_any_version,
}


def main() -> None:
    """Start the gateway."""
    _, settings, step, plants = sys.argv
    if float(step):
        read_time = time.time
        _replace(time, "time", lambda: read_time() + float(step))
    for name in filter(None, plants.split(",")):
        PLANTS[name]()
    sys.argv = [str(PROGRAM), settings]
    runpy.run_path(str(PROGRAM), run_name="__main__")


def _replace(owner: Any, name: str, value: Any) -> None:
    setattr(owner, name, value)


if __name__ == "__main__":
    main()

__all__ = ("PLANTS",)
