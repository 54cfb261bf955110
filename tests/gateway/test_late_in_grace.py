"""Requests that come late in the grace of a planned stop.

Reported of another system: they were taken and passed on, and cut with no
answer at the end of the grace, among them requests that may run only once.
"""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import admission
from cyclamenwing.gateway import app
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

SIZE = ((b"Token-Counts", b"1000,100"), (b"Prompt-Prefix", b"aa:800,bb:200"))
SEND_INTERVAL_S = 0.04
# The process takes this long to notice that a request was sent.
SLACK_S = 0.1
# Of the gateways of a deployment.
GRACE_S = 4.0
TIMEOUT_S = 8.0
DEADLINES_S = (0.5, 1.0, 3.0, None)
ROUTES = {"write": ("unsafe", "api"), "chat": ("streaming", "llm")}


class Outcome(NamedTuple):
    """Describe a request that was sent while the process stopped.

    :param sent_s: time since the stop began
    :param status: 0 without a complete answer
    """

    request: bytes
    sent_s: float
    deadline_s: float
    status: int


def make_request(
    route: str, number: int, deadline_s: float | None
) -> h1.Request:
    headers = [
        (b"Host", deployments.HOST),
        (b"Request-Id", b"q%d" % number),
        (b"Key", deployments.KEY),
    ]
    if route == "chat":
        headers += SIZE
    if deadline_s is not None:
        headers.append((b"Deadline-Ms", b"%d" % (deadline_s * 1000)))
    return h1.Request(b"POST", f"/{route}/x".encode(), tuple(headers), b"")


async def send(
    connection: h1_client.ClientConnection, request: h1.Request
) -> int:
    """Return the status of a complete answer, else 0."""
    try:
        connection.send(request)
        head = await connection.read_head(10.0)
        await connection.read_body(10.0, 100_000)
    except errors.TransportError:
        return 0
    finally:
        connection.close()
    return head.status


class StopPlayer:
    """Send requests to a gateway from the begin of its stop to its end."""

    def __init__(
        self, deployment: deployments.Deployment, route: str, kept: bool
    ) -> None:
        self._gateway = deployment.gateways[0]
        self._route = route
        self._kept = kept
        self._idle: list[h1_client.ClientConnection] = []
        self._stop_s = 0.0
        self.outcomes: list[Outcome] = []

    async def play(self) -> None:
        if self._kept:
            self._idle = [await self._open() for _ in range(120)]
        self._stop_s = time.monotonic()
        closing = asyncio.ensure_future(self._gateway.close())
        sending: list[asyncio.Task[None]] = []
        while not closing.done():
            number = len(sending)
            sending.append(
                asyncio.ensure_future(
                    self._send(number, DEADLINES_S[number % len(DEADLINES_S)])
                )
            )
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.gather(*sending)

    async def _open(self) -> h1_client.ClientConnection:
        return await h1_client.ClientConnection.open(
            self._gateway.address, 0.5
        )

    async def _send(self, number: int, deadline_s: float | None) -> None:
        request = make_request(self._route, number, deadline_s)
        try:
            connection = self._idle.pop() if self._idle else await self._open()
        except errors.ConnectFailedError:
            return
        sent_s = time.monotonic() - self._stop_s
        status = await send(connection, request)
        self.outcomes.append(
            Outcome(
                dict(request.headers)[b"Request-Id"],
                sent_s,
                TIMEOUT_S if deadline_s is None else deadline_s,
                status,
            )
        )


async def play_stop(route: str, pause_s: float, kept: bool) -> list[Outcome]:
    """Return the outcomes of the requests that were passed on."""
    async with deployments.deploy() as deployment:
        kind, service = ROUTES[route]
        long_route = deployments.make_route(
            route, kind, service, timeout_ms=TIMEOUT_S * 1000, goal_ms=5000
        )
        await deployment.store.put(
            "op/config", deployments.make_configuration(2, routes=[long_route])
        )
        await asyncio.sleep(0.2)
        for endpoint in deployment.endpoints:
            endpoint.pause_s = pause_s
        player = StopPlayer(deployment, route, kept)
        await player.play()
        ran = {
            dict(run.headers)[b"request-id"]
            for endpoint in deployment.endpoints
            for run in endpoint.runs
        }
    return [o for o in player.outcomes if o.request in ran]


@pytest.mark.parametrize("kept", [True, False])
@pytest.mark.parametrize("pause_s", [0.0, 0.8, 2.5])
@pytest.mark.parametrize("route", ["write", "chat"])
def test_no_request_that_was_passed_on_is_cut(
    route: str, pause_s: float, kept: bool
) -> None:
    passed_on = asyncio.run(play_stop(route, pause_s, kept))
    assert passed_on
    assert not [o for o in passed_on if not o.status]
    # A refusal is a promise that nothing has run.
    assert not [o for o in passed_on if o.status == 503]
    # Late in the grace nothing begins that may not end in it.
    late = [
        o
        for o in passed_on
        if o.sent_s > admission.ADMIT_ALL_WHILE_DRAINING_S + SLACK_S
    ]
    last_s = GRACE_S - app.SHUTDOWN_MARGIN_S + SLACK_S
    assert not [o for o in late if o.sent_s + o.deadline_s > last_s]
