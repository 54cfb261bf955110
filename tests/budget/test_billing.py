"""Keys under which bills are refunded if a request is billed twice.

A different request under a used idempotency key must be billed, and so must
every request without a key.
"""

from __future__ import annotations

import pytest

from cyclamenwing.budget import billing


@pytest.mark.parametrize(
    ("first", "second", "same"),
    [
        (("w/k", "r", "f1"), ("w/k", "r", "f1"), True),
        (("w/k", "r", "f1"), ("w/k", "r", "f2"), False),
        (("w/k", "r", "f1"), ("v/k", "r", "f1"), False),
    ],
)
def test_bill_key_depends_on_key_and_content(
    first: tuple[str, str, str], second: tuple[str, str, str], same: bool
) -> None:
    assert (
        billing.make_bill_key(*first) == billing.make_bill_key(*second)
    ) == same


def test_request_without_key_has_no_bill_key() -> None:
    assert billing.make_bill_key("w/r1", "r1", "f") == ""
