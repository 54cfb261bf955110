"""Gateways in this process with stand-ins for store and endpoints."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Mapping
from typing import Any

import msgspec

from cyclamenwing.cli import gateway as cli
from cyclamenwing.gateway import app
from cyclamenwing.gateway import settings
from cyclamenwing.membership import delegates
from cyclamenwing.platform import messages
from cyclamenwing.platform import store
from cyclamenwing.standin import addresses
from cyclamenwing.standin import metadata_store
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

HOST = b"api.example"
KEY = b"k1"
PREPAID = 100_000
NO_HEADERS: Mapping[str, bytes] = {}


def make_route(name: str, kind: str, service: str, **more: Any) -> Any:
    return {
        "name": name,
        "host": HOST.decode(),
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 2000,
        "goal_ms": 200,
    } | more


def make_configuration(version: int = 1, **changes: Any) -> bytes:
    return msgspec.json.encode(
        {
            "version": version,
            "routes": [
                make_route("read", "idempotent", "api", attempts=2),
                make_route("write", "unsafe", "api", attempts=2),
                make_route("open", "unsafe", "api", public=True),
                # Requests wait for tokens for a part of the goal, here longer
                # than a busy machine delays them.
                make_route(
                    "chat", "streaming", "llm", sticky=True, goal_ms=5000
                ),
                make_route(
                    "resume",
                    "streaming",
                    "llm",
                    sticky=True,
                    attempts=2,
                    resumable=True,
                ),
            ],
            "services": [
                {"name": "api"},
                {
                    "name": "llm",
                    "engine": {
                        "slots": 64,
                        "kv_capacity": 400_000,
                        "stride": 4,
                    },
                },
            ],
            "tenants": [
                {"name": "t1", "api_keys": ["k1"], "prepaid": PREPAID}
            ],
        }
        | changes
    )


class Deployment:
    """Hold a store, endpoints and gateways of one test."""

    def __init__(self) -> None:
        self.store = metadata_store.MetadataStoreStandin()
        self.store_address = self.store.listen()
        self.endpoints = [
            platform_endpoint.EndpointStandin("a1", "api"),
            platform_endpoint.EndpointStandin("a2", "api"),
            platform_endpoint.EndpointStandin("m1", "llm"),
            platform_endpoint.EndpointStandin("m2", "llm"),
        ]
        self.gateways: list[app.Gateway] = []
        # Region of each zone, in the settings of gateways.
        self.regions: dict[str, str] = {}
        self.operator_key_sha256 = ""
        # What the settings of gateways say.
        self.bootstrap = False

    async def start(self, gateways: int = 1) -> None:
        for endpoint in self.endpoints:
            endpoint.listen()
            await self.store.put(
                f"servers/{endpoint.name}", endpoint.describe()
            )
        await self.store.put("op/config", make_configuration())
        for number in range(gateways):
            await self.add_gateway(
                f"g{number}", number < delegates.MIN_DELEGATES
            )

    async def add_gateway(
        self, host: str, with_record: bool = True
    ) -> app.Gateway:
        """Start a gateway; return once it is ready.

        :param with_record: wait for its record of usage bounds too
        """
        seeds = [g._settings.control for g in self.gateways]
        gateway = app.Gateway.from_config(
            settings.GatewaySettings(
                host=host,
                availability_zone="z1",
                listen="127.0.0.1:0",
                ready=addresses.reserve_address(),
                control=addresses.reserve_address(),
                store=self.store_address,
                seeds=seeds,
                bootstrap=self.bootstrap,
                regions=self.regions,
                operator_key_sha256=self.operator_key_sha256,
                bounds=settings.Bounds(grace_s=4.0),
            ),
            store.KeyValueStore,
            cli.CODEC,
            messages,
        )
        self.gateways.append(gateway)
        async with asyncio.timeout(5):
            while not gateway.board.ready or (
                with_record and not gateway.board.record_written_s
            ):
                await asyncio.sleep(0.01)
        return gateway

    def get_endpoints(
        self, service: str
    ) -> list[platform_endpoint.EndpointStandin]:
        return [r for r in self.endpoints if r.service == service]

    def set_behaviour(self, service: str, behaviour: str) -> None:
        for endpoint in self.get_endpoints(service):
            endpoint.behaviour = behaviour

    def count_runs(self, service: str) -> int:
        return sum(len(r.runs) for r in self.get_endpoints(service))

    async def send(
        self,
        route: str,
        method: bytes = b"POST",
        gateway: int = 0,
        headers: Mapping[str, bytes] = NO_HEADERS,
    ) -> tuple[h1.ResponseHead, bytes]:
        """Send one request; raise a transport error for a broken answer."""
        connection = await self.open(route, method, gateway, headers)
        try:
            head = await connection.read_head(5.0)
            return head, await connection.read_body(5.0, 100_000)
        finally:
            connection.close()

    async def open(
        self,
        route: str,
        method: bytes,
        gateway: int = 0,
        headers: Mapping[str, bytes] = NO_HEADERS,
    ) -> h1_client.ClientConnection:
        address = self.gateways[gateway].address
        connection = await h1_client.ClientConnection.open(address, 1.0)
        sent_headers = {
            b"Host": HOST,
            b"Request-Id": b"r1",
            b"Deadline-Ms": b"3000",
            b"Key": KEY,
        } | {k.encode(): v for k, v in headers.items()}
        connection.send(
            h1.Request(
                method,
                f"/{route}/x".encode(),
                tuple(sent_headers.items()),
                b"",
            )
        )
        return connection


@contextlib.asynccontextmanager
async def deploy(gateways: int = 1) -> AsyncIterator[Deployment]:
    deployment = Deployment()
    await deployment.start(gateways)
    try:
        yield deployment
    finally:
        for gateway in deployment.gateways:
            gateway.stop()
        for endpoint in deployment.endpoints:
            endpoint.stop()
        deployment.store.stop()
