"""Baseline policies of the routing benchmark."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from collections.abc import Sequence

from cyclamenwing.routing import scoring
from cyclamenwing.routing import types

NO_LIMIT = 1_000_000


class Baseline:
    """Count the entry's own requests in flight; ignore all reports.

    :param rng: random numbers for the order of candidates
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight: collections.Counter[str] = collections.Counter()

    def record_start(self, job: types.Job, host: str, now: float) -> None:
        """Count a request that was sent to a host."""
        self._in_flight[host] += 1

    def record_first_bytes(
        self, job: types.Job, host: str, now: float
    ) -> None:
        """Do nothing; baselines use no response times."""

    def record_end(
        self, job: types.Job, host: str, completed: bool, now: float
    ) -> None:
        """Remove a request that ended from the host's count."""
        self._in_flight[host] -= 1

    def record_failure(self, host: str, now: float) -> None:
        """Do nothing; baselines eject no hosts."""

    def receive(
        self, host: str, report: types.EndpointReport, now: float
    ) -> None:
        """Do nothing; baselines ignore reports of endpoints."""

    def set_entry_count(self, count: int) -> None:
        """Do nothing; baselines don't divide capacity among entries."""

    def count_free_slots(
        self,
        candidates: Sequence[types.Candidate],
        priority: types.Priority,
    ) -> float:
        """Return `NO_LIMIT`; baselines never hold requests in the queue."""
        return NO_LIMIT

    def _count_load(self, candidate: types.Candidate) -> int:
        return max(candidate.load, self._in_flight[candidate.host])


class RoundRobin(Baseline):
    """Choose the candidates in rotation."""

    _call_count = 0

    def order(
        self, job: types.Job, candidates: list[types.Candidate], now: float
    ) -> list[types.Candidate]:
        """Return the candidates, rotated by one more place at each call."""
        self._call_count += 1
        start = self._call_count % max(1, len(candidates))
        return candidates[start:] + candidates[:start]


class RandomChoice(Baseline):
    """Choose a candidate at random."""

    def order(
        self, job: types.Job, candidates: list[types.Candidate], now: float
    ) -> list[types.Candidate]:
        """Return the candidates in random order."""
        return self._rng.sample(candidates, len(candidates))


class LeastInFlight(Baseline):
    """Choose the candidate with the lowest load.

    The load of a host is the larger of the reported number of requests
    and of the entry's own requests in flight.
    """

    def order(
        self, job: types.Job, candidates: list[types.Candidate], now: float
    ) -> list[types.Candidate]:
        """Return the candidates by load; ties are in random order."""
        shuffled = self._rng.sample(candidates, len(candidates))
        return sorted(shuffled, key=self._count_load)


class TwoChoices(Baseline):
    """Choose the less loaded of two random candidates."""

    def order(
        self, job: types.Job, candidates: list[types.Candidate], now: float
    ) -> list[types.Candidate]:
        """Return two random candidates by load, then the others."""
        shuffled = self._rng.sample(candidates, len(candidates))
        return sorted(shuffled[:2], key=self._count_load) + shuffled[2:]


PolicyFactory = Callable[[str, random.Random], types.Policy]


def make_scoring_policy(zone: str, rng: random.Random) -> types.Policy:
    """Return the production policy; it needs no random numbers."""
    return scoring.ScoringPolicy(zone)


POLICIES: dict[str, PolicyFactory] = {
    "round robin": lambda _zone, rng: RoundRobin(rng),
    "random": lambda _zone, rng: RandomChoice(rng),
    "least in-flight": lambda _zone, rng: LeastInFlight(rng),
    "two choices": lambda _zone, rng: TwoChoices(rng),
    "scoring": make_scoring_policy,
}

__all__ = (
    "POLICIES",
    "PolicyFactory",
    "make_scoring_policy",
)
