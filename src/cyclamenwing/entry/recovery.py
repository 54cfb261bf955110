"""Detection of sessions whose entries have stopped."""

from __future__ import annotations

import asyncio
import time

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import session as sessions
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import session_closer
from cyclamenwing.entry import session_queries
from cyclamenwing.membership import rendezvous
from cyclamenwing.membership import view
from cyclamenwing.store import keys
from cyclamenwing.store import protocol as store_protocol
from cyclamenwing.transport import component

SCAN_INTERVAL_S = 1.0
DEAD_AFTER_S = 1.0
ORPHAN_INTERVAL_S = 10.0
MEMBER_RETENTION_S = 600.0


class Recovery(component.LoopComponent):
    """Close the sessions of stopped entries, at one elected entry.

    :param board: the entry's state
    :param store: the platform's key-value service
    :param queries: queries to sidecars and entries about sessions
    :param closer: closes sessions
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        store: store_protocol.Store,
        queries: session_queries.SessionQueries,
        closer: session_closer.SessionCloser,
    ) -> None:
        self._board = board
        self._store = store
        self._queries = queries
        self._closer = closer
        self._members = view.MemberController()
        self._missing_since: dict[str, float] = {}
        self._orphans_listed_at = 0.0

    async def scan(self, now: float) -> None:
        """Close the sessions of stopped entries as far as possible now."""
        if not self._is_elected(now) or self._is_partitioned(now):
            return
        entries = await self._store.scan(keys.SESSION_PREFIX)
        records = [_read_record(entry) for entry in entries]
        live = {self._board.session, *self._queries.list_live()}
        stopped = [
            record for record in records if self._is_stopped(record, live, now)
        ]
        if now - self._orphans_listed_at >= ORPHAN_INTERVAL_S:
            self._orphans_listed_at = now
            stopped.extend(
                map(_make_closed_record, await self._closer.list_orphans())
            )
        if stopped:
            await self._closer.close_sessions(stopped)

    def _is_stopped(
        self, record: sessions.SessionRecord, live: set[str], now: float
    ) -> bool:
        if record["state"] != "open":
            return True
        if record["session"] in live:
            self._missing_since.pop(record["session"], None)
            return False
        since = self._missing_since.setdefault(record["session"], now)
        return now - since >= DEAD_AFTER_S

    def _is_elected(self, now: float) -> bool:
        live = self._members.list_live(self._board.members, "entry", now)
        hosts = {self._board.host, *(beat["host"] for beat in live)}
        return (
            rendezvous.rank_members("recovery", hosts)[0] == self._board.host
        )

    def _is_partitioned(self, now: float) -> bool:
        """Return whether this entry reaches less than half of the fleet."""
        recent = [
            member
            for member in self._board.members.members.values()
            if now - member["heard_at"] < MEMBER_RETENTION_S
        ]
        reachable = [
            member
            for member in recent
            if now - member["heard_at"] < view.SUSPECT_AFTER_S
        ]
        return 2 * (len(reachable) + 1) < len(recent) + 1

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            try:
                await self.scan(time.monotonic())
            except base_errors.CodedError as err:
                eliot.log_message("entry:recovery_failed", code=err.code)


def _make_closed_record(session: str) -> sessions.SessionRecord:
    """Return a closed record for a session that has no stored record.

    All sidecars refuse such a session, so none has to be asked about it.
    """
    record = sessions.SessionCodec(session, "").decode(None)
    record["state"] = "closed"
    return record


def _read_record(entry: store_protocol.Entry) -> sessions.SessionRecord:
    return sessions.SessionCodec("", "").decode(entry.value)


__all__ = ("Recovery",)
