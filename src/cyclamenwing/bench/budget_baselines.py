"""Baseline budget systems that the production one is compared with."""

from __future__ import annotations

from cyclamenwing.bench import budget_replay


class OracleLedger:
    """Admit against one ledger that every zone always reaches.

    Its decisions define which refusals of the other systems are false.
    """

    def __init__(self) -> None:
        self.writes = 0
        self._free = 0

    def start_all(self, network: budget_replay.Network) -> None:
        """Start an entry in each zone."""

    def top_up(self, amount: int, now: float) -> None:
        """Add a payment to the ledger."""
        self._free += amount

    def admit(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> bool:
        """Reserve from the ledger; return False if it holds too little."""
        if self._free < request.reserve:
            return False
        self._free -= request.reserve
        return True

    def can_reach_units(
        self, zone: int, request: budget_replay.Request
    ) -> bool:
        """Return whether the zone can reach the units of a refused request."""
        return self._free >= request.reserve

    def finish(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> None:
        """Return the unused part of the reservation to the ledger."""
        self._free += request.reserve - request.used

    def tick(self, now: float) -> None:
        """Do nothing; all changes take effect at once."""

    def kill(self, zone: int, now: float) -> None:
        """Do nothing; the ledger doesn't run on the killed entry."""

    def start(self, zone: int, now: float) -> None:
        """Do nothing; entries hold no state."""


class CentralCompareAndSwap(OracleLedger):
    """Reserve and settle each request by a compare-and-swap in the store."""

    def start_all(self, network: budget_replay.Network) -> None:
        """Start an entry in each zone."""
        self._network = network
        self._unsettled: list[tuple[int, int]] = []

    def admit(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> bool:
        """Reserve from the ledger; refuse while the store is unreachable."""
        if not self._network.reaches_store(zone):
            return False
        self.writes += 1
        return super().admit(zone, request, now)

    def can_reach_units(
        self, zone: int, request: budget_replay.Request
    ) -> bool:
        """Return whether the zone can reach the units of a refused request."""
        return self._network.reaches_store(zone) and super().can_reach_units(
            zone, request
        )

    def finish(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> None:
        """Settle now or at the first tick at which the store is reachable."""
        self._unsettled.append((zone, request.reserve - request.used))
        self.tick(now)

    def tick(self, now: float) -> None:
        """Settle for the live zones that reach the store.

        Settlements of a killed entry are lost.
        """
        is_reachable = self._network.reaches_store
        for zone, surplus in self._unsettled:
            if is_reachable(zone) and zone not in self._network.dead:
                self._free += surplus
                self.writes += 1
        self._unsettled = [
            (zone, surplus)
            for zone, surplus in self._unsettled
            if not is_reachable(zone) and zone not in self._network.dead
        ]


class StaticSplit(OracleLedger):
    """Split each payment evenly among the zones and never rebalance."""

    def start_all(self, network: budget_replay.Network) -> None:
        """Start an entry in each zone."""
        self._shares = [0] * network.zones

    def top_up(self, amount: int, now: float) -> None:
        """Add an equal part of a payment to each zone's share."""
        share = amount // len(self._shares)
        self._shares = [units + share for units in self._shares]

    def admit(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> bool:
        """Reserve from the zone's share; return False if it is too small."""
        if self._shares[zone] < request.reserve:
            return False
        self._shares[zone] -= request.reserve
        return True

    def can_reach_units(
        self, zone: int, request: budget_replay.Request
    ) -> bool:
        """Return whether the zone can reach the units of a refused request."""
        return self._shares[zone] >= request.reserve

    def finish(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> None:
        """Return the unused part of the reservation to the share."""
        self._shares[zone] += request.reserve - request.used


class LocalCounters(OracleLedger):
    """Count use locally and sync the counts through the store at each tick.

    Between two syncs all zones admit against the same free units, so this
    system can overspend.
    """

    def start_all(self, network: budget_replay.Network) -> None:
        """Start an entry in each zone."""
        self._network = network
        self._unsynced = [0] * network.zones
        self._synced_free = [0] * network.zones

    def top_up(self, amount: int, now: float) -> None:
        """Add a payment; zones see it at their next sync.

        A payment at time 0 is visible to all zones at once.
        """
        self._free += amount
        if now == 0.0:
            self._synced_free = [self._free] * len(self._synced_free)

    def admit(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> bool:
        """Reserve if the last synced free units, less own use, suffice."""
        if self._synced_free[zone] - self._unsynced[zone] < request.reserve:
            return False
        self._unsynced[zone] += request.reserve
        return True

    def finish(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> None:
        """Subtract the unused part of the reservation from the own count."""
        self._unsynced[zone] -= request.reserve - request.used

    def tick(self, now: float) -> None:
        """Sync the counts of all zones that reach the store."""
        zones = [
            zone
            for zone in range(self._network.zones)
            if self._network.reaches_store(zone)
        ]
        for zone in zones:
            self._free -= self._unsynced[zone]
            self._unsynced[zone] = 0
            self.writes += 1
        for zone in zones:
            self._synced_free[zone] = self._free


__all__ = (
    "CentralCompareAndSwap",
    "LocalCounters",
    "OracleLedger",
    "StaticSplit",
)
