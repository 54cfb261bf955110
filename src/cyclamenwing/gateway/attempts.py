"""One attempt at an endpoint: choose, send, read the answer."""

from __future__ import annotations

from typing import NamedTuple

import eliot

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import connections
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import passing
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import suspects
from cyclamenwing.gateway import ticket
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.routing import endpoints
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1client

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# A request that may run again is sent elsewhere after this many goals.
PATIENCE_GOALS = 2.0
MIN_PATIENCE_S = 0.3
# The endpoint's own deadline ends a little before the client's.
MARGIN_S = 0.02
# Answers to other requests that are skipped on one connection.
MAX_SKIPPED = 3
SUCCESS = range(200, 300)

ATTEMPTS = metric_types.Counter(
    "gateway_attempts", "Attempts at endpoints by outcome", ("outcome",)
)


class AttemptNotRunError(errors.GatewayError):
    """Report an attempt that no endpoint has run."""

    code = "attempt_not_run"


class AttemptLostError(errors.GatewayError):
    """Report an attempt that may have run and has no whole answer."""

    code = "attempt_lost"


class AttemptSlowError(AttemptLostError):
    """Report an attempt that was given up to try elsewhere."""

    code = "attempt_slow"


class Target(NamedTuple):
    """Hold an attempt's endpoint and the number of its job there."""

    endpoint: endpoints.Endpoint
    job: int


