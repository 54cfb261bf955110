"""Play requests at many gateways in front of simple engines.

The gateways are real `placement.Placement` objects. An engine reads one
prompt at a time and then runs all requests that it has read. Each gateway
knows the loads that all others have put on endpoints as they were some time
ago.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import statistics
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from cyclamenwing.routing import endpoints
from cyclamenwing.routing import placement

CACHE_TOKENS = 400_000
SLOTS = 128
# Speed of a typical engine, within the measured 38 to 61.
TOKENS_PER_MS = 45.0
FIRST_EVENT_S = 0.055
GOSSIP_INTERVAL_S = 0.2
SAMPLE_INTERVAL_S = 0.05
# The first seconds, in which no prompt part is cached yet, are not counted.
WARM_UP_S = 3.0
SESSIONS_PER_ENDPOINT = 10
TEMPLATES = 5
ENDPOINTS_BY_GATEWAYS = {4: 6, 21: 20, 26: 24, 68: 60, 340: 300}


class Kind(NamedTuple):
    """Describe one kind of request.

    :param per_s: requests per second and endpoint
    """

    name: str
    per_s: float
    template: int
    shared: int
    own: int
    answer_s: float


KINDS = (
    Kind("long", 2.0, 2500, 3800, 2900, 0.5),
    Kind("short", 4.6, 120, 80, 630, 2.0),
)


class Figures(NamedTuple):
    """Hold what a play shows, after its first seconds.

    :param running: peak to mean of running requests, typical
    :param backlog: peak to mean of the time to read all waiting prompts
    :param changes: changes of the busiest endpoint in a second
    :param p50_s: time to the first event
    :param reads: tokens read, by those of a cache that never forgets and is
        shared by all endpoints
    """

    running: float
    backlog: float
    changes: float
    p50_s: float
    p95_s: float
    p99_s: float
    reads: float


class Fleet:
    """Play requests at gateways.

    :param gateways: one of the keys of `ENDPOINTS_BY_GATEWAYS`
    :param speeds: times of endpoints relative to the typical one, repeated
    :param ages: least and greatest age of what a gateway knows of the others
    :param load: rate of requests relative to that of `KINDS`
    """

    def __init__(
        self,
        gateways: int,
        speeds: Sequence[float],
        ages: tuple[float, float],
        seed: int,
        load: float = 1.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.load = load
        count = ENDPOINTS_BY_GATEWAYS[gateways]
        self.endpoints = [
            endpoints.Endpoint(
                f"e{n}", "llm", f"10.0.{n}.1:80", "abc"[n % 3], SLOTS, False, 7
            )
            for n in range(count)
        ]
        order = [speeds[n % len(speeds)] for n in range(count)]
        self.rng.shuffle(order)
        self.slowness = {
            e.name: speed
            for e, speed in zip(self.endpoints, order, strict=True)
        }
        self.choosers = [
            placement.Placement("abc"[n % 3]) for n in range(gateways)
        ]
        for chooser in self.choosers:
            for endpoint in self.endpoints:
                chooser.ensure_state(endpoint, CACHE_TOKENS)
            # Gossip gives all gateways the same observations.
            chooser.rates = self.choosers[0].rates
        self.ages = [self.rng.uniform(*ages) for _ in range(gateways)]
        self.free_s = dict.fromkeys(self.slowness, 0.0)
        self.running = dict.fromkeys(self.slowness, 0)
        self.cached: set[tuple[str, str]] = set()
        self.read_anywhere: set[str] = set()
        # Own loads of each gateway at its last reports, by endpoint.
        self.reports: list[collections.deque[tuple[float, dict[str, Any]]]]
        self.reports = [collections.deque(maxlen=16) for _ in range(gateways)]
        self.totals: collections.deque[tuple[float, dict[str, Any]]]
        self.totals = collections.deque(maxlen=16)
        self.sent: list[tuple[float, int, str, placement.Demand]] = []
        self.heard = [0] * gateways
        self.first_events: list[float] = []
        self.samples: list[tuple[float, float, str]] = []
        self.tokens_read = self.tokens_needed = 0

    def play(self, duration_s: float) -> Figures:
        """Play all events in the order of their times."""
        numbers = itertools.count()
        events: list[tuple[float, int, Any, tuple[Any, ...]]] = []

        def add(time_s: float, action: Any, *args: Any) -> None:
            heapq.heappush(events, (time_s, next(numbers), action, args))

        per_s = [
            kind.per_s * len(self.endpoints) * self.load for kind in KINDS
        ]
        now_s = 0.0
        while now_s < duration_s:
            now_s += self.rng.expovariate(sum(per_s))
            add(now_s, self._send, self.rng.choices(KINDS, per_s)[0])
        rounds = int(duration_s / GOSSIP_INTERVAL_S)
        for number in range(rounds):
            add(number * GOSSIP_INTERVAL_S, self._report)
            for gateway in range(len(self.choosers)):
                offset_s = self.rng.random() * GOSSIP_INTERVAL_S
                add(
                    number * GOSSIP_INTERVAL_S + offset_s, self._merge, gateway
                )
        for number in range(int(duration_s / SAMPLE_INTERVAL_S)):
            add(number * SAMPLE_INTERVAL_S, self._sample)
        while events:
            now_s, _, action, args = heapq.heappop(events)
            for later in action(now_s, *args) or ():
                add(*later)
        return self._summarise(duration_s)

    def _make_demand(self, kind: Kind) -> placement.Demand:
        sessions = SESSIONS_PER_ENDPOINT * len(self.endpoints)
        # Some sessions have more requests than others.
        session = int(sessions * self.rng.random() ** 1.5)
        own = int(kind.own * self.rng.lognormvariate(-0.3, 0.8))
        parts = [
            (f"{kind.name}-t{session % TEMPLATES}", kind.template),
            (f"{kind.name}-s{session}", kind.shared),
            (f"own{len(self.sent)}", own),
        ]
        return placement.Demand(parts, sum(tokens for _, tokens in parts))

    def _send(self, now_s: float, kind: Kind) -> Any:
        gateway = self.rng.randrange(len(self.choosers))
        chooser = self.choosers[gateway]
        demand = self._make_demand(kind)
        chosen = chooser.choose(self.endpoints, demand, CACHE_TOKENS, now_s)
        assert chosen is not None
        number = chooser.start(chosen, demand, now_s)
        self.sent.append((now_s, gateway, chosen.name, demand))
        self._count_reads(demand, now_s)
        tokens = demand.prompt_tokens
        for part, part_tokens in demand.parts:
            if (chosen.name, part) not in self.cached:
                break
            tokens -= part_tokens
        self.cached.update((chosen.name, part) for part, _ in demand.parts)
        if now_s >= WARM_UP_S:
            self.tokens_read += tokens
        slowness = self.slowness[chosen.name]
        name = chosen.name
        # Prompts are read between decoding steps.
        steps = 1 + 0.003 * self.running[name]
        read_s = tokens / TOKENS_PER_MS / 1000 * slowness * steps
        self.free_s[name] = max(now_s, self.free_s[name]) + read_s
        begun_s = self.free_s[name] + FIRST_EVENT_S * slowness
        self.running[name] += 1
        end_s = begun_s + kind.answer_s * slowness * (
            1 + 0.02 * self.running[name]
        )
        yield begun_s, self._begin, gateway, chosen, number, now_s
        yield end_s, self._end, gateway, chosen, number

    def _count_reads(self, demand: placement.Demand, now_s: float) -> None:
        tokens = demand.prompt_tokens
        for part, part_tokens in demand.parts:
            if part not in self.read_anywhere:
                break
            tokens -= part_tokens
        self.read_anywhere.update(part for part, _ in demand.parts)
        if now_s >= WARM_UP_S:
            self.tokens_needed += tokens

    def _begin(
        self,
        now_s: float,
        gateway: int,
        chosen: endpoints.Endpoint,
        number: int,
        sent_s: float,
    ) -> None:
        chooser = self.choosers[gateway]
        self._observe(gateway, chosen, number, now_s - sent_s, now_s)
        chooser.mark_answering(chosen, number)
        if sent_s >= WARM_UP_S:
            self.first_events.append(now_s - sent_s)

    def _observe(
        self,
        gateway: int,
        chosen: endpoints.Endpoint,
        number: int,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Compare a first event with its prediction, and learn from it."""
        chooser = self.choosers[gateway]
        observation = chooser.compare_first_event(chosen, number, elapsed_s)
        rates = chooser.rates
        if observation is not None:
            rates.record("llm", chosen.incarnation, observation, now_s)
        if rates.is_due(now_s):
            keys = [e.incarnation for e in self.endpoints]
            rates.refresh({"llm": keys}, False, now_s)
            for item in self.choosers:
                item.apply_rates()

    def _end(
        self, _: float, gateway: int, chosen: endpoints.Endpoint, number: int
    ) -> None:
        self.choosers[gateway].end(chosen, number)
        self.running[chosen.name] -= 1

    def _report(self, now_s: float) -> None:
        """Sum the loads of all gateways and keep those of each."""
        total: dict[str, list[float]] = collections.defaultdict(
            lambda: [0.0, 0.0]
        )
        for chooser, reports in zip(self.choosers, self.reports, strict=True):
            own = {}
            for key, state in chooser.sites.items():
                if state.in_flight:
                    load = (
                        len(state.in_flight),
                        state.count_own_backlog(now_s),
                    )
                    own[key[0]] = load
                    total[key[0]][0] += load[0]
                    total[key[0]][1] += load[1]
            reports.append((now_s, own))
        self.totals.append((now_s, total))

    def _merge(self, now_s: float, gateway: int) -> None:
        """Give a gateway the loads of all others as they were."""
        known_s = now_s - self.ages[gateway]
        chooser = self.choosers[gateway]
        for index in range(len(self.totals) - 1, -1, -1):
            time_s, total = self.totals[index]
            if time_s <= known_s:
                own = self.reports[gateway][index][1]
                for key, state in chooser.sites.items():
                    running, tokens = total.get(key[0], (0, 0))
                    own_running, own_tokens = own.get(key[0], (0, 0))
                    state.peer_loads["fleet"] = placement.PeerLoad(
                        int(running - own_running),
                        int(tokens - own_tokens),
                        now_s,
                    )
                break
        self._merge_parts(gateway, known_s)

    def _merge_parts(self, gateway: int, known_s: float) -> None:
        chooser = self.choosers[gateway]
        while (
            self.heard[gateway] < len(self.sent)
            and self.sent[self.heard[gateway]][0] <= known_s
        ):
            _, sender, name, demand = self.sent[self.heard[gateway]]
            self.heard[gateway] += 1
            state = chooser.find_state(name)
            if state is not None and sender != gateway:
                # The last part belongs to one request only.
                state.cache_parts(demand.parts[:-1])

    def _sample(self, now_s: float) -> None:
        if now_s < WARM_UP_S:
            return
        waits = {
            name: max(free_s - now_s, 0.0)
            for name, free_s in self.free_s.items()
        }
        running = self.running
        busiest = max(running, key=lambda name: (running[name], name))
        self.samples.append((
            max(running.values())
            / max(statistics.mean(running.values()), 0.1),
            max(waits.values()) / max(statistics.mean(waits.values()), 0.001),
            busiest,
        ))

    def _summarise(self, duration_s: float) -> Figures:
        busiest = [name for _, _, name in self.samples]
        changes = sum(a != b for a, b in itertools.pairwise(busiest))
        times = sorted(self.first_events)
        return Figures(
            statistics.mean(item[0] for item in self.samples),
            statistics.mean(item[1] for item in self.samples),
            changes / (duration_s - WARM_UP_S),
            times[len(times) // 2],
            times[int(len(times) * 0.95)],
            times[int(len(times) * 0.99)],
            self.tokens_read / max(self.tokens_needed, 1),
        )
