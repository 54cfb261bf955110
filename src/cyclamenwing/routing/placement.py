"""Choice of an endpoint by predicted cost, from load and prefix caches.

Handles four load patterns. Requests with long shared prompt parts go to an
endpoint that has already cached the part. In a burst that arrives at several
gateways at once, each adds the load that its peers report by gossip to its
own, so that they don't all choose the same endpoint. In a large fleet many
gateways choose between two reports, so each compares only the endpoint that
is preferred for the prompt, one that may have cached it and a few random
ones. Endpoints that restart while the store is away keep an outdated
registration; the first rejection of a request that names the former
incarnation rules it out.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from cyclamenwing.routing import endpoints

# Prefill rate of the engines according to the deployments' data sheets.
PREFILL_TOKENS_PER_MS = 61.4
# Prompt parts are assumed to stay cached up to this share of the cache; the
# rest is left to the tokens of running requests.
TRUSTED_CACHE_SHARE = 0.85
# Each running request lengthens every decoding step of the others. This is
# its cost over its whole run, from the step times on the data sheets.
RUNNING_REQUEST_COST_MS = 8.0
# Prefill also delays the requests that run at the same endpoint, which wait
# between its chunks.
PREFILL_WEIGHT = 2.0
# Cost of sending a request to another availability zone.
ZONE_COST_MS = 4.0
# Another endpoint is chosen over a prompt part's preferred one only if its
# predicted cost is lower by more than this.
AFFINITY_BONUS_MS = 30.0
# Services with more endpoints are compared by sample.
MAX_COMPARED = 12
SAMPLED_ENDPOINTS = 3
# Endpoints compared because all gateways prefer them for a prompt part, and
# because they have cached the start of the prompt. Between two reports, all
# gateways send to the endpoints that they all compare.
PREFERRED_ENDPOINTS = 1
CACHING_ENDPOINTS = 1
# Cost added for each failure; it halves every `FAILURE_HALF_LIFE_S`.
FAILURE_COST_MS = 400.0
FAILURE_HALF_LIFE_S = 1.0
MAX_FAILURE_COST_MS = 8000.0
MIN_FAILURE_COST_MS = 1.0
# An incarnation whose address belongs to another one is tried again after this
# time, in case the rejection that said so was a fault.
SUPERSEDED_TTL_S = 5.0
# Typical duration of one request at a service without an engine.
PLAIN_REQUEST_COST_MS = 30.0
# The load that a peer reported is ignored after this time without gossip.
PEER_LOAD_TTL_S = 2.0


class Demand(NamedTuple):
    """Describe the prompt that a request brings to an endpoint.

    :param parts: names and token counts of the prompt's parts, in order
    """

    parts: Sequence[tuple[str, int]]
    prompt_tokens: int


@dataclasses.dataclass(slots=True)
class InFlightRequest:
    """Hold a request that this gateway has sent to an endpoint.

    `answering` is set once the prefill of the prompt is over.
    """

    prefill_tokens: int
    sent_s: float
    answering: bool = False


class PeerLoad(NamedTuple):
    """Hold the load that a peer gateway has put on an endpoint."""

    running: int
    prefill_tokens: int
    received_s: float


class SupersededEndpoint(NamedTuple):
    """Name an incarnation whose address belongs to another one.

    :param incarnation: key of the incarnation
    :param remaining_s: time for which it is left out
    """

    incarnation: tuple[str, int, str]
    remaining_s: float


@dataclasses.dataclass(slots=True)
class EndpointState:
    """Hold this gateway's picture of one incarnation of an endpoint."""

    cache_tokens: int = 0
    in_flight: dict[int, InFlightRequest] = dataclasses.field(
        default_factory=dict
    )
    peer_loads: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    cached_parts: dict[str, int] = dataclasses.field(default_factory=dict)
    cached_tokens: int = 0
    failure_cost_ms: float = 0.0
    failed_s: float = 0.0
    superseded_until_s: float = 0.0

    def cache_parts(self, parts: Iterable[tuple[str, int]]) -> None:
        """Record prompt parts as cached and evict the least recently used."""
        for name, tokens in parts:
            self.cached_tokens -= self.cached_parts.pop(name, 0)
            self.cached_parts[name] = tokens
            self.cached_tokens += tokens
        while (
            self.cached_tokens > self.cache_tokens * TRUSTED_CACHE_SHARE
            and (len(self.cached_parts) > 1)
        ):
            oldest = next(iter(self.cached_parts))
            self.cached_tokens -= self.cached_parts.pop(oldest)

    def count_uncached(self, demand: Demand) -> int:
        """Return the prompt tokens that need a prefill at the endpoint."""
        uncached_tokens = demand.prompt_tokens
        for name, tokens in demand.parts:
            if name not in self.cached_parts:
                break
            uncached_tokens -= tokens
        return max(uncached_tokens, 0)

    def count_running(self, now_s: float) -> int:
        """Return the number of running requests of all gateways."""
        return len(self.in_flight) + sum(
            load.running
            for load in self.peer_loads.values()
            if now_s - load.received_s < PEER_LOAD_TTL_S
        )

    def count_own_backlog(self, now_s: float) -> float:
        """Return this gateway's estimated prompt tokens awaiting prefill."""
        return sum(
            max(
                request.prefill_tokens
                - (now_s - request.sent_s) * 1000 * PREFILL_TOKENS_PER_MS,
                0,
            )
            for request in self.in_flight.values()
            if not request.answering
        )

    def count_backlog(self, now_s: float) -> float:
        """Return all gateways' estimated prompt tokens awaiting prefill."""
        others = sum(
            load.prefill_tokens
            for load in self.peer_loads.values()
            if now_s - load.received_s < PEER_LOAD_TTL_S
        )
        return self.count_own_backlog(now_s) + others

    def record_failure(self, now_s: float) -> None:
        """Add the cost of a failure, up to a bound."""
        cost_ms = self.read_failure_cost(now_s) + FAILURE_COST_MS
        self.failure_cost_ms = min(cost_ms, MAX_FAILURE_COST_MS)
        self.failed_s = now_s

    def record_success(self) -> None:
        """Halve the cost of earlier failures."""
        self.failure_cost_ms /= 2

    def mark_superseded(self, now_s: float) -> None:
        """Record that another incarnation has the endpoint's address."""
        self.superseded_until_s = now_s + SUPERSEDED_TTL_S

    def read_failure_cost(self, now_s: float) -> float:
        """Return the remaining cost of earlier failures, in milliseconds."""
        if not self.failure_cost_ms:
            return 0.0
        age = (now_s - self.failed_s) / FAILURE_HALF_LIFE_S
        cost_ms = float(self.failure_cost_ms * 0.5 ** max(age, 0.0))
        return cost_ms if cost_ms >= MIN_FAILURE_COST_MS else 0.0


