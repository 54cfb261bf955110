"""Shutdown of a gateway that clients keep sending requests to.

Guards against requests that a leaving process reads or passes on and then
cuts without an answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import app
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

Check = Callable[[deployments.Deployment], Coroutine[None, None, None]]

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
# The return of the holdings takes this long, within its bound.
TXN_PAUSE_S = 0.3
SEND_INTERVAL_S = 0.01
# Runs that begin meanwhile end after the process.
ENDPOINT_PAUSE_S = 1.0


@pytest.fixture(autouse=True)
def short_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(app, "LOAD_BALANCER_DELAY_S", 0.2)


class RequestCounter:
    """Count the requests that a gateway reads and those that it cuts."""

    def __init__(self, gateway: app.Gateway) -> None:
        self.read = 0
        self.cut = 0
        self._handle = gateway._client_server._handler
        gateway._client_server._handler = self.handle

    async def handle(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        self.read += 1
        try:
            await self._handle(connection, request)
        except asyncio.CancelledError:
            self.cut += 1
            raise


def run(check: Check) -> None:
    async def run_check() -> None:
        async with deployments.deploy() as deployment:
            # Only a gateway that holds tokens returns some.
            await deployment.send("chat", headers=SIZE)
            for endpoint in deployment.endpoints:
                endpoint.runs.clear()
                endpoint.pause_s = ENDPOINT_PAUSE_S
            await check(deployment)

    asyncio.run(run_check())


async def send_until(
    done: asyncio.Future[None],
    send: Callable[[], Coroutine[None, None, tuple[h1.ResponseHead, bytes]]],
) -> list[tuple[h1.ResponseHead, bytes]]:
    """Send requests until a task is done; return the answers received."""
    sent = []
    while not done.done():
        sent.append(asyncio.ensure_future(send()))
        await asyncio.sleep(SEND_INTERVAL_S)
    results = await asyncio.gather(*sent, return_exceptions=True)
    failed = [x for x in results if isinstance(x, BaseException)]
    assert all(isinstance(x, errors.TransportError) for x in failed), failed
    return [x for x in results if not isinstance(x, BaseException)]


@pytest.mark.parametrize(
    ("route", "service", "headers"),
    [
        # Runs at most once: a cut leaves the client without an outcome.
        ("write", "api", {}),
        # Needs tokens, which the gateway has just returned.
        ("chat", "llm", SIZE),
    ],
)
def test_requests_sent_while_holdings_are_returned_are_answered(
    monkeypatch: pytest.MonkeyPatch,
    route: str,
    service: str,
    headers: dict[str, bytes],
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        counter = RequestCounter(gateway)
        return_holdings = gateway._pools.return_holdings
        returning = asyncio.Event()

        async def return_slowly() -> None:
            deployment.store.txn_pause_s = TXN_PAUSE_S
            returning.set()
            await return_holdings()

        monkeypatch.setattr(gateway._pools, "return_holdings", return_slowly)
        closing = asyncio.ensure_future(gateway.close())
        await returning.wait()
        answers = await send_until(
            closing, lambda: deployment.send(route, headers=headers)
        )
        assert counter.cut == 0
        assert len(answers) == counter.read
        statuses = [head.status for head, _ in answers]
        assert set(statuses) <= {200, 503}
        assert deployment.count_runs(service) == statuses.count(200)

    run(check)


# Guards against requests that begin while the holdings are returned.
def test_nothing_is_admitted_or_accepted_while_holdings_are_returned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        kept = await h1_client.ClientConnection.open(gateway.address, 1.0)
        returning, resumed = asyncio.Event(), asyncio.Event()

        async def return_late() -> None:
            returning.set()
            await resumed.wait()

        monkeypatch.setattr(gateway._pools, "return_holdings", return_late)
        closing = asyncio.ensure_future(gateway.close())
        async with asyncio.timeout(3.0):
            await returning.wait()
        assert gateway.board.admission_closed
        with pytest.raises(errors.ConnectFailedError):
            await h1_client.ClientConnection.open(gateway.address, 0.5)
        resumed.set()
        await closing
        kept.close()

    run(check)


def test_request_received_but_not_parsed_yet_is_answered() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        connection = await h1_client.ClientConnection.open(
            gateway.address, 1.0
        )
        await asyncio.sleep(0.05)
        (server_side,) = gateway._client_server.connections
        request = h1.Request(b"POST", b"/none/x", ((b"Host", b"x"),), b"")
        connection.send(request)
        # The data arrives in the process, and its reader has yet to resume.
        while server_side.stream.reading():
            await asyncio.sleep(0)
        gateway._client_server.close_idle()
        head = await connection.read_head(1.0)
        assert head.status == 404
        connection.close()

    run(check)


@pytest.mark.parametrize(
    ("waits_for_tokens", "status", "run_state"),
    [
        # An endpoint may have run the request.
        (False, 504, b"unknown"),
        # No endpoint has.
        (True, 503, b"not_run"),
    ],
)
def test_request_unfinished_at_the_end_of_the_grace_is_answered(
    monkeypatch: pytest.MonkeyPatch,
    waits_for_tokens: bool,
    status: int,
    run_state: bytes,
) -> None:
    monkeypatch.setattr(app, "SHUTDOWN_MARGIN_S", 3.4)

    async def wait_for_tokens(*_: object, **__: object) -> None:
        await asyncio.sleep(30.0)

    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        for endpoint in deployment.endpoints:
            endpoint.pause_s = 30.0
        if waits_for_tokens:
            monkeypatch.setattr(
                gateway._reservations, "reserve", wait_for_tokens
            )
        sent = asyncio.ensure_future(deployment.send("chat", headers=SIZE))
        await asyncio.sleep(0.1)
        await gateway.close()
        head, body = await sent
        assert head.status == status
        assert b'"run":"%s"' % run_state in body

    run(check)


def test_answer_that_a_client_reads_slowly_ends_after_the_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The grace ends at once. The bound of the last answers is long, so that a
    # busy machine does not decide the outcome.
    monkeypatch.setattr(app, "SHUTDOWN_MARGIN_S", 4.0)
    monkeypatch.setattr(app, "FINAL_ANSWERS_TIMEOUT_S", 3.0)
    # More than the buffers of the sockets take.
    body = b"x" * 4_000_000

    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        for endpoint in deployment.endpoints:
            endpoint.pause_s = 0.0
        connection = await h1_client.ClientConnection.open(
            gateway.address, 1.0
        )
        headers = (
            (b"Host", deployments.HOST),
            (b"Request-Id", b"r1"),
            (b"Key", deployments.KEY),
        )
        connection.send(h1.Request(b"POST", b"/write/x", headers, body))
        async with asyncio.timeout(5):
            while not any(
                server_side.stream.writing()
                for server_side in gateway._client_server.connections
            ):
                await asyncio.sleep(0.01)
        # The sockets take in no more.
        await asyncio.sleep(0.3)
        (server_side,) = gateway._client_server.connections
        assert server_side.stream.writing()
        closing = asyncio.ensure_future(gateway.close())
        while not gateway.board.admission_closed:
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        head = await connection.read_head(3.0)
        assert head.status == 200
        assert await connection.read_body(3.0, len(body)) == body
        connection.close()
        await closing

    run(check)


def make_message(route: str, headers: dict[str, bytes]) -> h1.Request:
    values = {b"Host": deployments.HOST, b"Key": deployments.KEY} | {
        b"Request-Id": b"r2",
        **{key.encode(): value for key, value in headers.items()},
    }
    return h1.Request(
        b"POST", f"/{route}/x".encode(), tuple(values.items()), b""
    )


@pytest.mark.parametrize(
    ("route", "headers", "head_before_drain"),
    [
        ("write", {}, False),
        ("chat", SIZE, False),
        # The head has been sent, so that it can't announce anything.
        ("chat", SIZE, True),
    ],
)
def test_connections_close_only_after_an_answer_that_announces_it(
    monkeypatch: pytest.MonkeyPatch,
    route: str,
    headers: dict[str, bytes],
    head_before_drain: bool,
) -> None:
    monkeypatch.setattr(app, "LOAD_BALANCER_DELAY_S", 2.0)

    async def stream_slowly(
        connection: h1.ServerConnection, request: h1.Request, _: h1.Headers
    ) -> None:
        answer_headers = platform_endpoint.make_headers(request)
        head = h1.ResponseHead(200, b"", answer_headers)
        await connection.start(head, None)
        await connection.write(b"id: 1\ndata: 1\n\n")
        await asyncio.sleep(0.5)
        await connection.finish()

    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        for endpoint in deployment.endpoints:
            endpoint.pause_s = 0.0 if head_before_drain else 0.5
        if head_before_drain:
            monkeypatch.setitem(
                platform_endpoint.BEHAVIOURS, "serve", stream_slowly
            )
        connection = await h1_client.ClientConnection.open(
            gateway.address, 1.0
        )
        connection.send(make_message(route, headers))
        if head_before_drain:
            head = await connection.read_head(1.0)
        await asyncio.sleep(0.2)
        closing = asyncio.ensure_future(gateway.close())
        await asyncio.sleep(0)
        if not head_before_drain:
            head = await connection.read_head(1.0)
        await connection.read_body(1.0, 100_000)
        announced = h1.find_header(head.headers, b"connection") == b"close"
        assert announced != head_before_drain
        if not announced:
            # The client may send on this connection, and gets an answer.
            await asyncio.sleep(0.1)
            connection.send(make_message(route, headers))
            head = await connection.read_head(1.0)
            assert head.status == 200
            assert h1.find_header(head.headers, b"connection") == b"close"
        connection.close()
        await closing

    run(check)
