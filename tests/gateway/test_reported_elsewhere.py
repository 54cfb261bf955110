"""Faults that operators of similar systems reported.

Patterns: a late copy of an answer on a reused connection; an answer that
breaks off; a withdrawn key or a removed endpoint after a restart; malformed
messages from the store, peers and endpoints.
"""

from __future__ import annotations

import asyncio
import functools
import socket
import struct
from collections.abc import Callable

import pytest
from tests.gateway import deployments
from tests.gateway import test_endless_answers

from cyclamenwing.gateway import peers
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

SIZE = test_endless_answers.SIZE
FOLLOW_S = test_endless_answers.FOLLOW_S
EVENT = b"id: %d\ndata: %s\n\n"
REQUESTS = 6

Answer = Callable[[bytes], bytes]


def make_whole(request_id: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReplica-Stamp: s\r\n"
        b"Content-Length: %d\r\n\r\n%s"
        % (request_id, len(request_id), request_id)
    )


def make_stream(request_id: bytes) -> bytes:
    events = b"".join(EVENT % (n, request_id) for n in range(1, 4))
    return (
        b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReplica-Stamp: s\r\n"
        b"Content-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
        % (request_id, len(events), events)
    )


class CopyingEndpoint:
    """Answer each request, and send the answer before once more.

    :param early: the copy comes while the connection is idle, not when the
        next request has arrived
    """

    def __init__(self, make_answer: Answer, early: bool) -> None:
        self._make_answer = make_answer
        self._early = early
        self.copies = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        before = b""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            fields = dict(
                line.lower().split(b": ", 1)
                for line in head.split(b"\r\n")[1:]
                if line
            )
            await reader.readexactly(int(fields.get(b"content-length", 0)))
            if before and not self._early:
                self.copies += 1
                writer.write(before)
            before = self._make_answer(fields[b"request-id"])
            writer.write(before)
            if self._early:
                await asyncio.sleep(0.05)
                self.copies += 1
                writer.write(before)


