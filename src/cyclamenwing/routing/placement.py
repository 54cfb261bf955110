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

Endpoints of one service may differ in speed. The learned slowness of an
endpoint multiplies the costs that are time spent there.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from cyclamenwing.routing import endpoint_states
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import engine_rates

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
# Services with more endpoints are compared by sample: some random ones besides
# the preferred one, or without one. With each further one, all gateways send
# more to the same endpoints between two reports; figures are in
# docs/design/uneven-load.md.
MAX_COMPARED = 6
SAMPLED_BESIDES_PREFERRED = 1
SAMPLED_ENDPOINTS = 3
# Endpoints compared because they have cached the start of the prompt, besides
# the one that all gateways prefer for a prompt part. Between two reports, all
# gateways send to the endpoints that they all compare.
CACHING_ENDPOINTS = 1
# Typical duration of one request at a service without an engine.
PLAIN_REQUEST_COST_MS = 30.0
# Time to the first event, for comparison with the observed one: a constant
# part, and a decoding step after each chunk of the prompt. Engines differ in
# these; only the ratio to other endpoints of the service counts.
FIRST_EVENT_MS = 55.0
PREFILL_CHUNK_TOKENS = 1536
STEP_MS = 5.5
STEP_MS_PER_REQUEST = 0.14

Demand = endpoint_states.Demand
EndpointState = endpoint_states.EndpointState
InFlightRequest = endpoint_states.InFlightRequest
PeerLoad = endpoint_states.PeerLoad
PEER_LOAD_TTL_S = endpoint_states.PEER_LOAD_TTL_S
SUPERSEDED_TTL_S = endpoint_states.SUPERSEDED_TTL_S


class SupersededEndpoint(NamedTuple):
    """Name an incarnation whose address belongs to another one.

    :param incarnation: key of the incarnation
    :param remaining_s: time for which it is left out
    """

    incarnation: tuple[str, int, str]
    remaining_s: float


class Placement:
    """Choose endpoints and track the requests sent to each.

    :param zone: availability zone of this gateway
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.sites: dict[tuple[str, int, str], EndpointState] = {}
        self.rates = engine_rates.EngineRates()
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
            find_preferred(candidates, demand.parts[-2][0])
            if len(demand.parts) > 1
            else None
        )
        best = preferred.name if preferred else ""
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
        preferred: endpoints.Endpoint | None,
        cache_tokens: int,
    ) -> Sequence[endpoints.Endpoint]:
        """Return the endpoints to compare for a request."""
        if len(candidates) <= MAX_COMPARED:
            return candidates
        chosen = {preferred.name: preferred} if preferred else {}
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
        count = SAMPLED_BESIDES_PREFERRED if preferred else SAMPLED_ENDPOINTS
        for endpoint in random.sample(candidates, count):
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
            return cost_ms + running * PLAIN_REQUEST_COST_MS * state.slowness
        # Half of the cost of reading and of running is the request's own time;
        # the other half, the delay of others and of later prompts, does not
        # follow the speed, or parts would be read again at fast endpoints.
        factor = (1.0 + state.slowness) / 2
        weighted_tokens = (
            state.count_uncached(demand) * PREFILL_WEIGHT * factor
            + state.count_backlog(now_s) * state.slowness
        )
        cost_ms += weighted_tokens / endpoint_states.PREFILL_TOKENS_PER_MS
        return cost_ms + running * RUNNING_REQUEST_COST_MS * factor

    def start(
        self, endpoint: endpoints.Endpoint, demand: Demand, now_s: float
    ) -> int:
        """Record a request as sent; return its number."""
        state = self.ensure_state(endpoint)
        self._next_number += 1
        prefill_tokens = state.count_uncached(demand)
        state.in_flight[self._next_number] = InFlightRequest(
            prefill_tokens,
            now_s,
            self._predict_first_event(endpoint, state, prefill_tokens, now_s),
        )
        state.cache_parts(demand.parts)
        return self._next_number

    def _predict_first_event(
        self,
        endpoint: endpoints.Endpoint,
        state: EndpointState,
        prefill_tokens: int,
        now_s: float,
    ) -> float:
        """Return the time to the first event at a typical endpoint, in ms.

        It is 0 if the endpoint runs all that it can, as the time then depends
        on when others end.
        """
        running = state.count_running(now_s)
        if running >= endpoint.slots > 0:
            return 0.0
        if not state.cache_tokens:
            return PLAIN_REQUEST_COST_MS
        tokens = prefill_tokens + state.count_backlog(now_s)
        step_ms = STEP_MS + running * STEP_MS_PER_REQUEST
        return (
            FIRST_EVENT_MS
            + tokens / endpoint_states.PREFILL_TOKENS_PER_MS
            + (1 + tokens / PREFILL_CHUNK_TOKENS) * step_ms
        )

    def compare_first_event(
        self, endpoint: endpoints.Endpoint, number: int, elapsed_s: float
    ) -> engine_rates.Observation | None:
        """Return how a request's first event compares with the prediction.

        :param elapsed_s: time since the request was sent
        """
        state = self.sites.get(endpoint.incarnation)
        request = state.in_flight.get(number) if state else None
        if request is None or not request.predicted_ms:
            return None
        return engine_rates.compare(request.predicted_ms, elapsed_s)

    def apply_rates(self) -> None:
        """Set the slowness of all endpoints from the learned rates."""
        estimates = self.rates.estimates
        for key, state in self.sites.items():
            estimate = estimates.get(key)
            state.slowness = estimate.slowness if estimate else 1.0

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
        key=lambda e: _hash_preference(part, e),
        reverse=True,
    )


def find_preferred(
    candidates: Sequence[endpoints.Endpoint], part: str
) -> endpoints.Endpoint:
    """Return the endpoint that all gateways prefer for a prompt part."""
    return max(candidates, key=lambda e: _hash_preference(part, e))


def _hash_preference(part: str, endpoint: endpoints.Endpoint) -> int:
    return xxhash.xxh64_intdigest(f"{part} {endpoint.name}".encode())


__all__ = (
    "PEER_LOAD_TTL_S",
    "SUPERSEDED_TTL_S",
    "Demand",
    "EndpointState",
    "InFlightRequest",
    "PeerLoad",
    "Placement",
    "SupersededEndpoint",
    "find_preferred",
    "rank_preferred",
)
