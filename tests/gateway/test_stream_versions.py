"""Streams that are taken up while a service has two software versions.

What two versions write doesn't fit together, and endpoints don't check it. A
stream goes on at the version that began it, within one answer and over the
attempts of a client, which may return at any gateway.
"""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from collections.abc import Coroutine

import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import clock
from cyclamenwing.gateway import stream_origins
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
STREAM = b"".join(
    b"id: %d\ndata: %d\n\n" % (n, n)
    for n in range(1, platform_endpoint.STREAM_EVENTS + 1)
)
REST = STREAM[STREAM.index(b"id: 3") :]
RESUMED = SIZE | {
    "Request-Id": b"r2",
    "Resumes": b"r1",
    "Last-Event-Id": b"2",
}
SETTLE_S = 0.7

Check = Callable[[deployments.Deployment], Coroutine[None, None, None]]


def run(check: Check, gateways: int = 1) -> None:
    async def run_check() -> None:
        async with deployments.deploy(gateways) as deployment:
            for gateway in deployment.gateways:
                # As if they had served for long.
                gateway.board.versions.since_s = -math.inf
            await check(deployment)

    asyncio.run(run_check())


async def set_versions(
    deployment: deployments.Deployment, *software: str
) -> list[platform_endpoint.EndpointStandin]:
    """Replace the endpoints by some of these versions; return them."""
    for old in deployment.get_endpoints("llm"):
        await deployment.store.put(f"servers/{old.name}", None)
        deployment.endpoints.remove(old)
        old.stop()
    return [await add_endpoint(deployment, v) for v in software]


async def add_endpoint(
    deployment: deployments.Deployment, software: str
) -> platform_endpoint.EndpointStandin:
    name = f"n{len(deployment.endpoints)}{software}"
    endpoint = platform_endpoint.EndpointStandin(name, "llm")
    endpoint.software = software
    endpoint.listen()
    deployment.endpoints.append(endpoint)
    await deployment.store.put(f"servers/{name}", endpoint.describe())
    await asyncio.sleep(0.2)
    return endpoint


def list_resumed(
    endpoint: platform_endpoint.EndpointStandin,
) -> list[h1.Request]:
    return [
        request
        for request in endpoint.runs
        if h1.find_header(request.headers, b"last-event-id") is not None
    ]


async def begin_stream(
    deployment: deployments.Deployment, gateway: int = 0
) -> None:
    """Let a client receive two events of a stream that is broken off."""
    deployment.set_behaviour("llm", "cut")
    with pytest.raises(errors.TransportError):
        await deployment.send("resume", gateway=gateway, headers=SIZE)
    deployment.set_behaviour("llm", "serve")


async def resume_stream(
    deployment: deployments.Deployment, gateway: int
) -> tuple[int, bytes]:
    head, body = await deployment.send(
        "resume", gateway=gateway, headers=RESUMED
    )
    return head.status, body


def read_code(body: bytes) -> str:
    return str(json.loads(body)["code"])


def test_stream_does_not_go_on_at_another_version_in_one_answer() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        ends = await set_versions(deployment, "v1", "v2")
        for cut, other in (ends, ends[::-1]):
            cut.behaviour, other.behaviour = "cut", "serve"
            for _ in range(3):
                try:
                    _, body = await deployment.send("resume", headers=SIZE)
                except errors.TransportError:
                    continue
                assert body == STREAM
        assert not list_resumed(ends[0])
        assert not list_resumed(ends[1])

    run(check)


def test_stream_goes_on_at_another_endpoint_of_its_version() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        ends = await set_versions(deployment, "v1", "v2", "v1", "v2")
        for cut in ends:
            deployment.set_behaviour("llm", "serve")
            cut.behaviour = "cut"
            _, body = await deployment.send("resume", headers=SIZE)
            assert body == STREAM
            same = [e for e in ends if e.software == cut.software]
            others = [e for e in ends if e.software != cut.software]
            if list_resumed(cut) or any(map(list_resumed, same)):
                assert not any(map(list_resumed, others))
            for endpoint in ends:
                endpoint.runs.clear()

    run(check)


def test_attempt_without_an_event_is_repeated_at_any_version() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        ends = await set_versions(deployment, "v1", "v2")
        for lost, other in (ends, ends[::-1]):
            lost.behaviour, other.behaviour = "begin unframed", "serve"
            _, body = await deployment.send("resume", headers=SIZE)
            assert body == STREAM

    run(check)