class Attempts:
    """Send requests to endpoints."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        dialect: calls.Dialect,
        fleet: peers.Peers,
        pool: connections.Connections,
        found: suspects.Suspects,
    ) -> None:
        self._board = board
        self._dialect = dialect
        self._peers = fleet
        self._connections = pool
        self._suspects = found

    def choose(self, item: ticket.Ticket) -> Target | None:
        """Return an endpoint for a request, counted as sent there."""
        now_s = clock.read_time()
        candidates = [
            e
            for e in self._board.directory.list_usable(
                item.service.name, now_s
            )
            if e.name not in item.excluded
        ]
        engine = item.service.engine
        sites = self._board.placement
        chosen = sites.choose(
            candidates,
            item.demand,
            engine.cache_tokens if engine else 0,
            now_s,
        )
        if chosen is None:
            return None
        item.endpoint = chosen.name
        job = sites.start(chosen, item.demand, now_s)
        if item.demand.parts:
            self._peers.desk.note_sent(chosen.name, tuple(item.demand.parts))
        return Target(chosen, job)

    async def run(
        self,
        item: ticket.Ticket,
        answer: passing.Passing,
        target: Target,
        may_leave: bool,
    ) -> None:
        """Try one endpoint and pass its answer on.

        :raises AttemptNotRunError: if it has not run the request
        :raises AttemptLostError: if it may have, and no whole answer came
        """
        endpoint = target.endpoint
        site = self._board.placement.ensure_state(endpoint)
        left_s = item.limit_s - clock.read_time()
        try:
            connection = await self._connections.open(
                endpoint, item.route.repeatable, left_s
            )
        except transport_errors.ConnectFailedError as err:
            site.record_failure(clock.read_time())
            self._board.metrics.count(ATTEMPTS, "connect_failed")
            raise AttemptNotRunError(err.message) from err
        done = False
        try:
            marks = await self._send(
                item, answer, target, connection, may_leave
            )
            done = True
        except transport_errors.ConnectFailedError as err:
            raise AttemptNotRunError(err.message) from err
        except transport_errors.ConnectionSilentError as err:
            site.record_failure(clock.read_time())
            self._board.metrics.count(ATTEMPTS, "silent")
            raise AttemptSlowError(err.message) from err
        except transport_errors.TransportError as err:
            if answer.client_lost:
                raise
            site.record_failure(clock.read_time())
            self._connections.drop(endpoint)
            self._board.metrics.count(ATTEMPTS, "lost")
            self._suspects.note_lost(item, endpoint)
            raise AttemptLostError(err.message) from err
        finally:
            if not done:
                connection.close()
        site.record_success()
        self._suspects.note_answered(item)
        self._board.metrics.count(ATTEMPTS, "answered")
        self._connections.keep(endpoint, connection, marks)

    async def _send(
        self,
        item: ticket.Ticket,
        answer: passing.Passing,
        target: Target,
        connection: h1client.ClientConnection,
        may_leave: bool,
    ) -> calls.AnswerMarks:
        left_s = item.limit_s - clock.read_time() - MARGIN_S
        if left_s <= 0:
            raise AttemptNotRunError("no time left")
        workspace = item.workspace
        terms = calls.Terms(
            endpoint=target.endpoint.name,
            wait_s=left_s,
            workspace=workspace.name if workspace else None,
            resume_after=answer.reader.last_id if answer.started else None,
        )
        connection.send(
            self._dialect.write_call(item.request, item.call, terms)
        )
        item.sent += 1
        ran_before = item.ran
        item.ran = True
        wait_s = left_s
        if may_leave and (item.route.repeatable or item.route.resumable):
            patience_s = item.route.goal_s * PATIENCE_GOALS
            wait_s = min(left_s, max(patience_s, MIN_PATIENCE_S))
        head, marks = await self._read_own_head(item, connection, wait_s)
        if marks.not_run:
            item.ran = ran_before
            await connection.read_body(left_s, MAX_ANSWER_BYTES)
            if head.status != 421:
                self._board.placement.ensure_state(
                    target.endpoint
                ).record_failure(clock.read_time())
            raise AttemptNotRunError(f"status {head.status}, not run")
        self._check_answer(head, marks)
        self._board.placement.mark_answering(target.endpoint, target.job)
        await self._pass_on(item, answer, head, connection)
        return marks

    async def _read_own_head(
        self,
        item: ticket.Ticket,
        connection: h1client.ClientConnection,
        wait_s: float,
    ) -> tuple[h1.Head, calls.AnswerMarks]:
        until_s = clock.read_time() + wait_s
        for _ in range(MAX_SKIPPED + 1):
            head = await connection.read_head(
                max(until_s - clock.read_time(), 0.0)
            )
            marks = self._dialect.read_answer(head)
            if marks.request_id in (None, item.call.request_id):
                return head, marks
            eliot.log_message(
                "attempt:foreign_answer",
                address=connection.address,
                request=name_request(item.call.request_id),
                answered=name_request(marks.request_id),
            )
            await connection.read_body(
                max(until_s - clock.read_time(), 0.0), MAX_ANSWER_BYTES
            )
            connection.skip_answer()
            connection.reusable = False
        raise transport_errors.MalformedMessageError("only foreign answers")

    def _check_answer(self, head: h1.Head, marks: calls.AnswerMarks) -> None:
        if head.status in SUCCESS and not (
            marks.signed and marks.request_id is not None
        ):
            raise transport_errors.MalformedMessageError("not signed")
        if marks.encoded:
            raise transport_errors.MalformedMessageError("body is encoded")

    async def _pass_on(
        self,
        item: ticket.Ticket,
        answer: passing.Passing,
        head: h1.Head,
        connection: h1client.ClientConnection,
    ) -> None:
        streams = item.route.kind is configuration.RouteKind.STREAM
        if head.status in SUCCESS and streams:
            await answer.pass_stream(head, connection)
            return
        if answer.started:
            raise transport_errors.MalformedMessageError(
                f"resumed with status {head.status}"
            )
        left_s = item.limit_s - clock.read_time()
        body = await connection.read_body(
            max(left_s, MARGIN_S), MAX_ANSWER_BYTES
        )
        await answer.pass_whole(head, body)


def name_request(request_id: bytes | None) -> str | None:
    """Return a request's id for the log."""
    return None if request_id is None else request_id.decode("latin-1")


__all__ = (
    "MARGIN_S",
    "AttemptLostError",
    "AttemptNotRunError",
    "Attempts",
    "Target",
    "name_request",
)
