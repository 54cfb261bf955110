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
    """Pass heartbeats on with the relay's address in them."""

    def initialize(self, fleet: RelayedFleet, peer: str) -> None:
        self._fleet = fleet
        self._peer = peer

    async def post(self) -> None:
        beat = self.decode_body(types.Heartbeat)
        beat["address"] = await self._fleet.find_relay(beat["address"])
        # The entry must not tell the sidecar of a way past this proxy.
        beat.pop("directory", None)
        answer = await self._fleet.client.fetch(
            "POST",
            f"http://{self._peer}/peer/heartbeat",
            {},
            msgspec.json.encode(beat),
            2.0,
        )
        self.set_status(answer.status)
        own = self._fleet.proxy.address.encode()
        # The reply names the entry, which the sidecar would then report to.
        self.finish(answer.body.replace(self._peer.encode(), own))


class RelayedFleet(process_fleet.Fleet):
    """Reach the sidecar through a relay."""

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
            await fleet.allow(3)
            reading = fleet.open(
                0, process_fleet.CHAT, process_fleet.STREAM_BODY, "k1"
            )
            await reading.read_events(3)
            assert fleet.relay is not None
            fleet.relay.silence()
            await fleet.allow(100)
            request = admission.identify_request("panels/k1")
            assert await reading.read_events() == endpoint.make_answer(request)
            assert fleet.count_runs(request) == 1
            steps = await fleet.list_steps(0, request)
            assert steps.count("attempt_failed") == 1
            assert "settled" in steps
            await fleet.close()

    asyncio.run(main())
