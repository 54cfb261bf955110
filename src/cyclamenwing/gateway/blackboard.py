"""State that a gateway's controllers read and write."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import record_age
from cyclamenwing.gateway import settings as gateway_settings
from cyclamenwing.metrics import recorder
from cyclamenwing.routing import allowance
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import placement
from cyclamenwing.routing import quarantine

# A peer that was silent for longer takes no share of pools and allowances.
PEER_TIMEOUT_S = 3.0


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
    received_s: float
    record_age_s: float
    store_age_s: float


@dataclasses.dataclass(slots=True)
class Blackboard:
    """Hold a gateway's state."""

    settings: gateway_settings.GatewaySettings
    incarnation: str
    escrow: escrow.Escrow
    placement: placement.Placement
    allowance: allowance.RetryAllowance
    metrics: recorder.Recorder
    configuration: configuration.Configuration | None = None
    directory: endpoints.Directory = dataclasses.field(
        default_factory=endpoints.Directory
    )
    endpoints_loaded: bool = False
    quarantine: quarantine.QuarantineBoard = dataclasses.field(
        default_factory=quarantine.QuarantineBoard
    )
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    members: dict[str, str] = dataclasses.field(default_factory=dict)
    store_contact_s: float = 0.0
    direct_contact_s: float = 0.0
    pools_updated_s: dict[str, float] = dataclasses.field(default_factory=dict)
    drain_started_s: float | None = None
    shutdown_deadline_s: float | None = None
    predecessors: list[record_age.Predecessor] = dataclasses.field(
        default_factory=list
    )
    started_s: float = 0.0
    record_written_s: float = 0.0
    predecessor_wall_age_s: float | None = None
    active_requests: int = 0

    @property
    def ready(self) -> bool:
        """Tell whether new clients should come here."""
        return (
            self.configuration is not None
            and self.endpoints_loaded
            and self.drain_started_s is None
        )

    def list_live_peers(self, now_s: float) -> list[Peer]:
        """Return the peers heard of lately."""
        return [
            peer
            for peer in self.peers.values()
            if now_s - peer.received_s < PEER_TIMEOUT_S
        ]

    def count_gateways(self, now_s: float) -> int:
        """Return the gateways that share pools, this one included."""
        return 1 + len(self.list_live_peers(now_s))


__all__ = (
    "PEER_TIMEOUT_S",
    "Blackboard",
    "Peer",
)
