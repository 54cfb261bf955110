"""Control traffic and memory must stay within bounds in large fleets.

Traffic grows beyond them when a process exchanges messages with all peers
instead of a few.
"""

from __future__ import annotations

import pytest

from cyclamenwing.bench import control_model
from cyclamenwing.membership import topology

HEADER_BYTES = 345
MAX_BYTES_S = 3_000
MAX_VIEW_BYTES = 32_000_000
MAX_PROPAGATION_S = 4.0


@pytest.mark.parametrize("size", [(100, 176), (340, 600)])
def test_control_messages_stay_within_their_bounds(
    size: tuple[int, int],
) -> None:
    figures = control_model.measure_size(*size, HEADER_BYTES)
    assert figures["entry_bytes_s"] <= MAX_BYTES_S
    assert figures["sidecar_bytes_s"] <= MAX_BYTES_S
    assert figures["view_bytes"] <= MAX_VIEW_BYTES
    assert figures["watches"] == control_model.ZONES * topology.WATCHER_COUNT
    # A sidecar gets a change with its next heartbeat, one interval later at
    # most. The hops between entries before it take one exchange each.
    assert topology.get_heartbeat_interval_s(size[0]) < MAX_PROPAGATION_S
