"""Answer of a request whose key was claimed before."""

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

# A claim's holder may be about to send; a younger claim is waited for.
HOLDER_GRACE_S = 1.0
POLL_S = 0.1
# Within a sidecar's retention, whatever the clocks differ by.
MAX_TAKEOVER_AGE_S = 300.0


class ClaimResolver:
    """Find out what became of a claimed request.

    :param held: claims in the store
    :param search: questions to sidecars
    :param course: attempts of requests
    """

    def __init__(
        self,
        held: claim_commits.ClaimCommitter,
        search: run_lookup.RunLookup,
        course: attempts.Attempts,
    ) -> None:
        self._claims = held
        self._finder = search
        self._attempts = course

    async def answer(
        self,
        task: attempts.RequestTask,
        claim: claims.Claim,
        sink: response_writers.ResponseWriter,
    ) -> int:
        """Answer from a claim; return an attempt that surely did not run.

        0 means that the caller has its answer.
        """
        if claim["fingerprint"] != task.accepted.fingerprint:
            raise errors.KeyReusedError("the key names another request")
        if claim["phase"] == "ended" and claim["body"] is not None:
            await sink.open(claim["status"], claim["headers"])
            await sink.write(claims.decode_body(claim["body"]))
            await sink.finish()
            return 0
        if claim["phase"] == "ended":
            return await self._attach(task, claim)
        return await self._resolve(task, claim)

    async def _resolve(
        self, task: attempts.RequestTask, claim: claims.Claim
    ) -> int:
        waited_until = time.monotonic() + HOLDER_GRACE_S
        while True:
            bars = time.monotonic() >= waited_until
            query = attempts.make_query(
                task.accepted,
                claim["place"]["incarnation"],
                claim["attempt"] if bars else 0,
            )
            try:
                reply = await self._finder.ask(
                    claim["place"]["address"], query
                )
            except base_errors.CodedError as err:
                raise _explain(claim) from err
            if reply["found"]:
                return await self._attach(task, claim)
            if reply["barred"] and _is_recent(claim):
                return claim["attempt"]
            if bars or reply["incarnation"] != claim["place"]["incarnation"]:
                raise _explain(claim)
            await asyncio.sleep(POLL_S)

    async def _attach(
        self, task: attempts.RequestTask, claim: claims.Claim
    ) -> int:
        query = attempts.make_query(
            task.accepted, claim["place"]["incarnation"], 0
        )
        try:
            await self._attempts.attach(task, claim["place"]["address"], query)
        except base_errors.CodedError as err:
            if err.run != "not_run":
                raise
            if claim["phase"] == "ended":
                raise errors.ExpiredAnswerError(
                    "the answer is no longer held", "ran"
                ) from err
            raise _explain(claim) from err
        return 0


def _explain(claim: claims.Claim) -> errors.OutcomeUnknownError:
    host = claim["place"]["host"]
    return errors.OutcomeUnknownError(
        f"attempt {claim['attempt']} at {host} may have run", "unknown"
    )


def _is_recent(claim: claims.Claim) -> bool:
    return abs(time.time() - claim["at"]) < MAX_TAKEOVER_AGE_S


__all__ = ("ClaimResolver",)
