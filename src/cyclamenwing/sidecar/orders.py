"""Forwarding of orders to the endpoint, with a check of their fencing token.

The sidecar makes the check because an endpoint may not support it.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import eliot
import msgspec

from cyclamenwing.membership import errors
from cyclamenwing.membership import fencing
from cyclamenwing.membership import orders
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import catalog
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport
from cyclamenwing.transport import server

ORDER_TIMEOUT_S = 120.0


class OrdersHandler(server.PeerHandler):
    """Serve ``POST /v1/orders``."""

    def initialize(self, service: OrderService) -> None:
        """Set the service that carries out orders."""
        self._service = service

    async def post(self) -> None:
        """Carry out an order, or return the reply if it was done before."""
        order = self.decode_body(orders.EndpointOrder)
        self.write_json(await self._service.carry_out(order))


class OrderService:
    """Carry out orders of the current lease holder, one at a time.

    :param board: state of the sidecar
    :param rules: rules of the sidecar's route
    :param store: key-value store of the platform
    :param client: HTTP client
    :param endpoint: ``ip:port`` of the endpoint
    """

    def __init__(
        self,
        board: blackboard.SidecarBoard,
        rules: catalog.Rules,
        store: protocol.Store,
        client: transport.Client,
        endpoint: str,
    ) -> None:
        self._board = board
        self._rules = rules
        self._client = client
        self._endpoint = endpoint
        self._orders = orders.OrderBoard()
        self._controller = orders.OrderController()
        self._lease_manager = fencing.LeaseManager(store, time.monotonic)
        # A newer order must not overtake one that was admitted, or the older
        # one would take effect last.
        self._lock = asyncio.Lock()

    def list_handlers(self) -> list[Any]:
        """Return the HTTP handlers for peers as Tornado rules."""
        return [(r"/v1/orders", OrdersHandler, {"service": self})]

    def start(self) -> None:
        """Do nothing; the handler needs no background work."""

    async def close(self) -> None:
        """Do nothing; the handler needs no background work."""

    async def carry_out(
        self, order: orders.EndpointOrder
    ) -> orders.OrderReply:
        """Forward an order to the endpoint unless it was done before.

        :raises OrderUnconfirmedError: if the store can't confirm the token
        :raises StaleOrderError: if the fencing token is stale
        :raises EndpointOrderError: if the endpoint did not carry it out
        """
        async with self._lock:
            earlier_reply = self._controller.find_reply(self._orders, order)
            if earlier_reply is not None:
                return earlier_reply
            holder = await self._confirm(order)
            self._controller.admit(self._orders, order, holder)
            await self._forward(order)
            reply: orders.OrderReply = {
                "host": self._board.host,
                "number": order["number"],
            }
            self._controller.record_done(self._orders, order, reply)
            return reply

    async def _confirm(
        self, order: orders.EndpointOrder
    ) -> orders.ConfirmedHolder:
        try:
            return await self._lease_manager.read_holder(order["route"])
        except store_errors.StoreError as err:
            raise errors.OrderUnconfirmedError(
                f"the fencing token can't be confirmed: {err.message}"
            ) from err

    async def _forward(self, order: orders.EndpointOrder) -> None:
        body = msgspec.json.encode(orders.make_engine_order(order))
        try:
            response = await self._client.fetch(
                "POST",
                f"http://{self._endpoint}/orders",
                {},
                body,
                ORDER_TIMEOUT_S,
                repeatable=False,
            )
        except transport_errors.ConnectFailedError as err:
            raise errors.EndpointOrderError(err.message) from err
        except transport_errors.TransportError as err:
            raise errors.EndpointOrderError(err.message, "unknown") from err
        eliot.log_message(
            "sidecar:order_forwarded",
            order=order["id"],
            status=response.status,
            checked=self._rules.endpoint_checks_tokens(),
        )
        if response.status == 409:
            raise errors.StaleOrderError(
                "the endpoint rejected the fencing token"
            )
        if response.status != 200:
            raise errors.EndpointOrderError(
                f"the endpoint responded with status {response.status}"
            )


__all__ = (
    "OrderService",
    "OrdersHandler",
)
