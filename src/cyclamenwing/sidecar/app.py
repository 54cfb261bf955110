"""Assembly of the sidecar role from its components."""

from __future__ import annotations

import uuid

from cyclamenwing.membership import gossip_sources
from cyclamenwing.metrics import operator_server
from cyclamenwing.settings import types as settings_types
from cyclamenwing.sidecar import accounts
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import catalog
from cyclamenwing.sidecar import endpoint_observer
from cyclamenwing.sidecar import executor
from cyclamenwing.sidecar import handlers
from cyclamenwing.sidecar import membership
from cyclamenwing.sidecar import orders
from cyclamenwing.sidecar import quarantine
from cyclamenwing.sidecar import session_handlers
from cyclamenwing.store import client as store_client
from cyclamenwing.transport import client
from cyclamenwing.transport import component
from cyclamenwing.transport import server


class SidecarApp:
    """Assemble and run one sidecar.

    :param settings: validated settings of the sidecar
    """

    def __init__(self, settings: settings_types.SidecarSettings) -> None:
        self.board = blackboard.SidecarBoard(
            settings["host"],
            settings["zone"],
            uuid.uuid4().hex,
            settings["route"],
        )
        self._client = client.CurlClient(settings["fleet_keys"][0])
        self.accounts = accounts.Accounts(
            accounts.AccountBoard(self.board.incarnation)
        )
        self._rules = catalog.Rules(
            self.board, settings.get("orders_checked", False)
        )
        self.execution = executor.Executor(
            self.board,
            self._client,
            settings["endpoint"],
            self.accounts,
            self._rules,
        )
        observer = endpoint_observer.EndpointObserver(
            self.board, self._client, settings["endpoint"]
        )
        sources: list[gossip_sources.GossipSource] = [
            observer,
            quarantine.QuarantineRelay(settings["host"]),
        ]
        self._membership = membership.Membership(
            self.board,
            self._client,
            settings["entries"],
            lambda: self.address,
            sources,
            self._rules,
            settings.get("hosts"),
        )
        self._parts: list[component.Component] = [
            handlers.RunService(self.board, self.execution),
            session_handlers.SessionService(self.accounts),
            observer,
            orders.OrderService(
                self.board,
                self._rules,
                store_client.StoreClient(self._client, settings["store"]),
                self._client,
                settings["endpoint"],
            ),
            self._membership,
            operator_server.OperatorServer(
                settings.get("operators"),
                self.board.recorder,
                self._read_health,
            ),
        ]
        self._listener = server.Listener(
            server.make_application(
                [
                    handler
                    for item in self._parts
                    for handler in item.list_handlers()
                ],
                settings["fleet_keys"],
            ),
            settings["listen"],
        )
        self.address = self._listener.address
        for item in self._parts:
            item.start()

    @classmethod
    def from_config(
        cls, settings: settings_types.SidecarSettings
    ) -> SidecarApp:
        """Start a sidecar from its settings."""
        return cls(settings)

    def _read_health(self) -> operator_server.Health:
        board = self.board
        return {
            "ready": not board.runs.draining,
            "role": "sidecar",
            "host": board.host,
            "zone": board.zone,
            "revision": board.revision,
            "leaving": board.runs.draining,
            "in_progress": board.running,
        }

    async def close(self) -> None:
        """Drain the sidecar and stop its components.

        Heartbeats announce the drain before the sidecar waits for its runs.
        """
        self.board.runs.draining = True
        await self._membership.announce()
        await self.execution.drain()
        for item in self._parts:
            await item.close()
        await self._listener.close()
        await self._client.close()


__all__ = ("SidecarApp",)
