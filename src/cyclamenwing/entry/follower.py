"""Passage of a run's stream to the caller."""

from __future__ import annotations

from collections.abc import Callable

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import sinks
from cyclamenwing.request import assembly
from cyclamenwing.request import errors
from cyclamenwing.request import types
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import lines
from cyclamenwing.transport import protocol as transport


class RunRefusedError(errors.RequestError):
    """Report a sidecar's refusal under the sidecar's code.

    :param frame: the refusal
    """

    def __init__(self, frame: types.Frame) -> None:
        super().__init__(frame["message"], frame["run"])
        code = frame["code"]
        self.code = code  # type: ignore[misc]
        status, retry_after_s = _STATUSES.get(code, (502, None))
        self.status = status  # type: ignore[misc]
        self.retry_after_s = retry_after_s
        self.usage = frame.get("usage")
        self.charges = frame.get("charges")


class Follower:
    """Pass one answer on, from any number of streams.

    :param sink: where the answer goes
    """

    def __init__(self, sink: sinks.HeldSink) -> None:
        self.record_first_bytes: Callable[[], None] | None = None
        self._sink = sink
        self._head: types.Frame | None = None
        self._passed = assembly.Assembler()

    @property
    def offset(self) -> int:
        """Return the offset from which parts are needed."""
        return self._passed.next_offset

    async def follow(self, stream: transport.Stream) -> types.Outcome:
        """Pass a stream on to its end; raise a coded error."""
        try:
            head = await stream.read_head()
            if head.status != 200:
                raise _explain_status(head.status)
            async for frame in lines.read_frames(stream.read_chunks()):
                outcome = await _FRAMES[frame["t"]](self, frame)
                if outcome is not None:
                    return outcome
        finally:
            stream.close()
        raise transport_errors.ConnectionLostError("no end", "unknown")

    def restart(self) -> None:
        """Expect another run's answer, which must not mix with this one."""
        if self._sink.reset():
            self._passed = assembly.Assembler()
            self._head = None
        else:
            self._passed.rewind()

    async def _take_head(self, frame: types.Frame) -> types.Outcome | None:
        if self._head is not None and not _agree(self._head, frame):
            raise errors.AnswerBrokenError("two runs differ", "ran")
        self._head = frame
        await self._sink.open(frame["status"], frame["headers"])
        return None

    async def _take_part(self, frame: types.Frame) -> types.Outcome | None:
        data = self._passed.accept(frame)
        if data:
            if self.record_first_bytes is not None:
                self.record_first_bytes()
                self.record_first_bytes = None
            await self._sink.write(data)
        return None

    async def _take_beat(self, frame: types.Frame) -> types.Outcome | None:
        return None

    async def _take_end(self, frame: types.Frame) -> types.Outcome | None:
        self._passed.check_end(frame)
        await self._sink.finish()
        return types.Outcome(frame["usage"], frame["charges"])

    async def _take_refusal(self, frame: types.Frame) -> types.Outcome | None:
        raise RunRefusedError(frame)


def _agree(first: types.Frame, second: types.Frame) -> bool:
    return (first["status"], first["headers"]) == (
        second["status"],
        second["headers"],
    )


def _explain_status(status: int) -> transport_errors.PeerRefusedError:
    run: base_errors.RunState = "unknown" if status >= 500 else "not_run"
    return transport_errors.PeerRefusedError(
        "refused", f"sidecar answered {status}", run
    )


_FRAMES = {
    "head": Follower._take_head,
    "part": Follower._take_part,
    "beat": Follower._take_beat,
    "end": Follower._take_end,
    "refusal": Follower._take_refusal,
}

_STATUSES: dict[str, tuple[int, float | None]] = {
    "answer_expired": (410, None),
    "buffers_full": (503, 1.0),
    "cancelled": (409, None),
    "deadline_exceeded": (504, None),
    "draining": (503, 1.0),
    "endpoint_down": (503, 1.0),
    "fenced": (503, 1.0),
    "key_reused": (422, None),
    "other_incarnation": (503, 1.0),
}

__all__ = (
    "Follower",
    "RunRefusedError",
)
