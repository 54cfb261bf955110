"""Chat requests without a matching budget or beyond the route's body limit.

Both must be refused before anything runs.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from cyclamenwing.catalog import index
from cyclamenwing.entry import admission
from cyclamenwing.request import errors

KEY = "caller-key"
BODY = {"model": "m", "messages": [{"role": "user", "content": "x"}]}


def make_index(budgets: list[Any], max_body_bytes: int = 1_000) -> index.Index:
    names = [budget["name"] for budget in budgets]
    return index.Index({
        "revision": 1,
        "services": {
            "s": {
                "service": "s",
                "workspaces": [
                    {
                        "name": "w",
                        "keys": [index.hash_key(KEY)],
                        "budgets": names,
                    }
                ],
                "budgets": budgets,
                "routes": [
                    {
                        "name": "r",
                        "protocol": "chat",
                        "model": "m",
                        "workspaces": ["w"],
                        "kind": "summary",
                        "max_body_bytes": max_body_bytes,
                    }
                ],
            }
        },
    })


def make_caller(reviewer: str) -> admission.Caller:
    headers = {"Authorization": f"Bearer {KEY}", "X-Reviewer": reviewer}
    body = msgspec.json.encode(BODY)
    return admission.Caller("POST", "/v1/chat/completions", headers, body)


@pytest.mark.parametrize(
    ("budgets", "served"),
    [
        ([], False),
        ([{"name": "b", "unit": "tokens"}], True),
        ([{"name": "b", "unit": "requests", "reviewer": "ann"}], True),
        ([{"name": "b", "unit": "requests", "reviewer": "bob"}], False),
        ([{"name": "b", "unit": "tokens", "kind": "draft"}], False),
    ],
)
def test_model_request_needs_a_budget(
    budgets: list[Any], served: bool
) -> None:
    catalog = make_index(budgets)
    if served:
        assert admission.admit_chat(catalog, make_caller("ann")).needs
        return
    with pytest.raises(errors.NoBudgetError) as refusal:
        admission.admit_chat(catalog, make_caller("ann"))
    assert refusal.value.run == "not_run"


def test_body_beyond_the_route_limit_is_refused() -> None:
    catalog = make_index([{"name": "b", "unit": "tokens"}], 10)
    with pytest.raises(errors.TooLargeError):
        admission.admit_chat(catalog, make_caller("ann"))
