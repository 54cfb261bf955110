"""Choice of the sidecar that runs a request, and of its turn."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Collection
from typing import Any

import eliot
import msgspec

from cyclamenwing.entry import blackboard
from cyclamenwing.entry import quarantine
from cyclamenwing.membership import types as membership_types
from cyclamenwing.membership import view
from cyclamenwing.routing import router
from cyclamenwing.routing import subset
from cyclamenwing.routing import types

TICK_S = 0.05


class Dispatch:
    """Queue jobs and choose among the live sidecars of a route.

    :param board: the entry's state
    :param policy: order of candidates
    :param held: quarantine of jobs that crash endpoints
    :param draw: source of the jitter
    """

    GOSSIP_KEY = "endpoint"

    def __init__(
        self,
        board: blackboard.EntryBoard,
        policy: types.Policy,
        held: quarantine.Quarantine,
        draw: random.Random,
    ) -> None:
        self._board = board
        self._router = router.Router(policy)
        self._held = held
        self._draining: dict[str, str] = {}
        self._draw = draw
        self._members = view.MemberController()
        self._turns: dict[str, asyncio.Future[None]] = {}
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        return []

    def start(self) -> None:
        """Start giving turns as places become free elsewhere."""
        self._task = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Stop giving turns."""
        if self._task is not None:
            self._task.cancel()

    def make_gossip(self) -> None:
        """Tell nothing; sidecars report endpoints."""

    def receive_gossip(
        self, sender: membership_types.Heartbeat | None, news: Any
    ) -> None:
        """Take over a sidecar's report of its endpoint."""
        try:
            read = msgspec.convert(news, types.EndpointReport)
        except msgspec.ValidationError as err:
            eliot.log_message("entry:endpoint_news", message=str(err))
            return
        if sender is not None:
            self._router.policy.receive(sender["host"], read, time.monotonic())

    async def enter(self, job: types.Job) -> None:
        """Wait for the job's turn, before anything is reserved.

        Raise `OverloadedError` early when the turn can't come in time and
        `QuarantinedError` for a request that crashed endpoints.
        """
        self._held.check(job, "not_run")
        self._router.enter(job, time.monotonic())
        turn = asyncio.get_running_loop().create_future()
        self._turns[job.request] = turn
        self._give_turns(job.route)
        try:
            await turn
            await self._held.wait_turn(job, "not_run")
        except BaseException:
            self._withdraw(job)
            raise

    def leave(self, job: types.Job) -> None:
        """Give the job's turn back."""
        self._held.leave(job)
        self._router.leave(job, time.monotonic())
        self._give_turns(job.route)

    def choose(
        self, job: types.Job, tried: Collection[str]
    ) -> types.Candidate:
        """Return the best sidecar not tried; raise `NoEndpointError`.

        The last one tried counts as failed.
        """
        now = time.monotonic()
        self._held.check(job, "unknown" if tried else "not_run")
        return self._router.choose(
            job,
            self.list_candidates(job.route, now),
            tried,
            self._held.is_suspect(job),
            now,
        )

    def record_start(self, job: types.Job, host: str) -> None:
        """Take note that a job was sent to a host."""
        self._held.record_start(job)
        self._router.record_start(job, host, time.monotonic())

    def record_first_bytes(self, job: types.Job, host: str) -> None:
        """Take note of the first bytes of a job's answer."""
        self._router.policy.record_first_bytes(job, host, time.monotonic())

    def record_end(
        self, job: types.Job, host: str, completed: bool = False
    ) -> None:
        """Take note that a job left a host, with its whole answer or not."""
        self._held.record_end(job, completed)
        self._router.policy.record_end(job, host, completed, time.monotonic())

    def record_crash(self, job: types.Job, host: str) -> None:
        """Take note that the host's endpoint crashed during the job."""
        self._held.record_crash(job, host)
        self._router.policy.record_failure(host, time.monotonic())

    def note_draining(self, host: str, incarnation: str) -> None:
        """Take note that a host refused work because it is leaving.

        Its successor of the same name is another incarnation.
        """
        self._draining[host] = incarnation

    async def retry(self, job: types.Job, attempt: int) -> None:
        """Wait before attempt number 2 and up.

        Raise `RetriesExhaustedError` at once when attempts, the deadline
        or the retry budget leave no room for it, and `QuarantinedError`
        for a request that crashed endpoints. What the earlier attempts
        did is for the caller to know.
        """
        self._held.check(job, "unknown")
        delay_s = self._router.plan_retry(
            job, attempt, self._draw.random(), time.monotonic()
        )
        await asyncio.sleep(delay_s)
        await self._held.wait_turn(job, "unknown")

    def list_candidates(self, route: str, now: float) -> list[types.Candidate]:
        """Return this entry's candidates of a route that take work."""
        members = self._board.members
        candidates = [
            types.Candidate(
                beat["host"],
                beat["address"],
                beat["zone"],
                beat["incarnation"],
                beat["load"],
                members.members[beat["host"]]["heard_at"],
            )
            for beat in self._members.list_available(members, route, now)
            if beat["incarnation"] in self._board.served
            and self._draining.get(beat["host"]) != beat["incarnation"]
        ]
        return subset.pick_subset(self._board.host, candidates)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for route in self._router.list_queued_routes():
                self._review(route)
                self._give_turns(route)

    def _review(self, route: str) -> None:
        for refused in self._router.reject_late(route, time.monotonic()):
            turn = self._turns.pop(refused.job.request, None)
            if turn is not None and not turn.done():
                turn.set_exception(refused.error)

    def _give_turns(self, route: str) -> None:
        if route not in self._router.list_queued_routes():
            return
        now = time.monotonic()
        entries = self._members.list_live(self._board.members, "entry", now)
        sharing = {beat["host"] for beat in entries} | {self._board.host}
        candidates = self.list_candidates(route, now)
        for job in self._router.admit_jobs(route, candidates, len(sharing)):
            turn = self._turns.pop(job.request, None)
            if turn is not None and not turn.done():
                turn.set_result(None)

    def _withdraw(self, job: types.Job) -> None:
        self._held.leave(job)
        self._turns.pop(job.request, None)
        self._router.withdraw(job)
        self._give_turns(job.route)


__all__ = ("Dispatch",)
