"""Votes that begin the late phase of usage bounds.

A gateway that reclaims holdings must know that the late phase can't begin, so
no set of voters may allow both.
"""

from __future__ import annotations

import itertools

import pytest

from cyclamenwing.budget import outage_votes


@pytest.mark.parametrize("count", range(1, outage_votes.MAX_VOTERS + 1))
def test_late_phase_and_reclaim_exclude_each_other(count: int) -> None:
    voters = tuple(f"g{n}" for n in range(count))
    for size in range(count + 1):
        for fenced in itertools.combinations(voters, size):
            votes = outage_votes.OutageVotes()
            votes.open(voters)
            for voter in set(voters) - set(fenced):
                votes.add(voter)
            refused = size >= outage_votes.count_refusals_needed(count)
            assert votes.reached != refused


def test_restarted_voters_and_others_do_not_count() -> None:
    votes = outage_votes.OutageVotes()
    votes.open(("a-1", "b-1", "c-1"))
    for voter in ("a-1", "a-2", "b-2", "d-1"):
        votes.add(voter)
    assert not votes.reached
    votes.add("c-1")
    assert votes.reached


def test_each_record_that_the_store_may_hold_needs_its_votes() -> None:
    votes = outage_votes.OutageVotes()
    votes.open(("a-1",))
    votes.open(("b-1",))
    votes.add("a-1")
    assert not votes.reached
    votes.cancel(("b-1",))
    assert votes.reached
    votes.finish(("a-1",))
    assert not votes.reached
