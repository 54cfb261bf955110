"""Simpler systems that budgets are compared with."""

from __future__ import annotations

from cyclamenwing.bench import budget_replay


class AllKnowing:
    """Know and reach everything at once."""

    def __init__(self) -> None:
        self.writes = 0
        self._free = 0

    def begin(self, network: budget_replay.Network) -> None:
        """Start with entries in all zones."""

    def top_up(self, amount: int, now: float) -> None:
        """Take a payment."""
        self._free += amount

    def admit(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> bool:
        """Reserve from the one ledger."""
        if self._free < request.reserve:
            return False
        self._free -= request.reserve
        return True

    def reaches_enough(
        self, zone: int, request: budget_replay.Request
    ) -> bool:
        """Tell whether a refused request's units were within reach."""
        return self._free >= request.reserve

    def finish(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> None:
        """Give the surplus back."""
        self._free += request.reserve - request.used

    def tick(self, now: float) -> None:
        """Do nothing."""

    def kill(self, zone: int, now: float) -> None:
        """Do nothing; the ledger is elsewhere."""

    def start(self, zone: int, now: float) -> None:
        """Do nothing."""


class CentralSwap(AllKnowing):
    """Reserve and settle each request by a compare-and-swap."""

    def begin(self, network: budget_replay.Network) -> None:
        """Start with entries in all zones."""
        self._network = network
        self._late: list[tuple[int, int]] = []

    def admit(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> bool:
        """Reserve if the store is in reach."""
        if not self._network.reaches_store(zone):
            return False
        self.writes += 1
        return super().admit(zone, request, now)

    def reaches_enough(
        self, zone: int, request: budget_replay.Request
    ) -> bool:
        """Tell whether a refused request's units were within reach."""
        return self._network.reaches_store(zone) and super().reaches_enough(
            zone, request
        )

    def finish(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> None:
        """Give the surplus back, once the store is in reach."""
        self._late.append((zone, request.reserve - request.used))
        self.tick(now)

    def tick(self, now: float) -> None:
        """Settle what is late."""
        reach = self._network.reaches_store
        for zone, surplus in self._late:
            if reach(zone) and zone not in self._network.dead:
                self._free += surplus
                self.writes += 1
        self._late = [
            (zone, surplus)
            for zone, surplus in self._late
            if not reach(zone) and zone not in self._network.dead
        ]


class StaticSplit(AllKnowing):
    """Split each payment evenly among the zones, for good."""

    def begin(self, network: budget_replay.Network) -> None:
        """Start with entries in all zones."""
        self._shares = [0] * network.zones

    def top_up(self, amount: int, now: float) -> None:
        """Split a payment."""
        share = amount // len(self._shares)
        self._shares = [held + share for held in self._shares]

    def admit(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> bool:
        """Reserve from the zone's share."""
        if self._shares[zone] < request.reserve:
            return False
        self._shares[zone] -= request.reserve
        return True

    def reaches_enough(
        self, zone: int, request: budget_replay.Request
    ) -> bool:
        """Tell whether a refused request's units were within reach."""
        return self._shares[zone] >= request.reserve

    def finish(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> None:
        """Give the surplus back."""
        self._shares[zone] += request.reserve - request.used


class LocalCounters(AllKnowing):
    """Count locally and add the counts up at each tick."""

    def begin(self, network: budget_replay.Network) -> None:
        """Start with entries in all zones."""
        self._network = network
        self._own = [0] * network.zones
        self._known = [0] * network.zones

    def top_up(self, amount: int, now: float) -> None:
        """Take a payment that zones learn of at their next sync."""
        self._free += amount
        if now == 0.0:
            self._known = [self._free] * len(self._known)

    def admit(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> bool:
        """Compare with the last sum and the own count since."""
        if self._known[zone] - self._own[zone] < request.reserve:
            return False
        self._own[zone] += request.reserve
        return True

    def finish(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> None:
        """Give the surplus back."""
        self._own[zone] -= request.reserve - request.used

    def tick(self, now: float) -> None:
        """Add the counts up where the store is in reach."""
        zones = [
            zone
            for zone in range(self._network.zones)
            if self._network.reaches_store(zone)
        ]
        for zone in zones:
            self._free -= self._own[zone]
            self._own[zone] = 0
            self.writes += 1
        for zone in zones:
            self._known[zone] = self._free


__all__ = (
    "AllKnowing",
    "CentralSwap",
    "LocalCounters",
    "StaticSplit",
)
