"""Orders of operators, given to the endpoints of a route."""

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
MAX_JOBS = 64

JobState = Literal["running", "done", "failed"]


class OrderRequest(TypedDict):
    """Ask an entry to order endpoints; no hosts: all of the route."""

    id: str
    route: str
    kind: orders.OrderKind
    value: str
    hosts: list[str]
    loads_a_minute: float
    author: str
    origin: str


class HostResult(TypedDict):
    """Tell what became of an order at one host; no code: carried out."""

    host: str
    code: str
    message: str


class Job(TypedDict):
    """Tell how far an order has come."""

    id: str
    state: JobState
    code: str
    message: str
    number: int
    results: list[HostResult]


class JobQuery(TypedDict):
    """Ask for the state of an order."""

    id: str


class OrderHandler(server.PeerHandler):
    """Serve ``POST /peer/order``: begin an order."""

    def initialize(self, service: OrderService) -> None:
        """Take the part that gives orders."""
        self._service = service

    async def post(self) -> None:
        """Begin an order, once by id, and return its state."""
        asked = self.decode_body(OrderRequest)
        self.write_json(self._service.begin(asked))


class JobHandler(server.PeerHandler):
    """Serve ``POST /peer/order/state``."""

    def initialize(self, service: OrderService) -> None:
        """Take the part that gives orders."""
        self._service = service

    async def post(self) -> None:
        """Return the state of an order."""
        asked = self.decode_body(JobQuery)
        self.write_json(self._service.find(asked["id"]))


class OrderService:
    """Give orders as the holder of a route's lease.

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
        self._fence = fencing.Fence(store, time.monotonic)
        self._jobs: dict[str, Job] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"service": self}
        return [
            (r"/peer/order", OrderHandler, options),
            (r"/peer/order/state", JobHandler, options),
        ]

    def start(self) -> None:
        """Do nothing; orders are begun by operators."""

    async def close(self) -> None:
        """Stop giving orders; an operator repeats what is left."""
        for task in self._tasks:
            task.cancel()

    def begin(self, asked: OrderRequest) -> Job:
        """Begin an order once by id."""
        known = self._jobs.get(asked["id"])
        if known is not None:
            return known
        job: Job = {
            "id": asked["id"],
            "state": "running",
            "code": "",
            "message": "",
            "number": 0,
            "results": [],
        }
        self._jobs[asked["id"]] = job
        while len(self._jobs) > MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]
        task = asyncio.create_task(self._run(asked, job))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return job

    def find(self, job_id: str) -> Job:
        """Return the state of an order."""
        known = self._jobs.get(job_id)
        if known is None:
            raise errors.UnknownOrderError(f"no order {job_id!r} here")
        return known

    async def _run(self, asked: OrderRequest, job: Job) -> None:
        async def carry_out() -> audit_trail.Outcome:
            await self._give_all(asked, job)
            return audit_trail.Outcome(None, job["results"])

        try:
            await audit_trail.record_operation(
                self._store, make_act(asked), carry_out
            )
        except base_errors.CodedError as err:
            eliot.log_message("entry:order", id=job["id"], code=err.code)
            job["code"], job["message"] = err.code, err.message
            job["state"] = "failed"
            return
        failed = any(result["code"] for result in job["results"])
        job["state"] = "failed" if failed else "done"

    async def _give_all(self, asked: OrderRequest, job: Job) -> None:
        held = await self._fence.take(asked["route"], self._board.host)
        job["number"] = held.number
        try:
            for host, address in self._list_targets(asked):
                held = await self._wait_turn(asked, held)
                job["results"].append(
                    await self._give(asked, held, host, address)
                )
        finally:
            await self._drop(held)

    async def _wait_turn(
        self, asked: OrderRequest, held: orders.Held
    ) -> orders.Held:
        begins_at = 0.0
        if orders.is_loading(asked["kind"]):
            begins_at = await self._fence.take_slot(
                time.time(), asked["loads_a_minute"]
            )
        while True:
            held = await self._fence.keep(held)
            left_s = begins_at - time.time()
            if left_s <= 0:
                return held
            await asyncio.sleep(min(left_s, RENEW_INTERVAL_S))

    async def _give(
        self, asked: OrderRequest, held: orders.Held, host: str, address: str
    ) -> HostResult:
        order: orders.EndpointOrder = {
            "id": f"{asked['id']}/{host}",
            "route": asked["route"],
            "kind": asked["kind"],
            "value": asked["value"],
            "number": held.number,
            "holder": held.holder,
        }
        orders.check_lease(held, time.monotonic())
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

    async def _drop(self, held: orders.Held) -> None:
        try:
            await self._fence.drop(held)
        except store_errors.StoreError as err:
            # It lapses by itself.
            eliot.log_message("entry:order_lease", code=err.code)

    def _list_targets(self, asked: OrderRequest) -> list[tuple[str, str]]:
        beats = self._members.list_live(
            self._board.members, "sidecar", time.monotonic()
        )
        found = sorted(
            (beat["host"], beat["address"])
            for beat in beats
            if beat["route"] == asked["route"]
            and (not asked["hosts"] or beat["host"] in asked["hosts"])
        )
        missing = set(asked["hosts"]) - {host for host, _ in found}
        if missing or not found:
            raise errors.UnknownOrderError(
                f"no live endpoint of {asked['route']!r}:"
                f" {', '.join(sorted(missing)) or 'any'}"
            )
        return found


def make_act(asked: OrderRequest) -> audit_trail.Operation:
    """Return an order as the audit trail names it."""
    wanted = {
        "kind": asked["kind"],
        "value": asked["value"],
        "hosts": asked["hosts"],
    }
    change = audit.Change(
        time.time(),
        asked["author"],
        asked["origin"],
        "order",
        asked["route"],
        "",
        None,
        wanted,
    )
    return audit_trail.Operation(asked["id"] or uuid.uuid4().hex, change)


__all__ = (
    "HostResult",
    "Job",
    "JobHandler",
    "JobQuery",
    "OrderHandler",
    "OrderRequest",
    "OrderService",
    "make_act",
)
