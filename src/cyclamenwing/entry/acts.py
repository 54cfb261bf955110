"""Operators' acts at an entry, recorded in the audit trail."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable

from cyclamenwing.catalog import audit
from cyclamenwing.catalog import audit_trail
from cyclamenwing.entry import quarantine
from cyclamenwing.store import protocol


class LiftRecorder:
    """Record the lift of a quarantine before and after it is done.

    :param store: the platform's key-value service
    """

    def __init__(self, store: protocol.Store) -> None:
        self._store = store

    async def __call__(
        self, asked: quarantine.Lift, lift: Callable[[], bool]
    ) -> bool:
        """Lift and tell whether the request was held."""

        async def carry_out() -> audit_trail.Outcome:
            lifted = lift()
            return audit_trail.Outcome(lifted, {"held": False})

        change = audit.Change(
            time.time(),
            asked["author"],
            asked["origin"],
            "quarantine-lift",
            asked["fingerprint"],
            "",
            None,
            None,
        )
        act = audit_trail.Operation(uuid.uuid4().hex, change)
        outcome = await audit_trail.record_operation(
            self._store, act, carry_out
        )
        return bool(outcome.before)


__all__ = ("LiftRecorder",)
