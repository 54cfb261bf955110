"""Orders to the endpoint, fenced in its stead."""

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

ENGINE_TIMEOUT_S = 120.0


class OrdersHandler(server.PeerHandler):
    """Serve ``POST /v1/orders``."""

    def initialize(self, service: OrderService) -> None:
        """Take the part that carries orders out."""
        self._service = service

    async def post(self) -> None:
        """Carry an order out once."""
        order = self.decode_body(orders.EndpointOrder)
        self.write_json(await self._service.carry_out(order))


class OrderService:
    """Carry out orders of the present holder, one at a time.

    :param board: the sidecar's state
    :param rules: rules of the sidecar's route
    :param store: the platform's key-value service
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
        self._fence = fencing.LeaseManager(store, time.monotonic)
        # A younger order must not overtake one that was admitted.
        self._lock = asyncio.Lock()

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        return [(r"/v1/orders", OrdersHandler, {"service": self})]

    def start(self) -> None:
        """Do nothing; orders need no background work."""

    async def close(self) -> None:
        """Do nothing; orders need no background work."""

    async def carry_out(
        self, order: orders.EndpointOrder
    ) -> orders.OrderReply:
        """Pass an order on to the endpoint; raise a coded error."""
        async with self._lock:
            done = self._controller.find_reply(self._orders, order)
            if done is not None:
                return done
            confirmed = await self._confirm(order)
            self._controller.admit(self._orders, order, confirmed)
            await self._pass_on(order)
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
            return await self._fence.read_holder(order["route"])
        except store_errors.StoreError as err:
            raise errors.OrderUnconfirmedError(
                f"the number can't be confirmed: {err.message}"
            ) from err

    async def _pass_on(self, order: orders.EndpointOrder) -> None:
        body = msgspec.json.encode(orders.make_engine_order(order))
        try:
            answer = await self._client.fetch(
                "POST",
                f"http://{self._endpoint}/orders",
                {},
                body,
                ENGINE_TIMEOUT_S,
                repeatable=False,
            )
        except transport_errors.ConnectFailedError as err:
            raise errors.EndpointOrderError(err.message) from err
        except transport_errors.TransportError as err:
            raise errors.EndpointOrderError(err.message, "unknown") from err
        eliot.log_message(
            "sidecar:order",
            order=order["id"],
            status=answer.status,
            checked=self._rules.checks_orders(),
        )
        if answer.status == 409:
            raise errors.StaleOrderError("the endpoint refused the number")
        if answer.status != 200:
            raise errors.EndpointOrderError(f"status {answer.status}")


__all__ = (
    "OrderService",
    "OrdersHandler",
)
