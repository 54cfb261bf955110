"""Times after which refused clients are told to return.

Handles the pattern of many clients that are refused at once, as in a short
overload: told the same time, they would return at once and be refused again.
Clients make one more attempt, and wait for at most a third of the time that
they have left. Each gateway plans for the clients that it refused, by the
answers of success that it gave: its part of the fleet's.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import enum
from typing import NamedTuple

# Part of the time left that clients wait for.
HONOURED_SHARE = 1 / 3
# A shorter time to return is none.
MIN_RETURN_S = 0.05
# Answers of success are counted over this time, in spans of `SPAN_S`. It is
# longer than the slow periods of endpoints, which last 0.6 s.
RATE_WINDOW_S = 10.0
SPAN_S = 1.0
# Part of the rate that returns may use, as new requests need room too. Returns
# of several priorities may be planned for the same time, and then use up to
# about twice this part.
RETURN_SHARE = 0.5
# Added to the measured rate: gateways of large fleets answer less than one
# request a second, and a few refusals there are chance.
PRIOR_RPS = 1.0
# Clients without a deadline are told to return within this time.
MAX_RETURN_S = 10.0
MAX_PENDING = 4096


class Kind(enum.Enum):
    """Classify refusals by what the client has to wait for."""

    ROOM = "room"
    ENDPOINT = "endpoint"
    CONFIGURATION = "configuration"
    TOKENS = "tokens"
    VERSION_KNOWN = "version_known"
    VERSION_BACK = "version_back"
    PLANNED = "planned"
    IN_TURN = "in_turn"


class Spread(NamedTuple):
    """Hold when the first of the clients that are refused return.

    :param first_s: earliest time
    :param width_s: span of times after it
    :param by_rate: later ones return at the rate of answers
    """

    first_s: float
    width_s: float
    by_rate: bool = False


SPREADS = {
    Kind.ROOM: Spread(0.1, 0.5, by_rate=True),
    Kind.ENDPOINT: Spread(0.25, 0.5),
    Kind.CONFIGURATION: Spread(0.25, 0.5),
    Kind.TOKENS: Spread(0.6, 0.8),
    Kind.VERSION_KNOWN: Spread(0.1, 0.4),
    Kind.VERSION_BACK: Spread(0.6, 0.8),
    # After the time that was predicted.
    Kind.PLANNED: Spread(0.0, 0.08, by_rate=True),
    # Here the prediction is a later one for each client.
    Kind.IN_TURN: Spread(0.0, 0.08),
}
PREDICTED = frozenset((Kind.PLANNED, Kind.IN_TURN))


class Client(NamedTuple):
    """Describe the refused request of a client.

    :param priority: 0 is served first
    :param left_s: time left until its deadline, None if it has none
    :param serve_s: time that it takes to serve it
    """

    priority: int
    left_s: float | None
    serve_s: float


@dataclasses.dataclass(slots=True)
class ServiceReturns:
    """Hold the answers of a service and the clients told to return to it.

    :param answers: answers of success by span of time
    :param pending: times of return that lie ahead, in order, by priority
    """

    began_s: float
    answers: dict[int, int] = dataclasses.field(
        default_factory=collections.Counter
    )
    pending: dict[int, list[float]] = dataclasses.field(default_factory=dict)


class ReturnTimes:
    """Plan when refused clients return; times are the gateway's clock."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceReturns] = {}

    def record_answer(self, service: str, now_s: float) -> None:
        """Count an answer of success."""
        state = self._open(service, now_s)
        state.answers[int(now_s // SPAN_S)] += 1
        _drop_old(state, now_s)

    def measure_rate(self, service: str, now_s: float) -> float:
        """Return the answers of success per second lately."""
        state = self._services.get(service)
        if state is None:
            return 0.0
        _drop_old(state, now_s)
        lasted_s = max(min(now_s - state.began_s, RATE_WINDOW_S), SPAN_S)
        return sum(state.answers.values()) / lasted_s

    def plan(
        self,
        kind: Kind,
        service: str,
        client: Client,
        now_s: float,
        draw: float,
        room_s: float = 0.0,
    ) -> float | None:
        """Return the seconds after which a refused client returns.

        It is None if the client could not be served then. A predicted time
        is kept, also if it is beyond that.

        :param draw: random number from 0 to 1
        :param room_s: predicted time until there is room
        """
        spread = SPREADS[kind]
        latest_s = compute_latest(client)
        if kind not in PREDICTED and latest_s < MIN_RETURN_S:
            return None
        state = self._open(service, now_s)
        ahead = self._count_ahead(state, client.priority, now_s, room_s)
        rate_rps = self.measure_rate(service, now_s)
        width_s, offset_s = spread.width_s, spread.width_s * draw
        # Where no answers came lately, a predicted time is more reliable.
        if spread.by_rate and (rate_rps or kind not in PREDICTED):
            full_rps = rate_rps + PRIOR_RPS
            used_rps = full_rps * RETURN_SHARE
            reached_s = spread.first_s + (ahead + draw) / full_rps
            if kind not in PREDICTED and rate_rps and reached_s > latest_s:
                # Even all of the rate would not reach this client in time.
                return None
            offset_s = max(offset_s, (ahead + draw) / used_rps)
            width_s = max(width_s, (ahead + 1) / used_rps)
        return_s = room_s + spread.first_s + offset_s
        if room_s > latest_s:
            # No client waits for so long; the prediction is passed on.
            return_s = room_s + spread.width_s * draw
        elif return_s > latest_s:
            # The end of its time, spread as far as that allows.
            return_s = latest_s - draw * min(width_s, (latest_s - room_s) / 2)
        bisect.insort(
            state.pending.setdefault(client.priority, []), now_s + return_s
        )
        return return_s

    def _open(self, service: str, now_s: float) -> ServiceReturns:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = ServiceReturns(now_s)
        return state

    def _count_ahead(
        self, state: ServiceReturns, priority: int, now_s: float, room_s: float
    ) -> int:
        """Return how many clients return in the time that is planned for.

        Those of a lower priority don't count.
        """
        ahead = 0
        for other, dues_s in state.pending.items():
            del dues_s[: bisect.bisect(dues_s, now_s)]
            del dues_s[MAX_PENDING:]
            if other <= priority:
                ahead += len(dues_s) - bisect.bisect(dues_s, now_s + room_s)
        return ahead


def compute_latest(client: Client) -> float:
    """Return the latest time after which a client returns and is served."""
    if client.left_s is None:
        return MAX_RETURN_S
    return min(client.left_s * HONOURED_SHARE, client.left_s - client.serve_s)


def _drop_old(state: ServiceReturns, now_s: float) -> None:
    oldest = int((now_s - RATE_WINDOW_S) // SPAN_S)
    for span in [s for s in state.answers if s <= oldest]:
        del state.answers[span]


__all__ = (
    "Client",
    "PREDICTED",
    "SPREADS",
    "Kind",
    "ReturnTimes",
    "Spread",
    "compute_latest",
)