class Placement:
    """Choose endpoints and track the requests sent to each.

    :param zone: availability zone of this gateway
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.sites: dict[tuple[str, int, str], EndpointState] = {}
        self._names: dict[str, tuple[str, int, str]] = {}
        self._next_number = 0

    def ensure_state(
        self, endpoint: endpoints.Endpoint, cache_tokens: int = 0
    ) -> EndpointState:
        """Return the state of an endpoint, a new one if it has restarted."""
        key = endpoint.incarnation
        state = self.sites.get(key)
        if state is None:
            self.sites.pop(self._names.get(endpoint.name, key), None)
            self._names[endpoint.name] = key
            state = self.sites[key] = EndpointState()
        if cache_tokens:
            state.cache_tokens = cache_tokens
        return state

    def find_state(self, name: str) -> EndpointState | None:
        """Return the state of the endpoint of a name, if there is one."""
        key = self._names.get(name)
        return None if key is None else self.sites.get(key)

    def list_superseded(self, now_s: float) -> list[SupersededEndpoint]:
        """Return the superseded incarnations, to tell other gateways."""
        return [
            SupersededEndpoint(key, state.superseded_until_s - now_s)
            for key, state in self.sites.items()
            if state.superseded_until_s > now_s
        ]

    def merge_superseded(
        self, reported: Iterable[SupersededEndpoint], now_s: float
    ) -> None:
        """Leave out the incarnations that another gateway reported.

        A report that is passed back changes nothing, so that delays on the
        way don't add up.
        """
        for item in reported:
            state = self.sites.get(item.incarnation)
            if state is not None and state.superseded_until_s <= now_s:
                state.superseded_until_s = now_s + item.remaining_s

    def forget(self, names: Iterable[str]) -> None:
        """Drop the states of endpoints that are not among the given names.

        The state of an endpoint with requests in flight is kept.
        """
        remaining = set(names)
        for name, key in list(self._names.items()):
            state = self.sites.get(key)
            if name not in remaining and (
                state is None or not state.in_flight
            ):
                del self._names[name]
                self.sites.pop(key, None)

    def choose(
        self,
        candidates: Sequence[endpoints.Endpoint],
        demand: Demand,
        cache_tokens: int,
        now_s: float,
    ) -> endpoints.Endpoint | None:
        """Return the endpoint with the lowest predicted cost, if any is left.

        :param cache_tokens: size of an endpoint's prefix cache, 0 for a
            service without an engine
        """
        candidates = [
            endpoint
            for endpoint in candidates
            if self.ensure_state(endpoint, cache_tokens).superseded_until_s
            <= now_s
        ]
        if not candidates:
            return None
        preferred = (
            rank_preferred(candidates, demand.parts[-2][0])
            if len(demand.parts) > 1
            else []
        )
        best = preferred[0].name if preferred else ""
        compared = self._sample(candidates, demand, preferred, cache_tokens)
        return min(
            compared,
            key=lambda e: (
                self.predict_cost(e, demand, cache_tokens, now_s)
                - (AFFINITY_BONUS_MS if e.name == best else 0.0),
                e.name,
            ),
        )

    def _sample(
        self,
        candidates: Sequence[endpoints.Endpoint],
        demand: Demand,
        preferred: Sequence[endpoints.Endpoint],
        cache_tokens: int,
    ) -> Sequence[endpoints.Endpoint]:
        """Return the endpoints to compare for a request."""
        if len(candidates) <= MAX_COMPARED:
            return candidates
        chosen = {e.name: e for e in preferred[:PREFERRED_ENDPOINTS]}
        caching = [
            (uncached, random.random(), e)
            for e in candidates
            if (
                uncached := self.ensure_state(e, cache_tokens).count_uncached(
                    demand
                )
            )
            < demand.prompt_tokens
        ]
        caching.sort(key=lambda item: item[:2])
        chosen.update((e.name, e) for _, _, e in caching[:CACHING_ENDPOINTS])
        for endpoint in random.sample(candidates, SAMPLED_ENDPOINTS):
            chosen[endpoint.name] = endpoint
        return list(chosen.values())

    def predict_cost(
        self,
        endpoint: endpoints.Endpoint,
        demand: Demand,
        cache_tokens: int,
        now_s: float,
    ) -> float:
        """Return the predicted cost of a request, in milliseconds."""
        state = self.ensure_state(endpoint, cache_tokens)
        running = state.count_running(now_s)
        cost_ms = state.read_failure_cost(now_s)
        if endpoint.zone != self._zone:
            cost_ms += ZONE_COST_MS
        if not cache_tokens:
            return cost_ms + running * PLAIN_REQUEST_COST_MS
        uncached_tokens = state.count_uncached(demand)
        weighted_tokens = (
            uncached_tokens * PREFILL_WEIGHT + state.count_backlog(now_s)
        )
        cost_ms += weighted_tokens / PREFILL_TOKENS_PER_MS
        return cost_ms + running * RUNNING_REQUEST_COST_MS

    def start(
        self, endpoint: endpoints.Endpoint, demand: Demand, now_s: float
    ) -> int:
        """Record a request as sent; return its number."""
        state = self.ensure_state(endpoint)
        self._next_number += 1
        state.in_flight[self._next_number] = InFlightRequest(
            state.count_uncached(demand), now_s
        )
        state.cache_parts(demand.parts)
        return self._next_number

    def mark_answering(
        self, endpoint: endpoints.Endpoint, number: int
    ) -> None:
        """Record that the prefill of a request's prompt is over."""
        request = self.ensure_state(endpoint).in_flight.get(number)
        if request is not None:
            request.answering = True

    def end(self, endpoint: endpoints.Endpoint, number: int) -> None:
        """Record that a request has ended."""
        state = self.sites.get(endpoint.incarnation)
        if state is not None:
            state.in_flight.pop(number, None)


def rank_preferred(
    candidates: Sequence[endpoints.Endpoint], part: str
) -> list[endpoints.Endpoint]:
    """Return the endpoints in the order preferred for a prompt part.

    Rendezvous hashing gives the same order at every gateway, without any
    exchange between them.
    """
    return sorted(
        candidates,
        key=lambda e: xxhash.xxh64_intdigest(f"{part} {e.name}".encode()),
        reverse=True,
    )


__all__ = (
    "Demand",
    "EndpointState",
    "InFlightRequest",
    "PeerLoad",
    "Placement",
    "SupersededEndpoint",
    "rank_preferred",
)
