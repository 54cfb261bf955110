"""Session records, which list the sidecars that may serve a session."""

from __future__ import annotations

from typing import Literal
from typing import TypedDict

import msgspec

from cyclamenwing import decoding
from cyclamenwing.budget import errors

MAX_COMMIT_IDS = 16

SessionState = Literal["open", "closing", "closed"]


class ServingSidecar(TypedDict):
    """Describe one incarnation of a sidecar and its address."""

    incarnation: str
    host: str
    address: str


class SessionRecord(TypedDict):
    """Hold the session of one entry incarnation, stored under one key."""

    session: str
    host: str
    state: SessionState
    sidecars: list[ServingSidecar]
    commits: list[str]


class SessionCodec:
    """Convert a session record to and from JSON.

    :param session: id of the entry's incarnation
    :param host: name of the entry's host, for a record not yet written
    """

    def __init__(self, session: str, host: str) -> None:
        self._session = session
        self._host = host

    def decode(self, value: bytes | None) -> SessionRecord:
        """Decode a record; return a new open one if there is no value.

        :raises MalformedLedgerError: if the value is not a session record
        """
        if value is None:
            return {
                "session": self._session,
                "host": self._host,
                "state": "open",
                "sidecars": [],
                "commits": [],
            }
        try:
            return decoding.decode(value, SessionRecord)
        except msgspec.DecodeError as err:
            raise errors.MalformedLedgerError(str(err)) from err

    def encode(self, document: SessionRecord) -> bytes:
        """Encode a record."""
        return msgspec.json.encode(document)

    def contains(self, document: SessionRecord, commit_id: str) -> bool:
        """Return whether the record contains a commit id."""
        return commit_id in document["commits"]


def add_sidecars(
    record: SessionRecord, sidecars: list[ServingSidecar], commit_id: str
) -> None:
    """Add the sidecars that an open session's record doesn't list.

    :raises StaleSessionError: if the session is not open
    """
    if record["state"] != "open":
        raise errors.StaleSessionError(
            f"session {record['session']!r} is {record['state']}"
        )
    listed = {sidecar["incarnation"] for sidecar in record["sidecars"]}
    record["sidecars"].extend(
        sidecar for sidecar in sidecars if sidecar["incarnation"] not in listed
    )
    record_commit(record, commit_id)


def advance_session(
    record: SessionRecord, state: SessionState, commit_id: str
) -> None:
    """Advance a record to a later state; keep its state otherwise."""
    if _STATE_ORDER.index(state) > _STATE_ORDER.index(record["state"]):
        record["state"] = state
    record_commit(record, commit_id)


def record_commit(record: SessionRecord, commit_id: str) -> None:
    """Add a commit id; keep the newest `MAX_COMMIT_IDS`."""
    record["commits"].append(commit_id)
    del record["commits"][:-MAX_COMMIT_IDS]


_STATE_ORDER: tuple[SessionState, ...] = ("open", "closing", "closed")

__all__ = (
    "MAX_COMMIT_IDS",
    "ServingSidecar",
    "SessionCodec",
    "SessionRecord",
    "SessionState",
    "add_sidecars",
    "advance_session",
    "record_commit",
)
