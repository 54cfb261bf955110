"""Audit trail of operators' actions other than publishing.

An operation is recorded before it is carried out and again with its
outcome. The trail therefore shows every operation, even if the process
crashes in between.
"""

from __future__ import annotations

import uuid
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Literal
from typing import NamedTuple

import msgspec

from cyclamenwing import decoding
from cyclamenwing import errors as base_errors
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import segments
from cyclamenwing.catalog import types
from cyclamenwing.store import commits
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

CHAIN_NAME = "operations"
# Number of tries to commit a record while other writers change the head.
MAX_ATTEMPTS = 32

State = Literal["begun", "done", "refused", "unknown"]


class Operation(NamedTuple):
    """Describe an operator's action; a repetition has the same id."""

    id: str
    change: audit.Change


class Outcome(NamedTuple):
    """Hold the state before an operation and its result."""

    before: Any
    after: Any


class ChainCodec:
    """Convert the head of a chain to and from JSON."""

    def decode(self, value: bytes | None) -> types.Chain:
        """Decode the head of a chain, an empty one if there is no value.

        :raises AuditBrokenError: if the value is malformed
        """
        if value is None:
            return {"commits": [], "audit": [], "audit_segments": 0}
        try:
            return decoding.decode(value, types.Chain)
        except msgspec.DecodeError as err:
            raise errors.AuditBrokenError(str(err)) from err

    def encode(self, document: types.Chain) -> bytes:
        """Encode the head of a chain."""
        return msgspec.json.encode(document)

    def contains(self, document: types.Chain, commit_id: str) -> bool:
        """Return whether the head contains a commit."""
        return commit_id in document["commits"]


async def append_change(
    store: protocol.Store, change: audit.Change, commit_id: str
) -> None:
    """Append one record; a repeated `commit_id` appends nothing."""

    async def prepare(chain: types.Chain) -> None:
        await segments.store_segments(store, CHAIN_NAME, chain)

    def apply(chain: types.Chain) -> None:
        segments.drop_stored(chain)
        audit.append_record(chain, change, commit_id)
        audit.record_commit(chain, commit_id)

    await commits.commit(
        store,
        keys.OPERATIONS_HEAD,
        ChainCodec(),
        commit_id,
        apply,
        MAX_ATTEMPTS,
        prepare,
    )


async def record_operation(
    store: protocol.Store,
    operation: Operation,
    carry_out: Callable[[], Awaitable[Outcome]],
) -> Outcome:
    """Record an operation, carry it out and record its outcome.

    An operation that can't be recorded isn't carried out. If only its
    outcome can't be recorded, the trail keeps its "begun" record.
    """
    await _append(
        store,
        operation,
        "begun",
        operation.change.before,
        operation.change.after,
    )
    try:
        outcome = await carry_out()
    except base_errors.CodedError as err:
        unknown = isinstance(err, store_errors.StoreAnswerLostError)
        state: State = "unknown" if unknown else "refused"
        await _try_append(store, operation, state, None, err.describe())
        raise
    await _try_append(store, operation, "done", outcome.before, outcome.after)
    return outcome


async def read_chain(store: protocol.Store) -> types.Chain:
    """Read the head of the chain."""
    stored = await store.get(keys.OPERATIONS_HEAD)
    return ChainCodec().decode(stored.value if stored else None)


async def _append(
    store: protocol.Store,
    operation: Operation,
    state: State,
    before: Any,
    after: Any,
) -> None:
    detail = {"act": operation.id, "state": state, "value": after}
    change = operation.change._replace(before=before, after=detail)
    # A unique commit id records each attempt at a repeated operation.
    await append_change(store, change, f"{operation.id}/{uuid.uuid4().hex}")


async def _try_append(
    store: protocol.Store,
    operation: Operation,
    state: State,
    before: Any,
    after: Any,
) -> None:
    try:
        await _append(store, operation, state, before, after)
    except store_errors.StoreError:
        # The "begun" record remains and shows that the outcome is unknown.
        return


__all__ = (
    "CHAIN_NAME",
    "Operation",
    "ChainCodec",
    "Outcome",
    "State",
    "append_change",
    "read_chain",
    "record_operation",
)
