from __future__ import annotations

from cyclamenwing.bench import routing

FIRST_RATIO = 1.3
BATCH_RATIO = 0.9


def test_batch_beside_interactive_work() -> None:
    beside = routing.measure_beside(1)
    assert beside.both_p95_ms <= FIRST_RATIO * beside.alone_p95_ms
    assert beside.both_tokens_per_s >= BATCH_RATIO * beside.alone_tokens_per_s
