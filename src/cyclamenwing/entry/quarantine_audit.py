"""Audit records of quarantines that operators lift."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable

from cyclamenwing.catalog import audit
from cyclamenwing.catalog import audit_trail
from cyclamenwing.entry import quarantine
from cyclamenwing.store import protocol


class LiftRecorder:
    """Record the lift of a quarantine before and after it takes effect.

    :param store: the platform's key-value service
    """

    def __init__(self, store: protocol.Store) -> None:
        self._store = store

    async def __call__(
        self, request: quarantine.LiftRequest, lift: Callable[[], bool]
    ) -> bool:
        """Lift a quarantine and return whether there was one."""

        async def carry_out() -> audit_trail.Outcome:
            lifted = lift()
            return audit_trail.Outcome(lifted, {"held": False})

        change = audit.Change(
            time.time(),
            request["author"],
            request["origin"],
            "quarantine-lift",
            request["fingerprint"],
            "",
            None,
            None,
        )
        operation = audit_trail.Operation(uuid.uuid4().hex, change)
        outcome = await audit_trail.record_operation(
            self._store, operation, carry_out
        )
        return bool(outcome.before)


__all__ = ("LiftRecorder",)
