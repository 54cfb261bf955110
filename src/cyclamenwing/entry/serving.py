"""Serving of admitted requests: reservation, attempts, settlement."""

from __future__ import annotations

import time
from collections.abc import Awaitable
from collections.abc import Callable

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import admission
from cyclamenwing.entry import answer_relay
from cyclamenwing.entry import attempts
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import claim_commits
from cyclamenwing.entry import claim_resolution
from cyclamenwing.entry import dispatch
from cyclamenwing.entry import failures
from cyclamenwing.entry import funding
from cyclamenwing.entry import permits
from cyclamenwing.entry import response_writers
from cyclamenwing.entry import run_lookup
from cyclamenwing.entry import settlement
from cyclamenwing.request import attempts as request_attempts
from cyclamenwing.request import claims
from cyclamenwing.request import errors
from cyclamenwing.routing import prefix
from cyclamenwing.routing import types as routing_types
from cyclamenwing.store import errors as store_errors
from cyclamenwing.transport import protocol as transport

MAX_CLAIM_ROUNDS = 5
LOOKUP_REPEAT_AFTER_S = 0.05


class Serving:
    """Serve admitted requests.

    :param board: the entry's state
    :param budgets: reservations and settlement
    :param dispatcher: queues jobs and chooses sidecars
    :param client: HTTP client
    :param claim_committer: commits claims to the store
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        budgets: funding.Funding,
        dispatcher: dispatch.Dispatch,
        client: transport.Client,
        claim_committer: claim_commits.ClaimCommitter,
    ) -> None:
        self._board = board
        self._budgets = budgets
        self._dispatch = dispatcher
        self._settlement = settlement.Settlement(board, budgets)
        self._claims = claim_committer
        self._run_lookup = run_lookup.RunLookup(board, client)
        self._attempts = attempts.Attempts(board, dispatcher, client)
        self._claim_resolver = claim_resolution.ClaimResolver(
            claim_committer, self._run_lookup, self._attempts
        )

    async def serve(
        self,
        admitted: admission.AdmittedRequest,
        writer: response_writers.ResponseWriter,
    ) -> None:
        """Run a request, relay its answer to the caller and bill it once."""
        with eliot.start_action(
            action_type="entry:request",
            request=admitted.request,
            workspace=admitted.workspace["name"],
            route=admitted.route["name"],
        ):
            await self._choose_method(admitted)(self, admitted, writer)

    def _choose_method(
        self, admitted: admission.AdmittedRequest
    ) -> ServeMethod:
        if not admitted.has_client_key:
            return Serving._serve_without_key
        if admitted.idempotent:
            return Serving._serve_idempotent
        return Serving._serve_with_claim

    async def _serve_without_key(
        self,
        admitted: admission.AdmittedRequest,
        writer: response_writers.ResponseWriter,
    ) -> None:
        task = self._make_task(admitted, writer)
        await self._run(
            task, permits.PaidPermitIssuer(admitted, self._budgets)
        )

    async def _serve_idempotent(
        self,
        admitted: admission.AdmittedRequest,
        writer: response_writers.ResponseWriter,
    ) -> None:
        task = self._make_task(admitted, writer)
        lookup = await self._run_lookup.find(admitted)
        if await self._attach(task, lookup):
            return
        try:
            await self._run(
                task, permits.PaidPermitIssuer(admitted, self._budgets)
            )
        except base_errors.CodedError as err:
            if err.run != "not_run" or lookup.complete:
                raise
            # A sidecar that the lookup did not reach may have run a request
            # with this key.
            unknown = errors.OutcomeUnknownError(err.message, "unknown")
            raise unknown from err

    async def _attach_after_wait(
        self, task: attempts.RequestTask, entered_at: float
    ) -> bool:
        """Look up the key again after a wait in the queue.

        Another entry may have run a request with the same key meanwhile.
        Return whether the answer of such a run was relayed.
        """
        admitted = task.admitted
        waited_s = time.monotonic() - entered_at
        if not admitted.has_client_key or waited_s < LOOKUP_REPEAT_AFTER_S:
            return False
        if not admitted.idempotent:
            return False
        return await self._attach(task, await self._run_lookup.find(admitted))

    async def _attach(
        self, task: attempts.RequestTask, lookup: run_lookup.LookupResult
    ) -> bool:
        """Relay the answer of a run that the lookup found.

        Return False if there is none or the request has to be run again.
        """
        if lookup.address is None:
            return False
        query = attempts.make_query(task.admitted, "", 0)
        self._record_step(task.admitted, "found", sidecar=lookup.address)
        try:
            await self._attempts.attach(task, lookup.address, query)
        except base_errors.CodedError as err:
            failure = failures.classify_failure(err)
            if failure.kind == "final" and err.code != "run_not_found":
                raise
            task.relay.restart()
            return False
        self._record_step(task.admitted, "attached", sidecar=lookup.address)
        return True

    async def _serve_with_claim(
        self,
        admitted: admission.AdmittedRequest,
        writer: response_writers.ResponseWriter,
    ) -> None:
        replaces = 0
        for _ in range(MAX_CLAIM_ROUNDS):
            recorder = response_writers.RecordingWriter(
                writer, claims.MAX_RECORDED_BYTES
            )
            task = self._make_task(admitted, recorder)
            permit_issuer = permits.ClaimPermitIssuer(
                admitted, self._budgets, self._claims, self._board, replaces
            )
            claim = await self._run_claimed(task, permit_issuer, replaces)
            if claim is None:
                self._record_outcome(admitted, permit_issuer.attempt, recorder)
                return
            self._record_step(admitted, "claimed_before", claim=claim)
            replaces = await self._claim_resolver.resolve(
                task, claim, recorder
            )
            if not replaces:
                if claim["phase"] == "claimed":
                    self._record_outcome(admitted, claim["attempt"], recorder)
                return
        raise errors.OutcomeUnknownError(
            "other attempts keep claiming the idempotency key",
            "unknown",
        )

    async def _run_claimed(
        self,
        task: attempts.RequestTask,
        permit_issuer: permits.ClaimPermitIssuer,
        replaces: int,
    ) -> claims.Claim | None:
        """Run under a claim; return another claim that prevents the run."""
        try:
            await self._run(task, permit_issuer)
        except permits.ClaimedError as err:
            return err.claim
        except base_errors.CodedError as err:
            if err.run != "not_run":
                raise
            if await self._attach_without_store(task, err):
                return None
            conflicting = await self._find_conflicting_claim(task, replaces)
            if conflicting is None:
                raise
            return conflicting
        return None

    async def _attach_without_store(
        self, task: attempts.RequestTask, error: base_errors.CodedError
    ) -> bool:
        """Relay the run of a repeated key while the store is down.

        Return False if the error is not the store's or no run is found.
        """
        if not isinstance(error, store_errors.StoreError):
            return False
        return await self._attach(
            task, await self._run_lookup.find(task.admitted)
        )

    async def _find_conflicting_claim(
        self, task: attempts.RequestTask, replaces: int
    ) -> claims.Claim | None:
        """Return the key's claim by another attempt, which may have run.

        The error of this request must then not say that nothing ran.
        """
        try:
            claim = await self._claims.find(task.admitted.key)
        except base_errors.CodedError:
            return None
        if claim is None or claim["phase"] == "not_run":
            return None
        return None if claim["attempt"] == replaces else claim

    def _record_outcome(
        self,
        admitted: admission.AdmittedRequest,
        attempt: int,
        recorder: response_writers.RecordingWriter,
    ) -> None:
        if not attempt:
            return
        self._claims.record({
            "op": "end",
            "key": admitted.key,
            "attempt": attempt,
            "status": recorder.status,
            "headers": recorder.headers,
            "body": claims.encode_body(recorder.body),
        })

    async def _run(
        self,
        task: attempts.RequestTask,
        permit_issuer: permits.PaidPermitIssuer,
    ) -> None:
        admitted = task.admitted
        entered_at = time.monotonic()
        await self._dispatch.admit(task.job)
        try:
            if await self._attach_after_wait(task, entered_at):
                return
            outcome = await self._attempts.run(task, permit_issuer)
        except base_errors.CodedError as err:
            self._record_step(admitted, "failed", **err.describe())
            self._settlement.settle_failed(task, permit_issuer, err)
            if err.run == "not_run":
                await self._withdraw_claim(permit_issuer, err)
            raise
        finally:
            self._dispatch.finish(task.job)
        self._settlement.settle(task, permit_issuer, outcome)

    async def _withdraw_claim(
        self,
        permit_issuer: permits.PaidPermitIssuer,
        error: base_errors.CodedError,
    ) -> None:
        """Withdraw the claim of a request that is refused as not run.

        :raises ClaimedError: if another attempt has taken over the key
        :raises OutcomeUnknownError: if the store can't record it
        """
        if isinstance(error, permits.ClaimedError):
            return
        try:
            await permit_issuer.withdraw()
        except permits.ClaimedError:
            raise
        except base_errors.CodedError as err:
            raise errors.OutcomeUnknownError(err.message, "unknown") from error

    def _make_task(
        self,
        admitted: admission.AdmittedRequest,
        writer: response_writers.ResponseWriter,
    ) -> attempts.RequestTask:
        job = self._make_job(admitted)
        buffer_bytes = (
            0 if admitted.stream else response_writers.MAX_BUFFER_BYTES
        )
        relay = answer_relay.AnswerRelay(
            response_writers.BufferedWriter(writer, buffer_bytes)
        )
        progress = request_attempts.Progress(admitted.idempotent, job.deadline)
        return attempts.RequestTask(admitted, job, relay, progress)

    def _make_job(
        self, admitted: admission.AdmittedRequest
    ) -> routing_types.Job:
        # Each submission of an idempotency key is a job of its own.
        return routing_types.Job(
            admitted.submission,
            admitted.workspace["name"],
            admitted.route["name"],
            admitted.route.get("priority", "interactive"),
            _digest_prompt(admitted),
            time.monotonic() + admitted.timeout_s,
            admitted.fingerprint,
            max([need.amount for need in admitted.needs], default=1),
        )

    def _record_step(
        self, admitted: admission.AdmittedRequest, step: str, **detail: object
    ) -> None:
        self._board.journal.record(
            admitted.request, time.time(), step, **detail
        )


def _digest_prompt(admitted: admission.AdmittedRequest) -> tuple[int, ...]:
    if admitted.route["protocol"] != "chat":
        return ()
    return prefix.digest_chat(admitted.caller.body)


ServeMethod = Callable[
    [Serving, admission.AdmittedRequest, response_writers.ResponseWriter],
    Awaitable[None],
]

__all__ = ("Serving",)
