"""Order of candidates by the predicted time to the first token."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from cyclamenwing.routing import affinity
from cyclamenwing.routing import health
from cyclamenwing.routing import load
from cyclamenwing.routing import types

BASE_LATENCY_S = 0.02
PREFILL_S_PER_TOKEN = 0.0001
RUNNING_JOB_S = 0.004
QUEUED_JOB_S = 0.25
CROSS_ZONE_S = 0.003
# Bound of a jitter that depends on job and host. Without it, entries with the
# same delayed reports would all choose the same host.
MAX_JITTER_S = 0.002
DOWN_PENALTY_S = 60.0
MAX_SCORED = 24
# A prompt is considered cached if a host has at least this share of it.
# Otherwise the host that rendezvous hashing ranks first for the prompt is
# credited with `ASSUMED_SHARE`, so that all entries prefer the same one.
CACHED_SHARE = 0.5
ASSUMED_SHARE = 0.3
_HASH_RANGE = 2**64


class _SentJob(NamedTuple):
    host: str
    at: float
    expected_s: float
    tokens: float
    first_byte_received: bool


class ScoringPolicy:
    """Rank hosts by predicted latency; hosts without a free slot come last.

    The prediction covers the prefill of uncached tokens, running and
    queued jobs, the availability zone and the host's measured slowness.

    :param zone: the availability zone of this process
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._entries = 1
        self._affinity = affinity.AffinityIndex()
        self._health = health.HealthController()
        self._loads: dict[str, load.HostLoad] = {}
        self._epochs: dict[str, int] = {}
        self._down: set[str] = set()
        self._sent: dict[str, _SentJob] = {}

    def order(
        self,
        job: types.Job,
        candidates: list[types.Candidate],
        now: float,
    ) -> list[types.Candidate]:
        """Return the candidates that are not ejected, the best first."""
        self._health.register(candidates, now)
        healthy = self._health.exclude_ejected(candidates, now)
        cached_tokens = self._affinity.match(job.prefix, now)
        prompt_tokens = affinity.count_prompt_tokens(job.prefix)
        _assume_cached(job, healthy, cached_tokens, prompt_tokens)
        scored, unscored = _select_scored(job, healthy, cached_tokens)
        scores = {
            item.host: self._score(
                job,
                item,
                prompt_tokens - cached_tokens.get(item.host, 0.0),
                now,
            )
            for item in scored
        }
        return sorted(scored, key=lambda item: scores[item.host]) + unscored

    def record_start(self, job: types.Job, host: str, now: float) -> None:
        """Record that a job was sent to a host."""
        cached_tokens = self._affinity.match(job.prefix, now).get(host, 0.0)
        tokens = affinity.count_prompt_tokens(job.prefix) - cached_tokens
        host_load = self._find_load(host)
        expected_s = self._predict_s(
            host_load, job.priority, tokens, host_load.in_flight
        )
        self._sent[job.request] = _SentJob(
            host, now, expected_s, tokens, False
        )
        host_load.pending_tokens[job.priority] += tokens
        host_load.record_change(job.priority, 1, now)
        self._affinity.add(host, job.prefix, now)

    def record_first_bytes(
        self, job: types.Job, host: str, now: float
    ) -> None:
        """Record the arrival of the first bytes of a job's answer."""
        sent = self._sent.get(job.request)
        if sent is None or sent.first_byte_received:
            return
        self._sent[job.request] = sent._replace(first_byte_received=True)
        self._find_load(host).pending_tokens[job.priority] -= sent.tokens
        self._health.record_latency(
            host, (now - sent.at) / sent.expected_s, now
        )

    def record_end(
        self, job: types.Job, host: str, completed: bool, now: float
    ) -> None:
        """Record that a job ended at a host."""
        sent = self._sent.pop(job.request, None)
        if sent is None:
            return
        host_load = self._find_load(host)
        host_load.record_change(job.priority, -1, now)
        if not sent.first_byte_received:
            host_load.pending_tokens[job.priority] -= sent.tokens
        if completed:
            self._health.record_success(host)

    def record_failure(self, host: str, now: float) -> None:
        """Record that a host failed or refused a job."""
        self._health.record_failure(host, now)

    def receive(
        self, host: str, report: types.EndpointReport, now: float
    ) -> None:
        """Apply an endpoint's report from its sidecar's heartbeat."""
        if self._epochs.get(host, report["epoch"]) != report["epoch"]:
            self._affinity.forget(host)
        self._epochs[host] = report["epoch"]
        self._affinity.add(host, report["stored"], now)
        self._affinity.remove(host, report["removed"])
        self._find_load(host).update_limit(report, now)
        if report["up"]:
            self._down.discard(host)
        else:
            self._down.add(host)

    def set_entry_count(self, count: int) -> None:
        """Set the number of live entries, which share the endpoints' slots."""
        self._entries = count

    def count_free_slots(
        self,
        candidates: Sequence[types.Candidate],
        priority: types.Priority,
    ) -> float:
        """Return how many more jobs of a priority this entry may send."""
        return sum(
            self._find_load(candidate.host).count_free_slots(
                candidate, priority, self._entries
            )
            for candidate in candidates
        )

    def _score(
        self,
        job: types.Job,
        candidate: types.Candidate,
        tokens: float,
        now: float,
    ) -> tuple[bool, float]:
        """Return the sort key: whether the host is full, predicted seconds."""
        host = candidate.host
        host_load = self._find_load(host)
        draw = _hash_to_unit(job.request, host)
        running = host_load.estimate_load(candidate)
        expected_s = self._predict_s(host_load, job.priority, tokens, running)
        expected_s *= self._health.get_latency_factor(host, now)
        if candidate.zone != self._zone:
            expected_s += CROSS_ZONE_S
        if host in self._down:
            expected_s += DOWN_PENALTY_S
        full = host_load.is_full(candidate, job.priority, self._entries, draw)
        return full, expected_s + MAX_JITTER_S * draw

    def _predict_s(
        self,
        host_load: load.HostLoad,
        priority: types.Priority,
        tokens: float,
        running: int,
    ) -> float:
        excess = max(0, running + 1 - host_load.limit)
        return (
            BASE_LATENCY_S
            + (host_load.count_tokens_ahead(priority) + tokens)
            * PREFILL_S_PER_TOKEN
            + running * RUNNING_JOB_S
            + excess * QUEUED_JOB_S
        )

    def _find_load(self, host: str) -> load.HostLoad:
        host_load = self._loads.get(host)
        if host_load is None:
            host_load = self._loads[host] = load.HostLoad()
        return host_load


