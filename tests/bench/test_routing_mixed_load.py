"""A large batch must not starve interactive requests, nor the reverse.

The bounds are ratios to the figures of each load alone.
"""

from __future__ import annotations

from cyclamenwing.bench import routing

MAX_FIRST_TOKEN_RATIO = 1.3
MIN_BATCH_RATE_RATIO = 0.9


def test_batch_and_interactive_requests_keep_their_bounds() -> None:
    figures = routing.measure_mixed_load(1)
    assert figures.mixed_p95_ms <= MAX_FIRST_TOKEN_RATIO * figures.alone_p95_ms
    assert (
        figures.mixed_tokens_per_s
        >= MIN_BATCH_RATE_RATIO * figures.alone_tokens_per_s
    )