@pytest.mark.parametrize("early", [True, False])
@pytest.mark.parametrize(
    ("service", "route", "make_answer"),
    [
        ("api", "write", make_whole),
        ("llm", "chat", make_stream),
        ("llm", "resume", make_stream),
    ],
)
def test_late_copy_of_an_answer_reaches_no_other_caller(
    service: str, route: str, make_answer: Answer, early: bool
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            copying = CopyingEndpoint(make_answer, early)
            await copying.listen()
            for endpoint in deployment.get_endpoints(service):
                await test_endless_answers.replace_address(
                    deployment, endpoint.name, copying.address
                )
            for number in range(REQUESTS):
                request_id = b"own%d" % number
                head, body = await deployment.send(
                    route, headers=SIZE | {"Request-Id": request_id}
                )
                assert head.status == 200
                assert h1.find_header(head.headers, b"request-id") == (
                    request_id
                )
                whole = make_answer(request_id)
                assert body and body in whole
                await asyncio.sleep(0.1 if early else 0.0)
            assert copying.copies
            copying.stop()

    asyncio.run(check())


@pytest.mark.parametrize("route", ["chat", "resume"])
def test_stream_that_breaks_off_everywhere_never_looks_complete(
    route: str,
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            deployment.set_behaviour("llm", "cut")
            with pytest.raises(errors.TransportError):
                await deployment.send(route, headers=SIZE)

    asyncio.run(check())


def test_answer_without_a_length_that_is_reset_is_no_success() -> None:
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nReplica-Stamp: s\r\n\r\n"

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + b"the first half")
        await writer.drain()
        await asyncio.sleep(0.05)
        # Closes with a reset, not with an end of the stream.
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    async def check() -> None:
        async with deployments.deploy() as deployment:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            for name in ("a1", "a2"):
                await test_endless_answers.replace_address(
                    deployment, name, f"{host}:{port}"
                )
            answer, _ = await deployment.send("write")
            assert answer.status == 502
            server.close()

    asyncio.run(check())


WITHDRAWN = functools.partial(
    deployments.make_configuration,
    7,
    tenants=[
        {"name": "t1", "api_keys": ["k2"], "prepaid": deployments.PREPAID}
    ],
)


async def ask_while_it_starts(
    deployment: deployments.Deployment, host: str
) -> set[int]:
    """Start a gateway; return the statuses it gives to the withdrawn key."""
    number = len(deployment.gateways)
    starting = asyncio.create_task(deployment.add_gateway(host))
    statuses = set()
    loop = asyncio.get_running_loop()
    end_s = loop.time() + 2.0
    while loop.time() < end_s:
        if len(deployment.gateways) > number:
            gateway = deployment.gateways[number]
            connection = await h1_client.ClientConnection.open(
                gateway.address, 1.0
            )
            connection.send(
                h1.Request(
                    b"POST",
                    b"/write/x",
                    (
                        (b"Host", deployments.HOST),
                        (b"Request-Id", b"r1"),
                        (b"Deadline-Ms", b"1000"),
                        (b"Key", deployments.KEY),
                    ),
                    b"",
                )
            )
            statuses.add((await connection.read_head(2.0)).status)
            connection.close()
        await asyncio.sleep(0.005)
    starting.cancel()
    await asyncio.gather(starting, return_exceptions=True)
    return statuses


async def change_nothing(deployment: deployments.Deployment) -> None:
    """Leave the store as it is."""


async def lose_the_store(deployment: deployments.Deployment) -> None:
    deployment.store.error_status = 503


@pytest.mark.parametrize("change_store", [change_nothing, lose_the_store])
def test_withdrawn_key_is_not_used_after_a_restart(
    change_store: Callable[[deployments.Deployment], object],
) -> None:
    async def check() -> None:
        async with deployments.deploy(2) as deployment:
            await deployment.store.put("op/config", WITHDRAWN())
            await asyncio.sleep(FOLLOW_S)
            deployment.gateways[1].stop()
            await change_store(deployment)  # type: ignore[misc]
            statuses = await ask_while_it_starts(deployment, "g1")
            assert statuses <= {401, 503}

    asyncio.run(check())


def test_withdrawn_key_is_not_used_after_a_return_to_an_older_copy() -> None:
    async def check() -> None:
        async with deployments.deploy(2) as deployment:
            copy = deployment.store.copy()
            await deployment.store.put("op/config", WITHDRAWN())
            await asyncio.sleep(FOLLOW_S)
            await deployment.store.restore(copy)
            await asyncio.sleep(FOLLOW_S)
            deployment.gateways[1].stop()
            statuses = await ask_while_it_starts(deployment, "g1")
            assert statuses <= {401, 503}

    asyncio.run(check())


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"[]", b"{}", b'{"version": "x"}', b"7" * 9000]
)
@pytest.mark.parametrize(
    "key", ["op/config", "servers/a9", "servers/a1", "servers/"]
)
def test_malformed_value_in_the_store_stops_nothing(
    key: str, value: bytes
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            await deployment.store.put(key, value)
            await asyncio.sleep(FOLLOW_S)
            head, _ = await deployment.send("write")
            assert head.status == 200
            # The watches go on.
            await deployment.store.put(
                "op/config", deployments.make_configuration(9, routes=[])
            )
            await asyncio.sleep(FOLLOW_S)
            head, _ = await deployment.send("write")
            assert head.status == 404

    asyncio.run(check())


@pytest.mark.parametrize(
    "body", [b"", b"\xff", b"[" * 5000, b'{"limits": [[["e", 1], 0]]}']
)
def test_malformed_gossip_stops_nothing(body: bytes) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            address = deployment.gateways[0].board.settings.control
            connection = await h1_client.ClientConnection.open(address, 1.0)
            connection.send(
                h1.Request(
                    b"POST",
                    peers.GOSSIP_PATH.encode(),
                    ((b"Host", b"a"),),
                    body,
                )
            )
            assert (await connection.read_head(1.0)).status == 400
            connection.close()
            head, _ = await deployment.send("write")
            assert head.status == 200

    asyncio.run(check())


@pytest.mark.parametrize("behaviour", platform_endpoint.BEHAVIOURS)
def test_no_behaviour_of_an_endpoint_ends_the_process(behaviour: str) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            deadline = {"Deadline-Ms": b"300"}
            for service, route in (("api", "write"), ("llm", "resume")):
                deployment.set_behaviour(service, behaviour)
                for _ in range(3):
                    try:
                        await deployment.send(route, headers=SIZE | deadline)
                    except errors.TransportError:
                        continue
                deployment.set_behaviour(service, "serve")
            await asyncio.sleep(1.0)
            board = deployment.gateways[0].board
            assert board.active_requests == 0
            for state in board.placement.sites.values():
                state.failure_cost_ms = 0.0
            for route in ("write", "resume"):
                head, _ = await deployment.send(route, headers=SIZE)
                assert head.status == 200

    asyncio.run(check())
