"""Gateways without network in simulated time, for loads on budgets.

The gateways, the store's client and the store's stand-in are the real ones;
only the HTTP client and the event loop's clock are replaced. A second of a
fleet of some gateways takes far less than a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import random
import selectors
import time
import types
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple
from unittest import mock

import eliot
import msgspec
from tests.gateway import deployments

from cyclamenwing.cli import gateway as cli
from cyclamenwing.gateway import app
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import settings
from cyclamenwing.platform import messages
from cyclamenwing.platform import store
from cyclamenwing.standin import metadata_store
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1_server
from cyclamenwing.transport import pooled_client

LATENCY_S = 0.001
STORE_LATENCY_S = 0.003
STORE = "store:1"
# Simulated time at the start. Ages count from 0, so it must be far ahead.
START_S = 10_000.0
# Wall clock less the simulated time.
EPOCH_S = 1_700_000_000.0
# Clients come back once if they are asked to within this time.
MAX_RETURN_S = 4.0

_host: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


class VirtualSelector(selectors.SelectSelector):
    """Advance the time of a loop instead of waiting."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready and timeout:
            self.loop.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run tasks in simulated time."""

    def __init__(self) -> None:
        selector = VirtualSelector()
        selector.loop = self
        self.now_s = START_S
        super().__init__(selector)

    def time(self) -> float:
        return self.now_s


class Demand(NamedTuple):
    """Describe a request.

    :param at_s: time from the begin of the traffic
    :param run_s: time from its reservation to its end
    :param host: gateway that it reaches, empty for any
    """

    at_s: float
    workspace: str
    tokens: int
    spent: int
    run_s: float
    goal_s: float = 0.85
    patience_s: float = 3.4
    host: str = ""
    route: str = "r1"


class Connection:
    """Receive the answer to a call of a peer."""

    status = 0
    body = b""

    async def respond(self, status: int, _: Any, body: bytes) -> None:
        self.status, self.body = status, body


class Http:
    """Carry calls between gateways, and to the store unless it is away."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._lost: set[str] = set()

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        body_timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        head, answer = await self.exchange(
            address, method, target, body, timeout_s, body_timeout_s
        )
        return head.status, answer

    async def exchange(
        self,
        address: str,
        _: str,
        target: str,
        body: bytes,
        timeout_s: float,
        __: float | None = None,
    ) -> tuple[Any, bytes]:
        try:
            async with asyncio.timeout(timeout_s):
                if self._fleet.separates(_host.get(), address):
                    await asyncio.Event().wait()
                if address == STORE:
                    return await self._call_store(target, body)
                return await self._call_peer(address, target, body)
        except TimeoutError as err:
            raise transport_errors.ConnectionSilentError(address) from err

    async def _call_store(self, target: str, body: bytes) -> tuple[Any, bytes]:
        fleet = self._fleet
        url = urllib.parse.urlsplit(target)
        await self._reach_store()
        await asyncio.sleep(STORE_LATENCY_S)
        if url.path == "/v1/kv-txn":
            fleet.writes += 1
        query = dict(urllib.parse.parse_qsl(url.query))
        handler = metadata_store._CALLS[url.path]
        status, answer = await handler(fleet.store, query, body)
        await asyncio.sleep(STORE_LATENCY_S)
        await self._reach_store()
        head = types.SimpleNamespace(
            status=status, headers=((b"store-era", b"0"),)
        )
        return head, msgspec.json.encode(answer)

    async def _reach_store(self) -> None:
        host = _host.get()
        if not self._fleet.store_away:
            self._lost.discard(host)
        elif host in self._lost:
            await asyncio.sleep(pooled_client.CONNECT_TIMEOUT_S)
            raise transport_errors.ConnectFailedError(STORE)
        else:
            # Open connections are silent, new ones can't be opened.
            self._lost.add(host)
            await asyncio.Event().wait()

    async def _call_peer(
        self, address: str, target: str, body: bytes
    ) -> tuple[Any, bytes]:
        self._fleet.messages[target] = self._fleet.messages.get(target, 0) + 1
        gateway = self._fleet.by_address.get(address)
        if gateway is None:
            raise transport_errors.ConnectFailedError(address)
        await asyncio.sleep(LATENCY_S)
        connection = Connection()
        token = _host.set(gateway.board.settings.host)
        try:
            await gateway._peers.handle(
                connection,  # type: ignore[arg-type]
                types.SimpleNamespace(  # type: ignore[arg-type]
                    target=target.encode(), body=body
                ),
            )
        finally:
            _host.reset(token)
        await asyncio.sleep(LATENCY_S)
        return types.SimpleNamespace(status=connection.status), connection.body


