"""Closing of sessions and return of their grants."""

from __future__ import annotations

import asyncio
import uuid

import eliot

from cyclamenwing.budget import ledger
from cyclamenwing.budget import recovery
from cyclamenwing.budget import session as sessions
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types
from cyclamenwing.entry import ledger_client
from cyclamenwing.entry import session_queries
from cyclamenwing.store import commits
from cyclamenwing.store import keys
from cyclamenwing.store import protocol as store_protocol


class SessionCloser:
    """Close sessions as far as sidecars and entries answer.

    :param ledger_access: client of the ledger's coordinators
    :param store: the platform's key-value service
    :param queries: queries to sidecars and entries about sessions
    """

    def __init__(
        self,
        ledger_access: ledger_client.LedgerClient,
        store: store_protocol.Store,
        queries: session_queries.SessionQueries,
    ) -> None:
        self._ledger = ledger_access
        self._store = store
        self._queries = queries

    async def close_sessions(
        self, stopped: list[sessions.SessionRecord]
    ) -> None:
        """Close the sessions of stopped entries.

        All steps are idempotent and may run at several entries at once.
        """
        for record in stopped:
            if record["state"] == "open":
                await self._advance_state(record, "closing")
        names = {record["session"] for record in stopped}
        documents = await self._close_grants(names)
        unanswered = await self._list_unreachable(names)
        all_evidence = [recovery.ClosingSession(record) for record in stopped]
        for evidence in all_evidence:
            await self._queries.close_at_sidecars(evidence)
            unanswered = unanswered | await self._queries.collect_transfers(
                evidence
            )
        budgets = {
            name: budget
            for document in documents.values()
            for name, budget in document["budgets"].items()
        }
        unanswered = unanswered | recovery.find_untraceable(
            all_evidence, budgets
        )
        for evidence in all_evidence:
            own = {evidence.record["session"]}
            await self._return_grants(
                evidence, documents, sorted(unanswered - own)
            )

    async def _return_grants(
        self,
        evidence: recovery.ClosingSession,
        documents: dict[int, types.LedgerShard],
        unanswered: list[str],
    ) -> None:
        reason = f"not told by {', '.join(unanswered)}" if unanswered else ""
        unfinished = bool(reason or evidence.list_missing_hosts())
        for number, document in documents.items():
            batch = ledger.make_batch(number)
            batch["recoveries"] = [
                recovery.plan_recovery(evidence, name, reason)
                for name, budget in document["budgets"].items()
                if recovery.needs_recovery(evidence, budget, name)
            ]
            if not batch["recoveries"]:
                continue
            reply = await self._ledger.local.submit(batch)
            unfinished = unfinished or any(
                item["error"] or item["outstanding"]
                for item in reply["results"]
            )
        if not unfinished:
            await self._queries.announce_settled(evidence)
            await self._remove(evidence.record)

    async def list_orphans(self) -> set[str]:
        """Return sessions that hold a grant and have no session record.

        The shards are read before the records. A session gets its record
        before its first grant, and the record is removed only after all
        its sidecars refuse the session, so that one without a record is
        closed at all its sidecars.
        """
        numbers = range(await self._ledger.load_shard_count())
        documents = await asyncio.gather(
            *(self._read_shard(number) for number in numbers)
        )
        holding = {
            session
            for document in documents
            for budget in document["budgets"].values()
            for session, grant in budget["grants"].items()
            if shards.count_outstanding(grant)
        }
        entries = await self._store.scan(keys.SESSION_PREFIX)
        prefix = len(keys.SESSION_PREFIX)
        return holding - {entry.key[prefix:] for entry in entries}

    async def _remove(self, record: sessions.SessionRecord) -> None:
        key = keys.name_session(record["session"])
        entry = await self._store.get(key)
        if entry is not None:
            await self._store.delete(key, entry.revision)
        eliot.log_message("entry:session_closed", session=record["session"])

    async def _list_unreachable(self, names: set[str]) -> set[str]:
        """Return recorded sessions that are neither live nor in `names`.

        They are read after the sessions in `names` are marked as closing,
        so that a session recorded later sees the marks.
        """
        entries = await self._store.scan(keys.SESSION_PREFIX)
        codec = sessions.SessionCodec("", "")
        recorded = {codec.decode(entry.value)["session"] for entry in entries}
        return recorded - names - self._queries.list_live_sessions()

    async def _close_grants(
        self, names: set[str]
    ) -> dict[int, types.LedgerShard]:
        """Mark the sessions' grants as closing and return all shards."""
        numbers = range(await self._ledger.load_shard_count())
        documents = await asyncio.gather(
            *(self._read_shard(number) for number in numbers)
        )
        by_number: dict[int, types.LedgerShard] = {}
        for number, document in zip(numbers, documents, strict=True):
            by_number[number] = document
            open_sessions = list_open(document, names)
            if not open_sessions:
                continue
            batch = ledger.make_batch(number)
            batch["closings"] = [
                {"op": "close", "session": session}
                for session in open_sessions
            ]
            await self._ledger.local.submit(batch)
            by_number[number] = await self._read_shard(number)
        return by_number

    async def _read_shard(self, number: int) -> types.LedgerShard:
        entry = await self._store.get(keys.name_ledger(number))
        return shards.ShardCodec().decode(entry.value if entry else None)

    async def _advance_state(
        self, record: sessions.SessionRecord, state: sessions.SessionState
    ) -> None:
        commit_id = uuid.uuid4().hex

        def change(document: sessions.SessionRecord) -> None:
            sessions.advance_session(document, state, commit_id)

        committed = await commits.commit(
            self._store,
            keys.name_session(record["session"]),
            sessions.SessionCodec(record["session"], record["host"]),
            commit_id,
            change,
        )
        record.update(committed.document)
        eliot.log_message(
            "entry:session_marked", session=record["session"], state=state
        )


def list_open(document: types.LedgerShard, names: set[str]) -> list[str]:
    """Return the sessions in `names` with a grant not marked as closing."""
    return sorted({
        session
        for budget in document["budgets"].values()
        for session, grant in budget["grants"].items()
        if session in names and not grant["closing"]
    })


__all__ = (
    "SessionCloser",
    "list_open",
)
