"""Delegates: the few gateways of each zone that act for the others.

In a large fleet only delegates watch the store, draw tokens from the pools
and exchange gossip across zones. Every other gateway of a zone attaches to
one delegate. All gateways compute the delegates from the registered members,
so there is no election: a gateway that others attach to acts as a delegate
even if it ranks itself lower.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from cyclamenwing.membership import rendezvous

# Each zone has one delegate. Fleets with few zones have more, so that some are
# left where two are lost.
MIN_DELEGATES = 5
# Delegates that hold the tokens of a workspace, unless all gateways are
# delegates. With more of them the holdings are split into parts too small for
# large requests, and draws conflict.
HOLDERS_PER_WORKSPACE = 2
# A silent delegate is replaced after this time. Until then its attached
# gateways use other delegates, as a killed process is soon back.
PROMOTION_DELAY_S = 5.0
# A gateway that has reached no delegate for this long acts for itself.
ISOLATION_DELAY_S = 3.0
# An attached gateway that has not called for this long has left.
ATTACHMENT_TTL_S = 3.0
# Delay before a delegate whose call failed is tried again, and once it counts
# as lost.
RETRY_DELAY_S = 1.0
LOST_RETRY_DELAY_S = 5.0
# Delegates of other zones to try where no delegate of the own zone answers.
MAX_REMOTE_DELEGATES = 3


class Member(msgspec.Struct, frozen=True):
    """Describe a registered gateway.

    :param address: `ip:port` for calls of other gateways
    :param capacity: grows with the host's link and processors; hosts with
        more become delegates first
    :param started_ms: start of the process in Unix milliseconds
    """

    host: str
    address: str
    zone: str = ""
    capacity: float = 0.0
    started_ms: int = 0


def choose_delegates(members: Iterable[Member]) -> list[Member]:
    """Return the delegates among the members.

    They are the best of each zone, and further ones up to `MIN_DELEGATES`.
    """
    ranked = sorted(
        members,
        key=lambda m: (-m.capacity, rendezvous.score_member(m.zone, m.host)),
    )
    best: dict[str, Member] = {}
    for member in ranked:
        best.setdefault(member.zone, member)
    chosen = list(best.values())
    missing = max(MIN_DELEGATES - len(chosen), 0)
    return chosen + [m for m in ranked if m not in chosen][:missing]


class Roster:
    """Hold the members of the fleet and derive the delegates.

    Times are seconds of the gateway's clock.

    :param own: this gateway
    """

    def __init__(self, own: Member, now_s: float) -> None:
        self.own = own
        self.members: dict[str, Member] = {}
        self._silent_since_s: dict[str, float] = {}
        self._retry_at_s: dict[str, float] = {}
        self._reported_lost: set[str] = set()
        self._attached_s: dict[str, float] = {}
        self._delegate_contact_s = now_s
        self._delegates = [own]
        # Hosts of the members that were not silent for long.
        self.alive: tuple[str, ...] = (own.host,)
        # Set once the roster is complete enough to derive the delegates.
        # Until then each gateway acts for itself.
        self.settled = False
        self.acts_as_delegate = True
        self._isolated = False
        self._holders: dict[str, list[Member]] = {}

    def settle(self, now_s: float) -> None:
        """Begin to use delegates, as all members are known."""
        self.settled = True
        self._delegate_contact_s = now_s
        self.refresh(now_s)

    def add(self, member: Member) -> bool:
        """Add a member or its newer process; return whether it was new."""
        known = self.members.get(member.host)
        if member.host == self.own.host or (
            known is not None and known.started_ms >= member.started_ms
        ):
            return False
        self.members[member.host] = member
        return known != member

    def record_contact(self, host: str, now_s: float) -> None:
        """Record that a member answered or called."""
        self._silent_since_s.pop(host, None)
        self._retry_at_s.pop(host, None)
        self._reported_lost.discard(host)
        if self._is_ranked(host):
            self._delegate_contact_s = now_s

    def record_failure(self, host: str, now_s: float) -> None:
        """Record that a call to a member failed."""
        since_s = self._silent_since_s.setdefault(host, now_s)
        lost = now_s - since_s >= PROMOTION_DELAY_S
        delay_s = LOST_RETRY_DELAY_S if lost else RETRY_DELAY_S
        self._retry_at_s[host] = now_s + delay_s

    def merge_lost(self, hosts: Iterable[str]) -> None:
        """Merge the members that a delegate reports as lost.

        A gateway that calls no other delegates believes its own one. A
        delegate finds out itself, and only drops what others told it before.
        """
        reported = set(hosts) - {self.own.host}
        if self.acts_as_delegate:
            reported &= self._reported_lost
        self._reported_lost = reported

    def record_attached(self, host: str, now_s: float) -> None:
        """Record that a gateway uses this one as its delegate."""
        self._attached_s[host] = now_s

    def detach(self, host: str) -> None:
        """Record that a gateway uses another delegate now."""
        self._attached_s.pop(host, None)

    def list_attached(self, now_s: float) -> set[str]:
        """Return the hosts that use this gateway as their delegate."""
        return {
            host
            for host, called_s in self._attached_s.items()
            if now_s - called_s < ATTACHMENT_TTL_S
        }

    def list_lost(self, now_s: float) -> list[str]:
        """Return the members that were silent for too long to be delegates."""
        return [
            host
            for host, since_s in self._silent_since_s.items()
            if now_s - since_s >= PROMOTION_DELAY_S
        ]

    def refresh(self, now_s: float) -> None:
        """Derive the delegates of all zones and whether this is one."""
        lost = {*self.list_lost(now_s), *self._reported_lost}
        alive = [m for m in self.members.values() if m.host not in lost]
        alive.append(self.own)
        self.alive = tuple(member.host for member in alive)
        chosen = choose_delegates(alive)
        if chosen != self._delegates:
            self._delegates = chosen
            self._holders.clear()
        self._isolated = now_s - self._delegate_contact_s > ISOLATION_DELAY_S
        self.acts_as_delegate = (
            not self.settled
            or self._is_ranked(self.own.host)
            or bool(self.list_attached(now_s))
            or self._isolated
        )

    def list_delegates(self) -> list[Member]:
        """Return the delegates of all zones except this gateway."""
        return [m for m in self._delegates if m.host != self.own.host]

    def list_retries(self, now_s: float) -> list[Member]:
        """Return lost members that are due to be tried again."""
        return [
            self.members[host]
            for host in self.list_lost(now_s)
            if host in self.members
            and now_s >= self._retry_at_s.get(host, 0.0)
        ]

    def count_delegates(self) -> int:
        """Return the number of delegates of all zones."""
        return len(self._delegates)

    def find_delegates(self, now_s: float) -> list[Member]:
        """Return the delegates to use, the preferred one first.

        Those of the own zone come first, in an order that spreads the zone's
        gateways. Delegates whose last call failed are left out for a while.
        """
        usable = [
            member
            for member in self.list_delegates()
            if now_s >= self._retry_at_s.get(member.host, 0.0)
        ]
        ranked = sorted(
            usable,
            key=lambda m: (
                m.zone != self.own.zone,
                rendezvous.score_member(self.own.host, m.host),
            ),
        )
        local = sum(m.zone == self.own.zone for m in ranked)
        return ranked[: local + MAX_REMOTE_DELEGATES]

    def holds(self, workspace: str) -> bool:
        """Return whether this gateway keeps tokens of a workspace."""
        if not self.settled or self._isolated:
            return True
        holders = self._rank_holders(workspace)[: self.count_holders()]
        return self.own in holders

    def count_holders(self) -> int:
        """Return the number of delegates that hold a workspace's tokens.

        Where all gateways are delegates all do, so that no request needs a
        call to another one.
        """
        if len(self.members) < MIN_DELEGATES:
            return MIN_DELEGATES
        return HOLDERS_PER_WORKSPACE

    def find_holders(self, workspace: str, now_s: float) -> list[Member]:
        """Return the delegates to ask for tokens, the best one first.

        Delegates whose last call failed are left out for a while.
        """
        return [
            member
            for member in self._rank_holders(workspace)
            if member.host != self.own.host
            and now_s >= self._retry_at_s.get(member.host, 0.0)
        ]

    def _rank_holders(self, workspace: str) -> list[Member]:
        ranked = self._holders.get(workspace)
        if ranked is None:
            ranked = self._holders[workspace] = sorted(
                self._delegates,
                key=lambda m: rendezvous.score_member(workspace, m.host),
            )
        return ranked

    def _is_ranked(self, host: str) -> bool:
        return any(member.host == host for member in self._delegates)


__all__ = (
    "ATTACHMENT_TTL_S",
    "ISOLATION_DELAY_S",
    "MIN_DELEGATES",
    "PROMOTION_DELAY_S",
    "RETRY_DELAY_S",
    "Member",
    "Roster",
    "choose_delegates",
)
