"""Load pattern: engines whose speeds differ up to threefold, many gateways.

Prompts that wait at slow engines while fast ones are idle get their first
event late.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Sequence

import pytest
from tests.routing import fleets

UNEVEN = (0.6, 1.0, 1.6)
ALIKE = (1.0,)
SEEDS = range(3)


class UnlearnedFleet(fleets.Fleet):
    """Play with gateways that take all endpoints for alike."""

    def _observe(self, *_: object) -> None:
        pass


def play(
    kind: type[fleets.Fleet], gateways: int, speeds: Sequence[float]
) -> list[fleets.Figures]:
    """Return the figures of one play for each seed."""
    figures = []
    for seed in SEEDS:
        random.seed(seed)
        fleet = kind(gateways, speeds, (0.2, 0.6), seed)
        figures.append(fleet.play(20.0))
    return figures


@pytest.mark.parametrize("gateways", [4, 26])
def test_late_first_events_are_fewer_where_speeds_are_learned(
    gateways: int,
) -> None:
    learned = play(fleets.Fleet, gateways, UNEVEN)
    unlearned = play(UnlearnedFleet, gateways, UNEVEN)
    assert statistics.mean(f.p95_s for f in learned) < 0.9 * statistics.mean(
        f.p95_s for f in unlearned
    )
    # Few prompts may be read again at fast endpoints for this.
    assert (
        statistics.mean(f.reads for f in learned)
        < statistics.mean(f.reads for f in unlearned) + 0.04
    )


def test_alike_endpoints_are_chosen_as_if_nothing_were_learned() -> None:
    learned = play(fleets.Fleet, 26, ALIKE)
    unlearned = play(UnlearnedFleet, 26, ALIKE)
    for one, two in zip(learned, unlearned, strict=True):
        assert one.p95_s == pytest.approx(two.p95_s, rel=0.1)
        assert one.reads == pytest.approx(two.reads, abs=0.01)
