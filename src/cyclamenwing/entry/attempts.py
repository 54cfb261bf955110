"""Attempts to run a request at sidecars."""

from __future__ import annotations

import asyncio
import functools
import time
from typing import NamedTuple
from typing import Protocol

import msgspec

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import admission
from cyclamenwing.entry import answer_relay
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import dispatch
from cyclamenwing.entry import failures
from cyclamenwing.request import attempts
from cyclamenwing.request import errors
from cyclamenwing.request import types
from cyclamenwing.routing import types as routing_types
from cyclamenwing.transport import protocol as transport

STREAM_IDLE_TIMEOUT_S = 3.0
CANCEL_TIMEOUT_S = 1.0
DEADLINE_GRACE_S = 1.0


class Permit(NamedTuple):
    """Permit one attempt; `charges` name the reservations that pay."""

    attempt: int
    charges: list[types.Charge]


class PermitIssuer(Protocol):
    """Issue the permits for a request's attempts."""

    async def issue(self, candidate: routing_types.Candidate) -> Permit:
        """Return a permit for an attempt at a sidecar; raise a coded error."""


class RequestTask(NamedTuple):
    """Hold an admitted request, its job, its relay and its progress."""

    admitted: admission.AdmittedRequest
    job: routing_types.Job
    relay: answer_relay.AnswerRelay
    progress: attempts.Progress


