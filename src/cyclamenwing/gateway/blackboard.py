"""Blackboard: state that a gateway's controllers read and write."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

import eliot

from cyclamenwing.budget import outage_votes
from cyclamenwing.budget import restoration
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import eras
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import fences
from cyclamenwing.gateway import record_age
from cyclamenwing.gateway import settings as gateway_settings
from cyclamenwing.membership import delegates
from cyclamenwing.membership import rendezvous
from cyclamenwing.metrics import recorder
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import homes
from cyclamenwing.routing import placement
from cyclamenwing.routing import poison_parts
from cyclamenwing.routing import quarantine
from cyclamenwing.routing import retry_budget
from cyclamenwing.routing import versions

# A peer without gossip for longer counts as gone: pools and retry budgets are
# shared among the other gateways.
PEER_TIMEOUT_S = 3.0
# A budget is not called spent for this long after a holder fell silent: its
# unused tokens are reclaimed meanwhile, or it comes back.
RECLAIM_WINDOW_S = 17.0
# A restarted process waits this long for a peer that confirms that the store
# has not returned an older configuration.
CONFIRMATION_WAIT_S = 1.0
# The store counts as reachable if it has answered within this time.
STORE_REACHABLE_S = 3.0


class Peer(NamedTuple):
    """Hold what another gateway's last gossip message said.

    :param holder: name of its incarnation in the pools
    :param version: version of its configuration
    :param available: tokens by workspace that it may use or transfer now
    :param held: tokens by workspace that it holds, including those that its
        usage bound does not allow yet
    :param received_s: time at which the message was received here
    :param record_age_s: age of its record in the store at that time
    :param store_age_s: time since it last reached the store directly
    :param gateways: live gateways that the message speaks for
    :param drawn: tokens by workspace that the pool listed for it then
    :param deferred: tokens by workspace that its running requests have
        reserved and not asked for
    :param wall_offset_s: its wall clock less this gateway's clock, as far as
        the message's delay shows
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
    gateways: int = 1
    wall_offset_s: float | None = None
    drawn: dict[str, int] = {}  # noqa: RUF012
    deferred: dict[str, int] = {}  # noqa: RUF012


