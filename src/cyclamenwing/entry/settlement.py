"""Settlement of a request's reservations after its run."""

from __future__ import annotations

import time

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import admission
from cyclamenwing.entry import answer_relay
from cyclamenwing.entry import attempts
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import funding
from cyclamenwing.entry import permits
from cyclamenwing.request import types


class Settlement:
    """Bill or release reservations, or mark them in doubt.

    :param board: the entry's state
    :param budgets: reservations and settlement
    """

    def __init__(
        self, board: blackboard.EntryBoard, budgets: funding.Funding
    ) -> None:
        self._board = board
        self._budgets = budgets

    def settle(
        self,
        task: attempts.RequestTask,
        permit_issuer: permits.PaidPermitIssuer,
        outcome: types.Outcome,
    ) -> None:
        """Settle the reservations of a completed run.

        Bill them if they paid for the run. If reservations of another
        attempt paid, release these, or mark them in doubt if an attempt
        of this request may have run unnoticed.
        """
        admitted = task.admitted
        reservations = permit_issuer.reservations or []
        if outcome.charges == permit_issuer.charges:
            self._budgets.settle(admitted, reservations, outcome.usage)
            self._record_step(admitted, "settled", usage=outcome.usage)
        elif task.progress.doubtful:
            self._budgets.mark_in_doubt(admitted, reservations)
            self._record_step(admitted, "doubted", paid_by=outcome.charges)
        else:
            self._budgets.release(reservations)
            self._record_step(admitted, "released", paid_by=outcome.charges)

    def settle_failed(
        self,
        task: attempts.RequestTask,
        permit_issuer: permits.PaidPermitIssuer,
        error: base_errors.CodedError,
    ) -> None:
        """Settle the reservations of a refused request by its run state."""
        reservations = permit_issuer.reservations or []
        outcome = _read_failed_outcome(error)
        if error.run == "not_run":
            self._budgets.release(reservations)
        elif outcome is not None:
            self.settle(task, permit_issuer, outcome)
        else:
            self._budgets.mark_in_doubt(task.admitted, reservations)

    def _record_step(
        self, admitted: admission.AdmittedRequest, step: str, **detail: object
    ) -> None:
        self._board.journal.record(
            admitted.request, time.time(), step, **detail
        )


def _read_failed_outcome(
    error: base_errors.CodedError,
) -> types.Outcome | None:
    """Return the outcome of a failed run if its sidecar reported it."""
    if not isinstance(error, answer_relay.RunRefusedError):
        return None
    if error.usage is None or error.run != "ran":
        return None
    return types.Outcome(error.usage, error.charges or [])


__all__ = ("Settlement",)
