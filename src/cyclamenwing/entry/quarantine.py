"""Quarantine of requests that crash endpoints, as an entry keeps it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TypedDict

import eliot
import msgspec

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import types as membership_types
from cyclamenwing.membership import view
from cyclamenwing.routing import errors
from cyclamenwing.routing import quarantine
from cyclamenwing.routing import types
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport
from cyclamenwing.transport import server

POLL_S = 0.1
SPREAD_S = quarantine.CLAIM_DELAY_MS / 1000
RETRY_AFTER_S = 2.0
EXPIRY_INTERVAL_S = 1.0
PUSH_TIMEOUT_S = 1.0


class Lift(TypedDict):
    """Ask to lift a request's quarantine."""

    fingerprint: str
    author: str
    origin: str


class Quarantine:
    """Check, report and spread the quarantine.

    :param board: the entry's state
    :param client: HTTP client
    :param record: carries a lift out and records it in the audit trail
    """

    GOSSIP_KEY = "quarantine"

    def __init__(
        self,
        board: blackboard.EntryBoard,
        client: transport.Client,
        record: Callable[[Lift, Callable[[], bool]], Awaitable[bool]],
    ) -> None:
        self._board = board
        self._client = client
        self._record = record
        self._state = quarantine.QuarantineBoard()
        self._controller = quarantine.QuarantineController()
        self._members = view.MemberController()
        self._started_ms: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"held": self}
        return [
            (r"/peer/quarantine/news", NewsHandler, options),
            (r"/peer/quarantine/list", ListHandler, options),
            (r"/peer/quarantine/lift", LiftHandler, options),
        ]

    def start(self) -> None:
        """Start dropping old records."""
        self._task = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stop dropping old records."""
        if self._task is not None:
            self._task.cancel()

    def make_gossip(self) -> quarantine.QuarantineGossip | None:
        """Return records and claims for a heartbeat."""
        return self._controller.make_gossip(
            self._state, self._board.host, _read_clock_ms()
        )

    def receive_gossip(
        self, sender: membership_types.Heartbeat | None, news: Any
    ) -> None:
        """Take over another process's records and claims."""
        try:
            read = msgspec.convert(news, quarantine.QuarantineGossip)
        except msgspec.ValidationError as err:
            eliot.log_message("entry:quarantine_news", message=str(err))
            return
        self._controller.receive(self._state, read, _read_clock_ms())

    def check(self, job: types.Job, run: base_errors.RunState) -> None:
        """Raise `QuarantinedError` if a job may not run."""
        state = self._controller.read_state(self._state, job.fingerprint)
        if state == "quarantined":
            raise errors.QuarantinedError("request crashed endpoints", run)

    def is_suspect(self, job: types.Job) -> bool:
        """Return whether a job was present at one crash."""
        state = self._controller.read_state(self._state, job.fingerprint)
        return state == "suspect"

    async def wait_turn(
        self, job: types.Job, run: base_errors.RunState
    ) -> None:
        """Hold a suspect until no other entry runs it or is first.

        One without time for that is refused at once.
        """
        if self.is_suspect(job):
            _check_time(job, SPREAD_S, run)
        while self.is_suspect(job):
            if self._controller.try_claim(
                self._state,
                job.fingerprint,
                self._board.host,
                job.request,
                _read_clock_ms(),
            ):
                return
            self._push()
            _check_time(job, POLL_S, run)
            await asyncio.sleep(POLL_S)
        self.check(job, run)

    def record_start(self, job: types.Job) -> None:
        """Take note that a job starts to run."""
        self._started_ms[job.request] = _read_clock_ms()

    def record_end(self, job: types.Job, completed: bool) -> None:
        """Take note that a run ended; a whole answer clears the request."""
        started_ms = self._started_ms.pop(job.request, None)
        if completed and started_ms is not None:
            self._controller.clear(
                self._state, job.fingerprint, started_ms, _read_clock_ms()
            )

    def leave(self, job: types.Job) -> None:
        """Give up a job's claim to run."""
        self._controller.release_claim(
            self._state, job.fingerprint, self._board.host, job.request
        )

    def record_crash(self, job: types.Job, host: str) -> None:
        """Take note that the endpoint of a job crashed, and tell others."""
        self._controller.record_crash(
            self._state, job.fingerprint, host, _read_clock_ms()
        )
        state = self._controller.read_state(self._state, job.fingerprint)
        eliot.log_message(
            "entry:quarantine",
            fingerprint=job.fingerprint,
            host=host,
            state=state,
        )
        self._push()

    def list_records(self) -> list[quarantine.Record]:
        """Return suspects and quarantined requests."""
        return self._controller.list_records(self._state)

    async def lift(self, asked: Lift) -> bool:
        """Let a request run again; False if it was not held."""
        return await self._record(asked, lambda: self._clear(asked))

    def _clear(self, asked: Lift) -> bool:
        now_ms = _read_clock_ms()
        lifted = self._controller.clear(
            self._state, asked["fingerprint"], now_ms, now_ms
        )
        if lifted:
            log_lift(asked)
            self._push()
        return lifted

    def _push(self) -> None:
        # One push at a time; the next heartbeat carries what came since.
        if self._tasks:
            return
        task = asyncio.create_task(self._push_all())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _push_all(self) -> None:
        news = self.make_gossip()
        entries = self._members.list_live(
            self._board.members, "entry", time.monotonic()
        )
        await asyncio.gather(
            *(
                self._push_to(beat["address"], news)
                for beat in entries
                if beat["host"] != self._board.host
            )
        )

    async def _push_to(self, address: str, news: Any) -> None:
        url = f"http://{address}/peer/quarantine/news"
        try:
            await self._client.call(url, news, dict[str, bool], PUSH_TIMEOUT_S)
        except transport_errors.TransportError as err:
            eliot.log_message("entry:quarantine_push", **err.describe())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._controller.expire(
                self._state, self._board.host, _read_clock_ms()
            )


