"""The endpoints of all services, as their own entries describe them."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

# An entry that lapsed while the store was away is back within two seconds
# of its return; a little less leaves time for requests on their way.
LAPSE_GRACE_S = 1.7


class Endpoint(NamedTuple):
    """Describe one incarnation of an endpoint."""

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    born_ms: int = 0

    @property
    def incarnation(self) -> tuple[str, int, str]:
        """Return what changes when the process behind a name changes."""
        return (self.name, self.born_ms, self.address)


@dataclasses.dataclass(slots=True)
class Directory:
    """Keep the known endpoints.

    Entries that lapsed around an outage of the store stay as doubtful for a
    while: used only where a service has no other endpoint.
    """

    known: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    lapsed: dict[str, tuple[Endpoint, float]] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0

    def put(self, endpoint: Endpoint) -> bool:
        """Add or replace an endpoint; tell whether something changed."""
        self.lapsed.pop(endpoint.name, None)
        if self.known.get(endpoint.name) == endpoint:
            return False
        self.known[endpoint.name] = endpoint
        self.version += 1
        return True

    def drop(self, name: str, now_s: float, in_doubt: bool) -> bool:
        """Remove an endpoint; keep it for a while if its loss is in doubt."""
        found = self.known.pop(name, None)
        if found is None:
            return False
        self.version += 1
        if in_doubt and not found.draining:
            self.lapsed[name] = (found, now_s + LAPSE_GRACE_S)
        return True

    def list_usable(self, service: str, now_s: float) -> list[Endpoint]:
        """Return the endpoints that take new requests."""
        usable = [
            e
            for e in self.known.values()
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
