"""Session records of open and closing sessions.

A sidecar added to a closing session, or a session opened again, could spend
units that recovery has already returned.
"""

from __future__ import annotations

import pytest

from cyclamenwing.budget import errors
from cyclamenwing.budget import session

SIDECAR: session.ServingSidecar = {
    "incarnation": "i1",
    "host": "h1",
    "address": "127.0.0.1:1",
}


def make_record(state: session.SessionState) -> session.SessionRecord:
    record = session.SessionCodec("s1", "e1").decode(None)
    session.advance_session(record, state, "c0")
    return record


@pytest.mark.parametrize(
    ("state", "extended"), [("open", True), ("closing", False), ("closed", 0)]
)
def test_only_open_sessions_get_further_sidecars(
    state: session.SessionState, extended: bool
) -> None:
    record = make_record(state)
    if extended:
        session.add_sidecars(record, [SIDECAR, SIDECAR], "c1")
        session.add_sidecars(record, [SIDECAR], "c2")
    else:
        with pytest.raises(errors.StaleSessionError):
            session.add_sidecars(record, [SIDECAR], "c1")
    assert bool(record["sidecars"]) == bool(extended)
    assert session.SessionCodec("s1", "e1").contains(record, "c0")


def test_session_state_never_goes_back() -> None:
    record = make_record("closed")
    session.advance_session(record, "closing", "c1")
    session.advance_session(record, "open", "c2")
    assert record["state"] == "closed"
