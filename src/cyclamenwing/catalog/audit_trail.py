"""Audit trail of what operators do beside publishing.

An act is recorded before it is carried out and again with its outcome, so
that no act can be missing from the trail, whatever dies in between.
"""

from __future__ import annotations

import uuid
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Literal
from typing import NamedTuple

import msgspec

from cyclamenwing import errors as base_errors
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import segments
from cyclamenwing.catalog import types
from cyclamenwing.store import commits
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

CHAIN = "operations"
MAX_ATTEMPTS = 32

State = Literal["begun", "done", "refused", "unknown"]


class Operation(NamedTuple):
    """Name an operator's act; the same id for each repetition."""

    id: str
    change: audit.Change


class Outcome(NamedTuple):
    """Hold what an act changed and its result."""

    before: Any
    after: Any


class ChainCodec:
    """Convert the head of a chain to and from JSON."""

    def decode(self, value: bytes | None) -> types.Chain:
        """Read the head; raise `AuditBrokenError` on a wrong one."""
        if value is None:
            return {"commits": [], "audit": [], "audit_segments": 0}
        try:
            return msgspec.json.decode(value, type=types.Chain)
        except (msgspec.ValidationError, msgspec.DecodeError) as err:
            raise errors.AuditBrokenError(str(err)) from err

    def encode(self, document: types.Chain) -> bytes:
        """Write the head."""
        return msgspec.json.encode(document)

    def contains(self, document: types.Chain, commit_id: str) -> bool:
        """Tell whether the head holds a commit."""
        return commit_id in document["commits"]


async def append_change(
    store: protocol.Store, change: audit.Change, commit_id: str
) -> None:
    """Append one record, once by `commit_id`."""

    async def prepare(chain: types.Chain) -> None:
        await segments.store_segments(store, CHAIN, chain)

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
    act: Operation,
    carry_out: Callable[[], Awaitable[Outcome]],
) -> Outcome:
    """Record an act, carry it out and record its outcome.

    An act that can't be recorded isn't carried out. One whose outcome
    can't be recorded keeps the record of its begin.
    """
    await _append(store, act, "begun", act.change.before, act.change.after)
    try:
        outcome = await carry_out()
    except base_errors.CodedError as err:
        unknown = isinstance(err, store_errors.StoreAnswerLostError)
        state: State = "unknown" if unknown else "refused"
        await _try_append(store, act, state, None, err.describe())
        raise
    await _try_append(store, act, "done", outcome.before, outcome.after)
    return outcome


async def read_chain(store: protocol.Store) -> types.Chain:
    """Read the head of the chain."""
    found = await store.get(keys.OPERATIONS_HEAD)
    return ChainCodec().decode(found.value if found else None)


async def _append(
    store: protocol.Store,
    act: Operation,
    state: State,
    before: Any,
    after: Any,
) -> None:
    detail = {"act": act.id, "state": state, "value": after}
    change = act.change._replace(before=before, after=detail)
    # A repeated act is recorded again: the trail shows each attempt.
    await append_change(store, change, f"{act.id}/{uuid.uuid4().hex}")


async def _try_append(
    store: protocol.Store,
    act: Operation,
    state: State,
    before: Any,
    after: Any,
) -> None:
    try:
        await _append(store, act, state, before, after)
    except store_errors.StoreError:
        # The record of the begin stands, which says as much.
        return


__all__ = (
    "CHAIN",
    "Operation",
    "ChainCodec",
    "Outcome",
    "State",
    "append_change",
    "read_chain",
    "record_operation",
)
