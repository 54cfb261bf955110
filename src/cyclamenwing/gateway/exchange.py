"""One request's way: admit, reserve, choose, send, pass on, settle."""

from __future__ import annotations

import eliot

from cyclamenwing.gateway import admission
from cyclamenwing.gateway import attempts
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import funds
from cyclamenwing.gateway import passing
from cyclamenwing.gateway import suspects
from cyclamenwing.gateway import ticket
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.transport import h1

# Endpoints that are tried although each one says that it ran nothing.
MAX_TRIES = 4
REQUESTS = metric_types.Counter(
    "gateway_requests", "Requests by route kind and outcome", ("kind", "code")
)
FIRST_BYTE = metric_types.Timer(
    "gateway_first_byte", "Time to the first byte of an answer", ("kind",)
)
DURATION = metric_types.Timer(
    "gateway_duration", "Time to the end of an answer", ("kind",)
)


class Exchange:
    """Serve clients' requests."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        dialect: calls.Dialect,
        funding: funds.Funds,
        found: suspects.Suspects,
        tries: attempts.Attempts,
    ) -> None:
        self._board = board
        self._dialect = dialect
        self._funds = funding
        self._suspects = found
        self._attempts = tries

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
        answer = passing.Passing(connection, item)
        code = "cancelled"
        try:
            self._suspects.check(item)
            await self._reserve(item)
            item.reserved_s = clock.read_time()
            try:
                await self._try_endpoints(item, answer)
                code = "passed"
            finally:
                self._settle(item)
        except errors.GatewayError as err:
            code = err.code
            if answer.started:
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
        self, item: ticket.Ticket, answer: passing.Passing
    ) -> None:
        allowance = self._board.allowance
        allowance.record_request(item.service.name, clock.read_time())
        last: errors.GatewayError | None = None
        for tries in range(MAX_TRIES):
            self._check_time(item, last)
            if tries and item.sent and not self._allow_repeat(item):
                break
            target = self._attempts.choose(item)
            if target is None:
                break
            may_leave = item.sent + 1 < item.route.attempts
            try:
                await self._attempts.run(item, answer, target, may_leave)
                return
            except attempts.AttemptNotRunError as err:
                last = err
            except attempts.AttemptLostError as err:
                last = err
                if not self._may_run_again(item, answer):
                    break
            finally:
                self._board.placement.end(target.endpoint, target.job)
            self._log_attempt(item, target, last)
            item.excluded.add(target.endpoint.name)
        raise self._conclude(item, last)

    def _check_time(
        self, item: ticket.Ticket, last: errors.GatewayError | None
    ) -> None:
        if clock.read_time() + attempts.MARGIN_S >= item.limit_s:
            if item.ran:
                raise errors.AnswerLateError("no answer in time", "unknown")
            raise errors.DeadlineError(f"deadline passed after {last}")

    def _allow_repeat(self, item: ticket.Ticket) -> bool:
        now_s = clock.read_time()
        return self._board.allowance.try_acquire(
            item.service.name, self._board.count_entries(now_s), now_s
        )

    def _may_run_again(
        self, item: ticket.Ticket, answer: passing.Passing
    ) -> bool:
        if item.sent >= item.route.attempts:
            return False
        if item.route.resumable:
            return not answer.started or answer.reader.last_id is not None
        return item.route.repeatable and not answer.started

    def _conclude(
        self, item: ticket.Ticket, last: errors.GatewayError | None
    ) -> errors.GatewayError:
        if item.ran:
            if clock.read_time() + attempts.MARGIN_S >= item.limit_s:
                return errors.AnswerLateError("no answer in time", "unknown")
            return errors.AnswerLostError(
                last.message if last else "", "unknown"
            )
        if last is None:
            return errors.NoEndpointError(item.service.name)
        return errors.OverloadedError(last.message)

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
            request=attempts.name_request(request_id),
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
        if item.first_byte_s is not None:
            metrics.observe(
                FIRST_BYTE, item.first_byte_s - item.started_s, kind
            )
        known = self._board.configuration
        eliot.log_message(
            "request:done",
            request=attempts.name_request(item.call.request_id),
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
            reserved_ms=_measure_ms(item, item.reserved_s),
            first_ms=_measure_ms(item, item.first_byte_s),
            ms=round((now_s - item.started_s) * 1000, 1),
            version=known.version if known else 0,
        )

    def _log_attempt(
        self,
        item: ticket.Ticket,
        target: attempts.Target,
        err: errors.GatewayError,
    ) -> None:
        eliot.log_message(
            "attempt:failed",
            request=attempts.name_request(item.call.request_id),
            endpoint=target.endpoint.name,
            code=err.code,
            reason=err.message,
            sent=item.sent,
        )


def _measure_ms(item: ticket.Ticket, time_s: float | None) -> float | None:
    if time_s is None:
        return None
    return round((time_s - item.started_s) * 1000, 1)


def _count_event_tokens(item: ticket.Ticket) -> int:
    engine = item.service.engine
    return engine.tokens_per_event if engine else 1


__all__ = ("Exchange",)
