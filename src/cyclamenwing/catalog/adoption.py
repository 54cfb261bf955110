"""Tracking of the configuration revision that a process follows."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Literal

from cyclamenwing.catalog import types

# An older confirmation by the store no longer counts.
CONFIRMATION_MAX_AGE_S = 60.0

Standing = Literal["starting", "confirmed", "unconfirmed"]


@dataclasses.dataclass(slots=True)
class AdoptionBoard:
    """Hold the number of the revision that the process follows.

    `confirmed_at` is the last time at which the store was known to hold
    no higher revision, None before the first confirmation. `behind` is the
    highest revision that the store or a peer has reported and that is not
    adopted yet, 0 if there is none.
    """

    revision: int = 0
    confirmed_at: float | None = None
    behind: int = 0


class AdoptionController:
    """Adopt only higher revisions and record when they were confirmed."""

    def adopt(self, board: AdoptionBoard, revision: int) -> bool:
        """Adopt a revision; return False if it is not higher."""
        if revision <= board.revision:
            return False
        board.revision = revision
        if board.behind <= revision:
            board.behind = 0
        return True

    def record_store_revision(
        self, board: AdoptionBoard, revision: int, now: float
    ) -> bool:
        """Record the store's revision; return whether it is higher.

        A lower revision confirms nothing: the store was restored to an
        earlier state, which an operator has to resolve.
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
        """Record a peer's revision; return whether it is higher.

        :param age_s: age of the peer's own confirmation when it was sent,
            None if the peer has none
        """
        if revision > board.revision:
            board.behind = max(board.behind, revision)
            return True
        if age_s is not None and board.revision > 0 and revision > 0:
            peer_confirmed_at = now - age_s
            if (
                board.confirmed_at is None
                or peer_confirmed_at > board.confirmed_at
            ):
                board.confirmed_at = peer_confirmed_at
        return False

    def find_confirmation_age_s(
        self, board: AdoptionBoard, now: float
    ) -> float | None:
        """Return the age of the last confirmation, None without one."""
        if board.confirmed_at is None:
            return None
        return max(0.0, now - board.confirmed_at)

    def find_standing(self, board: AdoptionBoard, now: float) -> Standing:
        """Return whether the adopted revision is confirmed.

        "starting" means that no revision is adopted yet, "unconfirmed" that
        the last confirmation is missing or too old.
        """
        if board.revision == 0:
            return "starting"
        age_s = self.find_confirmation_age_s(board, now)
        if age_s is None or age_s > CONFIRMATION_MAX_AGE_S:
            return "unconfirmed"
        return "confirmed"


def choose_initial_revision(
    offers: Iterable[types.Revision | None],
) -> types.Revision | None:
    """Return the highest revision offered at start, None if there is none."""
    published = [offer for offer in offers if offer and offer["revision"] > 0]
    return max(published, key=lambda offer: offer["revision"], default=None)


__all__ = (
    "CONFIRMATION_MAX_AGE_S",
    "AdoptionBoard",
    "AdoptionController",
    "Standing",
    "choose_initial_revision",
)
