"""Which revision a process follows, and how sure it is of it."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Literal

from cyclamenwing.catalog import types

CONFIRMATION_MAX_AGE_S = 60.0

Standing = Literal["starting", "confirmed", "unconfirmed"]


@dataclasses.dataclass(slots=True)
class AdoptionBoard:
    """Hold the revision number that is followed.

    `confirmed_at` is the last time at which the store is known to have
    held no higher one, `behind` a higher one that was heard of.
    """

    revision: int = 0
    confirmed_at: float | None = None
    behind: int = 0


class AdoptionController:
    """Adopt only higher revisions and keep track of confirmations."""

    def adopt(self, board: AdoptionBoard, revision: int) -> bool:
        """Take over a revision; False if it is not higher."""
        if revision <= board.revision:
            return False
        board.revision = revision
        if board.behind <= revision:
            board.behind = 0
        return True

    def record_store_revision(
        self, board: AdoptionBoard, revision: int, now: float
    ) -> bool:
        """Note the revision in the store; tell whether it is higher.

        One that is lower than the own confirms nothing: the store was put
        back, and an operator has to look.
        """
        if revision > board.revision:
            board.behind = max(board.behind, revision)
            return True
        if revision == board.revision:
            board.confirmed_at = now
        return False

    def record_peer_revision(
        self,
        board: AdoptionBoard,
        revision: int,
        age_s: float | None,
        now: float,
    ) -> bool:
        """Note a peer's revision; tell whether it is higher.

        `age_s` is the age of the peer's confirmation when it was told.
        """
        if revision > board.revision:
            board.behind = max(board.behind, revision)
            return True
        if age_s is not None and board.revision > 0 and revision > 0:
            at = now - age_s
            if board.confirmed_at is None or at > board.confirmed_at:
                board.confirmed_at = at
        return False

    def find_age_s(self, board: AdoptionBoard, now: float) -> float | None:
        """Return the age of the confirmation."""
        if board.confirmed_at is None:
            return None
        return max(0.0, now - board.confirmed_at)

    def find_standing(self, board: AdoptionBoard, now: float) -> Standing:
        """Tell a process that starts from one that is cut off."""
        if board.revision == 0:
            return "starting"
        age_s = self.find_age_s(board, now)
        if age_s is None or age_s > CONFIRMATION_MAX_AGE_S:
            return "unconfirmed"
        return "confirmed"


def choose_initial_revision(
    offers: Iterable[types.Revision | None],
) -> types.Revision | None:
    """Return the highest revision found at the start."""
    found = [offer for offer in offers if offer and offer["revision"] > 0]
    return max(found, key=lambda offer: offer["revision"], default=None)


__all__ = (
    "CONFIRMATION_MAX_AGE_S",
    "AdoptionBoard",
    "AdoptionController",
    "Standing",
    "choose_initial_revision",
)