class Fleet:
    """Run gateways and requests; record the log.

    :ivar lines: seconds from the begin of the traffic, host and message
    :ivar writes: transactions of the store
    :ivar messages: calls between gateways by path
    """

    def __init__(
        self,
        hosts: Iterable[tuple[str, str, float]],
        prepaid: dict[str, int],
        seed: int = 1,
    ) -> None:
        """Create the gateways.

        :param hosts: name, availability zone and capacity of each
        """
        self.rng = random.Random(seed)
        self.store = metadata_store.MetadataStoreStandin()
        self.store_away = False
        # Hosts that reach neither the store nor any other host.
        self.cut_off: set[str] = set()
        self.writes = 0
        self.messages: dict[str, int] = {}
        self.prepaid = dict(prepaid)
        self.lines: list[tuple[float, str, dict[str, Any]]] = []
        self.traffic_s = START_S
        self._numbers = 0
        http: Any = Http(self)
        self.by_address: dict[str, app.Gateway] = {}
        self.gateways: dict[str, app.Gateway] = {}
        self._http = http
        self._hosts = list(hosts)
        for host, zone, capacity in self._hosts:
            self._create(host, zone, capacity, bootstrap=True)

    def _create(
        self, host: str, zone: str, capacity: float, bootstrap: bool
    ) -> app.Gateway:
        gateway = app.Gateway(
            settings.GatewaySettings(
                host=host,
                availability_zone=zone,
                listen="",
                ready="",
                control=f"{host}:1",
                store=STORE,
                bootstrap=bootstrap,
                seeds=(
                    []
                    if bootstrap
                    else [f"{name}:1" for name, _, _ in self._hosts[:3]]
                ),
                limits=settings.Limits(link_mbps=capacity),
            ),
            store.KeyValueStore(self._http, STORE),
            self._http,
            cli.CODEC,
            messages,
        )
        self.gateways[host] = gateway
        self.by_address[gateway._settings.control] = gateway
        return gateway

    async def start(self, warm_up_s: float = 6.0) -> None:
        """Start all gateways and wait until they hold tokens."""
        await self.configure(1)
        for host, gateway in self.gateways.items():
            token = _host.set(host)
            gateway.start()
            _host.reset(token)
        await asyncio.sleep(warm_up_s)
        self.traffic_s = clock.read_time()
        self.writes = 0
        self.messages.clear()

    async def configure(self, version: int) -> None:
        """Write the configuration with the prepaid tokens."""
        config = deployments.make_configuration(
            version,
            tenants=[
                {"name": name, "api_keys": [name], "prepaid": tokens}
                for name, tokens in self.prepaid.items()
            ],
        )
        await self.store.put("op/config", config)

    def record(self, message: dict[str, Any]) -> None:
        """Record a log message of the running task's gateway."""
        at_s = clock.read_time() - self.traffic_s
        self.lines.append((at_s, _host.get(), message))

    async def cut_store(self, from_s: float, to_s: float) -> None:
        """Keep all gateways from the store for some time of the traffic."""
        await asyncio.sleep(from_s - (clock.read_time() - self.traffic_s))
        self.store_away = True
        await asyncio.sleep(to_s - from_s)
        self.store_away = False

    def separates(self, host: str, address: str) -> bool:
        """Return whether a host can't reach an address."""
        return host in self.cut_off or address in {
            f"{name}:1" for name in self.cut_off
        }

    def lose(self, host: str) -> None:
        """End a gateway at once; calls to it are refused from then on."""
        gateway = self.gateways[host]
        self.by_address.pop(gateway._settings.control)
        gateway.stop()

    def restart(self) -> None:
        """Start a new process on each host after the loss of all."""
        for host, _, _ in self._hosts:
            self.restart_host(host)

    def restart_host(self, name: str) -> None:
        """Start a new process on one host."""
        for host, zone, capacity in self._hosts:
            if host == name:
                token = _host.set(host)
                self._create(host, zone, capacity, bootstrap=False).start()
                _host.reset(token)

    def count_exposed(self, restart_s: float) -> int:
        """Return the tokens that a loss of all hosts now would leave unused.

        :param restart_s: time after which processes run again, which counts
            as age of their records
        """
        now_s = clock.read_time() + restart_s
        exposed = 0
        for gateway in self.gateways.values():
            for account in gateway.board.escrow.accounts.values():
                if account.usage_bounds:
                    limit = max(
                        bound.compute_limit(now_s, late=True)
                        for bound in account.usage_bounds
                    )
                    unused = min(
                        account.held + account.deferred,
                        limit - account.committed,
                    )
                    exposed += max(unused, 0)
        return exposed

    async def play(self, demands: Iterable[Demand]) -> None:
        """Send requests and wait for their ends."""
        async with asyncio.TaskGroup() as group:
            for demand in demands:
                group.create_task(self._send(demand))

    async def _send(self, demand: Demand) -> None:
        await asyncio.sleep(self.traffic_s + demand.at_s - clock.read_time())
        retry_after_s = await self._request(demand, demand.host)
        if retry_after_s is not None and retry_after_s <= MAX_RETURN_S:
            await asyncio.sleep(retry_after_s)
            await self._request(demand, "")

    async def _request(self, demand: Demand, host: str) -> float | None:
        """Send a request; return when to return if it is refused for now."""
        host = host or self.rng.choice(list(self.gateways))
        _host.set(host)
        gateway = self.gateways[host]
        self._numbers += 1
        started_s = clock.read_time()
        ended: dict[str, Any] = {
            "message_type": "request:done",
            "request": f"{self._numbers}",
            "workspace": demand.workspace,
            "tokens": demand.tokens,
            "spent": 0,
            "reserved_ms": None,
            "ms": 0.0,
        }
        config = gateway.board.configuration
        assert config is not None
        paid = config.workspaces[demand.workspace].prepaid_tokens
        assert paid is not None
        try:
            reserved = await gateway._reservations.reserve(
                demand.workspace,
                paid,
                demand.tokens,
                demand.goal_s,
                demand.patience_s,
            )
        except errors.GatewayError as err:
            refusal = err.make_refusal()
            self.record({
                "message_type": "request:refused",
                "request": ended["request"],
                "code": err.code,
                "reason": str(err),
                "route": demand.route,
            })
            self.record(ended)
            return refusal.retry_after_s if refusal.status == 503 else None
        waited_s = clock.read_time() - started_s
        await asyncio.sleep(demand.run_s)
        gateway._reservations.settle(reserved, demand.spent)
        ended |= {
            "spent": demand.spent,
            "reserved_ms": waited_s * 1000,
            "ms": (clock.read_time() - started_s) * 1000,
        }
        self.record(ended)
        return None


@contextlib.contextmanager
def simulate() -> Iterator[VirtualLoop]:
    """Let gateways of this process run in simulated time."""
    loop = VirtualLoop()
    with (
        mock.patch.object(clock, "read_time", loop.time),
        mock.patch.object(time, "time", lambda: EPOCH_S + loop.time()),
        mock.patch.object(
            h1_server.Server,
            "bind_address",
            lambda _, address: address,
        ),
        contextlib.closing(loop),
    ):
        yield loop


def run(
    hosts: Iterable[tuple[str, str, float]],
    prepaid: dict[str, int],
    check: Callable[[Fleet], Awaitable[None]],
    seed: int = 1,
) -> Fleet:
    """Run a fleet in simulated time; return it with its log."""
    random.seed(seed)
    with simulate() as loop:

        async def play() -> Fleet:
            fleet = Fleet(hosts, prepaid, seed)
            eliot.add_destinations(fleet.record)
            try:
                await fleet.start()
                await check(fleet)
            finally:
                eliot.remove_destination(fleet.record)
                for gateway in fleet.gateways.values():
                    gateway.stop()
                await asyncio.sleep(0.1)
            return fleet

        return loop.run_until_complete(play())


__all__ = (
    "Demand",
    "Fleet",
    "run",
)