@dataclasses.dataclass(slots=True)
class Blackboard:
    """Hold the state of a gateway.

    Fields ending in `_s` are times of the gateway's clock, but for
    `predecessor_wall_age_s`.

    :param quarantine: requests that were running when endpoints crashed
    :param poison_parts: parts of prompts that such requests share
    :param versions: software versions of the endpoints lately
    :param roster: members of the fleet and the delegates among them
    :param eras: era of the store
    :param configuration_confirmed: no peer knew a newer configuration since
        the start, or none answered in time
    :param registered: the store lists this gateway
    :param first_start: the whole fleet starts for the first time, by the
        settings and by the store
    :param store_contact_s: last answer of the store, direct or through a peer
    :param direct_contact_s: last direct answer of the store
    :param pools_updated_s: last update of each workspace's pool
    :param endpoints_loaded: the endpoints were read from the store
    :param drain_started_s: start of draining, None until then
    :param shutdown_deadline_s: latest end of draining, None until it starts
    :param admission_closed: every request is refused, as the process stops
    :param predecessors: earlier processes of the host whose holdings still
        count in the pools
    :param release_pending: this process may still release holdings of its
        predecessors
    :param record_written_s: write time of this gateway's record in the store
    :param fences: gateways whose record's age is not acknowledged any more
    :param started_wall_s: wall clock at `started_s`
    :param predecessor_wall_age_s: age of the latest predecessor's record at
        the start of this process, by wall clock
    """

    settings: gateway_settings.GatewaySettings
    incarnation: str
    escrow: restoration.EraEscrow
    placement: placement.Placement
    retry_budget: retry_budget.WindowedRetryBudget
    metrics: recorder.Recorder
    roster: delegates.Roster
    eras: eras.EraTracker
    versions: versions.VersionHistory
    configuration: configuration.Configuration | None = None
    configuration_confirmed: bool = False
    directory: endpoints.Directory = dataclasses.field(
        default_factory=endpoints.Directory
    )
    endpoints_loaded: bool = False
    quarantine: quarantine.QuarantineBoard = dataclasses.field(
        default_factory=quarantine.QuarantineBoard
    )
    poison_parts: poison_parts.PoisonParts = dataclasses.field(
        default_factory=poison_parts.PoisonParts
    )
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    registered: bool = False
    first_start: bool = False
    store_contact_s: float = 0.0
    direct_contact_s: float = 0.0
    pools_updated_s: dict[str, float] = dataclasses.field(default_factory=dict)
    drain_started_s: float | None = None
    shutdown_deadline_s: float | None = None
    admission_closed: bool = False
    predecessors: list[record_age.Predecessor] = dataclasses.field(
        default_factory=list
    )
    release_pending: bool = False
    started_s: float = 0.0
    started_wall_s: float = 0.0
    record_written_s: float = 0.0
    predecessor_wall_age_s: float | None = None
    active_requests: int = 0
    fences: fences.Fences = dataclasses.field(default_factory=fences.Fences)
    homes: homes.Homes = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Derive what follows from the settings."""
        self.homes = homes.Homes(
            self.settings.regions,
            self.settings.availability_zone,
            self.settings.region,
        )

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return (
            self.confirm_configuration(clock.read_time())
            and self.endpoints_loaded
            and self.drain_started_s is None
        )

    def confirm_configuration(self, now_s: float) -> bool:
        """Return whether requests may be decided by the configuration.

        The store may have returned in an older state, and the configuration
        that this process reads after a restart may then hold keys and routes
        that were removed since. Once a peer knows no newer one, it holds.
        """
        config = self.configuration
        if self.configuration_confirmed or config is None:
            return self.configuration_confirmed
        newest = max((p.version for p in self.peers.values()), default=0)
        waited_s = now_s - self.started_s
        own = self.settings.control
        alone = not self.roster.members and not any(
            seed != own for seed in self.settings.seeds
        )
        self.configuration_confirmed = (
            self.first_start
            or alone
            or 0 < newest <= config.version
            or waited_s >= CONFIRMATION_WAIT_S
        )
        if self.configuration_confirmed:
            eliot.log_message(
                "configuration:confirmed",
                version=config.version,
                newest=newest,
                peers=len(self.peers),
                waited_s=round(waited_s, 3),
            )
        return self.configuration_confirmed

    def is_store_reachable(self, now_s: float) -> bool:
        """Return whether the store has answered lately."""
        return now_s - self.store_contact_s < STORE_REACHABLE_S

    def check_leaving(self) -> None:
        """Refuse calls that bring or take tokens while the process stops.

        They would be lost with it once it has returned its holdings.

        :raises LeavingError: if the process stops
        """
        if self.admission_closed:
            raise errors.LeavingError("the process stops")

    def list_live_peers(self, now_s: float) -> list[Peer]:
        """Return the peers whose gossip was received recently."""
        return [
            peer
            for peer in self.peers.values()
            if now_s - peer.received_s < PEER_TIMEOUT_S
        ]

    def count_silent_holdings(self, now_s: float, workspace: str) -> int:
        """Return the tokens held by gateways that fell silent lately.

        They may be reclaimed soon, or the gateways come back.
        """
        holders = self.escrow.open_pool(workspace).holders
        silent = (
            peer
            for peer in self.peers.values()
            if PEER_TIMEOUT_S
            <= now_s - peer.received_s
            < PEER_TIMEOUT_S + RECLAIM_WINDOW_S
            and workspace in peer.held
        )
        return sum(
            max(
                holders.get(peer.holder, 0)
                - peer.drawn.get(workspace, 0)
                + peer.held[workspace],
                0,
            )
            for peer in silent
        )

    def list_voters(self, now_s: float) -> tuple[str, ...]:
        """Return the incarnations to vote on the age of this one's record."""
        attached = self.roster.list_attached(now_s)
        ranked = rendezvous.rank_members(
            self.settings.host,
            [
                peer.holder
                for peer in self.list_live_peers(now_s)
                if peer.host not in attached
            ],
        )
        return tuple(ranked[: outage_votes.MAX_VOTERS])

    def bound_clock_lead(self, wall_s: float, now_s: float) -> float | None:
        """Return how far the wall clock is ahead of live peers' at most.

        None means that they do not confirm it.

        :param wall_s: time by the wall clock at `now_s`
        """
        return record_age.bound_clock_lead(
            wall_s,
            [
                peer.wall_offset_s + now_s
                for peer in self.list_live_peers(now_s)
                if peer.wall_offset_s is not None
            ],
            min(len(self.roster.members), self.roster.count_delegates() - 1),
        )

    def count_cluster(self, now_s: float) -> int:
        """Return the number of this gateway and those attached to it."""
        attached = self.roster.list_attached(now_s)
        live = self.list_live_peers(now_s)
        return 1 + sum(peer.host in attached for peer in live)

    def count_holders(self, now_s: float) -> int:
        """Return the number of gateways that draw from a workspace's pool.

        These are the delegates, or fewer where there are many.
        """
        live = self.list_live_peers(now_s)
        live_delegates = 2 + len(live) - self.count_cluster(now_s)
        return min(live_delegates, self.roster.count_holders())

    def count_gateways(self, now_s: float) -> int:
        """Return the number of live gateways of the whole fleet."""
        attached = self.roster.list_attached(now_s)
        others = [
            peer.gateways
            for peer in self.list_live_peers(now_s)
            if peer.host not in attached
        ]
        if not self.roster.acts_as_delegate:
            # A delegate's message counts the whole fleet.
            return max(others, default=1)
        return self.count_cluster(now_s) + sum(others)


__all__ = (
    "PEER_TIMEOUT_S",
    "RECLAIM_WINDOW_S",
    "Blackboard",
    "Peer",
)
