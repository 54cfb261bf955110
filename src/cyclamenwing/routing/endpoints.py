"""Directory of endpoints, from their registrations in the store."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenwing.routing import evacuations
from cyclamenwing.routing import exclusions
from cyclamenwing.routing import rate_limits

# An endpoint whose registration lapsed during a store outage registers again
# within two seconds of the store's return. The grace time is a little shorter,
# to leave time for requests that are already on their way.
LAPSE_GRACE_S = 1.7
# Within `Directory` the module's name is that of a field.
Incarnation = exclusions.Incarnation


class Endpoint(NamedTuple):
    """Describe one incarnation of an endpoint.

    `slots` is the number of requests that it runs at once, `started_ms` the
    time at which its process started, `software` the version of its software.
    `cold_remaining_s` is the cold time that was left when the entry was
    written; the directory does not keep it.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    started_ms: int = 0
    software: str = ""
    cold_remaining_s: float = 0.0

    @property
    def incarnation(self) -> exclusions.Incarnation:
        """Return a key that differs for each process behind a name."""
        return exclusions.Incarnation(self.name, self.started_ms, self.address)


class Scope(NamedTuple):
    """Restrict the endpoints that a request may be sent to.

    :param zones: availability zones of its home, None for any
    :param part: prompt part with which it leaves an evacuated zone
    """

    zones: frozenset[str] | None = None
    part: str = ""


ANY_ENDPOINT = Scope()


