from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from cyclamenwing.routing import reports
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import endpoint_observer
from cyclamenwing.transport import errors
from cyclamenwing.transport import protocol

MAX_GOSSIP_BYTES = 256
LOAD = {"running": 3, "waiting": 1, "max_running": 32, "at": 1.0}
BLOCKS = list(range(2**32 - 300, 2**32 - 100))
EVENT = {
    "seq": 7,
    "at": 1.0,
    "kind": "stored",
    "start": 0,
    "blocks": BLOCKS,
}


class FakeClient:
    def __init__(self) -> None:
        self.answers: dict[str, Any] = {}
        self.requested_paths: list[str] = []

    async def fetch(
        self, method: str, url: str, *rest: Any
    ) -> protocol.Response:
        path = url.partition("http://e")[2]
        self.requested_paths.append(path)
        answer = self.answers[path.partition("?")[0]]
        if isinstance(answer, Exception):
            raise answer
        return protocol.Response(200, {}, answer)


def make_observer(fake: FakeClient) -> endpoint_observer.EndpointObserver:
    board = blackboard.SidecarBoard("h", "z", "i", "r")
    return endpoint_observer.EndpointObserver(board, fake, "e")  # type: ignore[arg-type]


def poll(observer: endpoint_observer.EndpointObserver) -> Any:
    asyncio.run(observer.poll())
    observer._polling = True
    return observer.make_gossip()


def make_answers() -> dict[str, Any]:
    return {
        "/load": msgspec.json.encode(LOAD),
        "/cache/events": msgspec.json.encode(EVENT) + b"\n",
    }


def test_heartbeat_data_is_bounded() -> None:
    fake = FakeClient()
    fake.answers = make_answers()
    observer = make_observer(fake)
    gossip = poll(observer)
    assert (gossip["running"], gossip["max_running"]) == (3, 32)
    assert gossip["stored"] == [BLOCKS[count - 1] for count in (192, 128, 96)]
    assert len(msgspec.json.encode(gossip)) < MAX_GOSSIP_BYTES
    assert poll(observer)["stored"] == []
    assert fake.requested_paths[-1] == "/cache/events?after=7"


@pytest.mark.parametrize(
    ("path", "answer", "up"),
    [
        ("/load", errors.ConnectFailedError("x"), False),
        ("/load", errors.ConnectionSilentError("x", "unknown"), True),
        ("/load", b'{"running": "x"}', True),
        ("/load", b"\xff", True),
        ("/cache/events", b"{}\n", True),
        (
            "/cache/events",
            b" " * (endpoint_observer.MAX_RESPONSE_BYTES + 1),
            True,
        ),
    ],
)
def test_failed_polls_report_the_endpoint_state(
    path: str, answer: Any, up: bool
) -> None:
    fake = FakeClient()
    fake.answers = make_answers()
    observer = make_observer(fake)
    epoch = poll(observer)["epoch"]
    fake.answers[path] = answer
    assert poll(observer)["up"] is up
    fake.answers = make_answers()
    gossip = poll(observer)
    assert (gossip["up"], gossip["epoch"] > epoch) == (True, not up)


def test_plain_service_is_not_polled() -> None:
    observer = make_observer(FakeClient())
    assert observer.make_gossip() is None


def test_only_the_newest_of_many_events_are_reported() -> None:
    board, controller = reports.ReportBoard(), reports.ReportController()
    events = [
        reports.CacheEvent(seq=seq, kind="stored", start=0, blocks=[seq])
        for seq in range(1, 10_000)
    ]
    controller.apply_events(board, events)
    stored = controller.make_report(board)["stored"]
    assert stored == list(range(9_999, 9_999 - len(stored), -1))
    assert len(board.cached) <= reports.MAX_CACHED_DIGESTS