@pytest.mark.parametrize("version", ["v1", "v2"])
def test_client_goes_on_at_its_version_after_its_gateway_was_killed(
    version: str,
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await set_versions(deployment, version)
        await begin_stream(deployment)
        other = "v2" if version == "v1" else "v1"
        for _ in range(3):
            await add_endpoint(deployment, other)
        await asyncio.sleep(SETTLE_S)
        deployment.gateways[0].stop()
        for gateway in (1, 2, 3):
            assert await resume_stream(deployment, gateway) == (200, REST)
        for endpoint in deployment.get_endpoints("llm"):
            assert bool(list_resumed(endpoint)) is (
                endpoint.software == version
            )

    run(check, gateways=4)


def test_stream_begun_beside_two_versions_goes_on_at_any_gateway() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        ends = await set_versions(deployment, "v1", "v2", "v1", "v2")
        await asyncio.sleep(SETTLE_S)
        await begin_stream(deployment)
        # A cut answer is gone on with once, at the same version.
        [version] = {e.software for e in ends if list_resumed(e)}
        deployment.gateways[0].stop()
        await asyncio.sleep(0.1)
        for gateway in (1, 2, 3):
            assert await resume_stream(deployment, gateway) == (200, REST)
        assert {e.software for e in ends if list_resumed(e)} == {version}

    run(check, gateways=4)


def test_stream_whose_version_is_gone_is_refused_at_once() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        [old] = await set_versions(deployment, "v1")
        await begin_stream(deployment)
        new = await add_endpoint(deployment, "v2")
        await deployment.store.put(f"servers/{old.name}", None)
        await asyncio.sleep(SETTLE_S)
        for gateway in (0, 1):
            status, body = await resume_stream(deployment, gateway)
            assert (status, read_code(body)) == (503, "stream_version_gone")
        assert not new.runs

    run(check, gateways=2)


def test_stream_that_nobody_knows_is_refused_beside_two_versions() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        ends = await set_versions(deployment, "v1", "v2")
        await asyncio.sleep(SETTLE_S)
        status, body = await resume_stream(deployment, 1)
        assert (status, read_code(body)) == (503, "stream_version_unknown")
        assert not any(e.runs for e in ends)

    run(check, gateways=2)


def test_gateway_that_starts_after_a_version_has_left_knows_of_it() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        [old] = await set_versions(deployment, "v1")
        await add_endpoint(deployment, "v2")
        await deployment.store.put(f"servers/{old.name}", None)
        await asyncio.sleep(SETTLE_S)
        await deployment.add_gateway("late")
        await asyncio.sleep(SETTLE_S)
        status, _ = await resume_stream(deployment, 2)
        assert status == 503

    run(check, gateways=2)


def test_stream_goes_on_anywhere_while_there_is_one_version() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await set_versions(deployment, "v1", "v1")
        await begin_stream(deployment)
        deployment.gateways[0].stop()
        await deployment.add_gateway("late")
        await asyncio.sleep(SETTLE_S)
        for gateway in (1, 2):
            assert await resume_stream(deployment, gateway) == (200, REST)

    run(check, gateways=2)


def test_gateway_without_history_refuses_streams_that_nobody_knows() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await set_versions(deployment, "v1")
        history = deployment.gateways[0].board.versions
        history.since_s = clock.read_time()
        status, body = await resume_stream(deployment, 0)
        assert (status, read_code(body)) == (503, "stream_version_unknown")
        # Twice the time-out of the longest resumable route.
        history.since_s = clock.read_time() - 4.0
        assert await resume_stream(deployment, 0) == (200, REST)

    run(check)


def test_stream_goes_on_at_its_service_where_a_route_leads_to_two() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        shares = [
            {"service": "llm", "weight": 50},
            {"service": "other", "weight": 50},
        ]
        route = deployments.make_route(
            "resume",
            "streaming",
            "llm",
            sticky=True,
            attempts=2,
            resumable=True,
            split=shares,
        )
        engine = {"slots": 64, "kv_capacity": 400_000, "stride": 4}
        services = [
            {"name": name, "engine": engine} for name in ("llm", "other")
        ]
        for name in ("o1", "o2"):
            endpoint = platform_endpoint.EndpointStandin(name, "other")
            endpoint.listen()
            deployment.endpoints.append(endpoint)
            await deployment.store.put(f"servers/{name}", endpoint.describe())
        await deployment.store.put(
            "op/config",
            deployments.make_configuration(
                2, routes=[route], services=services
            ),
        )
        await asyncio.sleep(SETTLE_S)
        deployment.set_behaviour("other", "cut")
        await begin_stream(deployment)
        deployment.set_behaviour("other", "serve")
        [service] = {
            e.service for e in deployment.endpoints if list_resumed(e)
        }
        for _ in range(8):
            assert await resume_stream(deployment, 0) == (200, REST)
        assert {
            e.service for e in deployment.endpoints if list_resumed(e)
        } == {service}

    run(check)


@pytest.mark.parametrize("bootstrap", [False, True])
def test_stream_from_before_a_loss_of_all_gateways_is_not_joined(
    bootstrap: bool,
) -> None:
    # Guards against text of two versions in one stream: the old version has
    # just left, all gateways are lost and start again, and the client returns.
    # Their settings may still say that the fleet starts for the first time.
    async def check(deployment: deployments.Deployment) -> None:
        deployment.bootstrap = bootstrap
        await set_versions(deployment, "v1")
        await begin_stream(deployment)
        await set_versions(deployment, "v2")
        await asyncio.sleep(SETTLE_S)
        for gateway in list(deployment.gateways):
            gateway.stop()
            deployment.gateways.remove(gateway)
        for host in ("g0", "g1"):
            await deployment.add_gateway(host)
        await asyncio.sleep(SETTLE_S)
        status, body = await resume_stream(deployment, 0)
        assert (status, read_code(body)) == (503, "stream_version_unknown")
        assert not any(list_resumed(e) for e in deployment.endpoints)

    run(check, gateways=2)


def test_fleet_that_starts_for_the_first_time_has_no_older_streams() -> None:
    async def check() -> None:
        deployment = deployments.Deployment()
        deployment.bootstrap = True
        await deployment.start()
        try:
            await asyncio.sleep(SETTLE_S)
            await begin_stream(deployment)
            deployment.gateways[0]._streams._known.clear()
            status, body = await resume_stream(deployment, 0)
            assert (status, body) == (200, REST)
        finally:
            deployment.gateways[0].stop()
            for endpoint in deployment.endpoints:
                endpoint.stop()
            deployment.store.stop()

    asyncio.run(check())


def hide_changes(
    deployment: deployments.Deployment,
    gateway: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Let a gateway's watch of endpoints go silent, and what peers tell it."""
    app_gateway = deployment.gateways[gateway]
    watching = app_gateway._endpoints.follower
    assert watching is not None

    async def wait_forever(*_: object) -> None:
        await asyncio.Event().wait()

    async def drop_notes(_: bytes) -> bytes:
        return b"{}"

    monkeypatch.setattr(watching, "_follow", wait_forever)
    monkeypatch.setitem(
        app_gateway._peers.handlers, stream_origins.NOTE_PATH, drop_notes
    )
    monkeypatch.setattr(
        type(app_gateway._peers), "_merge", lambda *_: None, raising=True
    )


async def end_watch(deployment: deployments.Deployment) -> None:
    """Let watches that are under way end, so that the next one is silent."""
    await deployment.store.put("servers/other", b"{}")
    await asyncio.sleep(0.2)


@pytest.mark.parametrize("known", [True, False])
def test_gateway_out_of_step_takes_up_no_stream_of_a_version_it_missed(
    known: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Such a gateway knows one version, and took it for the stream's.

    The other gateway may be gone, so that nobody knows the origin.
    """

    async def check(deployment: deployments.Deployment) -> None:
        (old,) = await set_versions(deployment, "v1")
        await asyncio.sleep(SETTLE_S)
        hide_changes(deployment, 1, monkeypatch)
        await end_watch(deployment)
        new = await add_endpoint(deployment, "v2")
        await deployment.store.put(f"servers/{old.name}", None)
        await asyncio.sleep(0.2)
        await begin_stream(deployment, 0)
        assert len(new.runs) == 1
        if not known:
            deployment.gateways[0].stop()
        status, body = await resume_stream(deployment, 1)
        assert not list_resumed(old)
        assert status == 503
        assert read_code(body) == (
            "stream_version_gone" if known else "stream_version_unknown"
        )

    run(check, gateways=2)


def test_gateway_that_is_cut_off_takes_up_no_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It can't know whether another version has joined."""

    async def check(deployment: deployments.Deployment) -> None:
        (old,) = await set_versions(deployment, "v1")
        await asyncio.sleep(SETTLE_S)
        hide_changes(deployment, 1, monkeypatch)
        await end_watch(deployment)
        await begin_stream(deployment, 0)
        deployment.store.error_status = 503
        deployment.gateways[0].stop()
        status, body = await resume_stream(deployment, 1)
        assert status == 503
        assert read_code(body) == "stream_version_unknown"
        assert not list_resumed(old)

    run(check, gateways=2)


def test_streams_are_taken_up_in_an_outage_of_the_store() -> None:
    """Gossip shows that no other version has joined."""

    async def check(deployment: deployments.Deployment) -> None:
        await set_versions(deployment, "v1")
        await asyncio.sleep(SETTLE_S)
        await begin_stream(deployment, 0)
        deployment.store.error_status = 503
        assert await resume_stream(deployment, 1) == (200, REST)

    run(check, gateways=2)


def test_streams_that_are_taken_up_together_share_the_calls_of_the_store() -> (
    None
):
    """A loss of one gateway must not become a load on the store."""

    async def check(deployment: deployments.Deployment) -> None:
        await set_versions(deployment, "v1")
        await asyncio.sleep(SETTLE_S)
        await begin_stream(deployment, 0)
        deployment.store.calls.clear()
        answers = await asyncio.gather(
            *(resume_stream(deployment, 1) for _ in range(30))
        )
        assert {status for status, _ in answers} <= {200, 503}
        watches = deployment.store.calls.count("/v1/kv-watch")
        # Two of the gateways' own watches may end meanwhile, each.
        assert watches <= 10

    run(check, gateways=2)
