"""Settlement of a request's reservations once its run ended."""

from __future__ import annotations

import time

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import admission
from cyclamenwing.entry import attempts
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import follower
from cyclamenwing.entry import funding
from cyclamenwing.entry import tickets
from cyclamenwing.request import types


class Settlement:
    """Bill, release or doubt reservations.

    :param board: the entry's state
    :param money: reservations and settlement
    """

    def __init__(
        self, board: blackboard.EntryBoard, money: funding.Funding
    ) -> None:
        self._board = board
        self._money = money

    def settle(
        self,
        task: attempts.Task,
        ticket: tickets.PaidTicket,
        outcome: types.Outcome,
    ) -> None:
        """Bill a run; release the reservations if others pay for it."""
        accepted = task.accepted
        made = ticket.made or []
        if outcome.charges == ticket.charges:
            self._money.settle(accepted, made, outcome.usage)
            self._note(accepted, "settled", usage=outcome.usage)
        elif task.progress.doubtful:
            self._money.mark_in_doubt(accepted, made)
            self._note(accepted, "doubted", paid_by=outcome.charges)
        else:
            self._money.release(made)
            self._note(accepted, "released", paid_by=outcome.charges)

    def settle_failed(
        self,
        task: attempts.Task,
        ticket: tickets.PaidTicket,
        error: base_errors.CodedError,
    ) -> None:
        """Bill, release or doubt as the refusal's run state says."""
        made = ticket.made or []
        outcome = _read_failed(error)
        if error.run == "not_run":
            self._money.release(made)
        elif outcome is not None:
            self.settle(task, ticket, outcome)
        else:
            self._money.mark_in_doubt(task.accepted, made)

    def _note(
        self, accepted: admission.Accepted, step: str, **detail: object
    ) -> None:
        self._board.journal.record(
            accepted.request, time.time(), step, **detail
        )


def _read_failed(error: base_errors.CodedError) -> types.Outcome | None:
    """Return what a failed run used, if its sidecar told."""
    if not isinstance(error, follower.RunRefusedError):
        return None
    if error.usage is None or error.run != "ran":
        return None
    return types.Outcome(error.usage, error.charges or [])


__all__ = ("Settlement",)
