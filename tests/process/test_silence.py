"""Guards against a stream that hangs when its connection goes silent.

The relay between entry and sidecar stops forwarding without closing the
connection. The entry must notice, reconnect and attach to the same run.
"""

from __future__ import annotations

import asyncio
import pathlib

import msgspec
from tests.process import endpoint
from tests.process import fleet as process_fleet
from tests.process import relay

from cyclamenwing.entry import admission
from cyclamenwing.membership import types
from cyclamenwing.transport import server


class HeartbeatProxy(server.CodedHandler):
    """Forward heartbeats with the relay's address as the sidecar's."""

    def initialize(self, fleet: RelayedFleet, peer: str) -> None:
        self._fleet = fleet
        self._peer = peer

    async def post(self) -> None:
        heartbeat = self.decode_body(types.Heartbeat)
        heartbeat["address"] = await self._fleet.find_relay(
            heartbeat["address"]
        )
        # Without a directory digest the entry sends no directory, so the
        # sidecar does not learn an entry address that bypasses this proxy.
        heartbeat.pop("directory", None)
        answer = await self._fleet.client.fetch(
            "POST",
            f"http://{self._peer}/peer/heartbeat",
            {},
            msgspec.json.encode(heartbeat),
            2.0,
        )
        self.set_status(answer.status)
        own = self._fleet.proxy.address.encode()
        # The sidecar would send its reports straight to an entry address in
        # the reply, so replace it by the proxy's.
        self.finish(answer.body.replace(self._peer.encode(), own))


class RelayedFleet(process_fleet.Fleet):
    """Fleet whose entry reaches its sidecar through a relay."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder, 1, 0, 1)
        self.relay: relay.Relay | None = None

    async def start_sidecar(
        self, number: int, route: str, peers: list[str]
    ) -> str:
        options = {"fleet": self, "peer": peers[0]}
        self.proxy = server.Listener(
            server.make_application([
                ("/peer/heartbeat", HeartbeatProxy, options)
            ]),
            "127.0.0.1:0",
        )
        return await super().start_sidecar(number, route, [self.proxy.address])

    async def find_relay(self, address: str) -> str:
        if self.relay is None:
            self.relay = relay.Relay(address)
            await self.relay.start()
        return self.relay.address

    async def close(self) -> None:
        await self.proxy.close()
        if self.relay is not None:
            await self.relay.close()


def test_silent_connection_is_replaced(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with RelayedFleet(tmp_path) as fleet:
            await fleet.set_event_limit(3)
            reader = fleet.open(
                0, process_fleet.CHAT, process_fleet.STREAM_BODY, "k1"
            )
            await reader.read_events(3)
            assert fleet.relay is not None
            fleet.relay.silence()
            await fleet.set_event_limit(100)
            request = admission.identify_request("panels/k1")
            assert await reader.read_events() == endpoint.make_answer(request)
            assert fleet.count_runs(request) == 1
            steps = await fleet.list_steps(0, request)
            assert steps.count("attempt_failed") == 1
            assert "settled" in steps
            await fleet.close()

    asyncio.run(main())
