"""State of an endpoint in this gateway: load, cached parts and failures."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

# Prefill rate of the engines according to the deployments' data sheets.
PREFILL_TOKENS_PER_MS = 61.4
# Prompt parts are assumed to stay cached up to this share of the cache; the
# rest is left to the tokens of running requests.
TRUSTED_CACHE_SHARE = 0.85
# Cost added for each failure; it halves every `FAILURE_HALF_LIFE_S`.
FAILURE_COST_MS = 400.0
FAILURE_HALF_LIFE_S = 1.0
MAX_FAILURE_COST_MS = 8000.0
MIN_FAILURE_COST_MS = 1.0
# An incarnation whose address belongs to another one is tried again after this
# time, in case the rejection that said so was a fault.
SUPERSEDED_TTL_S = 5.0
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

    :param predicted_ms: time to the first event at a typical endpoint, 0 if
        it can't be predicted
    """

    prefill_tokens: int
    sent_s: float
    predicted_ms: float = 0.0
    answering: bool = False


class PeerLoad(NamedTuple):
    """Hold the load that a peer gateway has put on an endpoint."""

    running: int
    prefill_tokens: int
    received_s: float


@dataclasses.dataclass(slots=True)
class EndpointState:
    """Hold this gateway's picture of one incarnation of an endpoint.

    :param slowness: its times relative to those of the typical endpoint
    """

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
    slowness: float = 1.0

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
        tokens_per_s = PREFILL_TOKENS_PER_MS * 1000 / self.slowness
        return sum(
            max(
                request.prefill_tokens
                - (now_s - request.sent_s) * tokens_per_s,
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


__all__ = (
    "Demand",
    "EndpointState",
    "InFlightRequest",
    "PeerLoad",
)
