"""Permission of each attempt: reservations and claims."""

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
    """Report a key that another attempt has claimed.

    :param claim: the claim as the store has it
    """

    code = "claimed"
    status = 409

    def __init__(self, claim: claims.Claim) -> None:
        super().__init__("the key is claimed")
        self.claim = claim


class PaidPermitIssuer:
    """Allow attempts under one set of reservations.

    :param accepted: the admitted request
    :param money: reservations and settlement
    """

    def __init__(
        self, accepted: admission.AdmittedRequest, money: funding.Funding
    ) -> None:
        self._accepted = accepted
        self._money = money
        self._attempt = 0
        self.made: list[budget_types.Reservation] | None = None

    @property
    def charges(self) -> list[types.Charge]:
        """Return the reservations as orders name them."""
        return [_make_charge(made) for made in self.made or []]

    async def admit(
        self, candidate: routing_types.Candidate
    ) -> attempts.Permit:
        """Allow an attempt; raise a coded error of the budget."""
        await self.reserve()
        self._attempt += 1
        return attempts.Permit(self._attempt, self.charges)

    async def reserve(self) -> None:
        """Reserve once; raise a coded error of the budget."""
        if self.made is not None:
            return
        asked = asyncio.create_task(self._money.reserve(self._accepted))
        try:
            self.made = await asyncio.shield(asked)
        except asyncio.CancelledError:
            # What is reserved after the deadline has no request any more.
            asked.add_done_callback(self._give_back)
            raise

    def _give_back(
        self, asked: asyncio.Task[list[budget_types.Reservation]]
    ) -> None:
        if not asked.cancelled() and asked.exception() is None:
            self._money.release(asked.result())

    async def withdraw(self) -> None:
        """Do nothing; there is no claim to give back."""


class ClaimPermitIssuer(PaidPermitIssuer):
    """Allow attempts under a durable claim that names their sidecar.

    :param accepted: the admitted request
    :param money: reservations and settlement
    :param held: claims in the store
    :param board: the entry's state
    :param replaces: the attempt that is known not to have run
    """

    def __init__(
        self,
        accepted: admission.AdmittedRequest,
        money: funding.Funding,
        held: claim_commits.ClaimCommitter,
        board: blackboard.EntryBoard,
        replaces: int,
    ) -> None:
        super().__init__(accepted, money)
        self._claims = held
        self._board = board
        self._replaces = replaces
        self.attempt = 0

    async def admit(
        self, candidate: routing_types.Candidate
    ) -> attempts.Permit:
        """Claim the key for a sidecar; raise `ClaimedError` if taken."""
        result = await self._claims.submit({
            "op": "take",
            "key": self._accepted.key,
            "request": self._accepted.request,
            "fingerprint": self._accepted.fingerprint,
            "session": self._board.session,
            "place": {
                "host": candidate.host,
                "address": candidate.address,
                "incarnation": candidate.incarnation,
            },
            "replaces": self.attempt or self._replaces,
        })
        if result.claim is None:
            raise errors.ClaimsFullError("no room for a claim")
        if not result.applied:
            raise ClaimedError(result.claim)
        self.attempt = result.claim["attempt"]
        await self.reserve()
        return attempts.Permit(self.attempt, self.charges)

    async def withdraw(self) -> None:
        """Record that nothing ran; raise `ClaimedError` if taken over."""
        if not self.attempt:
            return
        result = await self._claims.submit({
            "op": "drop",
            "key": self._accepted.key,
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
