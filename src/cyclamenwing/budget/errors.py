"""Errors of budget operations."""

from __future__ import annotations

from cyclamenwing import errors


class BudgetError(errors.CodedError):
    """Report a refused budget operation."""

    code = "budget_error"
    status = 409


class BudgetExhaustedError(BudgetError):
    """Report that a budget has too little left for a request.

    :param asked: units that the request may use at most
    :param left: unspent units of the whole budget
    :param out_of_reach: units of `left` that this process can't obtain now
    :param retry_after_s: time after which a retry can succeed, in seconds
    """

    code = "budget_exhausted"
    status = 402

    def __init__(
        self,
        budget: str,
        asked: int,
        left: int,
        out_of_reach: int,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(
            f"budget {budget!r}: asked {asked}, left {left},"
            f" out of reach {out_of_reach}"
        )
        self.asked = asked
        self.left = left
        self.out_of_reach = out_of_reach
        self.retry_after_s = retry_after_s


class UnknownBudgetError(BudgetError):
    """Report a budget that was never topped up."""

    code = "unknown_budget"
    status = 404


class StaleSessionError(BudgetError):
    """Report an operation that the state of the session no longer allows."""

    code = "stale_session"


class SessionOpenError(BudgetError):
    """Report an operation on an open session that requires a closing one."""

    code = "session_open"


class LedgerInvariantError(BudgetError):
    """Report an operation that would charge more than is available."""

    code = "ledger_invariant"
    status = 500


class ShardFullError(BudgetError):
    """Report a ledger shard without room for an operation."""

    code = "ledger_full"
    status = 503


class LedgerBusyError(BudgetError):
    """Report a coordinator whose queue is full."""

    code = "ledger_busy"
    status = 503


class BillsFullError(BudgetError):
    """Report that no bill can be added until the ledger confirms some."""

    code = "bills_full"
    status = 503
    retry_after_s = 2.0


class TopUpReusedError(BudgetError):
    """Report a top-up id that another top-up has used."""

    code = "top_up_reused"


class MalformedLedgerError(BudgetError):
    """Report a ledger shard that can't be read."""

    code = "malformed_ledger"
    status = 500


__all__ = (
    "BillsFullError",
    "BudgetError",
    "BudgetExhaustedError",
    "LedgerBusyError",
    "LedgerInvariantError",
    "MalformedLedgerError",
    "SessionOpenError",
    "ShardFullError",
    "StaleSessionError",
    "TopUpReusedError",
    "UnknownBudgetError",
)
