"""Earlier refusals that an endpoint writes once more on a kept connection.

Taken for the answer to the request in hand, such a refusal tells the client
that the request has not run, or lets it run at a second endpoint as well.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from tests.gateway import deployments

from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import h1

EARLIER_ID = b"Request-Id: earlier\r\n"
STATUSES = {
    b"503 Service Unavailable": b"Not-Executed: 1\r\n",
    b"429 Too Many Requests": b"Not-Executed: 1\r\n",
    b"421 Misdirected Request": b"",
}
Behaviour = Callable[
    [h1.ServerConnection, h1.Request, h1.Headers], Awaitable[None]
]


def make_behaviour(status: bytes, request_id: bytes) -> Behaviour:
    """Return a behaviour: on a kept connection the refusal comes first."""
    served: list[h1.ServerConnection] = []

    async def answer(
        connection: h1.ServerConnection,
        request: h1.Request,
        extra: h1.Headers,
    ) -> None:
        if connection in served:
            refusal = b"HTTP/1.1 %s\r\n%s%sContent-Length: 4\r\n\r\nfull"
            await connection.stream.write(
                refusal % (status, STATUSES[status], request_id)
            )
        served.append(connection)
        await platform_endpoint.BEHAVIOURS["serve"](connection, request, extra)

    return answer


async def refuse(
    connection: h1.ServerConnection, _: h1.Request, extra: h1.Headers
) -> None:
    """Answer 503 without the request's id."""
    await connection.respond(503, (*extra, (b"Not-Executed", b"1")), b"")


async def warm(deployment: deployments.Deployment, behaviour: str) -> None:
    """Leave a kept connection to each endpoint."""
    endpoints = deployment.get_endpoints("api")
    for endpoint in endpoints:
        for other in endpoints:
            other.behaviour = "shed"
        endpoint.behaviour = behaviour
        head, _ = await deployment.send("read")
        assert head.status == 200
        assert endpoint.count_connections() == 1
    deployment.set_behaviour("api", behaviour)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("request_id", [EARLIER_ID, b""])
def test_earlier_refusal_is_not_taken_for_the_answer(
    status: bytes, request_id: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against 'not run' for a request that runs, and a second run of it.
    monkeypatch.setitem(
        platform_endpoint.BEHAVIOURS,
        "repeat",
        make_behaviour(status, request_id),
    )

    async def check() -> None:
        async with deployments.deploy() as deployment:
            await warm(deployment, "repeat")
            ran = deployment.count_runs("api")
            head, _ = await deployment.send(
                "write", headers={"Request-Id": b"r2"}
            )
            assert head.status == (200 if request_id else 502)
            assert deployment.count_runs("api") == ran + 1

    asyncio.run(check())


@pytest.mark.parametrize("route", ["write", "read"])
def test_refusal_on_a_kept_connection_without_an_id_promises_nothing(
    route: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(platform_endpoint.BEHAVIOURS, "refuse", refuse)

    async def check() -> None:
        async with deployments.deploy() as deployment:
            await warm(deployment, "serve")
            deployment.set_behaviour("api", "refuse")
            ran = deployment.count_runs("api")
            head, _ = await deployment.send(route)
            # Only a request that may run again is sent to another endpoint.
            sent = deployment.count_runs("api") - ran
            assert sent == (1 if route == "write" else 2)
            assert head.status == 502

    asyncio.run(check())


def test_answers_without_ids_are_taken_from_new_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(platform_endpoint.BEHAVIOURS, "refuse", refuse)

    async def check() -> None:
        async with deployments.deploy() as deployment:
            deployment.set_behaviour("api", "refuse")
            head, _ = await deployment.send("write")
            assert head.status == 503

    asyncio.run(check())
