"""Steps that close a session and return its grants."""

from __future__ import annotations

import asyncio
import uuid

import eliot

from cyclamenwing.budget import ledger
from cyclamenwing.budget import recovery
from cyclamenwing.budget import session as sessions
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types
from cyclamenwing.entry import exchange
from cyclamenwing.entry import witnesses
from cyclamenwing.store import commits
from cyclamenwing.store import keys
from cyclamenwing.store import protocol as store_protocol


class Closing:
    """Close sessions as far as their witnesses allow.

    :param ledger_exchange: exchange with the ledger
    :param store: the platform's key-value service
    :param asked: questions to sidecars and entries
    """

    def __init__(
        self,
        ledger_exchange: exchange.Exchange,
        store: store_protocol.Store,
        asked: witnesses.Witnesses,
    ) -> None:
        self._ledger = ledger_exchange
        self._store = store
        self._witnesses = asked

    async def close_sessions(self, gone: list[sessions.SessionRecord]) -> None:
        """Go through all steps for sessions that are gone.

        The steps may be repeated, and by several entries at once.
        """
        for record in gone:
            if record["state"] == "open":
                await self._mark(record, "closing")
        names = {record["session"] for record in gone}
        held = await self._close_grants(names)
        unclear = await self._list_unheard(names)
        inquests = [recovery.ClosingSession(record) for record in gone]
        for inquest in inquests:
            await self._witnesses.ask_sidecars(inquest)
            unclear = unclear | await self._witnesses.ask_entries(inquest)
        budgets = {
            name: budget
            for document in held.values()
            for name, budget in document["budgets"].items()
        }
        unclear = unclear | recovery.find_untraceable(inquests, budgets)
        for inquest in inquests:
            own = {inquest.record["session"]}
            await self._return(inquest, held, sorted(unclear - own))

    async def _return(
        self,
        inquest: recovery.ClosingSession,
        held: dict[int, types.LedgerShard],
        unclear: list[str],
    ) -> None:
        reason = f"not told by {', '.join(unclear)}" if unclear else ""
        rest = bool(reason or inquest.list_missing_hosts())
        for number, document in held.items():
            batch = ledger.make_batch(number)
            batch["recoveries"] = [
                recovery.plan_recovery(inquest, name, reason)
                for name, budget in document["budgets"].items()
                if recovery.needs_recovery(inquest, budget, name)
            ]
            if not batch["recoveries"]:
                continue
            reply = await self._ledger.local.submit(batch)
            rest = rest or any(
                item["error"] or item["outstanding"]
                for item in reply["results"]
            )
        if not rest:
            await self._witnesses.tell_gone(inquest)
            await self._remove(inquest.record)

    async def list_orphans(self) -> set[str]:
        """Return sessions that hold a grant and have no record.

        The shards are read first: a session has a record before it has
        a grant, so one without is closed at all its sidecars.
        """
        numbers = range(await self._ledger.find_shards())
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
        found = await self._store.scan(keys.SESSION_PREFIX)
        prefix = len(keys.SESSION_PREFIX)
        return holding - {entry.key[prefix:] for entry in found}

    async def _remove(self, record: sessions.SessionRecord) -> None:
        key = keys.name_session(record["session"])
        found = await self._store.get(key)
        if found is not None:
            await self._store.delete(key, found.revision)
        eliot.log_message("entry:session_closed", session=record["session"])

    async def _list_unheard(self, names: set[str]) -> set[str]:
        """Return sessions neither live nor closing.

        They are read after the marks, so that a session which is not
        among them knows the marks.
        """
        found = await self._store.scan(keys.SESSION_PREFIX)
        codec = sessions.SessionCodec("", "")
        every = {codec.decode(entry.value)["session"] for entry in found}
        return every - names - self._witnesses.list_heard()

    async def _close_grants(
        self, names: set[str]
    ) -> dict[int, types.LedgerShard]:
        """Mark the sessions' grants and return the shards as they are."""
        numbers = range(await self._ledger.find_shards())
        documents = await asyncio.gather(
            *(self._read_shard(number) for number in numbers)
        )
        held: dict[int, types.LedgerShard] = {}
        for number, document in zip(numbers, documents, strict=True):
            held[number] = document
            found = list_open(document, names)
            if not found:
                continue
            batch = ledger.make_batch(number)
            batch["closings"] = [
                {"op": "close", "session": session} for session in found
            ]
            await self._ledger.local.submit(batch)
            held[number] = await self._read_shard(number)
        return held

    async def _read_shard(self, number: int) -> types.LedgerShard:
        found = await self._store.get(keys.name_ledger(number))
        return shards.ShardCodec().decode(found.value if found else None)

    async def _mark(
        self, record: sessions.SessionRecord, state: sessions.SessionState
    ) -> None:
        commit_id = uuid.uuid4().hex

        def change(document: sessions.SessionRecord) -> None:
            sessions.advance_session(document, state, commit_id)

        made = await commits.commit(
            self._store,
            keys.name_session(record["session"]),
            sessions.SessionCodec(record["session"], record["host"]),
            commit_id,
            change,
        )
        record.update(made.document)
        eliot.log_message(
            "entry:session_marked", session=record["session"], state=state
        )


def list_open(document: types.LedgerShard, names: set[str]) -> list[str]:
    """Return those of the sessions that hold a grant not yet marked."""
    return sorted({
        session
        for budget in document["budgets"].values()
        for session, grant in budget["grants"].items()
        if session in names and not grant["closing"]
    })


__all__ = (
    "Closing",
    "list_open",
)
