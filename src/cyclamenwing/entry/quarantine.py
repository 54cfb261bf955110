"""Quarantine of poison requests at an entry."""

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
from cyclamenwing import tasks
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import types as membership_types
from cyclamenwing.membership import view
from cyclamenwing.routing import errors
from cyclamenwing.routing import quarantine
from cyclamenwing.routing import types
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport
from cyclamenwing.transport import server

POLL_INTERVAL_S = 0.1
PROPAGATION_S = quarantine.CLAIM_DELAY_MS / 1000
RETRY_AFTER_S = 2.0
EXPIRY_INTERVAL_S = 1.0
PUSH_TIMEOUT_S = 1.0


class LiftRequest(TypedDict):
    """Ask an entry to lift the quarantine of a request."""

    fingerprint: str
    author: str
    origin: str


class Quarantine:
    """Check requests against the quarantine and gossip its records.

    A request that was running during the crash of one endpoint is a
    suspect and runs alone; after a second crash it is quarantined.

    :param board: the entry's state
    :param client: HTTP client
    :param record: lifts a quarantine and records this in the audit trail
    """

    GOSSIP_KEY = "quarantine"

    def __init__(
        self,
        board: blackboard.EntryBoard,
        client: transport.Client,
        record: Callable[[LiftRequest, Callable[[], bool]], Awaitable[bool]],
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
            (r"/peer/quarantine/news", GossipHandler, options),
            (r"/peer/quarantine/list", ListHandler, options),
            (r"/peer/quarantine/lift", LiftHandler, options),
        ]

    def start(self) -> None:
        """Start the periodic expiry of records."""
        self._task = tasks.start_loop(self._expire)

    async def close(self) -> None:
        """Stop the periodic expiry of records."""
        if self._task is not None:
            self._task.cancel()

    def make_gossip(self) -> quarantine.QuarantineGossip | None:
        """Return the records and claims to gossip."""
        return self._controller.make_gossip(
            self._state, self._board.host, _read_clock_ms()
        )

    def receive_gossip(
        self, sender: membership_types.Heartbeat | None, gossip: Any
    ) -> None:
        """Merge records and claims received from another process."""
        try:
            received = msgspec.convert(gossip, quarantine.QuarantineGossip)
        except msgspec.ValidationError as err:
            eliot.log_message(
                "entry:quarantine_gossip_invalid", message=str(err)
            )
            return
        self._controller.receive(self._state, received, _read_clock_ms())

    def check(self, job: types.Job, run: base_errors.RunState) -> None:
        """Raise `QuarantinedError` if the job's request is quarantined.

        :param run: run state for the error
        """
        state = self._controller.read_state(self._state, job.fingerprint)
        if state == "quarantined":
            raise errors.QuarantinedError(
                "the request is quarantined because it crashed endpoints", run
            )

    def is_suspect(self, job: types.Job) -> bool:
        """Return whether a job's request is a suspect."""
        state = self._controller.read_state(self._state, job.fingerprint)
        return state == "suspect"

    async def wait_until_allowed(
        self, job: types.Job, run: base_errors.RunState
    ) -> None:
        """Wait until a suspect may run alone in the fleet.

        Return once this entry holds the first claim to run it, or at once
        if the job is no suspect.

        :param run: run state for an error
        :raises OverloadedError: if the deadline leaves no time to wait
        :raises QuarantinedError: if the request is quarantined meanwhile
        """
        if self.is_suspect(job):
            _check_deadline(job, PROPAGATION_S, run)
        while self.is_suspect(job):
            if self._controller.try_claim(
                self._state,
                job.fingerprint,
                self._board.host,
                job.request,
                _read_clock_ms(),
            ):
                return
            self._start_push()
            _check_deadline(job, POLL_INTERVAL_S, run)
            await asyncio.sleep(POLL_INTERVAL_S)
        self.check(job, run)

    def record_start(self, job: types.Job) -> None:
        """Record that a job starts to run."""
        self._started_ms[job.request] = _read_clock_ms()

    def record_end(self, job: types.Job, completed: bool) -> None:
        """Record the end of a run; a complete answer clears the request."""
        started_ms = self._started_ms.pop(job.request, None)
        if completed and started_ms is not None:
            self._controller.clear(
                self._state, job.fingerprint, started_ms, _read_clock_ms()
            )

    def release(self, job: types.Job) -> None:
        """Release a job's claim to run as a suspect."""
        self._controller.release_claim(
            self._state, job.fingerprint, self._board.host, job.request
        )

    def record_crash(self, job: types.Job, host: str) -> None:
        """Record a crash of a job's endpoint and push it to other entries."""
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
        self._start_push()

    def list_records(self) -> list[quarantine.CrashRecord]:
        """Return the records of suspects and quarantined requests."""
        return self._controller.list_records(self._state)

    async def lift(self, request: LiftRequest) -> bool:
        """Lift a quarantine; return whether there was one."""
        return await self._record(request, lambda: self._clear_record(request))

    def _clear_record(self, request: LiftRequest) -> bool:
        now_ms = _read_clock_ms()
        lifted = self._controller.clear(
            self._state, request["fingerprint"], now_ms, now_ms
        )
        if lifted:
            log_lift(request)
            self._start_push()
        return lifted

    def _start_push(self) -> None:
        # Only one push runs at a time. Heartbeats carry what is recorded
        # during it.
        if self._tasks:
            return
        task = asyncio.create_task(self._push_all())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _push_all(self) -> None:
        gossip = self.make_gossip()
        entries = self._members.list_live(
            self._board.members, "entry", time.monotonic()
        )
        await asyncio.gather(
            *(
                self._push_to(beat["address"], gossip)
                for beat in entries
                if beat["host"] != self._board.host
            )
        )

    async def _push_to(self, address: str, gossip: Any) -> None:
        url = f"http://{address}/peer/quarantine/news"
        try:
            await self._client.call(
                url, gossip, dict[str, bool], PUSH_TIMEOUT_S
            )
        except transport_errors.TransportError as err:
            eliot.log_message("entry:quarantine_push", **err.describe())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._controller.expire(
                self._state, self._board.host, _read_clock_ms()
            )


