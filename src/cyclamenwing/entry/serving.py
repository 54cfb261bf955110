"""Service of an admitted request: reservation, attempts, settlement."""

from __future__ import annotations

import time
from collections.abc import Awaitable
from collections.abc import Callable

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import admission
from cyclamenwing.entry import attempts
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import claimed
from cyclamenwing.entry import claims as entry_claims
from cyclamenwing.entry import dispatch
from cyclamenwing.entry import failures
from cyclamenwing.entry import finder
from cyclamenwing.entry import follower
from cyclamenwing.entry import funding
from cyclamenwing.entry import settlement
from cyclamenwing.entry import sinks
from cyclamenwing.entry import tickets
from cyclamenwing.request import attempts as request_attempts
from cyclamenwing.request import claims
from cyclamenwing.request import errors
from cyclamenwing.routing import prefix
from cyclamenwing.routing import types as routing_types
from cyclamenwing.store import errors as store_errors
from cyclamenwing.transport import protocol as transport

MAX_CLAIM_ROUNDS = 5
FIND_AGAIN_AFTER_S = 0.05


class Serving:
    """Serve admitted requests.

    :param board: the entry's state
    :param money: reservations and settlement
    :param choice: choice of sidecars
    :param client: HTTP client
    :param held: claims in the store
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        money: funding.Funding,
        choice: dispatch.Dispatch,
        client: transport.Client,
        held: entry_claims.Claims,
    ) -> None:
        self._board = board
        self._money = money
        self._dispatch = choice
        self._settlement = settlement.Settlement(board, money)
        self._claims = held
        self._finder = finder.Finder(board, client)
        self._attempts = attempts.Attempts(board, choice, client)
        self._claimed = claimed.ClaimFollower(
            held, self._finder, self._attempts
        )

    async def serve(
        self, accepted: admission.Accepted, sink: sinks.Sink
    ) -> None:
        """Run a request and pass its whole answer on, billed once."""
        with eliot.start_action(
            action_type="entry:request",
            request=accepted.request,
            workspace=accepted.workspace["name"],
            route=accepted.route["name"],
        ):
            await self._pick_way(accepted)(self, accepted, sink)

    def _pick_way(self, accepted: admission.Accepted) -> Way:
        if not accepted.keyed:
            return Serving._serve_fresh
        if accepted.idempotent:
            return Serving._serve_keyed
        return Serving._serve_claimed

    async def _serve_fresh(
        self, accepted: admission.Accepted, sink: sinks.Sink
    ) -> None:
        task = self._make_task(accepted, sink)
        await self._run(task, tickets.PaidTicket(accepted, self._money))

    async def _serve_keyed(
        self, accepted: admission.Accepted, sink: sinks.Sink
    ) -> None:
        task = self._make_task(accepted, sink)
        search = await self._finder.find(accepted)
        if await self._attach(task, search):
            return
        try:
            await self._run(task, tickets.PaidTicket(accepted, self._money))
        except base_errors.CodedError as err:
            if err.run != "not_run" or search.whole:
                raise
            # An endpoint out of reach may have run the key before.
            made = errors.OutcomeUnknownError(err.message, "unknown")
            raise made from err

    async def _attach_after_wait(
        self, task: attempts.Task, entered_at: float
    ) -> bool:
        """Look again for a key that another entry may have run meanwhile."""
        accepted = task.accepted
        waited_s = time.monotonic() - entered_at
        if not accepted.keyed or waited_s < FIND_AGAIN_AFTER_S:
            return False
        if not accepted.idempotent:
            return False
        return await self._attach(task, await self._finder.find(accepted))

    async def _attach(
        self, task: attempts.Task, search: finder.Search
    ) -> bool:
        """Follow a run that was found; False means to run it anew."""
        if search.address is None:
            return False
        query = attempts.make_query(task.accepted, "", 0)
        self._note(task.accepted, "found", sidecar=search.address)
        try:
            await self._attempts.attach(task, search.address, query)
        except base_errors.CodedError as err:
            failure = failures.classify_failure(err)
            if failure.kind == "final" and err.code != "run_not_found":
                raise
            task.answer.restart()
            return False
        self._note(task.accepted, "attached", sidecar=search.address)
        return True

    async def _serve_claimed(
        self, accepted: admission.Accepted, sink: sinks.Sink
    ) -> None:
        replaces = 0
        for _ in range(MAX_CLAIM_ROUNDS):
            copy = sinks.RecordingSink(sink, claims.MAX_RECORDED_BYTES)
            task = self._make_task(accepted, copy)
            ticket = tickets.ClaimTicket(
                accepted, self._money, self._claims, self._board, replaces
            )
            claim = await self._run_claimed(task, ticket, replaces)
            if claim is None:
                self._record(accepted, ticket.attempt, copy)
                return
            self._note(accepted, "claimed_before", claim=claim)
            replaces = await self._claimed.answer(task, claim, copy)
            if not replaces:
                if claim["phase"] == "claimed":
                    self._record(accepted, claim["attempt"], copy)
                return
        raise errors.OutcomeUnknownError("the claim keeps moving", "unknown")

    async def _run_claimed(
        self,
        task: attempts.Task,
        ticket: tickets.ClaimTicket,
        replaces: int,
    ) -> claims.Claim | None:
        """Run under a claim; return an earlier one that hinders it."""
        try:
            await self._run(task, ticket)
        except tickets.ClaimedError as err:
            return err.claim
        except base_errors.CodedError as err:
            if err.run != "not_run":
                raise
            if await self._attach_without_store(task, err):
                return None
            found = await self._find_earlier(task, replaces)
            if found is None:
                raise
            return found
        return None

    async def _attach_without_store(
        self, task: attempts.Task, error: base_errors.CodedError
    ) -> bool:
        """Answer a repeated key from its sidecar while the store is down."""
        if not isinstance(error, store_errors.StoreError):
            return False
        return await self._attach(task, await self._finder.find(task.accepted))

    async def _find_earlier(
        self, task: attempts.Task, replaces: int
    ) -> claims.Claim | None:
        """Return a claim that makes "not run" untrue, if there is one."""
        try:
            claim = await self._claims.find(task.accepted.key)
        except base_errors.CodedError:
            return None
        if claim is None or claim["phase"] == "not_run":
            return None
        return None if claim["attempt"] == replaces else claim

    def _record(
        self,
        accepted: admission.Accepted,
        attempt: int,
        copy: sinks.RecordingSink,
    ) -> None:
        if not attempt:
            return
        self._claims.record({
            "op": "end",
            "key": accepted.key,
            "attempt": attempt,
            "status": copy.status,
            "headers": copy.headers,
            "body": claims.encode_body(copy.body),
        })

    async def _run(
        self, task: attempts.Task, ticket: tickets.PaidTicket
    ) -> None:
        accepted = task.accepted
        entered_at = time.monotonic()
        await self._dispatch.enter(task.job)
        try:
            if await self._attach_after_wait(task, entered_at):
                return
            outcome = await self._attempts.run(task, ticket)
        except base_errors.CodedError as err:
            self._note(accepted, "failed", **err.describe())
            self._settlement.settle_failed(task, ticket, err)
            if err.run == "not_run":
                await self._withdraw(ticket, err)
            raise
        finally:
            self._dispatch.leave(task.job)
        self._settlement.settle(task, ticket, outcome)

    async def _withdraw(
        self, ticket: tickets.PaidTicket, error: base_errors.CodedError
    ) -> None:
        """Give the claim back, so that "not run" stays true."""
        if isinstance(error, tickets.ClaimedError):
            return
        try:
            await ticket.withdraw()
        except tickets.ClaimedError:
            raise
        except base_errors.CodedError as err:
            raise errors.OutcomeUnknownError(err.message, "unknown") from error

    def _make_task(
        self, accepted: admission.Accepted, sink: sinks.Sink
    ) -> attempts.Task:
        job = self._make_job(accepted)
        hold_bytes = 0 if accepted.stream else sinks.HOLD_BYTES
        answer = follower.Follower(sinks.HeldSink(sink, hold_bytes))
        progress = request_attempts.Progress(accepted.idempotent, job.deadline)
        return attempts.Task(accepted, job, answer, progress)

    def _make_job(self, accepted: admission.Accepted) -> routing_types.Job:
        # Two submissions of one key are two jobs.
        return routing_types.Job(
            accepted.submission,
            accepted.workspace["name"],
            accepted.route["name"],
            accepted.route.get("priority", "interactive"),
            _digest_prompt(accepted),
            time.monotonic() + accepted.timeout_s,
            accepted.fingerprint,
            max([need.amount for need in accepted.needs], default=1),
        )

    def _note(
        self, accepted: admission.Accepted, step: str, **detail: object
    ) -> None:
        self._board.journal.record(
            accepted.request, time.time(), step, **detail
        )


def _digest_prompt(accepted: admission.Accepted) -> tuple[int, ...]:
    if accepted.route["protocol"] != "chat":
        return ()
    return prefix.digest_chat(accepted.caller.body)


Way = Callable[[Serving, admission.Accepted, sinks.Sink], Awaitable[None]]

__all__ = ("Serving",)
