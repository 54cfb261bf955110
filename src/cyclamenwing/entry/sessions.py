"""Session record of the entry, extended before a new sidecar is used."""

from __future__ import annotations

import asyncio
import time
import uuid

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import account
from cyclamenwing.budget import errors
from cyclamenwing.budget import session
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import view
from cyclamenwing.store import commits
from cyclamenwing.store import keys
from cyclamenwing.store import protocol
from cyclamenwing.transport import component

EXTEND_INTERVAL_S = 0.2
DONORS_UPDATE_INTERVAL_S = 2.0


class Sessions(component.LoopComponent):
    """Keep the session record open and add live sidecars to it.

    `board.served` holds the incarnations of the recorded sidecars.

    :param board: the entry's state
    :param store: the platform's key-value service
    """

    def __init__(
        self, board: blackboard.EntryBoard, store: protocol.Store
    ) -> None:
        self._board = board
        self._store = store
        self._members = view.MemberController()
        self._donors_updated_at = 0.0

    async def extend(self, now: float) -> None:
        """Add live sidecars that the session record does not name yet."""
        missing: list[session.ServingSidecar] = [
            {
                "incarnation": beat["incarnation"],
                "host": beat["host"],
                "address": beat["address"],
            }
            for beat in self._members.list_live(
                self._board.members, "sidecar", now
            )
            if beat["incarnation"] not in self._board.served
        ]
        if not missing and self._board.holder.record_stored:
            return
        session_id = self._board.session
        created = self._board.holder.record_stored
        commit_id = uuid.uuid4().hex

        def change(record: session.SessionRecord) -> None:
            # A record that recovery has removed must not be created again.
            if created and not record["commits"]:
                record["state"] = "closed"
            session.add_sidecars(record, missing, commit_id)

        committed = await commits.commit(
            self._store,
            keys.name_session(session_id),
            session.SessionCodec(session_id, self._board.host),
            commit_id,
            change,
        )
        recorded = {
            item["incarnation"] for item in committed.document["sidecars"]
        }
        if self._board.session == session_id:
            self._board.holder.record_stored = True
            self._board.served = recorded

    def renew(self) -> None:
        """Replace the session by a new one.

        Recovery returns the holdings of the old session.
        """
        old = self._board.session
        self._board.session = f"{self._board.host}/{uuid.uuid4().hex}"
        self._board.holder = account.HolderBoard(self._board.session)
        self._board.served = set()
        self._donors_updated_at = 0.0
        eliot.log_message(
            "entry:session_renewed", old=old, new=self._board.session
        )

    async def _run(self) -> None:
        while True:
            if self._board.holder.stale:
                self.renew()
            try:
                await self.extend(time.monotonic())
                await self.update_eligible_donors(time.monotonic())
            except errors.StaleSessionError:
                self.renew()
            except base_errors.CodedError as err:
                eliot.log_message("entry:session_update_failed", code=err.code)
            await asyncio.sleep(EXTEND_INTERVAL_S)

    async def update_eligible_donors(self, now: float) -> None:
        """Add the sessions that are open in the store to the donors.

        Transfers are accepted only from sessions that were open while
        this one was.
        """
        holder_board = self._board.holder
        if (
            not holder_board.record_stored
            or now - self._donors_updated_at < DONORS_UPDATE_INTERVAL_S
        ):
            return
        entries = await self._store.scan(keys.SESSION_PREFIX)
        codec = session.SessionCodec("", "")
        records = [codec.decode(entry.value) for entry in entries]
        holder_board.eligible_donors.update(
            record["session"]
            for record in records
            if record["state"] == "open"
        )
        self._donors_updated_at = now


__all__ = ("Sessions",)
