"""Directory of endpoints, from their registrations in the store."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

# An endpoint whose registration lapsed during a store outage registers again
# within two seconds of the store's return. The grace time is a little shorter,
# to leave time for requests that are already on their way.
LAPSE_GRACE_S = 1.7


class Endpoint(NamedTuple):
    """Describe one incarnation of an endpoint.

    `slots` is the number of requests that it runs at once, `started_ms` the
    time at which its process started.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    started_ms: int = 0

    @property
    def incarnation(self) -> tuple[str, int, str]:
        """Return a key that differs for each process behind a name."""
        return (self.name, self.started_ms, self.address)


@dataclasses.dataclass(slots=True)
class Directory:
    """Hold the registered endpoints.

    An endpoint whose registration lapsed around a store outage may still
    run. It is kept as lapsed for `LAPSE_GRACE_S` and used only if its
    service has no registered endpoint. `version` grows with each change.
    """

    registered: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    lapsed: dict[str, tuple[Endpoint, float]] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0

    def put(self, endpoint: Endpoint) -> bool:
        """Add or replace an endpoint; return whether anything changed."""
        self.lapsed.pop(endpoint.name, None)
        if self.registered.get(endpoint.name) == endpoint:
            return False
        self.registered[endpoint.name] = endpoint
        self.version += 1
        return True

    def drop(self, name: str, now_s: float, in_doubt: bool) -> bool:
        """Remove an endpoint; return whether it was registered.

        :param in_doubt: whether it may still run, as its registration
            ended during or shortly after a store outage
        """
        endpoint = self.registered.pop(name, None)
        if endpoint is None:
            return False
        self.version += 1
        if in_doubt and not endpoint.draining:
            self.lapsed[name] = (endpoint, now_s + LAPSE_GRACE_S)
        return True

    def list_usable(self, service: str, now_s: float) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests."""
        usable = [
            e
            for e in self.registered.values()
            if e.service == service and not e.draining
        ]
        if usable:
            return usable
        for name, (_, until_s) in list(self.lapsed.items()):
            if until_s <= now_s:
                del self.lapsed[name]
        return [e for e, _ in self.lapsed.values() if e.service == service]


__all__ = (
    "LAPSE_GRACE_S",
    "Directory",
    "Endpoint",
)