class QuarantineHandler(server.PeerHandler):
    """Serve one call about the quarantine."""

    def initialize(self, held: Quarantine) -> None:
        """Take the part that keeps the quarantine."""
        self.held = held


class NewsHandler(QuarantineHandler):
    """Serve ``POST /peer/quarantine/news``."""

    async def post(self) -> None:
        """Take over another entry's news at once."""
        self.held.receive_gossip(
            None, self.decode_body(quarantine.QuarantineGossip)
        )
        self.write_json({"heard": True})


class ListHandler(QuarantineHandler):
    """Serve ``POST /peer/quarantine/list``."""

    async def post(self) -> None:
        """Return suspects and quarantined requests."""
        self.write_json(self.held.list_records())


class LiftHandler(QuarantineHandler):
    """Serve ``POST /peer/quarantine/lift``."""

    async def post(self) -> None:
        """Lift a request's quarantine."""
        lifted = await self.held.lift(self.decode_body(Lift))
        self.write_json({"lifted": lifted})


def log_lift(asked: Lift) -> None:
    """Write a lift to the log."""
    eliot.log_message(
        "entry:quarantine_lift",
        fingerprint=asked["fingerprint"],
        author=asked["author"],
        origin=asked["origin"],
    )


def _check_time(
    job: types.Job, needed_s: float, run: base_errors.RunState
) -> None:
    if time.monotonic() + needed_s > job.deadline:
        made = errors.OverloadedError.from_wait(
            "no time to run this apart from others", RETRY_AFTER_S
        )
        made.run = run
        raise made


def _read_clock_ms() -> int:
    return int(time.time() * 1000)


__all__ = (
    "Lift",
    "LiftHandler",
    "ListHandler",
    "NewsHandler",
    "Quarantine",
    "log_lift",
)
