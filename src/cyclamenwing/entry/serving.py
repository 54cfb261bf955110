"""Service of an admitted request: attempts, resumption, settlement."""

from __future__ import annotations

import time
from typing import Protocol

import eliot
import msgspec

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import types as budget_types
from cyclamenwing.entry import admission
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import dispatch
from cyclamenwing.entry import funding
from cyclamenwing.request import assembly
from cyclamenwing.request import errors
from cyclamenwing.request import types
from cyclamenwing.routing import prefix
from cyclamenwing.routing import types as routing_types
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import lines
from cyclamenwing.transport import protocol as transport

SILENCE_S = 3.0
MAX_ATTEMPTS = 4


class Sink(Protocol):
    """Take the answer for the caller."""

    async def open(self, status: int, content_type: str) -> None:
        """Write the status line."""

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer."""


class Serving:
    """Serve admitted requests.

    :param board: the entry's state
    :param money: reservations and settlement
    :param choice: choice of sidecars
    :param client: HTTP client
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        money: funding.Funding,
        choice: dispatch.Dispatch,
        client: transport.Client,
    ) -> None:
        self._board = board
        self._money = money
        self._dispatch = choice
        self._client = client

    async def serve(self, accepted: admission.Accepted, sink: Sink) -> None:
        """Run a request and pass its whole answer on, billed once."""
        self._board.in_progress += 1
        try:
            with eliot.start_action(
                action_type="entry:request",
                request=accepted.request,
                workspace=accepted.workspace["name"],
                route=accepted.route["name"],
            ):
                await self._serve(accepted, sink)
        finally:
            self._board.in_progress -= 1

    async def _serve(self, accepted: admission.Accepted, sink: Sink) -> None:
        made = await self._money.reserve(accepted)
        self._note(accepted, "reserved", reservations=made)
        try:
            usage = await self._attempt_all(accepted, made, sink)
        except base_errors.CodedError as err:
            self._note(accepted, "failed", **err.describe())
            if err.run == "not_run":
                self._money.release(made)
            else:
                self._money.doubt(accepted, made)
            raise
        self._money.settle(accepted, made, usage)
        self._note(accepted, "settled", usage=usage)

    async def _attempt_all(
        self,
        accepted: admission.Accepted,
        made: list[budget_types.Reservation],
        sink: Sink,
    ) -> types.Usage:
        passed = assembly.Assembler()
        job = self._make_job(accepted)
        tried: list[str] = []
        await self._dispatch.enter(job)
        try:
            while True:
                candidate = self._dispatch.choose(job, tried)
                tried.append(candidate.host)
                order = admission.make_order(
                    accepted,
                    [_make_charge(reservation) for reservation in made],
                    candidate.incarnation,
                    len(tried),
                    self._board.catalog.revision,
                )
                self._note(accepted, "attempt", sidecar=candidate.host)
                self._dispatch.note_start(job, candidate.host)
                try:
                    return await self._attempt(candidate, order, passed, sink)
                except base_errors.CodedError as err:
                    self._note(accepted, "attempt_failed", **err.describe())
                    if err.run != "not_run" or len(tried) == MAX_ATTEMPTS:
                        raise
                finally:
                    self._dispatch.note_end(job, candidate.host)
        finally:
            self._dispatch.leave(job)

    async def _attempt(
        self,
        candidate: routing_types.Candidate,
        order: types.RunOrder,
        passed: assembly.Assembler,
        sink: Sink,
    ) -> types.Usage:
        stream = self._client.open_stream(
            "POST",
            f"http://{candidate.address}/v1/runs?offset={passed.offset}",
            {},
            msgspec.json.encode(order),
            SILENCE_S,
        )
        try:
            head = await stream.read_head()
            if head.status != 200:
                raise transport_errors.PeerRefusedError(
                    "refused", f"sidecar answered {head.status}", "not_run"
                )
            async for frame in lines.read_frames(stream.read_chunks()):
                usage = await _FRAMES[frame["t"]](frame, passed, sink)
                if usage is not None:
                    return usage
        finally:
            stream.close()
        raise transport_errors.ConnectionLostError("no end", "unknown")

    def _make_job(self, accepted: admission.Accepted) -> routing_types.Job:
        return routing_types.Job(
            accepted.request,
            accepted.workspace["name"],
            accepted.route["name"],
            accepted.route.get("priority", "interactive"),
            _digest_prompt(accepted),
            time.monotonic() + accepted.timeout_s,
            accepted.fingerprint,
            max([need.amount for need in accepted.needs], default=1),
        )

    def _note(
        self, accepted: admission.Accepted, step: str, **detail: object
    ) -> None:
        self._board.journal.note(accepted.request, time.time(), step, **detail)


async def _take_head(
    frame: types.Frame, passed: assembly.Assembler, sink: Sink
) -> types.Usage | None:
    await sink.open(frame["status"], frame["content_type"])
    return None


async def _take_part(
    frame: types.Frame, passed: assembly.Assembler, sink: Sink
) -> types.Usage | None:
    await sink.write(passed.accept(frame))
    return None


async def _take_beat(
    frame: types.Frame, passed: assembly.Assembler, sink: Sink
) -> types.Usage | None:
    return None


async def _take_end(
    frame: types.Frame, passed: assembly.Assembler, sink: Sink
) -> types.Usage | None:
    passed.check_end(frame)
    return frame["usage"]


async def _take_refusal(
    frame: types.Frame, passed: assembly.Assembler, sink: Sink
) -> types.Usage | None:
    raise RunRefusedError(frame["code"], frame["message"], frame["run"])


class RunRefusedError(errors.RequestError):
    """Report a sidecar's refusal under the sidecar's code.

    :param code: the sidecar's code
    """

    status = 502

    def __init__(
        self, code: str, message: str, run: base_errors.RunState
    ) -> None:
        super().__init__(message, run)
        self.code = code  # type: ignore[misc]


def _digest_prompt(accepted: admission.Accepted) -> tuple[int, ...]:
    if accepted.route["protocol"] != "chat":
        return ()
    return prefix.digest_chat(accepted.caller.body)


def _make_charge(reservation: budget_types.Reservation) -> types.Charge:
    return {
        "budget": reservation.budget,
        "session": reservation.session,
        "sequence": reservation.sequence,
        "amount": reservation.amount,
        "unit": reservation.unit,
    }


_FRAMES = {
    "head": _take_head,
    "part": _take_part,
    "beat": _take_beat,
    "end": _take_end,
    "refusal": _take_refusal,
}

__all__ = (
    "RunRefusedError",
    "Serving",
    "Sink",
)
