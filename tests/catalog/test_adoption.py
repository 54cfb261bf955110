from __future__ import annotations

from typing import Any

import pytest

from cyclamenwing.catalog import adoption
from cyclamenwing.catalog import delta
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import index
from cyclamenwing.catalog import types

BOUND = adoption.CONFIRMATION_MAX_AGE_S
# Each row: steps (time, kind, revision, age of a peer's confirmation) and
# the revision, the standing and the highest reported revision that is not
# adopted after them.
CASES: dict[str, tuple[list[Any], tuple[int, str, int]]] = {
    "starts": ([], (0, "starting", 0)),
    "store": ([(0, "adopt", 3), (0, "store", 3)], (3, "confirmed", 0)),
    "from a peer, not confirmed": ([(0, "adopt", 3)], (3, "unconfirmed", 0)),
    "peer confirms": (
        [(0, "adopt", 3), (9, "peer", 3, 5.0)],
        (3, "confirmed", 0),
    ),
    "peer's confirmation is too old": (
        [(0, "adopt", 3), (9, "peer", 3, BOUND + 1)],
        (3, "unconfirmed", 0),
    ),
    "disconnected": (
        [(0, "adopt", 3), (0, "store", 3), (BOUND + 1, "wait")],
        (3, "unconfirmed", 0),
    ),
    "stale process resumes": (
        [(0, "adopt", 7), (0, "store", 7), (1, "adopt", 3)],
        (7, "confirmed", 0),
    ),
    "stale peer reports a lower revision": (
        [(0, "adopt", 7), (1, "peer", 3, 900.0)],
        (7, "unconfirmed", 0),
    ),
    "behind a peer": (
        [(0, "adopt", 3), (0, "store", 3), (1, "peer", 4, 0.0)],
        (3, "confirmed", 4),
    ),
    "catches up": (
        [(0, "adopt", 3), (1, "peer", 4, 0.0), (2, "adopt", 4)],
        (4, "unconfirmed", 0),
    ),
    "behind the store": (
        [(0, "adopt", 3), (1, "store", 5)],
        (3, "unconfirmed", 5),
    ),
    "store restored to an old state": (
        [(0, "adopt", 7), (1, "store", 5)],
        (7, "unconfirmed", 0),
    ),
    "peers of a starting fleet confirm nothing": (
        [(0, "peer", 0, 0.0)],
        (0, "starting", 0),
    ),
}


@pytest.mark.parametrize("title", CASES)
def test_revision_and_standing_after_steps(title: str) -> None:
    steps, expected = CASES[title]
    board = adoption.AdoptionBoard()
    controller = adoption.AdoptionController()
    now = 0.0
    for step in steps:
        now, kind, *arguments = step
        if kind == "adopt":
            controller.adopt(board, *arguments)
        elif kind == "store":
            controller.record_store_revision(board, arguments[0], now)
        elif kind == "peer":
            controller.record_peer_revision(
                board, arguments[0], arguments[1], now
            )
    standing = controller.find_standing(board, now)
    assert (board.revision, standing, board.behind) == expected


def make_revision(number: int, **services: int) -> types.Revision:
    """Return a revision; each service maps to the revision of its change."""
    return {
        "revision": number,
        "services": {
            name: {
                "service": name,
                "workspaces": [
                    {"name": f"{name}-{at}", "keys": [], "budgets": []},
                ],
            }
            for name, at in services.items()
        },
        "refs": {
            name: {"digest": f"{name}{at}", "revision": at, "author": "x"}
            for name, at in services.items()
        },
        "removed": {},
    }


def test_highest_offered_revision_is_chosen_at_start() -> None:
    offers = [None, make_revision(3), make_revision(0), make_revision(5)]
    best = adoption.choose_initial_revision(offers)
    assert best is not None and best["revision"] == 5
    assert adoption.choose_initial_revision([None, make_revision(0)]) is None


def test_delta_holds_only_changed_services() -> None:
    old = make_revision(3, a=1, b=2, c=3)
    new = make_revision(6, a=1, b=5)
    new["removed"] = {"c": {"digest": "", "revision": 6, "author": "x"}}
    step = delta.make_delta(new, 3)
    assert list(step["files"]) == ["b"]
    assert delta.apply_delta(old, step) == new
    whole = delta.make_delta(new, 0)
    empty: types.Revision = {"revision": 0, "services": {}}
    assert delta.apply_delta(empty, whole)["refs"] == new["refs"]


def test_delta_that_lacks_a_change_is_rejected() -> None:
    old = make_revision(3, a=1, b=2, c=3)
    new = make_revision(6, a=1, b=5)
    # The new revision no longer records the removal of c.
    with pytest.raises(errors.DeltaMismatchError):
        delta.apply_delta(old, delta.make_delta(new, 3))
    with pytest.raises(errors.DeltaMismatchError):
        delta.apply_delta(old, delta.make_delta(new, 2))


def test_incremental_index_equals_a_full_one() -> None:
    old, new = make_revision(3, a=1, b=2, c=3), make_revision(6, a=1, b=5)
    new["services"]["a"] = old["services"]["a"]
    incremental = index.Index(new, index.Index(old))
    full = index.Index(new)
    assert incremental.workspaces == full.workspaces
    assert sorted(incremental.workspaces) == ["a-1", "b-5"]


def test_strict_index_treats_unsafe_calls_as_not_idempotent() -> None:
    route: types.Route = {
        "name": "r",
        "protocol": "plain",
        "workspaces": ["*"],
        "calls": [
            {"method": "GET", "path": "/", "idempotent": True},
            {"method": "PUT", "path": "/", "idempotent": True},
        ],
    }
    plain = index.Index({
        "revision": 1,
        "services": {"s": {"service": "s", "routes": [route]}},
    })
    found = {}
    for made in (plain, plain.with_strict(True)):
        for method in ("GET", "PUT"):
            match = made.find_plain_route("r", method, "/x", "w")
            assert match is not None and match.rule is not None
            found[made.strict, method] = match.rule.get("idempotent")
    assert found == {
        (False, "GET"): True,
        (False, "PUT"): True,
        (True, "GET"): True,
        (True, "PUT"): False,
    }
