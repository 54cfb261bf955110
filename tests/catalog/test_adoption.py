from __future__ import annotations

from typing import Any

import pytest

from cyclamenwing.catalog import adoption
from cyclamenwing.catalog import delta
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import index
from cyclamenwing.catalog import types

BOUND = adoption.CONFIRMATION_MAX_AGE_S
# Each row: steps (time, kind, revision, age) and the revision, standing
# and the revision heard of but not adopted after them.
COURSES: dict[str, tuple[list[Any], tuple[int, str, int]]] = {
    "starts": ([], (0, "starting", 0)),
    "store": ([(0, "adopt", 3), (0, "store", 3)], (3, "confirmed", 0)),
    "from a peer, not confirmed": ([(0, "adopt", 3)], (3, "unconfirmed", 0)),
    "peer passes a confirmation on": (
        [(0, "adopt", 3), (9, "peer", 3, 5.0)],
        (3, "confirmed", 0),
    ),
    "peer's confirmation is too old": (
        [(0, "adopt", 3), (9, "peer", 3, BOUND + 1)],
        (3, "unconfirmed", 0),
    ),
    "cut off": (
        [(0, "adopt", 3), (0, "store", 3), (BOUND + 1, "wait")],
        (3, "unconfirmed", 0),
    ),
    "stale process comes back": (
        [(0, "adopt", 7), (0, "store", 7), (1, "adopt", 3)],
        (7, "confirmed", 0),
    ),
    "stale peer shows no higher one": (
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
    "store put back to an old state": (
        [(0, "adopt", 7), (1, "store", 5)],
        (7, "unconfirmed", 0),
    ),
    "peers of a starting fleet confirm nothing": (
        [(0, "peer", 0, 0.0)],
        (0, "starting", 0),
    ),
}


@pytest.mark.parametrize("title", COURSES)
def test_course(title: str) -> None:
    steps, expected = COURSES[title]
    board = adoption.AdoptionBoard()
    controller = adoption.AdoptionController()
    now = 0.0
    for step in steps:
        now, kind, *given = step
        if kind == "adopt":
            controller.adopt(board, *given)
        elif kind == "store":
            controller.record_store_revision(board, given[0], now)
        elif kind == "peer":
            controller.record_peer_revision(board, given[0], given[1], now)
    standing = controller.find_standing(board, now)
    assert (board.revision, standing, board.behind) == expected


def make_revision(number: int, **services: int) -> types.Revision:
    """Return a revision; services name the revision that changed them."""
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


def test_highest_offer_wins_at_the_start() -> None:
    offers = [None, make_revision(3), make_revision(0), make_revision(5)]
    best = adoption.choose_initial_revision(offers)
    assert best is not None and best["revision"] == 5
    assert adoption.choose_initial_revision([None, make_revision(0)]) is None


def test_delta_carries_only_changed_services() -> None:
    old = make_revision(3, a=1, b=2, c=3)
    new = make_revision(6, a=1, b=5)
    new["removed"] = {"c": {"digest": "", "revision": 6, "author": "x"}}
    step = delta.make_delta(new, 3)
    assert list(step["files"]) == ["b"]
    assert delta.apply_delta(old, step) == new
    whole = delta.make_delta(new, 0)
    empty: types.Revision = {"revision": 0, "services": {}}
    assert delta.apply_delta(empty, whole)["refs"] == new["refs"]


def test_delta_that_misses_a_change_is_refused() -> None:
    old = make_revision(3, a=1, b=2, c=3)
    new = make_revision(6, a=1, b=5)
    # The removal of c is no longer remembered.
    with pytest.raises(errors.DeltaMismatchError):
        delta.apply_delta(old, delta.make_delta(new, 3))
    with pytest.raises(errors.DeltaMismatchError):
        delta.apply_delta(old, delta.make_delta(new, 2))


def test_index_of_a_step_equals_a_fresh_one() -> None:
    old, new = make_revision(3, a=1, b=2, c=3), make_revision(6, a=1, b=5)
    new["services"]["a"] = old["services"]["a"]
    stepped = index.Index(new, index.Index(old))
    fresh = index.Index(new)
    assert stepped.workspaces == fresh.workspaces
    assert sorted(stepped.workspaces) == ["a-1", "b-5"]


def test_unsafe_calls_lose_idempotency_while_unconfirmed() -> None:
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
