"""HTTP handlers for callers' requests."""

from __future__ import annotations

import contextlib

from tornado import iostream

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import admission
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import metrics
from cyclamenwing.entry import serving
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.request import errors
from cyclamenwing.transport import server

REQUEST_ID_HEADER = "X-Request-Id"


class CallerHandler(server.CodedHandler):
    """Serve a caller's request."""

    def initialize(
        self, board: blackboard.EntryBoard, service: serving.Serving
    ) -> None:
        """Store the blackboard and the service."""
        self._board = board
        self._service = service
        self._route = ""
        self._first_byte_sent = False

    def prepare(self) -> None:
        """Refuse new requests while the entry drains."""
        if self._board.leaving:
            raise errors.EntryDrainingError("this entry is draining")

    def open(self, status: int, headers: dict[str, str]) -> None:
        """Set the status and headers unless they are already written."""
        if self._headers_written:
            return
        self.set_status(status)
        self.clear_header("Content-Type")
        for name, value in headers.items():
            self.set_header(name, value)

    async def send(self, data: bytes) -> None:
        """Write bytes of the answer."""
        super().write(data)
        await self.flush()
        if not self._first_byte_sent:
            self._first_byte_sent = True
            self._observe(metrics.FIRST_BYTE)

    def compute_etag(self) -> str | None:
        """Return None to keep the ETag header of the endpoint."""
        return None

    def write_refusal(self, error: base_errors.CodedError) -> None:
        """Write a coded error as the answer and count it."""
        self._board.recorder.count(metrics.REFUSALS, error.code, error.run)
        if self._board.leaving:
            self.set_header("Connection", "close")
        super().write_refusal(error)

    def on_finish(self) -> None:
        """Count the request once its answer is written."""
        status = str(self.get_status())
        self._board.recorder.count(metrics.REQUESTS, status)
        if self._route:
            self._observe(metrics.DURATION)

    def _observe(self, timer: metric_types.Timer) -> None:
        elapsed_s = self.request.request_time()
        self._board.recorder.observe(timer, elapsed_s, self._route)

    async def serve(self, admitted: admission.AdmittedRequest) -> None:
        """Serve an admitted request or write its refusal."""
        self.set_header(REQUEST_ID_HEADER, admitted.request)
        self._route = admitted.route["name"]
        self._board.in_progress += 1
        try:
            await self._serve(admitted)
        finally:
            self._board.in_progress -= 1

    async def _serve(self, admitted: admission.AdmittedRequest) -> None:
        try:
            await self._service.serve(admitted, CallerWriter(self))
        except base_errors.CodedError as err:
            if not self._headers_written:
                self.write_refusal(err)
                return
            # The status line is already sent, so that only a closed
            # connection can tell the caller that the answer is incomplete.
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        with contextlib.suppress(iostream.StreamClosedError):
            await self.finish()

    def read_caller(self) -> admission.Caller:
        """Return the request as received."""
        request = self.request
        return admission.Caller(
            request.method or "",
            request.uri or "",
            {name: request.headers[name] for name in request.headers},
            request.body,
        )


class CallerWriter:
    """Write an answer to a caller's connection.

    A run continues to its end after the caller has disconnected.

    :param handler: the handler of the connection
    """

    def __init__(self, handler: CallerHandler) -> None:
        self._handler = handler
        self._disconnected = False

    async def open(self, status: int, headers: dict[str, str]) -> None:
        """Set the status and headers."""
        self._handler.open(status, headers)

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer unless the caller has disconnected."""
        if self._disconnected:
            return
        try:
            await self._handler.send(data)
        except iostream.StreamClosedError:
            self._disconnected = True

    async def finish(self) -> None:
        """Do nothing; the handler ends the answer."""


class ChatHandler(CallerHandler):
    """Serve ``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Serve a chat completion."""
        await self.serve(
            admission.admit_chat(self._board.catalog, self.read_caller())
        )


class PlainHandler(CallerHandler):
    """Serve ``/services/ROUTE/PATH``."""

    async def get(self, name: str, path: str) -> None:
        """Serve a call of a plain service."""
        await self._call(name, path)

    async def post(self, name: str, path: str) -> None:
        """Serve a call of a plain service."""
        await self._call(name, path)

    async def put(self, name: str, path: str) -> None:
        """Serve a call of a plain service."""
        await self._call(name, path)

    async def patch(self, name: str, path: str) -> None:
        """Serve a call of a plain service."""
        await self._call(name, path)

    async def delete(self, name: str, path: str) -> None:
        """Serve a call of a plain service."""
        await self._call(name, path)

    async def _call(self, name: str, path: str) -> None:
        query = self.request.query
        target = f"{path}?{query}" if query else path
        await self.serve(
            admission.admit_plain(
                self._board.catalog, self.read_caller(), name, target
            )
        )


__all__ = (
    "CallerHandler",
    "CallerWriter",
    "ChatHandler",
    "PlainHandler",
)
