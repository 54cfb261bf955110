"""Orders of operators to the endpoints of a route."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import Any
from typing import Literal
from typing import TypedDict

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import audit_trail
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import errors
from cyclamenwing.membership import fencing
from cyclamenwing.membership import orders
from cyclamenwing.membership import view
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport
from cyclamenwing.transport import server

SIDECAR_TIMEOUT_S = 125.0
RENEW_INTERVAL_S = orders.LEASE_TTL_S / 4
MAX_ORDERS = 64

OrderState = Literal["running", "done", "failed"]


class OrderRequest(TypedDict):
    """Ask an entry to send an order to endpoints.

    An empty list of hosts stands for all endpoints of the route.
    """

    id: str
    route: str
    kind: orders.OrderKind
    value: str
    hosts: list[str]
    loads_a_minute: float
    author: str
    origin: str


class HostResult(TypedDict):
    """Report the result at one host; no code means success."""

    host: str
    code: str
    message: str


class OrderStatus(TypedDict):
    """Report the progress of an order."""

    id: str
    state: OrderState
    code: str
    message: str
    number: int
    results: list[HostResult]


class OrderStatusQuery(TypedDict):
    """Ask for the status of an order."""

    id: str


class OrderHandler(server.PeerHandler):
    """Serve ``POST /peer/order``: start an order."""

    def initialize(self, service: OrderService) -> None:
        """Store the order service."""
        self._service = service

    async def post(self) -> None:
        """Start an order and return its status.

        An order whose id was started before is not started again.
        """
        request = self.decode_body(OrderRequest)
        self.write_json(self._service.begin(request))


class OrderStatusHandler(server.PeerHandler):
    """Serve ``POST /peer/order/state``."""

    def initialize(self, service: OrderService) -> None:
        """Store the order service."""
        self._service = service

    async def post(self) -> None:
        """Return the status of an order."""
        request = self.decode_body(OrderStatusQuery)
        self.write_json(self._service.find(request["id"]))


class OrderService:
    """Send orders while holding the lease of a route.

    :param board: the entry's state
    :param store: the platform's key-value service
    :param client: HTTP client
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        store: protocol.Store,
        client: transport.Client,
    ) -> None:
        self._board = board
        self._store = store
        self._client = client
        self._members = view.MemberController()
        self._lease_manager = fencing.LeaseManager(store, time.monotonic)
        self._orders: dict[str, OrderStatus] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"service": self}
        return [
            (r"/peer/order", OrderHandler, options),
            (r"/peer/order/state", OrderStatusHandler, options),
        ]

    def start(self) -> None:
        """Do nothing; operators start orders."""

    async def close(self) -> None:
        """Stop sending orders; operators have to repeat unfinished ones."""
        for task in self._tasks:
            task.cancel()

    def begin(self, request: OrderRequest) -> OrderStatus:
        """Start an order and return its status.

        An order whose id was started before is not started again.
        """
        existing = self._orders.get(request["id"])
        if existing is not None:
            return existing
        status: OrderStatus = {
            "id": request["id"],
            "state": "running",
            "code": "",
            "message": "",
            "number": 0,
            "results": [],
        }
        self._orders[request["id"]] = status
        while len(self._orders) > MAX_ORDERS:
            del self._orders[next(iter(self._orders))]
        task = asyncio.create_task(self._run(request, status))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return status

    def find(self, order_id: str) -> OrderStatus:
        """Return the status of an order."""
        existing = self._orders.get(order_id)
        if existing is None:
            raise errors.UnknownOrderError(
                f"no order {order_id!r} at this entry"
            )
        return existing

    async def _run(self, request: OrderRequest, status: OrderStatus) -> None:
        async def carry_out() -> audit_trail.Outcome:
            await self._run_order(request, status)
            return audit_trail.Outcome(None, status["results"])

        try:
            await audit_trail.record_operation(
                self._store, make_audit_operation(request), carry_out
            )
        except base_errors.CodedError as err:
            eliot.log_message(
                "entry:order_failed", id=status["id"], code=err.code
            )
            status["code"], status["message"] = (
                err.code,
                err.message,
            )
            status["state"] = "failed"
            return
        failed = any(result["code"] for result in status["results"])
        status["state"] = "failed" if failed else "done"

    async def _run_order(
        self, request: OrderRequest, status: OrderStatus
    ) -> None:
        lease = await self._lease_manager.acquire(
            request["route"], self._board.host
        )
        status["number"] = lease.number
        try:
            for host, address in self._list_targets(request):
                lease = await self._wait_for_slot(request, lease)
                status["results"].append(
                    await self._send_order(request, lease, host, address)
                )
        finally:
            await self._release_lease(lease)

    async def _wait_for_slot(
        self, request: OrderRequest, lease: orders.OrderLease
    ) -> orders.OrderLease:
        starts_at = 0.0
        if orders.is_loading(request["kind"]):
            starts_at = await self._lease_manager.reserve_slot(
                time.time(), request["loads_a_minute"]
            )
        while True:
            lease = await self._lease_manager.renew(lease)
            remaining_s = starts_at - time.time()
            if remaining_s <= 0:
                return lease
            await asyncio.sleep(min(remaining_s, RENEW_INTERVAL_S))

    async def _send_order(
        self,
        request: OrderRequest,
        lease: orders.OrderLease,
        host: str,
        address: str,
    ) -> HostResult:
        order: orders.EndpointOrder = {
            "id": f"{request['id']}/{host}",
            "route": request["route"],
            "kind": request["kind"],
            "value": request["value"],
            "number": lease.number,
            "holder": lease.holder,
        }
        orders.check_lease(lease, time.monotonic())
        try:
            await self._client.call(
                f"http://{address}/v1/orders",
                order,
                orders.OrderReply,
                SIDECAR_TIMEOUT_S,
            )
        except transport_errors.PeerRefusedError as err:
            return {
                "host": host,
                "code": err.peer_code,
                "message": err.message,
            }
        except transport_errors.TransportError as err:
            return {"host": host, "code": err.code, "message": err.message}
        return {"host": host, "code": "", "message": ""}

    async def _release_lease(self, lease: orders.OrderLease) -> None:
        try:
            await self._lease_manager.release(lease)
        except store_errors.StoreError as err:
            # The lease expires by itself.
            eliot.log_message(
                "entry:order_lease_release_failed", code=err.code
            )

    def _list_targets(self, request: OrderRequest) -> list[tuple[str, str]]:
        beats = self._members.list_live(
            self._board.members, "sidecar", time.monotonic()
        )
        targets = sorted(
            (beat["host"], beat["address"])
            for beat in beats
            if beat["route"] == request["route"]
            and (not request["hosts"] or beat["host"] in request["hosts"])
        )
        missing = set(request["hosts"]) - {host for host, _ in targets}
        if missing or not targets:
            raise errors.UnknownOrderError(
                f"route {request['route']!r} has no live endpoint on"
                f" {', '.join(sorted(missing)) or 'any host'}"
            )
        return targets


def make_audit_operation(request: OrderRequest) -> audit_trail.Operation:
    """Return the operation that the audit trail records for an order."""
    details = {
        "kind": request["kind"],
        "value": request["value"],
        "hosts": request["hosts"],
    }
    change = audit.Change(
        time.time(),
        request["author"],
        request["origin"],
        "order",
        request["route"],
        "",
        None,
        details,
    )
    return audit_trail.Operation(request["id"] or uuid.uuid4().hex, change)


__all__ = (
    "HostResult",
    "OrderHandler",
    "OrderRequest",
    "OrderService",
    "OrderStatus",
    "OrderStatusHandler",
    "OrderStatusQuery",
    "make_audit_operation",
)
