"""Guards against routing decisions worse than the recorded traces state."""

from __future__ import annotations

import pathlib

import msgspec
import pytest

from cyclamenwing.bench import routing_traces
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
    generated = routing_traces.make_trace(
        routing_traces.WORKLOADS[name], recorded["seed"]
    )
    assert recorded == generated


def test_differing_outcomes_are_reported() -> None:
    shape = routing_traces.PANELS._replace(length_s=5.0)
    trace = routing_traces.make_trace(shape, 1)
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
    trace = routing_traces.make_trace(routing_traces.GUIDES, 1)
    trace["events"] = [event]
    with pytest.raises(errors.SettingsSchemaError):
        routing.RoutingReplayer().replay(trace)
