"""Observation of the endpoint's load and cache for heartbeats."""

from __future__ import annotations

import asyncio
from typing import Any

import eliot
import msgspec

from cyclamenwing.membership import types as membership_types
from cyclamenwing.routing import reports
from cyclamenwing.routing import types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import errors
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import part
from cyclamenwing.transport import protocol as transport

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 1024 * 1024


class Observation(part.LoopPart):
    """Poll an engine's reports and add their summary to heartbeats.

    Plain services have no such reports; polling starts with the first
    chat run.

    :param board: the sidecar's state
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
        """Return the endpoint's report for a heartbeat."""
        if not self._polling:
            return None
        return self._controller.make_report(self._reports)

    def receive_gossip(
        self, sender: membership_types.Heartbeat | None, news: Any
    ) -> None:
        """Do nothing; entries report no endpoint."""

    async def poll(self) -> None:
        """Read the endpoint's load and cache events once."""
        try:
            load = await self._get("/load")
            after = self._reports.last_seq
            events = await self._get(f"/cache/events?after={after}")
            self._take(load, events)
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
            self._polling = self._polling or self._has_chat()
            if self._polling:
                await self.poll()

    def _has_chat(self) -> bool:
        latest = next(reversed(self._board.runs.runs.values()), None)
        return latest is not None and latest.order["protocol"] == "chat"

    async def _get(self, path: str) -> bytes:
        answer = await self._client.fetch(
            "GET",
            f"http://{self._endpoint}{path}",
            {"Authorization": ""},
            None,
            POLL_TIMEOUT_S,
        )
        if answer.status != 200 or len(answer.body) > MAX_ANSWER_BYTES:
            raise errors.EndpointMalformedError(
                f"{path}: status {answer.status}, {len(answer.body)} bytes"
            )
        return answer.body

    def _take(self, load: bytes, events: bytes) -> None:
        try:
            read = msgspec.json.decode(load, type=reports.EngineLoad)
            rows = [
                msgspec.json.decode(line, type=reports.CacheEvent)
                for line in events.splitlines()
            ]
        except (msgspec.DecodeError, UnicodeDecodeError) as err:
            raise errors.EndpointMalformedError(str(err)) from err
        self._reports.up = True
        self._reports.load = read
        self._controller.apply_events(self._reports, rows)


__all__ = ("Observation",)
