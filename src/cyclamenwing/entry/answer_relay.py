"""Relay of a run's answer from sidecars to the caller."""

from __future__ import annotations

from collections.abc import Callable

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import response_writers
from cyclamenwing.request import assembly
from cyclamenwing.request import errors
from cyclamenwing.request import types
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import frame_codec
from cyclamenwing.transport import protocol as transport


class RunRefusedError(errors.RequestError):
    """Report a sidecar's refusal with the code that it sent.

    :param frame: the refusal frame
    """

    def __init__(self, frame: types.Frame) -> None:
        super().__init__(frame["message"], frame["run"])
        code = frame["code"]
        self.code = code  # type: ignore[misc]
        status, retry_after_s = _REFUSAL_STATUSES.get(code, (502, None))
        self.status = status  # type: ignore[misc]
        self.retry_after_s = retry_after_s
        self.usage = frame.get("usage")
        self.charges = frame.get("charges")


class AnswerRelay:
    """Relay one answer that may arrive over several streams.

    :param writer: receives the answer
    """

    def __init__(self, writer: response_writers.BufferedWriter) -> None:
        self.on_first_bytes: Callable[[], None] | None = None
        self._writer = writer
        self._head: types.Frame | None = None
        self._assembler = assembly.Assembler()

    @property
    def offset(self) -> int:
        """Return the offset of the next part that is needed."""
        return self._assembler.next_offset

    async def relay(self, stream: transport.Stream) -> types.Outcome:
        """Relay a stream to its end; raise a coded error."""
        try:
            head = await stream.read_head()
            if head.status != 200:
                raise _make_status_error(head.status)
            async for frame in frame_codec.read_frames(stream.read_chunks()):
                outcome = await _FRAME_HANDLERS[frame["t"]](self, frame)
                if outcome is not None:
                    return outcome
        finally:
            stream.close()
        raise transport_errors.ConnectionLostError(
            "the stream ended without an end frame", "unknown"
        )

    def restart(self) -> None:
        """Expect the answer of another run.

        Discard this run's bytes if none were sent. Otherwise the other
        answer must repeat the sent bytes, so that answers never mix.
        """
        if self._writer.reset():
            self._assembler = assembly.Assembler()
            self._head = None
        else:
            self._assembler.rewind()

    async def _handle_head(self, frame: types.Frame) -> types.Outcome | None:
        if self._head is not None and not _heads_match(self._head, frame):
            raise errors.AnswerBrokenError(
                "two runs returned different status or headers", "ran"
            )
        self._head = frame
        await self._writer.open(frame["status"], frame["headers"])
        return None

    async def _handle_part(self, frame: types.Frame) -> types.Outcome | None:
        data = self._assembler.accept(frame)
        if data:
            if self.on_first_bytes is not None:
                self.on_first_bytes()
                self.on_first_bytes = None
            await self._writer.write(data)
        return None

    async def _handle_keep_alive(
        self, frame: types.Frame
    ) -> types.Outcome | None:
        return None

    async def _handle_end(self, frame: types.Frame) -> types.Outcome | None:
        self._assembler.check_end(frame)
        await self._writer.finish()
        return types.Outcome(frame["usage"], frame["charges"])

    async def _handle_refusal(
        self, frame: types.Frame
    ) -> types.Outcome | None:
        raise RunRefusedError(frame)


def _heads_match(first: types.Frame, second: types.Frame) -> bool:
    return (first["status"], first["headers"]) == (
        second["status"],
        second["headers"],
    )


def _make_status_error(status: int) -> transport_errors.PeerRefusedError:
    run: base_errors.RunState = "unknown" if status >= 500 else "not_run"
    return transport_errors.PeerRefusedError(
        "refused", f"sidecar answered with status {status}", run
    )


_FRAME_HANDLERS = {
    "head": AnswerRelay._handle_head,
    "part": AnswerRelay._handle_part,
    "beat": AnswerRelay._handle_keep_alive,
    "end": AnswerRelay._handle_end,
    "refusal": AnswerRelay._handle_refusal,
}

_REFUSAL_STATUSES: dict[str, tuple[int, float | None]] = {
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
    "AnswerRelay",
    "RunRefusedError",
)
