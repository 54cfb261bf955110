"""Exchange of loads and of cached prompt parts with peers, by gossip.

A message to an attached gateway sums the load of the whole fleet, one to
another delegate that of the sender and the gateways attached to it, so no load
is counted twice.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.routing import placement

# Prompt parts are in gossip messages for this long, once for each peer.
RECENT_PARTS_WINDOW_S = 2.5
MAX_RECENT_PARTS = 1000


class EndpointLoad(msgspec.Struct, array_like=True):
    """Hold the load that gateways put on an endpoint.

    :param running: requests that the gateways have in flight
    :param prefill_tokens: estimated prompt tokens of these that await prefill
    """

    endpoint: str
    running: int
    prefill_tokens: int


class SentParts(msgspec.Struct, array_like=True):
    """Name prompt parts that were sent to an endpoint.

    :param number: sequence number among all that the sender's process has sent
    :param parts: names of the parts with their numbers of tokens
    """

    number: int
    endpoint: str
    parts: list[tuple[str, int]]


class RecentParts(NamedTuple):
    """Hold the prompt parts of a request that was sent to an endpoint.

    :param source: host of the peer that reported it, empty for this gateway
    :param from_delegate: the peer is a delegate, which reports it to all
        other delegates itself
    """

    number: int
    endpoint: str
    parts: tuple[tuple[str, int], ...]
    sent_s: float
    source: str = ""
    from_delegate: bool = False


class LoadNoticeExchange:
    """Build the notices of loads and parts, and merge those of peers."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        self._recent_parts: collections.deque[RecentParts] = collections.deque(
            maxlen=MAX_RECENT_PARTS
        )
        self._parts_number = 0
        self._received_numbers: dict[str, int] = {}
        # Newest `SentParts.number` that a peer has received, by its address.
        self._delivered_numbers: dict[str, int] = {}

    def record_sent_parts(
        self,
        endpoint: str,
        parts: tuple[tuple[str, int], ...],
        source: str = "",
        from_delegate: bool = False,
    ) -> None:
        """Record prompt parts for the next gossip messages."""
        self._parts_number += 1
        self._recent_parts.append(
            RecentParts(
                self._parts_number,
                endpoint,
                parts,
                clock.read_time(),
                source,
                from_delegate,
            )
        )

    def sum_loads(
        self, included: set[str] | None, receiver: str, now_s: float
    ) -> list[EndpointLoad]:
        """Return the loads of this gateway and of some of its peers.

        :param included: hosts of these peers, None for all but the receiver
        """
        loads = []
        for key, state in self._board.placement.sites.items():
            others = [
                load
                for host, load in state.peer_loads.items()
                if (host != receiver if included is None else host in included)
                and now_s - load.received_s < placement.PEER_LOAD_TTL_S
            ]
            running = len(state.in_flight) + sum(o.running for o in others)
            if running:
                tokens = state.count_own_backlog(now_s) + sum(
                    o.prefill_tokens for o in others
                )
                loads.append(EndpointLoad(key[0], running, int(tokens)))
        return loads

    def list_parts(
        self, address: str, serves: bool, receiver: str, now_s: float
    ) -> list[SentParts]:
        """Return the parts that a peer has not been told of yet.

        :param serves: the receiver is attached to this gateway
        """
        sent_number = self._delivered_numbers.get(address, 0)
        return [
            SentParts(item.number, item.endpoint, list(item.parts))
            for item in self._recent_parts
            if item.number > sent_number
            and now_s - item.sent_s < RECENT_PARTS_WINDOW_S
            and not (item.source and item.source == receiver)
            and (serves or not item.from_delegate)
        ]

    def record_delivered(
        self, address: str, sent: Sequence[SentParts]
    ) -> None:
        """Record that a peer has received parts."""
        if sent:
            self._delivered_numbers[address] = max(
                self._delivered_numbers.get(address, 0),
                *(item.number for item in sent),
            )

    def forget(self, host: str, address: str) -> None:
        """Forget what a former process of a peer has sent and received."""
        self._received_numbers.pop(host, None)
        self._delivered_numbers.pop(address, None)

    def merge_loads(
        self, host: str, sites: Sequence[EndpointLoad], now_s: float
    ) -> None:
        """Replace the loads that a peer has reported."""
        loads = {item.endpoint: item for item in sites}
        # An attached gateway learns all loads from its delegate. Those of a
        # former delegate would count twice.
        alone = not self._board.roster.acts_as_delegate
        for key, state in self._board.placement.sites.items():
            if alone:
                state.peer_loads.clear()
            item = loads.get(key[0])
            if item is None:
                state.peer_loads.pop(host, None)
                continue
            state.peer_loads[host] = placement.PeerLoad(
                item.running, item.prefill_tokens, now_s
            )

    def merge_parts(
        self, host: str, sent: Sequence[SentParts], from_delegate: bool
    ) -> None:
        """Record the parts that a peer has sent to endpoints."""
        alone = not self._board.roster.acts_as_delegate
        last_number = self._received_numbers.get(host, 0)
        for item in sent:
            if item.number <= last_number:
                continue
            state = self._board.placement.find_state(item.endpoint)
            if state is not None:
                state.cache_parts(item.parts)
            last_number = item.number
            if not alone:
                self.record_sent_parts(
                    item.endpoint, tuple(item.parts), host, from_delegate
                )
        self._received_numbers[host] = last_number


__all__ = (
    "EndpointLoad",
    "LoadNoticeExchange",
    "RecentParts",
    "SentParts",
)
