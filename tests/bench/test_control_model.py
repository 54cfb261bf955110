from __future__ import annotations

import pytest

from cyclamenwing.bench import control_model
from cyclamenwing.membership import topology

HEADER_BYTES = 345
TARGET_BYTES_S = 3_000
TARGET_VIEW_BYTES = 32_000_000
TARGET_S = 4.0


@pytest.mark.parametrize("size", [(100, 176), (340, 600)])
def test_control_stays_within_its_target(size: tuple[int, int]) -> None:
    made = control_model.measure_size(*size, HEADER_BYTES)
    assert made["entry_bytes_s"] <= TARGET_BYTES_S
    assert made["sidecar_bytes_s"] <= TARGET_BYTES_S
    assert made["view_bytes"] <= TARGET_VIEW_BYTES
    assert made["watches"] == control_model.ZONES * topology.WATCHERS
    # A sidecar asks once an interval; each step before is one exchange.
    assert topology.find_interval_s(size[0]) < TARGET_S
