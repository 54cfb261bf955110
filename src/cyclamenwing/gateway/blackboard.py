"""State that a gateway's controllers read and write."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import settings as gateway_settings
from cyclamenwing.gateway import succession
from cyclamenwing.metrics import recorder
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import placement
from cyclamenwing.routing import quarantine
from cyclamenwing.routing import retry_budget

# A peer that was silent for longer takes no share of pools and allowances.
PEER_LIFE_S = 3.0


class Peer(NamedTuple):
    """Hold what another gateway last said of itself.

    :param available: tokens that it may use or hand over now
    :param held: tokens that it holds, also those its promise withholds
    """

    host: str
    address: str
    holder: str
    version: int
    available: dict[str, int]
    held: dict[str, int]
    seen_s: float
    record_age_s: float
    store_age_s: float


@dataclasses.dataclass(slots=True)
class Blackboard:
    """Hold a gateway's state."""

    settings: gateway_settings.GatewaySettings
    incarnation: str
    escrow: escrow.Escrow
    placement: placement.Placement
    allowance: retry_budget.WindowedRetryBudget
    metrics: recorder.Recorder
    configuration: configuration.Configuration | None = None
    directory: endpoints.Directory = dataclasses.field(
        default_factory=endpoints.Directory
    )
    endpoints_known: bool = False
    suspects: quarantine.QuarantineBoard = dataclasses.field(
        default_factory=quarantine.QuarantineBoard
    )
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    members: dict[str, str] = dataclasses.field(default_factory=dict)
    store_seen_s: float = 0.0
    direct_seen_s: float = 0.0
    pools_seen_s: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving_s: float | None = None
    ends_s: float | None = None
    predecessors: list[succession.Predecessor] = dataclasses.field(
        default_factory=list
    )
    began_s: float = 0.0
    record_at_s: float = 0.0
    wall_age_s: float | None = None
    active: int = 0

    @property
    def ready(self) -> bool:
        """Tell whether new clients should come here."""
        return (
            self.configuration is not None
            and self.endpoints_known
            and self.leaving_s is None
        )

    def list_peers(self, now_s: float) -> list[Peer]:
        """Return the peers heard of lately."""
        return [
            peer
            for peer in self.peers.values()
            if now_s - peer.seen_s < PEER_LIFE_S
        ]

    def count_entries(self, now_s: float) -> int:
        """Return the gateways that share pools, this one included."""
        return 1 + len(self.list_peers(now_s))


__all__ = (
    "PEER_LIFE_S",
    "Blackboard",
    "Peer",
)
