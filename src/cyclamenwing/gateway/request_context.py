"""One request on its way through a gateway."""

from __future__ import annotations

import dataclasses

from cyclamenwing.gateway import calls
from cyclamenwing.gateway import configuration
from cyclamenwing.routing import placement
from cyclamenwing.transport import h1


@dataclasses.dataclass(slots=True)
class Ticket:
    """Hold what is known of a request while it is served.

    :param limit_s: time at which the request gets its final answer
    :param sent: requests that reached an endpoint
    :param ran: an endpoint has run the request, or may have
    """

    request: h1.Request
    call: calls.Call
    route: configuration.Route
    workspace: configuration.Workspace | None
    demand: placement.Demand
    service: configuration.Service
    started_s: float
    limit_s: float
    sent: int = 0
    ran: bool = False
    status: int = 0
    endpoint: str = ""
    reserved_s: float | None = None
    first_byte_s: float | None = None
    events: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)

    @property
    def most_tokens(self) -> int:
        """Return the tokens that the request may cost."""
        return self.call.size.most if self.call.size else 0

    def count_spent(self, tokens_per_event: int) -> int:
        """Return the tokens that the workspace consumed."""
        if self.call.size is None or not self.ran:
            return 0
        output = min(
            self.events * tokens_per_event, self.call.size.output_tokens
        )
        return self.call.size.prompt_tokens + output


__all__ = ("Ticket",)
