"""Permits for attempts: reservations and idempotency-key claims."""

from __future__ import annotations

import asyncio

from cyclamenwing.budget import types as budget_types
from cyclamenwing.entry import admission
from cyclamenwing.entry import attempts
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import claim_commits
from cyclamenwing.entry import funding
from cyclamenwing.request import claims
from cyclamenwing.request import errors
from cyclamenwing.request import types
from cyclamenwing.routing import types as routing_types


class ClaimedError(errors.RequestError):
    """Report an idempotency key that another attempt has claimed.

    :param claim: the claim that the store holds
    """

    code = "claimed"
    status = 409

    def __init__(self, claim: claims.Claim) -> None:
        super().__init__("the idempotency key is claimed by another attempt")
        self.claim = claim


class PaidPermitIssuer:
    """Issue permits that share one set of reservations.

    :param admitted: the admitted request
    :param budgets: reservations and settlement
    """

    def __init__(
        self, admitted: admission.AdmittedRequest, budgets: funding.Funding
    ) -> None:
        self._admitted = admitted
        self._budgets = budgets
        self._attempt = 0
        self.reservations: list[budget_types.Reservation] | None = None

    @property
    def charges(self) -> list[types.Charge]:
        """Return the reservations in the form that run orders carry."""
        return [_make_charge(item) for item in self.reservations or []]

    async def issue(
        self, candidate: routing_types.Candidate
    ) -> attempts.Permit:
        """Return a permit; raise a coded error of the budget."""
        await self.reserve()
        self._attempt += 1
        return attempts.Permit(self._attempt, self.charges)

    async def reserve(self) -> None:
        """Make the reservations unless they exist already.

        :raises BudgetError: if the units can't be reserved
        """
        if self.reservations is not None:
            return
        reserving = asyncio.create_task(self._budgets.reserve(self._admitted))
        try:
            self.reservations = await asyncio.shield(reserving)
        except asyncio.CancelledError:
            # The request has timed out; release the reservations as soon
            # as they are made.
            reserving.add_done_callback(self._release_late)
            raise

    def _release_late(
        self, reserving: asyncio.Task[list[budget_types.Reservation]]
    ) -> None:
        if not reserving.cancelled() and reserving.exception() is None:
            self._budgets.release(reserving.result())

    async def withdraw(self) -> None:
        """Do nothing; there is no claim to withdraw."""


class ClaimPermitIssuer(PaidPermitIssuer):
    """Issue permits after claiming the key for a sidecar in the store.

    :param admitted: the admitted request
    :param budgets: reservations and settlement
    :param claim_committer: commits claims to the store
    :param board: the entry's state
    :param replaces: number of the attempt known not to have run, or 0
    """

    def __init__(
        self,
        admitted: admission.AdmittedRequest,
        budgets: funding.Funding,
        claim_committer: claim_commits.ClaimCommitter,
        board: blackboard.EntryBoard,
        replaces: int,
    ) -> None:
        super().__init__(admitted, budgets)
        self._claims = claim_committer
        self._board = board
        self._replaces = replaces
        self.attempt = 0

    async def issue(
        self, candidate: routing_types.Candidate
    ) -> attempts.Permit:
        """Claim the key for a sidecar and return a permit.

        :raises ClaimedError: if another attempt has claimed the key
        :raises ClaimsFullError: if the claim shard is full
        """
        result = await self._claims.submit({
            "op": "take",
            "key": self._admitted.key,
            "request": self._admitted.request,
            "fingerprint": self._admitted.fingerprint,
            "session": self._board.session,
            "place": {
                "host": candidate.host,
                "address": candidate.address,
                "incarnation": candidate.incarnation,
            },
            "replaces": self.attempt or self._replaces,
        })
        if result.claim is None:
            raise errors.ClaimsFullError("the claim shard of this key is full")
        if not result.applied:
            raise ClaimedError(result.claim)
        self.attempt = result.claim["attempt"]
        await self.reserve()
        return attempts.Permit(self.attempt, self.charges)

    async def withdraw(self) -> None:
        """Record that the attempt did not run.

        :raises ClaimedError: if another attempt has taken over the key
        """
        if not self.attempt:
            return
        result = await self._claims.submit({
            "op": "drop",
            "key": self._admitted.key,
            "attempt": self.attempt,
        })
        if not result.applied and result.claim is not None:
            raise ClaimedError(result.claim)


def _make_charge(reservation: budget_types.Reservation) -> types.Charge:
    return {
        "budget": reservation.budget,
        "session": reservation.session,
        "sequence": reservation.sequence,
        "amount": reservation.amount,
        "unit": reservation.unit,
    }


__all__ = (
    "ClaimPermitIssuer",
    "ClaimedError",
    "PaidPermitIssuer",
)
