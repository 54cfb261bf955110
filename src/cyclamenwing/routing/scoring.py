"""Order of candidates by the expected time to the first token."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from cyclamenwing.routing import affinity
from cyclamenwing.routing import health
from cyclamenwing.routing import load
from cyclamenwing.routing import types

BASE_S = 0.02
PREFILL_TOKEN_S = 0.0001
RUN_S = 0.004
WAIT_S = 0.25
ZONE_S = 0.003
# Part of a score that differs by job, so that entries with the same late
# reports do not all pick the same host.
SPREAD_S = 0.002
DOWN_S = 60.0
_HASH_RANGE = 2**64


class _Sent(NamedTuple):
    host: str
    at: float
    expected_s: float
    tokens: float
    first: bool


class ScoringPolicy:
    """Prefer cached prefixes, short queues, the own zone, healthy hosts.

    :param zone: the availability zone of this process
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._affinity = affinity.AffinityIndex()
        self._health = health.HealthController()
        self._loads: dict[str, load.HostLoad] = {}
        self._epochs: dict[str, int] = {}
        self._down: set[str] = set()
        self._sent: dict[str, _Sent] = {}

    def order(
        self,
        job: types.Job,
        candidates: list[types.Candidate],
        now: float,
    ) -> list[types.Candidate]:
        """Return the candidates, the best first."""
        self._health.greet(candidates, now)
        kept = self._health.filter(candidates, now)
        held = self._affinity.match(job.prefix, now)
        prompt = affinity.count_prompt_tokens(job.prefix)
        scores = {
            item.host: self._score(job, item, prompt, held, now)
            for item in kept
        }
        return sorted(kept, key=lambda item: scores[item.host])

    def note_start(self, job: types.Job, host: str, now: float) -> None:
        """Take note that a job was sent to a host."""
        held = self._affinity.match(job.prefix, now).get(host, 0.0)
        tokens = affinity.count_prompt_tokens(job.prefix) - held
        found = self._find_load(host)
        expected_s = self._expect(found, tokens, found.in_flight)
        self._sent[job.request] = _Sent(host, now, expected_s, tokens, False)
        found.pending_tokens += tokens
        found.change(1, now)
        self._affinity.add(host, job.prefix, now)

    def note_first(self, job: types.Job, host: str, now: float) -> None:
        """Take note of the first bytes of a job's answer."""
        sent = self._sent.get(job.request)
        if sent is None or sent.first:
            return
        self._sent[job.request] = sent._replace(first=True)
        self._find_load(host).pending_tokens -= sent.tokens
        self._health.measure(host, (now - sent.at) / sent.expected_s, now)

    def note_end(
        self, job: types.Job, host: str, completed: bool, now: float
    ) -> None:
        """Take note that a job left a host."""
        sent = self._sent.pop(job.request, None)
        if sent is None:
            return
        found = self._find_load(host)
        found.change(-1, now)
        if not sent.first:
            found.pending_tokens -= sent.tokens
        if completed:
            self._health.note_success(host)

    def note_failure(self, host: str, now: float) -> None:
        """Take note that a host failed or refused a job."""
        self._health.note_failure(host, now)

    def hear(self, host: str, news: types.EndpointNews, now: float) -> None:
        """Take over an endpoint's report."""
        if self._epochs.get(host, news["epoch"]) != news["epoch"]:
            self._affinity.forget(host)
        self._epochs[host] = news["epoch"]
        self._affinity.add(host, news["stored"], now)
        self._affinity.remove(host, news["removed"])
        self._find_load(host).learn_limit(news)
        if news["up"]:
            self._down.discard(host)
        else:
            self._down.add(host)

    def count_room(
        self,
        candidates: Sequence[types.Candidate],
        priority: types.Priority,
        now: float,
    ) -> int:
        """Return how many more jobs of a priority the candidates take."""
        room = 0
        for candidate in candidates:
            found = self._find_load(candidate.host)
            limit = load.bound_limit(found.limit, priority)
            room += max(0, limit - found.estimate(candidate))
        return room

    def _score(
        self,
        job: types.Job,
        candidate: types.Candidate,
        prompt: float,
        held: dict[str, float],
        now: float,
    ) -> float:
        host = candidate.host
        found = self._find_load(host)
        tokens = prompt - held.get(host, 0.0)
        expected_s = self._expect(found, tokens, found.estimate(candidate))
        expected_s *= self._health.read_slowness(host, now)
        expected_s *= self._health.read_start(host, now)
        if candidate.zone != self._zone:
            expected_s += ZONE_S
        if host in self._down:
            expected_s += DOWN_S
        return expected_s + SPREAD_S * _draw(job.request, host)

    def _expect(
        self, found: load.HostLoad, tokens: float, running: int
    ) -> float:
        over = max(0, running + 1 - found.limit)
        return (
            BASE_S
            + (found.pending_tokens + tokens) * PREFILL_TOKEN_S
            + running * RUN_S
            + over * WAIT_S
        )

    def _find_load(self, host: str) -> load.HostLoad:
        return self._loads.setdefault(host, load.HostLoad())


def _draw(request: str, host: str) -> float:
    digest = xxhash.xxh64_intdigest(f"{request}\0{host}".encode())
    return digest / _HASH_RANGE


__all__ = ("ScoringPolicy",)
