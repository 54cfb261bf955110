"""Polling of the endpoint's load and prefix cache for heartbeats."""

from __future__ import annotations

import asyncio
from typing import Any

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing.membership import types as membership_types
from cyclamenwing.routing import reports
from cyclamenwing.routing import types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import errors
from cyclamenwing.transport import component
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 1024 * 1024


class EndpointObserver(component.LoopComponent):
    """Poll an engine's load and cache events and add them to heartbeats.

    Plain services offer neither, so polling starts with the first chat run.

    :param board: state of the sidecar
    :param client: HTTP client
    :param endpoint: ``ip:port`` of the endpoint
    """

    GOSSIP_KEY = "endpoint"

    def __init__(
        self,
        board: blackboard.SidecarBoard,
        client: transport.Client,
        endpoint: str,
    ) -> None:
        self._board = board
        self._client = client
        self._endpoint = endpoint
        self._reports = reports.ReportBoard()
        self._controller = reports.ReportController()
        self._polling = False

    def make_gossip(self) -> types.EndpointReport | None:
        """Return the summary of the endpoint for a heartbeat."""
        if not self._polling:
            return None
        return self._controller.make_report(self._reports)

    def receive_gossip(
        self, sender: membership_types.Heartbeat | None, gossip: Any
    ) -> None:
        """Do nothing; entries send no endpoint data."""

    async def poll(self) -> None:
        """Read the endpoint's load and its new cache events once."""
        try:
            load = await self._get("/load")
            after = self._reports.last_seq
            events = await self._get(f"/cache/events?after={after}")
            self._update_reports(load, events)
        except transport_errors.ConnectFailedError:
            if self._reports.up:
                self._controller.record_cache_loss(self._reports)
        except (
            transport_errors.TransportError,
            errors.EndpointMalformedError,
        ) as err:
            eliot.log_message("sidecar:observation", **err.describe())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._polling = self._polling or self._has_chat_run()
            if self._polling:
                await self.poll()

    def _has_chat_run(self) -> bool:
        latest = next(reversed(self._board.runs.runs.values()), None)
        return latest is not None and latest.order["protocol"] == "chat"

    async def _get(self, path: str) -> bytes:
        response = await self._client.fetch(
            "GET",
            f"http://{self._endpoint}{path}",
            {"Authorization": ""},
            None,
            POLL_TIMEOUT_S,
        )
        if response.status != 200 or len(response.body) > MAX_RESPONSE_BYTES:
            raise errors.EndpointMalformedError(
                f"{path}: status {response.status}, {len(response.body)} bytes"
            )
        return response.body

    def _update_reports(self, load: bytes, events: bytes) -> None:
        try:
            engine_load = decoding.decode(load, reports.EngineLoad)
            cache_events = [
                decoding.decode(line, reports.CacheEvent)
                for line in events.splitlines()
            ]
        except msgspec.DecodeError as err:
            raise errors.EndpointMalformedError(str(err)) from err
        self._reports.up = True
        self._reports.load = engine_load
        self._controller.apply_events(self._reports, cache_events)


__all__ = ("EndpointObserver",)
