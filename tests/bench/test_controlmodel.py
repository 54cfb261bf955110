from __future__ import annotations

import pytest

from cyclamenwing.bench import controlmodel
from cyclamenwing.membership import topology

HEADER_BYTES = 345
TARGET_BYTES_S = 3_000
TARGET_VIEW_BYTES = 32_000_000
TARGET_S = 4.0


@pytest.mark.parametrize("size", [(100, 176), (340, 600)])
def test_control_stays_within_its_target(size: tuple[int, int]) -> None:
    made = controlmodel.measure_size(*size, HEADER_BYTES)
    assert made["entry_bytes_s"] <= TARGET_BYTES_S
    assert made["sidecar_bytes_s"] <= TARGET_BYTES_S
    assert made["view_bytes"] <= TARGET_VIEW_BYTES
    assert made["watches"] == controlmodel.ZONES * topology.WATCHER_COUNT
    # A sidecar asks once an interval; each step before is one exchange.
    assert topology.get_heartbeat_interval_s(size[0]) < TARGET_S