class QuarantineHandler(server.PeerHandler):
    """Serve a call about the quarantine."""

    def initialize(self, held: Quarantine) -> None:
        """Store the quarantine."""
        self.service = held


class GossipHandler(QuarantineHandler):
    """Serve ``POST /peer/quarantine/news``."""

    async def post(self) -> None:
        """Merge records and claims pushed by another entry."""
        self.service.receive_gossip(
            None, self.decode_body(quarantine.QuarantineGossip)
        )
        self.write_json({"heard": True})


class ListHandler(QuarantineHandler):
    """Serve ``POST /peer/quarantine/list``."""

    async def post(self) -> None:
        """Return the records of suspects and quarantined requests."""
        self.write_json(self.service.list_records())


class LiftHandler(QuarantineHandler):
    """Serve ``POST /peer/quarantine/lift``."""

    async def post(self) -> None:
        """Lift the quarantine of a request."""
        lifted = await self.service.lift(self.decode_body(LiftRequest))
        self.write_json({"lifted": lifted})


def log_lift(request: LiftRequest) -> None:
    """Log the lift of a quarantine."""
    eliot.log_message(
        "entry:quarantine_lift",
        fingerprint=request["fingerprint"],
        author=request["author"],
        origin=request["origin"],
    )


def _check_deadline(
    job: types.Job, needed_s: float, run: base_errors.RunState
) -> None:
    if time.monotonic() + needed_s > job.deadline:
        refusal = errors.OverloadedError.from_wait(
            "deadline too close to run a suspected poison request alone",
            RETRY_AFTER_S,
        )
        refusal.run = run
        raise refusal


def _read_clock_ms() -> int:
    return int(time.time() * 1000)


__all__ = (
    "GossipHandler",
    "LiftHandler",
    "LiftRequest",
    "ListHandler",
    "Quarantine",
    "log_lift",
)
