from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from cyclamenwing.routing import reports
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import observation
from cyclamenwing.transport import errors
from cyclamenwing.transport import protocol

NEWS_BYTES = 256
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
        self.asked: list[str] = []

    async def fetch(
        self, method: str, url: str, *rest: Any
    ) -> protocol.Answer:
        path = url.partition("http://e")[2]
        self.asked.append(path)
        answer = self.answers[path.partition("?")[0]]
        if isinstance(answer, Exception):
            raise answer
        return protocol.Answer(200, {}, answer)


def make_observation(fake: FakeClient) -> observation.Observation:
    board = blackboard.SidecarBoard("h", "z", "i", "r")
    return observation.Observation(board, fake, "e")  # type: ignore[arg-type]


def poll(made: observation.Observation) -> Any:
    asyncio.run(made.poll())
    made._polling = True
    return made.make_gossip()


def make_answers() -> dict[str, Any]:
    return {
        "/load": msgspec.json.encode(LOAD),
        "/cache/events": msgspec.json.encode(EVENT) + b"\n",
    }


def test_summary_is_bounded() -> None:
    fake = FakeClient()
    fake.answers = make_answers()
    made = make_observation(fake)
    news = poll(made)
    assert (news["running"], news["max_running"]) == (3, 32)
    assert news["stored"] == [BLOCKS[count - 1] for count in (192, 128, 96)]
    assert len(msgspec.json.encode(news)) < NEWS_BYTES
    assert poll(made)["stored"] == []
    assert fake.asked[-1] == "/cache/events?after=7"


@pytest.mark.parametrize(
    ("path", "answer", "up"),
    [
        ("/load", errors.ConnectFailedError("x"), False),
        ("/load", errors.ConnectionSilentError("x", "unknown"), True),
        ("/load", b'{"running": "x"}', True),
        ("/load", b"\xff", True),
        ("/cache/events", b"{}\n", True),
        ("/cache/events", b" " * (observation.MAX_ANSWER_BYTES + 1), True),
    ],
)
def test_faults_of_the_reports(path: str, answer: Any, up: bool) -> None:
    fake = FakeClient()
    fake.answers = make_answers()
    made = make_observation(fake)
    epoch = poll(made)["epoch"]
    fake.answers[path] = answer
    assert poll(made)["up"] is up
    fake.answers = make_answers()
    news = poll(made)
    assert (news["up"], news["epoch"] > epoch) == (True, not up)


def test_only_an_engine_is_asked() -> None:
    made = make_observation(FakeClient())
    assert made.make_gossip() is None


def test_most_of_a_flood_of_events_is_left_out() -> None:
    board, controller = reports.ReportBoard(), reports.ReportController()
    events = [
        reports.CacheEvent(seq=seq, kind="stored", start=0, blocks=[seq])
        for seq in range(1, 10_000)
    ]
    controller.apply_events(board, events)
    told = controller.make_report(board)["stored"]
    assert told == list(range(9_999, 9_999 - len(told), -1))
    assert len(board.cached) <= reports.MAX_CACHED_DIGESTS
