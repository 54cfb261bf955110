"""Answers for requests whose idempotency key is already claimed."""

from __future__ import annotations

import asyncio
import time

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import attempts
from cyclamenwing.entry import claim_commits
from cyclamenwing.entry import response_writers
from cyclamenwing.entry import run_lookup
from cyclamenwing.request import claims
from cyclamenwing.request import errors

# The entry that holds a claim may be about to send the order, so the
# attempt is not fenced before this time has passed.
CLAIM_HOLDER_GRACE_S = 1.0
POLL_INTERVAL_S = 0.1
# Shorter than the sidecars' retention of runs, with a margin for clock skew.
MAX_TAKEOVER_AGE_S = 300.0


class ClaimResolver:
    """Find the outcome of a claimed request.

    :param claim_committer: commits claims to the store
    :param lookup: queries sidecars for runs
    :param request_attempts: attaches to runs at sidecars
    """

    def __init__(
        self,
        claim_committer: claim_commits.ClaimCommitter,
        lookup: run_lookup.RunLookup,
        request_attempts: attempts.Attempts,
    ) -> None:
        self._claims = claim_committer
        self._run_lookup = lookup
        self._attempts = request_attempts

    async def resolve(
        self,
        task: attempts.RequestTask,
        claim: claims.Claim,
        writer: response_writers.ResponseWriter,
    ) -> int:
        """Answer from a claim; return the attempt known not to have run.

        Return 0 if the caller has its answer.

        :raises KeyReusedError: if the key belongs to another request
        :raises OutcomeUnknownError: if the attempt may have run
        :raises ExpiredAnswerError: if the run's answer is no longer held
        """
        if claim["fingerprint"] != task.admitted.fingerprint:
            raise errors.KeyReusedError(
                "the idempotency key was used for another request"
            )
        if claim["phase"] == "ended" and claim["body"] is not None:
            await writer.open(claim["status"], claim["headers"])
            await writer.write(claims.decode_body(claim["body"]))
            await writer.finish()
            return 0
        if claim["phase"] == "ended":
            return await self._attach(task, claim)
        return await self._resolve_unfinished(task, claim)

    async def _resolve_unfinished(
        self, task: attempts.RequestTask, claim: claims.Claim
    ) -> int:
        grace_ends_at = time.monotonic() + CLAIM_HOLDER_GRACE_S
        while True:
            fencing = time.monotonic() >= grace_ends_at
            query = attempts.make_query(
                task.admitted,
                claim["place"]["incarnation"],
                claim["attempt"] if fencing else 0,
            )
            try:
                reply = await self._run_lookup.query_sidecar(
                    claim["place"]["address"], query
                )
            except base_errors.CodedError as err:
                raise _make_unknown_error(claim) from err
            if reply["found"]:
                return await self._attach(task, claim)
            if reply["barred"] and _is_recent(claim):
                return claim["attempt"]
            if (
                fencing
                or reply["incarnation"] != claim["place"]["incarnation"]
            ):
                raise _make_unknown_error(claim)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _attach(
        self, task: attempts.RequestTask, claim: claims.Claim
    ) -> int:
        query = attempts.make_query(
            task.admitted, claim["place"]["incarnation"], 0
        )
        try:
            await self._attempts.attach(task, claim["place"]["address"], query)
        except base_errors.CodedError as err:
            if err.run != "not_run":
                raise
            if claim["phase"] == "ended":
                raise errors.ExpiredAnswerError(
                    "the sidecar no longer holds the answer", "ran"
                ) from err
            raise _make_unknown_error(claim) from err
        return 0


def _make_unknown_error(claim: claims.Claim) -> errors.OutcomeUnknownError:
    host = claim["place"]["host"]
    return errors.OutcomeUnknownError(
        f"attempt {claim['attempt']} on host {host} may have run", "unknown"
    )


def _is_recent(claim: claims.Claim) -> bool:
    return abs(time.time() - claim["at"]) < MAX_TAKEOVER_AGE_S


__all__ = ("ClaimResolver",)
