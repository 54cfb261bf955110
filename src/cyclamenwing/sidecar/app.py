"""Wiring of the sidecar role."""

from __future__ import annotations

import asyncio
import time
import uuid

import eliot

from cyclamenwing.membership import types as member_types
from cyclamenwing.settings import types as settings_types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import executor
from cyclamenwing.sidecar import handlers
from cyclamenwing.transport import client
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import server

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0


class SidecarApp:
    """Run one sidecar.

    :param settings: the sidecar's checked settings
    """

    def __init__(self, settings: settings_types.SidecarSettings) -> None:
        self._settings = settings
        self.board = blackboard.SidecarBoard(
            settings["host"],
            settings["zone"],
            uuid.uuid4().hex,
            settings["route"],
        )
        self._client = client.CurlClient(settings["fleet_keys"][0])
        self.execution = executor.Executor(
            self.board, self._client, settings["endpoint"]
        )
        run_options = {"execution": self.execution}
        status_options = run_options | {"board": self.board}
        self._listener = server.Listener(
            server.make_application(
                [
                    (r"/v1/runs", handlers.RunsHandler, run_options),
                    (r"/v1/status", handlers.HealthHandler, status_options),
                ],
                settings["fleet_keys"],
            ),
            settings["listen"],
        )
        self.address = self._listener.address
        self._beating = asyncio.create_task(self._beat())

    @classmethod
    def from_config(
        cls, settings: settings_types.SidecarSettings
    ) -> SidecarApp:
        """Start a sidecar from its settings."""
        return cls(settings)

    async def close(self) -> None:
        """Announce leaving, end the runs and stop."""
        self.board.runs.leaving = True
        await self._send_beats()
        await self.execution.drain()
        self._beating.cancel()
        await self._listener.close()
        await self._client.close()

    async def _beat(self) -> None:
        while True:
            await self._send_beats()
            self.execution.expire(time.monotonic())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_beats(self) -> None:
        beat = self._make_beat()
        await asyncio.gather(
            *(self._send_beat(entry, beat) for entry in self._list_entries())
        )

    def _list_entries(self) -> list[str]:
        return self._settings["entries"]

    async def _send_beat(
        self, entry: str, beat: member_types.Heartbeat
    ) -> None:
        try:
            reply = await self._client.call(
                f"http://{entry}/peer/heartbeat",
                beat,
                member_types.HeartbeatReply,
                HEARTBEAT_TIMEOUT_S,
            )
        except transport_errors.TransportError as err:
            eliot.log_message("sidecar:heartbeat", entry=entry, code=err.code)
            return
        self.board.revision = max(self.board.revision, reply["revision"])

    def _make_beat(self) -> member_types.Heartbeat:
        return {
            "host": self.board.host,
            "role": "sidecar",
            "zone": self.board.zone,
            "address": self.address,
            "incarnation": self.board.incarnation,
            "route": self.board.route,
            "leaving": self.board.runs.leaving,
            "revision": self.board.revision,
            "load": self.execution.running,
        }


__all__ = ("SidecarApp",)
