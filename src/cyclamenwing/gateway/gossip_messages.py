"""Gossip messages between gateways, and the other calls of peers."""

from __future__ import annotations

import msgspec

from cyclamenwing.budget import restoration
from cyclamenwing.gateway import crash_notices
from cyclamenwing.gateway import load_notices
from cyclamenwing.gateway import poison_notices
from cyclamenwing.gateway import rate_notices
from cyclamenwing.membership import delegates
from cyclamenwing.routing import cold_marks
from cyclamenwing.routing import evacuations
from cyclamenwing.routing import placement
from cyclamenwing.routing import quarantine
from cyclamenwing.routing import rate_limits
from cyclamenwing.routing import versions


class GossipMessage(msgspec.Struct):
    """Hold one gossip message of a gateway to a peer.

    :param holder: name of the sender's incarnation in the pools
    :param version: version of its configuration
    :param member: the sender
    :param attached: the sender uses the receiver as its delegate
    :param members: members that the peer has not been told of yet
    :param lost: delegates that have been silent for long
    :param gateways: live gateways that the message speaks for
    :param sites: the load that these put on endpoints
    :param sent: prompt parts that these sent to endpoints recently
    :param available: tokens by workspace that it may use or transfer now
    :param held: tokens by workspace that it holds, including those that its
        usage bound does not allow yet
    :param pools: revision and holders of the pools that it read from the store
        and has not sent to this peer yet
    :param record_age_s: age of its record of usage bounds in the store
    :param suspects: requests that were running when endpoints crashed, for
        peers that send no `crashes`
    :param crashes: those that the peer has not confirmed
    :param store_age_s: time since it last reached the store directly
    :param late: its record is older than `gossip.LATE_RECORD_AGE_S`; the usage
        bounds may enter their late phase only after a peer has received this
    :param registered: the store lists it, so any other gateway can find and
        ask it
    :param number: sequence number among the messages of its incarnation
    :param wall_s: time of sending by its wall clock
    :param superseded: endpoints whose address belongs to another incarnation
    :param era: era of the store that it knows, and of `pools`
    :param marks: marks of those `pools` that were restored in this era
    :param limits: limits of endpoints that the peer has not been told of yet
    :param parts: suspect parts of prompts
    :param cold: cold endpoints that the peer has not been told of yet
    :param software: software versions of the endpoints that it saw lately
    :param software_span_s: time for which it has missed none
    :param evacuations: all orders to evacuate zones that it knows
    :param fence: number of the sender's fence of the receiver's record; the
        record's age is acknowledged only if the receiver has adopted it
    :param adopted_fence: number of the fence that the sender has adopted
    :param rates: observed or learned speeds of endpoints
    :param deferred: tokens by workspace that its running requests have
        reserved and not asked for yet
    """

    host: str
    address: str
    holder: str
    version: int
    member: delegates.Member
    attached: bool
    members: list[delegates.Member]
    lost: list[str]
    gateways: int
    sites: list[load_notices.EndpointLoad]
    sent: list[load_notices.SentParts]
    available: dict[str, int]
    held: dict[str, int]
    pools: dict[str, tuple[int, dict[str, int]]]
    record_age_s: float
    suspects: quarantine.QuarantineGossip | None
    store_age_s: float
    late: bool
    registered: bool
    number: int
    wall_s: float | None = None
    superseded: list[placement.SupersededEndpoint] = []
    era: int = 0
    marks: dict[str, restoration.Mark] = {}
    limits: list[rate_limits.LimitNotice] = []
    parts: poison_notices.PartNotices | None = None
    software: list[versions.SeenVersion] = []
    software_span_s: float = 0.0
    evacuations: list[evacuations.OrderNotice] = []
    cold: list[cold_marks.ColdNotice] = []
    rates: rate_notices.RateNotices | None = None
    deferred: dict[str, int] = {}
    crashes: crash_notices.CrashNotices | None = None
    fence: int = 0
    adopted_fence: int = 0


class RecordAgeRequest(msgspec.Struct):
    """Ask a peer about the record of a process that has died."""

    holder: str


class RecordAgeReply(msgspec.Struct):
    """Report the age of a dead process's record.

    The fields are those of `record_age.AgeEvidence`.

    :param wall_s: time of the reply by the peer's wall clock
    """

    elapsed_s: float | None
    late: bool | None
    restart_age_s: float | None
    wall_s: float | None = None


class TransferRequest(msgspec.Struct):
    """Ask a peer to transfer tokens of a workspace."""

    workspace: str
    tokens: int
    holder: str


class TransferReply(msgspec.Struct):
    """Transfer tokens; they are lost if the reply is lost."""

    tokens: int


__all__ = (
    "GossipMessage",
    "RecordAgeReply",
    "RecordAgeRequest",
    "TransferReply",
    "TransferRequest",
)
