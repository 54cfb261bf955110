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
MAX_SCORED = 24
# A prefix counts as known from this share of the prompt on; one that is not
# is expected by this share at the host that ranks first for it.
KNOWN_SHARE = 0.5
EXPECTED_SHARE = 0.3
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
        self._entries = 1
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
        _expect_elsewhere(job, kept, held, prompt)
        scored, others = _split(job, kept, held)
        scores = {
            item.host: self._score(
                job, item, prompt - held.get(item.host, 0.0), now
            )
            for item in scored
        }
        return sorted(scored, key=lambda item: scores[item.host]) + others

    def note_start(self, job: types.Job, host: str, now: float) -> None:
        """Take note that a job was sent to a host."""
        held = self._affinity.match(job.prefix, now).get(host, 0.0)
        tokens = affinity.count_prompt_tokens(job.prefix) - held
        found = self._find_load(host)
        expected_s = self._expect(found, job.priority, tokens, found.in_flight)
        self._sent[job.request] = _Sent(host, now, expected_s, tokens, False)
        found.pending[job.priority] += tokens
        found.change(job.priority, 1, now)
        self._affinity.add(host, job.prefix, now)

    def note_first(self, job: types.Job, host: str, now: float) -> None:
        """Take note of the first bytes of a job's answer."""
        sent = self._sent.get(job.request)
        if sent is None or sent.first:
            return
        self._sent[job.request] = sent._replace(first=True)
        self._find_load(host).pending[job.priority] -= sent.tokens
        self._health.measure(host, (now - sent.at) / sent.expected_s, now)

    def note_end(
        self, job: types.Job, host: str, completed: bool, now: float
    ) -> None:
        """Take note that a job left a host."""
        sent = self._sent.pop(job.request, None)
        if sent is None:
            return
        found = self._find_load(host)
        found.change(job.priority, -1, now)
        if not sent.first:
            found.pending[job.priority] -= sent.tokens
        if completed:
            self._health.note_success(host)

    def note_failure(self, host: str, now: float) -> None:
        """Take note that a host failed or refused a job."""
        self._health.note_failure(host, now)

    def hear(self, host: str, news: types.EndpointReport, now: float) -> None:
        """Take over an endpoint's report."""
        if self._epochs.get(host, news["epoch"]) != news["epoch"]:
            self._affinity.forget(host)
        self._epochs[host] = news["epoch"]
        self._affinity.add(host, news["stored"], now)
        self._affinity.remove(host, news["removed"])
        self._find_load(host).learn_limit(news, now)
        if news["up"]:
            self._down.discard(host)
        else:
            self._down.add(host)

    def set_entry_count(self, count: int) -> None:
        """Take note of how many entries share the candidates' places."""
        self._entries = count

    def count_free_slots(
        self,
        candidates: Sequence[types.Candidate],
        priority: types.Priority,
    ) -> float:
        """Return how many more jobs of a priority may be sent."""
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
        """Return whether a host is full, then its expected seconds."""
        host = candidate.host
        found = self._find_load(host)
        draw = _draw(job.request, host)
        running = found.estimate(candidate)
        expected_s = self._expect(found, job.priority, tokens, running)
        expected_s *= self._health.read_factor(host, now)
        if candidate.zone != self._zone:
            expected_s += ZONE_S
        if host in self._down:
            expected_s += DOWN_S
        full = found.is_full(candidate, job.priority, self._entries, draw)
        return full, expected_s + SPREAD_S * draw

    def _expect(
        self,
        found: load.HostLoad,
        priority: types.Priority,
        tokens: float,
        running: int,
    ) -> float:
        over = max(0, running + 1 - found.limit)
        return (
            BASE_S
            + (found.count_ahead(priority) + tokens) * PREFILL_TOKEN_S
            + running * RUN_S
            + over * WAIT_S
        )

    def _find_load(self, host: str) -> load.HostLoad:
        found = self._loads.get(host)
        if found is None:
            found = self._loads[host] = load.HostLoad()
        return found


def _expect_elsewhere(
    job: types.Job,
    candidates: list[types.Candidate],
    held: dict[str, float],
    prompt: float,
) -> None:
    """Expect a prefix not known here where every entry places it first."""
    if not candidates or prompt == 0.0:
        return
    if max(held.values(), default=0.0) >= prompt * KNOWN_SHARE:
        return
    key = str(job.prefix[-1])
    first = min(candidates, key=lambda item: _draw(key, item.host)).host
    held[first] = max(held.get(first, 0.0), prompt * EXPECTED_SHARE)


def _split(
    job: types.Job, candidates: list[types.Candidate], held: dict[str, float]
) -> tuple[list[types.Candidate], list[types.Candidate]]:
    """Return who is scored, holders and some others, and who is not."""
    if len(candidates) <= MAX_SCORED:
        return candidates, []
    start = int(_draw(job.request, "") * len(candidates))
    turned = candidates[start:] + candidates[:start]
    chosen = [item for item in turned if item.host in held]
    rest = [item for item in turned if item.host not in held]
    room = max(0, MAX_SCORED - len(chosen))
    return chosen + rest[:room], rest[room:]


def _draw(request: str, host: str) -> float:
    digest = xxhash.xxh64_intdigest(f"{request}\0{host}".encode())
    return digest / _HASH_RANGE


__all__ = ("ScoringPolicy",)