@dataclasses.dataclass(slots=True)
class Directory:
    """Hold the registered endpoints.

    An endpoint whose registration lapsed around a store outage may still
    run. It is kept as lapsed for `LAPSE_GRACE_S` and used only if its
    service has no registered endpoint in use. `version` grows with each
    change.
    """

    registered: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    lapsed: dict[str, tuple[Endpoint, float]] = dataclasses.field(
        default_factory=dict
    )
    exclusions: exclusions.Exclusions = dataclasses.field(
        default_factory=exclusions.Exclusions
    )
    limits: rate_limits.RateLimits = dataclasses.field(
        default_factory=rate_limits.RateLimits
    )
    evacuations: evacuations.Evacuations = dataclasses.field(
        default_factory=evacuations.Evacuations
    )
    version: int = 0
    # Registered endpoints that are not gone, by service, until a change.
    _remaining: dict[str, list[Endpoint]] = dataclasses.field(
        default_factory=dict
    )

    def put(self, endpoint: Endpoint, revision: int = 0) -> bool:
        """Add or replace an endpoint; return whether anything changed.

        An entry older than its own removal or replacement, as an older copy
        of the store may hold, does not replace another incarnation.

        :param revision: revision of its entry in the store
        """
        endpoint = endpoint._replace(cold_remaining_s=0.0)
        incarnation = endpoint.incarnation
        self._remaining.clear()
        self.exclusions.restore(incarnation, revision)
        gone = self.exclusions.is_gone(incarnation)
        if endpoint.draining:
            self.exclusions.mark_draining(incarnation, revision)
        known = self.registered.get(endpoint.name)
        if known is None and endpoint.name in self.lapsed:
            known = self.lapsed[endpoint.name][0]
        if known is not None and known.incarnation != incarnation:
            if gone:
                return False
            self.exclusions.mark_superseded(known.incarnation, revision)
        self.lapsed.pop(endpoint.name, None)
        if self.registered.get(endpoint.name) == endpoint:
            return False
        self.registered[endpoint.name] = endpoint
        self._record_change()
        return True

    def record_cold_entry(
        self, endpoint: Endpoint, now_s: float, wall_s: float, live: bool
    ) -> bool:
        """Record what an entry says of the cold time; return whether new.

        It is called before `put`, so that the limit holds from the first
        request on.

        :param wall_s: time by the wall clock at `now_s`
        :param live: the entry is no part of a full read
        """
        incarnation = endpoint.incarnation
        starts = self.limits.cold.starts
        cold = starts.record_entry(
            incarnation,
            endpoint.service,
            endpoint.cold_remaining_s,
            now_s,
            wall_s,
            live,
        )
        known = self.registered.get(endpoint.name)
        if (
            known is not None
            and known.incarnation != incarnation
            and known.address == endpoint.address
            and starts.find_terms(incarnation) is not None
        ):
            self.limits.carry_over(known.incarnation, incarnation, now_s)
        return cold

    def mark_cold(
        self,
        incarnations: Iterable[Incarnation],
        seconds: float | None,
        source: str,
        now_s: float,
    ) -> list[Incarnation]:
        """Take endpoints as cold; return those that were not before.

        Endpoints of services without cold limits are left out.

        :param seconds: None for the usual time of their service
        :param source: where this comes from, for the log
        """
        return self.limits.cold.starts.mark_cold(
            incarnations, seconds, source, now_s
        )

    def drop(
        self, name: str, now_s: float, in_doubt: bool, revision: int = 0
    ) -> bool:
        """Remove an endpoint; return whether it was registered.

        :param in_doubt: whether it may still run, as its registration
            ended during or shortly after a store outage
        :param revision: revision of the removal in the store
        """
        endpoint = self.registered.pop(name, None)
        if endpoint is None:
            return False
        if not in_doubt:
            self.exclusions.mark_superseded(endpoint.incarnation, revision)
        elif not endpoint.draining:
            self.lapsed[name] = (endpoint, now_s + LAPSE_GRACE_S)
        self._record_change()
        return True

    def record_leaving(self, endpoint: Endpoint) -> bool:
        """Record that an endpoint says it leaves; return whether new."""
        if not self.exclusions.mark_leaving(endpoint.incarnation):
            return False
        self._record_change()
        return True

    def record_wait(
        self, endpoint: Endpoint, now_s: float, wait_s: float
    ) -> bool:
        """Exclude an endpoint for a time; return whether it ends later now.

        A shorter time that is asked for later does not end an earlier one.
        """
        later = self.exclusions.extend_wait(
            endpoint.incarnation, now_s + wait_s
        )
        self.exclusions.trim(self.registered)
        return later

    def is_gone(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint leaves or was removed."""
        return self.exclusions.is_gone(endpoint.incarnation)

    def accepts(
        self,
        endpoint: Endpoint,
        now_s: float,
        scope: Scope = ANY_ENDPOINT,
    ) -> bool:
        """Return whether an endpoint may get new requests now."""
        incarnation = endpoint.incarnation
        return not (
            self.exclusions.is_gone(incarnation)
            or self.exclusions.read_wait(incarnation, now_s)
            or self._is_outside(endpoint.zone, now_s, scope)
        )

    def list_usable(
        self, service: str, now_s: float, scope: Scope = ANY_ENDPOINT
    ) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests."""
        usable = self._list_remaining(service)
        if self.evacuations.active or scope.zones is not None:
            usable = self._list_inside(usable, now_s, scope)
        if self.exclusions.waits or self.limits.any_limited:
            usable = [e for e in usable if not self._read_wait(e, now_s)]
        if usable:
            return [*usable]
        for name, (_, until_s) in list(self.lapsed.items()):
            if until_s <= now_s:
                del self.lapsed[name]
        return [
            e
            for e, _ in self.lapsed.values()
            if e.service == service
            and self.accepts(e, now_s, scope)
            and not self.limits.measure_wait(e.incarnation, now_s)
        ]

    def measure_wait(
        self, service: str, now_s: float, scope: Scope = ANY_ENDPOINT
    ) -> float | None:
        """Return the seconds until an endpoint of a service accepts requests.

        It is None if one accepts them now or none will. Where limits bind,
        each call returns a later time, at the rate that these allow.
        """
        if not (self.exclusions.waits or self.limits.any_limited):
            return None
        if self.list_usable(service, now_s, scope):
            return None
        remaining = self._list_inside(
            self._list_known(service, now_s), now_s, scope
        )
        waits = [
            max(
                self.exclusions.read_wait(e.incarnation, now_s),
                self.limits.measure_room(e.incarnation, now_s),
            )
            for e in remaining
        ]
        if not waits:
            return None
        return self.limits.plan_return(
            service, [e.incarnation for e in remaining], min(waits), now_s
        )

    def is_evacuated(
        self, service: str, now_s: float, scope: Scope = ANY_ENDPOINT
    ) -> bool:
        """Return whether a service has endpoints in evacuated zones only."""
        if not self.evacuations.active:
            return False
        found = False
        for endpoint in self._list_known(service, now_s):
            if scope.zones is None or endpoint.zone in scope.zones:
                found = True
                if not self.evacuations.is_evacuated(
                    endpoint.zone, now_s, scope.part
                ):
                    return False
        return found

    def has_home(self, service: str, now_s: float, scope: Scope) -> bool:
        """Return whether a service has endpoints in a request's home."""
        zones = scope.zones
        return zones is None or any(
            e.zone in zones for e in self._list_known(service, now_s)
        )

    def list_software(self) -> set[tuple[str, str]]:
        """Return the services and software versions of all endpoints."""
        known = [
            *self.registered.values(),
            *(e for e, _ in self.lapsed.values()),
        ]
        return {(e.service, e.software) for e in known}

    def count_leaving(self) -> int:
        """Return the number of registered endpoints that leave."""
        return sum(self.is_gone(e) for e in self.registered.values())

    def count_waiting(self, now_s: float) -> int:
        """Return the number of registered endpoints that want no requests."""
        return sum(
            self.exclusions.read_wait(e.incarnation, now_s) > 0
            for e in self.registered.values()
        )

    def _list_inside(
        self, candidates: list[Endpoint], now_s: float, scope: Scope
    ) -> list[Endpoint]:
        zones = {e.zone for e in candidates}
        closed = {z for z in zones if self._is_outside(z, now_s, scope)}
        return [e for e in candidates if e.zone not in closed]

    def _is_outside(self, zone: str, now_s: float, scope: Scope) -> bool:
        """Return whether a zone is evacuated or not in a home."""
        return (
            scope.zones is not None and zone not in scope.zones
        ) or self.evacuations.is_evacuated(zone, now_s, scope.part)

    def _list_known(self, service: str, now_s: float) -> list[Endpoint]:
        """Return the endpoints of a service that are not gone."""
        lapsed = [
            e
            for e, until_s in self.lapsed.values()
            if e.service == service and until_s > now_s and not self.is_gone(e)
        ]
        return [*self._list_remaining(service), *lapsed]

    def _read_wait(self, endpoint: Endpoint, now_s: float) -> float:
        return self.exclusions.read_wait(
            endpoint.incarnation, now_s
        ) or self.limits.measure_wait(endpoint.incarnation, now_s)

    def _list_remaining(self, service: str) -> list[Endpoint]:
        remaining = self._remaining.get(service)
        if remaining is None:
            remaining = self._remaining[service] = [
                e
                for e in self.registered.values()
                if e.service == service and not self.is_gone(e)
            ]
        return remaining

    def _record_change(self) -> None:
        self.version += 1
        self._remaining.clear()
        self.exclusions.trim(self.registered)


__all__ = (
    "ANY_ENDPOINT",
    "LAPSE_GRACE_S",
    "Directory",
    "Endpoint",
    "Scope",
)
