"""Choice of the sidecar that runs a request."""

from __future__ import annotations

import time
from collections.abc import Collection

from cyclamenwing.entry import blackboard
from cyclamenwing.membership import view
from cyclamenwing.routing import errors
from cyclamenwing.routing import types

MAX_ATTEMPTS = 4


class Dispatch:
    """Choose among the live sidecars of a route.

    :param board: the entry's state
    :param policy: order of candidates
    """

    def __init__(
        self, board: blackboard.EntryBoard, policy: types.Policy
    ) -> None:
        self._board = board
        self._policy = policy
        self._members = view.MemberController()

    async def enter(self, job: types.Job) -> None:
        """Wait for the job's turn, before anything is reserved.

        Raise `OverloadedError` early when the turn can't come in time and
        `QuarantinedError` for a request that crashed endpoints.
        """

    def leave(self, job: types.Job) -> None:
        """Give the job's turn back."""

    def choose(
        self, job: types.Job, tried: Collection[str]
    ) -> types.Candidate:
        """Return the best sidecar not tried; raise `NoEndpointError`."""
        now = time.monotonic()
        beats = self._members.list_open(self._board.members, job.route, now)
        candidates = [
            types.Candidate(
                beat["host"],
                beat["address"],
                beat["zone"],
                beat["incarnation"],
                beat["load"],
            )
            for beat in beats
            if beat["host"] not in tried
        ]
        ordered = self._policy.order(job, candidates, now)
        if not ordered:
            raise errors.NoEndpointError(
                f"no endpoint of route {job.route!r} takes work"
            )
        return ordered[0]

    def note_start(self, job: types.Job, host: str) -> None:
        """Take note that a job was sent to a host."""
        self._policy.note_start(job, host, time.monotonic())

    def note_first(self, job: types.Job, host: str) -> None:
        """Take note of the first bytes of a job's answer."""

    def note_end(
        self, job: types.Job, host: str, completed: bool = False
    ) -> None:
        """Take note that a job left a host, with its whole answer or not."""
        self._policy.note_end(job, host, time.monotonic())

    def note_crash(self, job: types.Job, host: str) -> None:
        """Take note that the host's endpoint crashed during the job."""

    async def retry(self, job: types.Job, attempt: int) -> None:
        """Wait before attempt number 2 and up.

        Raise `RetriesExhaustedError` when attempts, the deadline or the
        retry budget leave no room for it.
        """
        if attempt > MAX_ATTEMPTS:
            raise errors.RetriesExhaustedError(f"{attempt - 1} attempts")


__all__ = (
    "MAX_ATTEMPTS",
    "Dispatch",
)
