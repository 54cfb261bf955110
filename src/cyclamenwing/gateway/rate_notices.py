"""Exchange of observed and learned speeds of endpoints, by gossip.

Each observation reaches each delegate once: a gateway sends its own to its
delegate, or to all delegates if it is one, and a delegate passes on those of
the gateways attached to it. A delegate sends to these what it has learned of
the endpoints that are not typical.
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

import eliot
import msgspec

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import engine_rates
from cyclamenwing.routing import exclusions

# Observations are in gossip messages for this long, once for each peer.
OBSERVATION_WINDOW_S = 2.5
MAX_OBSERVATIONS = 500
# Estimates in one message; the others follow in the next ones.
MAX_ESTIMATES = 64
# An estimate is sent again once it differs by more than this ratio, or after
# this time, as a gateway that does not hear of it for longer drops it.
RESEND_RATIO = 1.05
RESEND_S = 5.0
# Changes of speed that are logged in a second at most.
MAX_LOGGED_PER_S = 5
PERCENT = 100

UNLIKE = metric_types.Gauge(
    "gateway_endpoints_unlike",
    "Endpoints that are slower or faster than typical for their service",
)
RATES_AGE = metric_types.Gauge(
    "gateway_endpoint_rates_age_seconds",
    "Time since the last observation of an endpoint's speed",
)
RATES_ERROR = metric_types.Gauge(
    "gateway_endpoint_rates_error",
    "Largest relative standard error of a learned speed in use",
)


class RateObservation(msgspec.Struct, array_like=True):
    """Hold an observed time to a first event.

    :param number: sequence number among all that the sender's process sends
    :param size: class of the predicted time
    :param log_percent: logarithm of observed over predicted time, in percent
    """

    number: int
    endpoint: str
    started_ms: int
    size: int
    log_percent: int


class KnownRate(msgspec.Struct, array_like=True):
    """Hold the slowness of an endpoint relative to the typical one.

    :param percent: slowness in percent, 100 if it is typical again
    :param weight: observations that it rests on
    :param error_percent: relative standard error
    """

    endpoint: str
    started_ms: int
    percent: int
    weight: int
    error_percent: int


class RateNotices(msgspec.Struct):
    """Hold what one message says of the speeds of endpoints."""

    seen: list[RateObservation] = []
    known: list[KnownRate] = []


class RecentObservation(NamedTuple):
    """Hold an observation to pass on.

    :param source: host of the peer that reported it, empty for this gateway
    :param from_delegate: the peer is a delegate, which reports it to all
        other delegates itself
    """

    notice: RateObservation
    recorded_s: float
    source: str
    from_delegate: bool


class RateNoticeExchange:
    """Build the notices of speeds for each peer and merge those of peers."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        self._recent: collections.deque[RecentObservation] = collections.deque(
            maxlen=MAX_OBSERVATIONS
        )
        self._number = 0
        self._received_numbers: dict[str, int] = {}
        # Newest number that a peer has received, by its address.
        self._delivered_numbers: dict[str, int] = {}
        # Slowness in percent and time of the estimates that an attached
        # gateway has received, by its address.
        self._delivered_rates: dict[
            str, dict[tuple[str, int], tuple[int, float]]
        ] = {}
        rates = board.placement.rates
        board.metrics.register_gauge(UNLIKE, lambda: len(rates.estimates))
        board.metrics.register_gauge(
            RATES_AGE, lambda: rates.measure_age(clock.read_time())
        )
        board.metrics.register_gauge(RATES_ERROR, rates.measure_error)

    def record(
        self,
        endpoint: endpoints.Endpoint,
        observation: engine_rates.Observation,
    ) -> None:
        """Record an observation of this gateway."""
        now_s = clock.read_time()
        percent = round(observation.log_ratio * PERCENT)
        self._add(
            RateObservation(
                0,
                endpoint.name,
                endpoint.started_ms,
                observation.size,
                percent,
            ),
            now_s,
        )
        self.refresh(now_s)

    def _add(
        self,
        notice: RateObservation,
        now_s: float,
        source: str = "",
        from_delegate: bool = False,
    ) -> None:
        endpoint = self._find(notice.endpoint, notice.started_ms)
        if endpoint is not None:
            self._board.placement.rates.record(
                endpoint.service,
                endpoint.incarnation,
                engine_rates.Observation(
                    notice.size, notice.log_percent / PERCENT
                ),
                now_s,
            )
        self._number += 1
        self._recent.append(
            RecentObservation(
                msgspec.structs.replace(notice, number=self._number),
                now_s,
                source,
                from_delegate,
            )
        )

    def _find(self, name: str, started_ms: int) -> endpoints.Endpoint | None:
        endpoint = self._board.directory.registered.get(name)
        if endpoint is None or endpoint.started_ms != started_ms:
            return None
        return endpoint

    def build(
        self, address: str, serves: bool, receiver: str, now_s: float
    ) -> RateNotices | None:
        """Return the notices that a peer has not been told of yet.

        :param serves: the receiver is attached to this gateway
        """
        self.refresh(now_s)
        if serves:
            known = self._list_known(address, now_s)
            return RateNotices(known=known) if known else None
        sent_number = self._delivered_numbers.get(address, 0)
        seen = [
            item.notice
            for item in self._recent
            if item.notice.number > sent_number
            and now_s - item.recorded_s < OBSERVATION_WINDOW_S
            and not item.from_delegate
            and item.source != receiver
        ]
        return RateNotices(seen) if seen else None

    def _list_known(self, address: str, now_s: float) -> list[KnownRate]:
        delivered = self._delivered_rates.get(address, {})
        estimates = self._board.placement.rates.estimates
        known = []
        for key, estimate in estimates.items():
            percent = round(estimate.slowness * PERCENT)
            told, told_s = delivered.get(key[:2], (PERCENT, -math.inf))
            if now_s - told_s > RESEND_S or not (
                1 / RESEND_RATIO < percent / told < RESEND_RATIO
            ):
                known.append(
                    KnownRate(
                        key[0],
                        key[1],
                        percent,
                        round(estimate.weight),
                        round(estimate.error * PERCENT),
                    )
                )
        unlike = {key[:2] for key in estimates}
        known += [
            KnownRate(*key, PERCENT, 0, 0)
            for key in delivered
            if key not in unlike
        ]
        return known[:MAX_ESTIMATES]

    def record_delivered(
        self, address: str, notices: RateNotices | None, now_s: float
    ) -> None:
        """Record that a peer has received notices."""
        if notices is None:
            return
        if notices.seen:
            self._delivered_numbers[address] = notices.seen[-1].number
        if notices.known:
            delivered = self._delivered_rates.setdefault(address, {})
            for item in notices.known:
                key = (item.endpoint, item.started_ms)
                delivered.pop(key, None)
                if item.percent != PERCENT:
                    delivered[key] = (item.percent, now_s)

    def forget(self, host: str, address: str) -> None:
        """Forget what a former process of a peer has sent and received."""
        self._received_numbers.pop(host, None)
        self._delivered_numbers.pop(address, None)
        self._delivered_rates.pop(address, None)

    def merge(
        self,
        notices: RateNotices | None,
        host: str,
        from_delegate: bool,
        now_s: float,
    ) -> None:
        """Record the observations or the estimates of a peer."""
        if notices is None:
            return
        last_number = self._received_numbers.get(host, 0)
        for seen in notices.seen:
            if seen.number > last_number:
                last_number = seen.number
                self._add(seen, now_s, host, from_delegate)
        self._received_numbers[host] = last_number
        if self._board.roster.acts_as_delegate:
            return
        for known in notices.known:
            endpoint = self._find(known.endpoint, known.started_ms)
            if endpoint is not None:
                self._board.placement.rates.adopt(
                    endpoint.incarnation,
                    engine_rates.Estimate(
                        known.percent / PERCENT,
                        known.weight,
                        known.error_percent / PERCENT,
                    ),
                    now_s,
                )

    def refresh(self, now_s: float) -> None:
        """Renew the estimates that the choices use, if this is due."""
        placement = self._board.placement
        if not placement.rates.is_due(now_s):
            return
        keys: dict[str, list[exclusions.Incarnation]] = {}
        for endpoint in self._board.directory.registered.values():
            keys.setdefault(endpoint.service, []).append(endpoint.incarnation)
        changes = placement.rates.refresh(
            keys, not self._board.roster.acts_as_delegate, now_s
        )
        placement.apply_rates()
        for change in changes[:MAX_LOGGED_PER_S]:
            eliot.log_message(
                "endpoint:speed",
                endpoint=change.key[0],
                address=change.key[2],
                speed=change.speed,
                slowness=round(change.estimate.slowness, 2),
                observations=round(change.estimate.weight, 1),
                error=round(change.estimate.error, 2),
                changes=len(changes),
            )


__all__ = (
    "RATES_AGE",
    "RATES_ERROR",
    "UNLIKE",
    "KnownRate",
    "RateNoticeExchange",
    "RateNotices",
    "RateObservation",
)
