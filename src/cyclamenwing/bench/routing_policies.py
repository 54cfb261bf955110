"""Policies that routing is measured against."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from collections.abc import Sequence

from cyclamenwing.routing import scoring
from cyclamenwing.routing import types

NO_LIMIT = 1_000_000


class Baseline:
    """Count own jobs; learn nothing else.

    :param draw: source of random choices
    """

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw
        self._in_flight: collections.Counter[str] = collections.Counter()

    def note_start(self, job: types.Job, host: str, now: float) -> None:
        """Take note that a job was sent to a host."""
        self._in_flight[host] += 1

    def note_first(self, job: types.Job, host: str, now: float) -> None:
        """Do nothing; a baseline measures no times."""

    def note_end(
        self, job: types.Job, host: str, completed: bool, now: float
    ) -> None:
        """Take note that a job left a host."""
        self._in_flight[host] -= 1

    def note_failure(self, host: str, now: float) -> None:
        """Do nothing; a baseline ejects no host."""

    def hear(self, host: str, news: types.EndpointNews, now: float) -> None:
        """Do nothing; a baseline reads no reports."""

    def note_entries(self, count: int) -> None:
        """Do nothing; a baseline shares no places."""

    def count_room(
        self,
        candidates: Sequence[types.Candidate],
        priority: types.Priority,
    ) -> float:
        """Return that there is always room."""
        return NO_LIMIT

    def _count_load(self, candidate: types.Candidate) -> int:
        return max(candidate.load, self._in_flight[candidate.host])


class RoundRobin(Baseline):
    """Take the candidates in turn."""

    _turn = 0

    def order(
        self, job: types.Job, candidates: list[types.Candidate], now: float
    ) -> list[types.Candidate]:
        """Return the candidates from the next one on."""
        self._turn += 1
        start = self._turn % max(1, len(candidates))
        return candidates[start:] + candidates[:start]


class RandomChoice(Baseline):
    """Take any candidate."""

    def order(
        self, job: types.Job, candidates: list[types.Candidate], now: float
    ) -> list[types.Candidate]:
        """Return the candidates in random order."""
        return self._draw.sample(candidates, len(candidates))


class LeastInFlight(Baseline):
    """Take the candidate with the fewest runs, reported or own."""

    def order(
        self, job: types.Job, candidates: list[types.Candidate], now: float
    ) -> list[types.Candidate]:
        """Return the candidates, those with fewest runs first."""
        mixed = self._draw.sample(candidates, len(candidates))
        return sorted(mixed, key=self._count_load)


class TwoChoices(Baseline):
    """Take the less loaded of two random candidates."""

    def order(
        self, job: types.Job, candidates: list[types.Candidate], now: float
    ) -> list[types.Candidate]:
        """Return two random candidates by runs, then the others."""
        mixed = self._draw.sample(candidates, len(candidates))
        return sorted(mixed[:2], key=self._count_load) + mixed[2:]


PolicyFactory = Callable[[str, random.Random], types.Policy]


def make_scoring_policy(zone: str, draw: random.Random) -> types.Policy:
    """Return the product's policy."""
    return scoring.ScoringPolicy(zone)


POLICIES: dict[str, PolicyFactory] = {
    "round robin": lambda _zone, draw: RoundRobin(draw),
    "random": lambda _zone, draw: RandomChoice(draw),
    "least in-flight": lambda _zone, draw: LeastInFlight(draw),
    "two choices": lambda _zone, draw: TwoChoices(draw),
    "scoring": make_scoring_policy,
}

__all__ = (
    "POLICIES",
    "PolicyFactory",
    "make_scoring_policy",
)
