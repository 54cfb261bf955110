"""Heartbeats that a sidecar sends to entries."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any
from typing import Protocol

import eliot

from cyclamenwing import tasks
from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.membership import errors
from cyclamenwing.membership import gossip_sources
from cyclamenwing.membership import host_list
from cyclamenwing.membership import topology
from cyclamenwing.membership import types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import reporting
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport

HEARTBEAT_TIMEOUT_S = 1.0
MIN_PAUSE_S = 0.02


class RulesReceiver(Protocol):
    """Adopt the route's rules that entries send."""

    def adopt(self, rules: catalog_types.SidecarRules) -> bool:
        """Adopt rules of a higher revision; return whether it did."""


class Membership:
    """Send heartbeats to entries and apply their replies.

    :param board: state of the sidecar
    :param client: HTTP client
    :param entries: peer addresses of entries from the settings
    :param find_address: returns the sidecar's own address once it is bound
    :param sources: components that add data to heartbeats
    :param rules_receiver: adopts the rules in the replies
    :param hosts: ``ip:port`` of the platform's host list, if there is one
    """

    def __init__(
        self,
        board: blackboard.SidecarBoard,
        client: transport.Client,
        entries: list[str],
        find_address: Callable[[], str],
        sources: list[gossip_sources.GossipSource],
        rules_receiver: RulesReceiver,
        hosts: str | None = None,
    ) -> None:
        self._board = board
        self._client = client
        self._find_address = find_address
        self._sources = sources
        self._rules_receiver = rules_receiver
        self._hosts = hosts
        self._reporting = reporting.ReportingBoard(entries)
        self._controller = reporting.ReportingController(
            board.host, board.zone
        )
        self._sequence = 0
        self._wake_event = asyncio.Event()
        self._sending: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return no handlers; entries send nothing but replies."""
        return []

    def start(self) -> None:
        """Start the heartbeat loop."""
        self._task = tasks.start_loop(self._run)

    async def close(self) -> None:
        """Stop the heartbeat loop and cancel heartbeats in progress."""
        for task in (self._task, *self._tasks):
            if task is not None:
                task.cancel()

    async def announce(self) -> None:
        """Send a heartbeat to each report target and wait for the replies."""
        heartbeat = self._make_heartbeat()
        targets = self._controller.list_targets(self._reporting)
        await asyncio.gather(
            *(self._send(peer, heartbeat) for peer in targets)
        )

    def wake(self) -> None:
        """Send the next heartbeats without waiting for the interval."""
        self._wake_event.set()

    async def _run(self) -> None:
        while True:
            self._wake_event.clear()
            await self._refresh_host_list()
            self._send_heartbeats()
            await asyncio.sleep(MIN_PAUSE_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._get_interval_s()):
                    await self._wake_event.wait()

    def _send_heartbeats(self) -> None:
        heartbeat = self._make_heartbeat()
        for peer in self._controller.list_targets(self._reporting):
            # Each heartbeat has its own task, so that an entry which responds
            # slowly does not delay the others.
            if peer not in self._sending:
                task = asyncio.create_task(self._send(peer, heartbeat))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _refresh_host_list(self) -> None:
        if self._hosts is None or not self._reporting.is_isolated():
            return
        try:
            hosts = await host_list.read_hosts(self._client, self._hosts)
        except errors.HostListError as err:
            eliot.log_message("sidecar:hosts", code=err.code)
            return
        self._controller.adopt_hosts(self._reporting, hosts)

    async def _send(self, entry: str, heartbeat: types.Heartbeat) -> None:
        self._sending.add(entry)
        heartbeat = {
            **heartbeat,
            "directory": self._controller.digest_directory(
                self._reporting, entry
            ),
        }
        try:
            reply = await self._client.call(
                f"http://{entry}/peer/heartbeat",
                heartbeat,
                types.HeartbeatReply,
                HEARTBEAT_TIMEOUT_S,
            )
        except transport_errors.TransportError as err:
            eliot.log_message(
                "sidecar:heartbeat_failed", entry=entry, code=err.code
            )
            if self._controller.record_failure(self._reporting, entry):
                self.wake()
            return
        finally:
            self._sending.discard(entry)
        self._apply_reply(entry, reply)

    def _apply_reply(self, entry: str, reply: types.HeartbeatReply) -> None:
        self._controller.record_success(self._reporting, entry)
        rules = reply.get("rules")
        if rules is not None and self._rules_receiver.adopt(rules):
            # Report the new revision at once, as an operator may wait for it.
            self.wake()
        locations = reply.get("directory")
        if locations is not None:
            self._controller.adopt_directory(self._reporting, entry, locations)
            self.wake()
        gossip_sources.deliver_gossip(self._sources, None, reply["news"])

    def _get_interval_s(self) -> float:
        return topology.get_heartbeat_interval_s(
            len(self._reporting.locations)
        )

    def _make_heartbeat(self) -> types.Heartbeat:
        self._sequence += 1
        return {
            "host": self._board.host,
            "role": "sidecar",
            "zone": self._board.zone,
            "address": self._find_address(),
            "incarnation": self._board.incarnation,
            "route": self._board.route,
            "leaving": self._board.runs.draining,
            "revision": self._board.revision,
            "load": self._board.running,
            "news": gossip_sources.collect_gossip(self._sources),
            "sequence": self._sequence,
            "interval_s": self._get_interval_s(),
        }


__all__ = (
    "Membership",
    "RulesReceiver",
)
