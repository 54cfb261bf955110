"""Attempts of one request at its sidecars."""

from __future__ import annotations

import asyncio
import functools
import time
from typing import NamedTuple
from typing import Protocol

import msgspec

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import admission
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import dispatch
from cyclamenwing.entry import failures
from cyclamenwing.entry import follower
from cyclamenwing.request import attempts
from cyclamenwing.request import errors
from cyclamenwing.request import types
from cyclamenwing.routing import types as routing_types
from cyclamenwing.transport import protocol as transport

SILENCE_S = 3.0
CANCEL_TIMEOUT_S = 1.0
DEADLINE_GRACE_S = 1.0


class Permit(NamedTuple):
    """Allow one attempt; `charges` pay for it."""

    attempt: int
    charges: list[types.Charge]


class Ticket(Protocol):
    """Allow a request's attempts."""

    async def admit(self, candidate: routing_types.Candidate) -> Permit:
        """Allow an attempt at a sidecar; raise a coded error."""


class Task(NamedTuple):
    """Hold what an admitted request needs while it is served."""

    accepted: admission.Accepted
    job: routing_types.Job
    answer: follower.Follower
    progress: attempts.Progress


class Attempts:
    """Send a request to sidecars until one has answered it whole.

    :param board: the entry's state
    :param choice: choice of sidecars
    :param client: HTTP client
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        choice: dispatch.Dispatch,
        client: transport.Client,
    ) -> None:
        self._board = board
        self._dispatch = choice
        self._client = client
        self._controller = attempts.AttemptController()
        self._cancels: set[asyncio.Task[None]] = set()

    async def run(self, task: Task, ticket: Ticket) -> types.Outcome:
        """Run a request; the error's run state covers all attempts."""
        try:
            async with asyncio.timeout_at(
                task.job.deadline + DEADLINE_GRACE_S
            ):
                return await self._run(task, ticket)
        except TimeoutError as err:
            raise self._controller.conclude(
                task.progress, errors.DeadlineExceededError("out of time")
            ) from err
        except base_errors.CodedError as err:
            concluded = self._controller.conclude(task.progress, err)
            if concluded is err:
                raise
            raise concluded from err

    async def attach(
        self, task: Task, address: str, query: types.KeyQuery
    ) -> types.Outcome:
        """Follow a run that a sidecar has; raise a coded error."""
        body = msgspec.json.encode(query)
        progress = attempts.Progress(False, task.job.deadline)
        while True:
            offset = task.answer.offset
            stream = self._client.open_stream(
                "POST",
                f"http://{address}/v1/runs/attach?offset={offset}",
                {},
                body,
                SILENCE_S,
                True,
            )
            try:
                return await task.answer.follow(stream)
            except base_errors.CodedError as err:
                if task.answer.offset > offset:
                    self._controller.advance(progress)
                failure = failures.classify_failure(err)
                step = self._controller.decide(
                    progress, failure, time.monotonic()
                )
                self._note(
                    task, "attach_failed", next=step.kind, code=err.code
                )
                if step.kind != "resume":
                    raise
            await asyncio.sleep(step.delay_s)

    async def _run(self, task: Task, ticket: Ticket) -> types.Outcome:
        tried: list[str] = []
        while True:
            candidate = self._dispatch.choose(task.job, tried)
            tried.append(candidate.host)
            permit = await ticket.admit(candidate)
            self._controller.begin(task.progress)
            self._note(
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
            task.answer.restart()

    async def _try_candidate(
        self,
        task: Task,
        candidate: routing_types.Candidate,
        permit: Permit,
    ) -> types.Outcome | None:
        outcome: types.Outcome | None = None
        self._dispatch.note_start(task.job, candidate.host)
        task.answer.note_first = functools.partial(
            self._dispatch.note_first, task.job, candidate.host
        )
        try:
            outcome = await self._send_until_failed(task, candidate, permit)
        finally:
            self._dispatch.note_end(
                task.job, candidate.host, outcome is not None
            )
        return outcome

    async def _send_until_failed(
        self,
        task: Task,
        candidate: routing_types.Candidate,
        permit: Permit,
    ) -> types.Outcome | None:
        """Send and resume; None means to try elsewhere."""
        while True:
            before = task.answer.offset
            try:
                return await self._send(task, candidate, permit)
            except base_errors.CodedError as err:
                if task.answer.offset > before:
                    self._controller.advance(task.progress)
                step = self._decide(task, candidate, err)
            if step.error is not None:
                raise step.error
            if step.kind == "elsewhere":
                if task.progress.doubtful:
                    self._cancel(task, candidate)
                return None
            await asyncio.sleep(step.delay_s)

    async def _send(
        self,
        task: Task,
        candidate: routing_types.Candidate,
        permit: Permit,
    ) -> types.Outcome:
        order = admission.make_order(
            task.accepted,
            permit.charges,
            candidate.incarnation,
            permit.attempt,
            self._board.catalog.revision,
            task.job.deadline - time.monotonic(),
        )
        resumed = task.progress.received
        query = f"offset={task.answer.offset}&resumed={int(resumed)}"
        task.progress.sending = True
        stream = self._client.open_stream(
            "POST",
            f"http://{candidate.address}/v1/runs?{query}",
            {},
            msgspec.json.encode(order),
            SILENCE_S,
            # On a kept connection the library may send twice, and a failed
            # connect would not show that nothing was sent.
            True,
        )
        outcome = await task.answer.follow(stream)
        task.progress.sending = False
        return outcome

    def _decide(
        self,
        task: Task,
        candidate: routing_types.Candidate,
        error: base_errors.CodedError,
    ) -> attempts.Decision:
        task.progress.sending = False
        failure = failures.classify_failure(error)
        step = self._controller.decide(
            task.progress, failure, time.monotonic()
        )
        if error.code == "draining":
            self._dispatch.note_draining(candidate.host, candidate.incarnation)
        if error.code == "endpoint_crashed":
            self._dispatch.note_crash(task.job, candidate.host)
        self._note(
            task,
            "attempt_failed",
            sidecar=candidate.host,
            failure=failure.kind,
            next=step.kind,
            **error.describe(),
        )
        return step

    def _cancel(self, task: Task, candidate: routing_types.Candidate) -> None:
        """Ask a sidecar to end a run that nobody will follow."""
        made = asyncio.create_task(self._send_cancel(task, candidate))
        self._cancels.add(made)
        made.add_done_callback(self._cancels.discard)

    async def _send_cancel(
        self, task: Task, candidate: routing_types.Candidate
    ) -> None:
        try:
            await self._client.call(
                f"http://{candidate.address}/v1/runs/cancel",
                make_query(task.accepted, candidate.incarnation, 0),
                dict[str, bool],
                CANCEL_TIMEOUT_S,
            )
        except base_errors.CodedError as err:
            self._note(task, "cancel_failed", code=err.code)

    def _note(self, task: Task, step: str, **detail: object) -> None:
        self._board.journal.record(
            task.accepted.request, time.time(), step, **detail
        )


def make_query(
    accepted: admission.Accepted, incarnation: str, attempt: int
) -> types.KeyQuery:
    """Return the query for a request's run; attempt 0 bars none."""
    return {
        "key": accepted.key,
        "fingerprint": accepted.fingerprint,
        "incarnation": incarnation,
        "attempt": attempt,
    }


__all__ = (
    "Attempts",
    "Permit",
    "Task",
    "Ticket",
    "make_query",
)