def _assume_cached(
    job: types.Job,
    candidates: list[types.Candidate],
    cached_tokens: dict[str, float],
    prompt_tokens: float,
) -> None:
    """Assume part of an uncached prompt at the host all entries prefer."""
    if not candidates or prompt_tokens == 0.0:
        return
    if (
        max(cached_tokens.values(), default=0.0)
        >= prompt_tokens * CACHED_SHARE
    ):
        return
    key = str(job.prefix[-1])
    assumed_host = min(
        candidates, key=lambda item: _hash_to_unit(key, item.host)
    ).host
    cached_tokens[assumed_host] = max(
        cached_tokens.get(assumed_host, 0.0),
        prompt_tokens * ASSUMED_SHARE,
    )


def _select_scored(
    job: types.Job,
    candidates: list[types.Candidate],
    cached_tokens: dict[str, float],
) -> tuple[list[types.Candidate], list[types.Candidate]]:
    """Return the candidates to score and the remaining ones.

    Hosts with a cached prefix come first; the others fill up to
    `MAX_SCORED` from a position that depends on the job.
    """
    if len(candidates) <= MAX_SCORED:
        return candidates, []
    start = int(_hash_to_unit(job.request, "") * len(candidates))
    rotated = candidates[start:] + candidates[:start]
    selected = [item for item in rotated if item.host in cached_tokens]
    rest = [item for item in rotated if item.host not in cached_tokens]
    vacancies = max(0, MAX_SCORED - len(selected))
    return selected + rest[:vacancies], rest[vacancies:]


def _hash_to_unit(request: str, host: str) -> float:
    digest = xxhash.xxh64_intdigest(f"{request}\0{host}".encode())
    return digest / _HASH_RANGE


__all__ = ("ScoringPolicy",)
