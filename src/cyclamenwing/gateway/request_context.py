"""State of a request while a gateway serves it."""

from __future__ import annotations

import dataclasses

from cyclamenwing.gateway import calls
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import reservation
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import placement
from cyclamenwing.routing import versions
from cyclamenwing.transport import h1

STREAM = configuration.RouteKind.STREAM


@dataclasses.dataclass(slots=True)
class RequestContext:
    """Hold a request and the progress of serving it.

    :param started_s: time at which the request arrived
    :param deadline_s: time by which the client must have an answer
    :param sent_count: attempts whose request was sent to an endpoint
    :param may_have_run: an endpoint has run the request, or may have
    :param reserved_s: time at which its tokens were reserved
    :param software: software version of the endpoint chosen last
    :param origin: version at which its stream began and has to go on, None
        until the client has an event
    :param events: events of the stream that were read from endpoints
    :param passed_events: those of them that were passed to the socket of the
        client, which may not have received the last 4 KB and what the socket
        holds
    :param excluded: names of endpoints that are not tried again
    :param scope: endpoints that it may be sent to
    :param homes: regions of that scope, for the log; None for any
    :param reservation: tokens reserved for it, None if it needs none
    """

    request: h1.Request
    call: calls.Call
    route: configuration.Route
    workspace: configuration.Workspace | None
    demand: placement.Demand
    service: configuration.Service
    started_s: float
    deadline_s: float
    sent_count: int = 0
    may_have_run: bool = False
    status: int = 0
    endpoint: str = ""
    software: str = ""
    origin: versions.Origin | None = None
    reserved_s: float | None = None
    first_byte_s: float | None = None
    events: int = 0
    passed_events: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    scope: endpoints.Scope = endpoints.ANY_ENDPOINT
    homes: frozenset[str] | None = None
    reservation: reservation.Reservation | None = None

    @property
    def tokens_per_event(self) -> int:
        """Return the tokens that an event of the stream may hold."""
        engine = self.service.engine
        return engine.tokens_per_event if engine else 1

    @property
    def initial_tokens(self) -> int:
        """Return the tokens that the request may use when it begins.

        Answers that are no stream are passed on as a whole.
        """
        size = self.call.size
        if size is None or self.route.kind is not STREAM:
            return self.max_tokens
        return reservation.split_initial(
            size.prompt_tokens, size.output_tokens
        )

    @property
    def max_tokens(self) -> int:
        """Return the most tokens that the request may cost."""
        return self.call.size.max_tokens if self.call.size else 0

    @property
    def begin_by_s(self) -> float:
        """Return the time by which the answer has to begin."""
        patience_s = self.route.patience_s
        if patience_s is None:
            return self.deadline_s
        return min(self.deadline_s, self.started_s + patience_s)

    async def cover_events(self, events: int) -> None:
        """Return once the client may get as many events of the stream.

        :raises AnswerLateError: if the budget does not allow it in time
        """
        if self.reservation is not None and self.call.size is not None:
            await self.reservation.cover(
                self.call.size.prompt_tokens + events * self.tokens_per_event,
                self.deadline_s,
            )

    def count_spent(self, tokens_per_event: int) -> int:
        """Return the tokens that are charged to the workspace.

        The whole prompt counts once the request may have run, the output
        by the events that were passed to the client's connection. Events
        that were read from the endpoint but only held are not charged.
        """
        if self.call.size is None or not self.may_have_run:
            return 0
        output = min(
            self.passed_events * tokens_per_event, self.call.size.output_tokens
        )
        return self.call.size.prompt_tokens + output


__all__ = ("RequestContext",)
