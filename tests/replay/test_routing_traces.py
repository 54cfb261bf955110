"""Guards against routing decisions worse than the recorded traces state."""

from __future__ import annotations

import pathlib

import msgspec
import pytest

from cyclamenwing.bench import routingtraces
from cyclamenwing.cli import replay
from cyclamenwing.replay import protocol
from cyclamenwing.replay import routing
from cyclamenwing.settings import errors

TRACES = pathlib.Path(__file__).parents[1] / "traces" / "routing"


@pytest.mark.parametrize("name", ["panels", "guides"])
def test_trace_has_its_stated_outcomes(name: str) -> None:
    assert replay.replay_file(TRACES / f"{name}.json") == []


@pytest.mark.parametrize("name", ["panels", "guides"])
def test_generated_trace_equals_the_recorded_one(name: str) -> None:
    data = (TRACES / f"{name}.json").read_bytes()
    recorded = msgspec.json.decode(data, type=protocol.Trace)
    generated = routingtraces.make_trace(
        routingtraces.SHAPES[name], recorded["seed"]
    )
    assert recorded == generated


def test_differing_outcomes_are_reported() -> None:
    shape = routingtraces.PANELS._replace(length_s=5.0)
    trace = routingtraces.make_trace(shape, 1)
    trace["outcomes"] = {
        "better_than": ["scoring"],
        "refused": -1,
        "asked_after_drain_s": -1.0,
        "other": 1,
    }
    differences = routing.RoutingReplayer().replay(trace)
    assert len(differences) == 5


@pytest.mark.parametrize(
    "event", [{"other": {}}, {"fleet": {"zones": "x"}}, {"fault": {}}]
)
def test_malformed_event_is_refused(event: dict[str, object]) -> None:
    trace = routingtraces.make_trace(routingtraces.GUIDES, 1)
    trace["events"] = [event]
    with pytest.raises(errors.SettingsSchemaError):
        routing.RoutingReplayer().replay(trace)
