"""One request's way: admit, reserve, choose, send, pass on, settle."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import NamedTuple

import eliot
import h11

from cyclamenwing.gateway import admission
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import connections
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import events
from cyclamenwing.gateway import funds
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import ticket
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.routing import endpoints
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# A request that may run again is sent elsewhere after this many goals.
PATIENCE_GOALS = 2.0
MIN_PATIENCE_S = 0.3
# The endpoint's own deadline ends a little before the client's.
MARGIN_S = 0.02
# Answers to other requests that are skipped on one connection.
MAX_SKIPPED = 3
# Endpoints that are tried although each one says that it ran nothing.
MAX_TRIES = 4
SUCCESS = range(200, 300)

REQUESTS = metric_types.Counter(
    "gateway_requests", "Requests by route kind and outcome", ("kind", "code")
)
ATTEMPTS = metric_types.Counter(
    "gateway_attempts", "Attempts at endpoints by outcome", ("outcome",)
)
FIRST_BYTE = metric_types.Timer(
    "gateway_first_byte", "Time to the first byte of an answer", ("kind",)
)
DURATION = metric_types.Timer(
    "gateway_duration", "Time to the end of an answer", ("kind",)
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


class Exchange:
    """Serve clients' requests."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        dialect: calls.Dialect,
        funding: funds.Funds,
        fleet: peers.Peers,
        pool: connections.Connections,
    ) -> None:
        self._board = board
        self._dialect = dialect
        self._funds = funding
        self._peers = fleet
        self._connections = pool

    async def handle(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        """Answer one request."""
        started_s = clock.read_time()
        self._board.active += 1
        try:
            await self._handle(connection, request, started_s)
        finally:
            self._board.active -= 1

    async def _handle(
        self,
        connection: h1.ServerConnection,
        request: h1.Request,
        started_s: float,
    ) -> None:
        try:
            item = admission.admit(
                self._board, self._dialect, request, started_s
            )
        except errors.GatewayError as err:
            await self._refuse(connection, request, None, err)
            return
        passing = Passing(connection, item)
        code = "cancelled"
        try:
            await self._reserve(item)
            try:
                await self._try_endpoints(item, passing)
                code = "passed"
            finally:
                self._settle(item)
        except errors.GatewayError as err:
            code = err.code
            if passing.started:
                # The client must see that the answer is not complete.
                connection.close()
            else:
                await self._refuse(connection, request, item, err)
        finally:
            self._record(item, code)

    async def _reserve(self, item: ticket.Ticket) -> None:
        workspace = item.workspace
        if workspace is None or workspace.prepaid_tokens is None:
            return
        if item.most_tokens:
            await self._funds.reserve(
                workspace.name,
                workspace.prepaid_tokens,
                item.most_tokens,
                item.route.goal_s,
                item.limit_s - clock.read_time(),
            )

    def _settle(self, item: ticket.Ticket) -> None:
        workspace = item.workspace
        if workspace is None or workspace.prepaid_tokens is None:
            return
        if item.most_tokens:
            spent = item.count_spent(_count_event_tokens(item))
            self._funds.settle(workspace.name, item.most_tokens, spent)

    async def _try_endpoints(
        self, item: ticket.Ticket, passing: Passing
    ) -> None:
        allowance = self._board.allowance
        allowance.note_request(item.service.name, clock.read_time())
        last: errors.GatewayError | None = None
        for tries in range(MAX_TRIES):
            self._check_time(item, last)
            if tries and item.sent and not self._allow_repeat(item):
                break
            target = self._choose(item)
            if target is None:
                break
            may_leave = item.sent + 1 < item.route.attempts
            try:
                await self._attempt(item, passing, target, may_leave)
                return
            except AttemptNotRunError as err:
                last = err
            except AttemptLostError as err:
                last = err
                if not self._may_run_again(item, passing):
                    break
            finally:
                self._board.placement.end(target.endpoint, target.job)
            self._log_attempt(item, target, last)
            item.excluded.add(target.endpoint.name)
        raise self._conclude(item, last)

    def _check_time(
        self, item: ticket.Ticket, last: errors.GatewayError | None
    ) -> None:
        if clock.read_time() + MARGIN_S >= item.limit_s:
            if item.ran:
                raise errors.AnswerLateError("no answer in time", "unknown")
            raise errors.DeadlineError(f"deadline passed after {last}")

    def _allow_repeat(self, item: ticket.Ticket) -> bool:
        now_s = clock.read_time()
        return self._board.allowance.take(
            item.service.name, self._board.count_entries(now_s), now_s
        )

    def _may_run_again(self, item: ticket.Ticket, passing: Passing) -> bool:
        if item.sent >= item.route.attempts:
            return False
        if item.route.resumable:
            return not passing.started or passing.reader.last_id is not None
        return item.route.repeatable and not passing.started

    def _conclude(
        self, item: ticket.Ticket, last: errors.GatewayError | None
    ) -> errors.GatewayError:
        if item.ran:
            if clock.read_time() + MARGIN_S >= item.limit_s:
                return errors.AnswerLateError("no answer in time", "unknown")
            return errors.AnswerLostError(
                last.message if last else "", "unknown"
            )
        if last is None:
            return errors.NoEndpointError(item.service.name)
        return errors.OverloadedError(last.message)

    def _choose(self, item: ticket.Ticket) -> Target | None:
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
            self._peers.note_sent(chosen.name, tuple(item.demand.parts))
        return Target(chosen, job)

    async def _attempt(
        self,
        item: ticket.Ticket,
        passing: Passing,
        target: Target,
        may_leave: bool,
    ) -> None:
        endpoint = target.endpoint
        site = self._board.placement.open_site(endpoint)
        left_s = item.limit_s - clock.read_time()
        try:
            connection = await self._connections.open(
                endpoint, item.route.repeatable, left_s
            )
        except transport_errors.ConnectFailedError as err:
            site.note_failure(clock.read_time())
            self._board.metrics.count(ATTEMPTS, "connect_failed")
            raise AttemptNotRunError(err.message) from err
        done = False
        try:
            marks = await self._send(
                item, passing, target, connection, may_leave
            )
            done = True
        except transport_errors.ConnectFailedError as err:
            raise AttemptNotRunError(err.message) from err
        except transport_errors.ConnectionSilentError as err:
            site.note_failure(clock.read_time())
            self._board.metrics.count(ATTEMPTS, "silent")
            raise AttemptSlowError(err.message) from err
        except transport_errors.TransportError as err:
            if passing.client_lost:
                raise
            site.note_failure(clock.read_time())
            self._connections.drop(endpoint)
            self._board.metrics.count(ATTEMPTS, "lost")
            raise AttemptLostError(err.message) from err
        finally:
            if not done:
                connection.close()
        site.note_success()
        self._board.metrics.count(ATTEMPTS, "answered")
        self._connections.keep(endpoint, connection, marks)

    async def _send(
        self,
        item: ticket.Ticket,
        passing: Passing,
        target: Target,
        connection: h1.ClientConnection,
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
            resume_after=passing.reader.last_id if passing.started else None,
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
            self._connections.keep(target.endpoint, connection, marks)
            if head.status != 421:
                self._board.placement.open_site(
                    target.endpoint
                ).note_failure(clock.read_time())
            raise AttemptNotRunError(f"status {head.status}, not run")
        self._check_answer(head, marks)
        self._board.placement.mark_answering(target.endpoint, target.job)
        await self._pass_on(item, passing, head, connection)
        return marks

    async def _read_own_head(
        self,
        item: ticket.Ticket,
        connection: h1.ClientConnection,
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
                request=_name(item.call.request_id),
                answered=_name(marks.request_id),
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
        passing: Passing,
        head: h1.Head,
        connection: h1.ClientConnection,
    ) -> None:
        streams = item.route.kind is configuration.RouteKind.STREAM
        if head.status in SUCCESS and streams:
            await passing.pass_stream(head, connection)
            return
        if passing.started:
            raise transport_errors.MalformedMessageError(
                f"resumed with status {head.status}"
            )
        left_s = item.limit_s - clock.read_time()
        body = await connection.read_body(
            max(left_s, MARGIN_S), MAX_ANSWER_BYTES
        )
        await passing.pass_whole(head, body)

    async def _refuse(
        self,
        connection: h1.ServerConnection,
        request: h1.Request,
        item: ticket.Ticket | None,
        err: errors.GatewayError,
    ) -> None:
        request_id = h1.find_header(request.headers, b"request-id")
        refusal = err.make_refusal()
        eliot.log_message(
            "request:refused",
            request=_name(request_id),
            code=err.code,
            status=refusal.status,
            reason=err.message,
            run=refusal.run,
            route=item.route.name if item else None,
        )
        if item is None:
            self._board.metrics.count(REQUESTS, "none", err.code)
        else:
            item.status = refusal.status
        status, headers, body = self._dialect.write_refusal(
            refusal, request_id
        )
        await connection.respond(status, headers, body)

    def _record(self, item: ticket.Ticket, code: str) -> None:
        now_s = clock.read_time()
        kind = item.route.kind.value
        metrics = self._board.metrics
        metrics.count(REQUESTS, kind, code)
        metrics.observe(DURATION, now_s - item.started_s, kind)
        first_ms = None
        if item.first_byte_s is not None:
            first_s = item.first_byte_s - item.started_s
            metrics.observe(FIRST_BYTE, first_s, kind)
            first_ms = round(first_s * 1000, 1)
        known = self._board.configuration
        eliot.log_message(
            "request:done",
            request=_name(item.call.request_id),
            outcome=code,
            status=item.status,
            route=item.route.name,
            workspace=item.workspace.name if item.workspace else None,
            endpoint=item.endpoint,
            sent=item.sent,
            ran=item.ran,
            events=item.events,
            tokens=item.most_tokens,
            spent=item.count_spent(_count_event_tokens(item)),
            first_ms=first_ms,
            ms=round((now_s - item.started_s) * 1000, 1),
            version=known.version if known else 0,
        )

    def _log_attempt(
        self, item: ticket.Ticket, target: Target, err: errors.GatewayError
    ) -> None:
        eliot.log_message(
            "attempt:failed",
            request=_name(item.call.request_id),
            endpoint=target.endpoint.name,
            code=err.code,
            reason=err.message,
            sent=item.sent,
        )


class Passing:
    """Pass an answer on to the client, from one endpoint or several."""

    def __init__(
        self, connection: h1.ServerConnection, item: ticket.Ticket
    ) -> None:
        self._connection = connection
        self._item = item
        self.reader = events.EventReader()
        self.started = False
        self.client_lost = False

    async def pass_whole(self, head: h1.Head, body: bytes) -> None:
        """Pass a whole answer on."""
        self._note_first(head)
        self.started = True
        await self._guard(
            self._connection.respond(head.status, head.headers, body)
        )

    async def pass_stream(
        self, head: h1.Head, connection: h1.ClientConnection
    ) -> None:
        """Pass events on as they arrive."""
        item = self._item
        self.reader.restart()
        while True:
            left_s = item.limit_s - clock.read_time()
            data = await connection.read_data(max(left_s, 0.0))
            if data is None:
                break
            whole = self.reader.feed(data)
            item.events = self.reader.count
            if whole:
                await self._write(head, whole)
        if self.reader.rest or not self.started:
            await self._write(head, self.reader.rest)
        await self._guard(self._connection.finish())

    async def _write(self, head: h1.Head, data: bytes) -> None:
        if not self.started:
            self._note_first(head)
            self.started = True
            await self._guard(self._connection.start(head, None))
        if data:
            await self._guard(self._connection.write(data))

    async def _guard(self, work: Awaitable[None]) -> None:
        try:
            await work
        except (transport_errors.TransportError, h11.LocalProtocolError):
            self.client_lost = True
            raise

    def _note_first(self, head: h1.Head) -> None:
        if self._item.first_byte_s is None:
            self._item.first_byte_s = clock.read_time()
            self._item.status = head.status


def _count_event_tokens(item: ticket.Ticket) -> int:
    engine = item.service.engine
    return engine.tokens_per_event if engine else 1


def _name(request_id: bytes | None) -> str | None:
    return None if request_id is None else request_id.decode("latin-1")


__all__ = (
    "AttemptLostError",
    "AttemptNotRunError",
    "Exchange",
    "Passing",
)