class Attempts:
    """Send a request to sidecars until one has answered it completely.

    :param board: the entry's state
    :param dispatcher: chooses sidecars
    :param client: HTTP client
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        dispatcher: dispatch.Dispatch,
        client: transport.Client,
    ) -> None:
        self._board = board
        self._dispatch = dispatcher
        self._client = client
        self._controller = attempts.AttemptController()
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, task: RequestTask, permit_issuer: PermitIssuer
    ) -> types.Outcome:
        """Run a request and return its outcome.

        The run state of a raised error covers all attempts.
        """
        try:
            async with asyncio.timeout_at(
                task.job.deadline + DEADLINE_GRACE_S
            ):
                return await self._run(task, permit_issuer)
        except TimeoutError as err:
            raise self._controller.conclude(
                task.progress,
                errors.DeadlineExceededError(
                    "the request's deadline has passed"
                ),
            ) from err
        except base_errors.CodedError as err:
            concluded = self._controller.conclude(task.progress, err)
            if concluded is err:
                raise
            raise concluded from err

    async def attach(
        self, task: RequestTask, address: str, query: types.KeyQuery
    ) -> types.Outcome:
        """Relay the answer of an existing run; raise a coded error.

        :param address: address of the sidecar that has the run
        """
        body = msgspec.json.encode(query)
        progress = attempts.Progress(False, task.job.deadline)
        while True:
            offset = task.relay.offset
            stream = self._client.open_stream(
                "POST",
                f"http://{address}/v1/runs/attach?offset={offset}",
                {},
                body,
                STREAM_IDLE_TIMEOUT_S,
                True,
            )
            try:
                return await task.relay.relay(stream)
            except base_errors.CodedError as err:
                if task.relay.offset > offset:
                    self._controller.advance(progress)
                failure = failures.classify_failure(err)
                decision = self._controller.decide(
                    progress, failure, time.monotonic()
                )
                self._record_step(
                    task, "attach_failed", next=decision.kind, code=err.code
                )
                if decision.kind != "resume":
                    raise
            await asyncio.sleep(decision.delay_s)

    async def _run(
        self, task: RequestTask, permit_issuer: PermitIssuer
    ) -> types.Outcome:
        tried_hosts: list[str] = []
        while True:
            candidate = self._dispatch.choose(task.job, tried_hosts)
            tried_hosts.append(candidate.host)
            permit = await permit_issuer.issue(candidate)
            self._controller.begin(task.progress)
            self._record_step(
                task,
                "attempt",
                sidecar=candidate.host,
                attempt=permit.attempt,
                charges=permit.charges,
            )
            outcome = await self._try_candidate(task, candidate, permit)
            if outcome is not None:
                return outcome
            await self._dispatch.retry(task.job, task.progress.attempts + 1)
            task.relay.restart()

    async def _try_candidate(
        self,
        task: RequestTask,
        candidate: routing_types.Candidate,
        permit: Permit,
    ) -> types.Outcome | None:
        outcome: types.Outcome | None = None
        self._dispatch.record_start(task.job, candidate.host)
        task.relay.on_first_bytes = functools.partial(
            self._dispatch.record_first_bytes, task.job, candidate.host
        )
        try:
            outcome = await self._send_until_failed(task, candidate, permit)
        finally:
            self._dispatch.record_end(
                task.job, candidate.host, outcome is not None
            )
        return outcome

    async def _send_until_failed(
        self,
        task: RequestTask,
        candidate: routing_types.Candidate,
        permit: Permit,
    ) -> types.Outcome | None:
        """Send an order and resume its stream after failures.

        Return None if another sidecar is to be tried.
        """
        while True:
            start_offset = task.relay.offset
            try:
                return await self._send(task, candidate, permit)
            except base_errors.CodedError as err:
                if task.relay.offset > start_offset:
                    self._controller.advance(task.progress)
                decision = self._decide(task, candidate, err)
            if decision.error is not None:
                raise decision.error
            if decision.kind == "elsewhere":
                if task.progress.doubtful:
                    self._cancel(task, candidate)
                return None
            await asyncio.sleep(decision.delay_s)

    async def _send(
        self,
        task: RequestTask,
        candidate: routing_types.Candidate,
        permit: Permit,
    ) -> types.Outcome:
        order = admission.make_order(
            task.admitted,
            permit.charges,
            candidate.incarnation,
            permit.attempt,
            self._board.catalog.revision,
            task.job.deadline - time.monotonic(),
        )
        resumed = task.progress.received
        query = f"offset={task.relay.offset}&resumed={int(resumed)}"
        task.progress.sending = True
        stream = self._client.open_stream(
            "POST",
            f"http://{candidate.address}/v1/runs?{query}",
            {},
            msgspec.json.encode(order),
            STREAM_IDLE_TIMEOUT_S,
            # Use a new connection: on a reused one the HTTP library may
            # send the order twice, and a failed connect would not prove
            # that nothing was sent.
            True,
        )
        outcome = await task.relay.relay(stream)
        task.progress.sending = False
        return outcome

    def _decide(
        self,
        task: RequestTask,
        candidate: routing_types.Candidate,
        error: base_errors.CodedError,
    ) -> attempts.Decision:
        task.progress.sending = False
        failure = failures.classify_failure(error)
        decision = self._controller.decide(
            task.progress, failure, time.monotonic()
        )
        if error.code == "draining":
            self._dispatch.record_draining(
                candidate.host, candidate.incarnation
            )
        if error.code == "endpoint_crashed":
            self._dispatch.record_crash(task.job, candidate.host)
        self._record_step(
            task,
            "attempt_failed",
            sidecar=candidate.host,
            failure=failure.kind,
            next=decision.kind,
            **error.describe(),
        )
        return decision

    def _cancel(
        self, task: RequestTask, candidate: routing_types.Candidate
    ) -> None:
        """Ask a sidecar to cancel a run whose answer is no longer needed."""
        cancel_task = asyncio.create_task(self._send_cancel(task, candidate))
        self._cancel_tasks.add(cancel_task)
        cancel_task.add_done_callback(self._cancel_tasks.discard)

    async def _send_cancel(
        self, task: RequestTask, candidate: routing_types.Candidate
    ) -> None:
        try:
            await self._client.call(
                f"http://{candidate.address}/v1/runs/cancel",
                make_query(task.admitted, candidate.incarnation, 0),
                dict[str, bool],
                CANCEL_TIMEOUT_S,
            )
        except base_errors.CodedError as err:
            self._record_step(task, "cancel_failed", code=err.code)

    def _record_step(
        self, task: RequestTask, step: str, **detail: object
    ) -> None:
        self._board.journal.record(
            task.admitted.request, time.time(), step, **detail
        )


def make_query(
    admitted: admission.AdmittedRequest, incarnation: str, attempt: int
) -> types.KeyQuery:
    """Return the query for a request's run.

    :param attempt: the sidecar fences attempts up to this one if it has no
        run of the key; 0 fences none
    """
    return {
        "key": admitted.key,
        "fingerprint": admitted.fingerprint,
        "incarnation": incarnation,
        "attempt": attempt,
    }


__all__ = (
    "Attempts",
    "Permit",
    "PermitIssuer",
    "RequestTask",
    "make_query",
)
