"""HTTP client on curl, with silence bounds and classified failures."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any
from typing import TypeVar

import msgspec
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from cyclamenwing import errors as base_errors
from cyclamenwing.transport import errors
from cyclamenwing.transport import protocol

MAX_CONNECTIONS = 2_000
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_WAITING_BYTES = 1024 * 1024
MAX_QUOTED_BYTES = 200
STREAM_TIMEOUT_S = 3_600.0
CLOSE_TIMEOUT_S = 5.0
JSON_TYPE = "application/json"

T = TypeVar("T")

_NOT_SENT = frozenset((
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_URL_MALFORMAT,
    pycurl.E_UNSUPPORTED_PROTOCOL,
))
_TOO_LARGE = frozenset((pycurl.E_WRITE_ERROR, pycurl.E_FILESIZE_EXCEEDED))
DECODE_ERRORS = (
    msgspec.ValidationError,
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
)


class CurlStream:
    """Read a streamed answer of a curl transfer.

    The transfer pauses while `MAX_WAITING_BYTES` wait to be read. Curl's
    own bound on slow transfers averages over seconds, so silence is
    watched here.

    :param silence_s: longest time without a byte
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._heard_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._head: asyncio.Future[protocol.ResponseHead] = (
            asyncio.get_running_loop().create_future()
        )
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._curl: pycurl.Curl | None = None
        self._waiting_bytes = 0
        self._paused = False
        self._ended = False
        self._closed = False
        self._error: errors.TransportError | None = None
        self._status = 0
        self._headers: dict[str, str] = {}
        self._hear()
        self._watch(self._silence_s)

    async def read_head(self) -> protocol.ResponseHead:
        """Wait for the status line and headers."""
        return await asyncio.shield(self._head)

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks as they arrive."""
        while True:
            chunk = await self._chunks.get()
            if chunk is None:
                break
            self._waiting_bytes -= len(chunk)
            self._resume()
            yield chunk
        if self._error is not None:
            raise self._error

    def close(self) -> None:
        """Abandon the answer; the connection is not reused."""
        self._closed = True
        self._wake()

    def prepare(self, curl: pycurl.Curl) -> None:
        """Attach this stream to a transfer."""
        self._curl = curl
        self._hear()
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._check_closed)

    def take_header(self, line: str) -> None:
        """Read one header line."""
        self._hear()
        line = line.strip()
        if line.startswith("HTTP/"):
            self._status = int(line.split()[1])
            self._headers = {}
        elif line:
            name, _, value = line.partition(":")
            self._headers[name.strip().lower()] = value.strip()
        elif not self._head.done() and self._status >= 200:
            self._head.set_result(
                protocol.ResponseHead(self._status, self._headers)
            )

    def finish(self, error: errors.TransportError | None) -> None:
        """End the stream, with an error if it broke."""
        # The handle serves another transfer from now on.
        self._curl = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._ended:
            return
        self._ended = True
        self._error = error
        if not self._head.done():
            self._head.set_exception(
                error or errors.ConnectionLostError("no answer", "unknown")
            )
            # A stream that was abandoned has no reader for the error.
            self._head.exception()
        self._chunks.put_nowait(None)

    def _write(self, chunk: bytes) -> int:
        if self._closed:
            return 0
        if self._waiting_bytes >= MAX_WAITING_BYTES:
            self._paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self._waiting_bytes += len(chunk)
        self._hear()
        self._chunks.put_nowait(chunk)
        return len(chunk)

    def _hear(self) -> None:
        self._heard_at = asyncio.get_running_loop().time()

    def _watch(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check_silence)

    def _check_silence(self) -> None:
        loop = asyncio.get_running_loop()
        left_s = self._heard_at + self._silence_s - loop.time()
        if self._paused:
            left_s = self._silence_s
        if left_s > 0:
            self._watch(left_s)
            return
        self._timer = None
        self.close()
        self.finish(
            errors.ConnectionSilentError(
                f"nothing arrived for {self._silence_s} s", "unknown"
            )
        )

    def _resume(self) -> None:
        if not self._paused:
            return
        self._hear()
        self._wake()

    def _wake(self) -> None:
        if self._curl is None:
            return
        self._paused = False
        # The transfer may break here; its end then reports the error.
        with contextlib.suppress(pycurl.error):
            self._curl.pause(pycurl.PAUSE_RECV)
            self._curl.pause(pycurl.PAUSE_CONT)

    def _check_closed(self, *_totals: float) -> int:
        return 1 if self._closed else 0


class CurlClient:
    """Exchange messages over HTTP.

    :param fleet_key: key that authenticates this process to others
    """

    def __init__(self, fleet_key: str) -> None:
        self._fleet_key = fleet_key
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_body_size=MAX_ANSWER_BYTES,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending: set[asyncio.Future[httpclient.HTTPResponse]] = set()

    async def call(
        self,
        url: str,
        message: Any,
        reply: type[T],
        timeout_s: float,
        repeatable: bool = True,
    ) -> T:
        """Post a JSON message and decode the JSON reply."""
        body = msgspec.json.encode(message)
        answer = await self.fetch("POST", url, {}, body, timeout_s, repeatable)
        if answer.status >= 400:
            raise parse_refusal(answer)
        try:
            return msgspec.json.decode(answer.body, type=reply)
        except DECODE_ERRORS as err:
            raise errors.MalformedMessageError(str(err), "unknown") from err

    async def fetch(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
        repeatable: bool = True,
    ) -> protocol.Response:
        """Send a request and return the whole answer.

        One that is not `repeatable` gets a new connection, since curl
        itself repeats a request when a kept connection turns out closed.
        """
        request = self._make_request(method, url, headers, body, timeout_s)
        request.prepare_curl_callback = (
            _prepare_whole if repeatable else _prepare_once
        )
        response = await self._fetch(request)
        return protocol.Response(
            response.code, dict(response.headers), response.body
        )

    def open_stream(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        silence_s: float,
        fresh: bool = False,
    ) -> CurlStream:
        """Send a request and stream the answer.

        A `fresh` one gets a new connection and is sent at most once.
        """
        stream = CurlStream(silence_s)
        request = self._make_request(
            method, url, headers, body, STREAM_TIMEOUT_S
        )
        request.header_callback = stream.take_header
        request.prepare_curl_callback = _make_preparer(stream, fresh)
        task = asyncio.create_task(self._transfer(request, stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return stream

    async def close(self) -> None:
        """Wait for transfers in progress, then close all connections."""
        if self._pending:
            await asyncio.wait(set(self._pending), timeout=CLOSE_TIMEOUT_S)
        self._client.close()

    async def _fetch(
        self, request: httpclient.HTTPRequest
    ) -> httpclient.HTTPResponse:
        future = self._client.fetch(request, raise_error=False)
        self._pending.add(future)
        future.add_done_callback(self._pending.discard)
        try:
            return await asyncio.shield(future)
        except curl_httpclient.CurlError as err:
            raise classify_failure(err) from err

    async def _transfer(
        self, request: httpclient.HTTPRequest, stream: CurlStream
    ) -> None:
        try:
            await self._fetch(request)
        except errors.TransportError as err:
            stream.finish(err)
        else:
            stream.finish(None)

    def _make_request(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> httpclient.HTTPRequest:
        merged = {
            "Content-Type": JSON_TYPE,
            "Authorization": f"Bearer {self._fleet_key}",
        }
        merged.update(headers)
        return httpclient.HTTPRequest(
            url,
            method=method,
            headers=merged,
            body=body,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            decompress_response=False,
        )


def _prepare_whole(curl: pycurl.Curl) -> None:
    # Handles are reused, so each option of a stream is undone here.
    curl.setopt(pycurl.NOPROGRESS, 1)
    curl.setopt(pycurl.FRESH_CONNECT, 0)


def _prepare_once(curl: pycurl.Curl) -> None:
    _prepare_whole(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _make_preparer(
    stream: CurlStream, fresh: bool
) -> Callable[[pycurl.Curl], None]:
    def prepare(curl: pycurl.Curl) -> None:
        stream.prepare(curl)
        curl.setopt(pycurl.FRESH_CONNECT, int(fresh))

    return prepare


def classify_failure(
    error: curl_httpclient.CurlError,
) -> errors.TransportError:
    """Tell a request that was not sent from one that may have arrived."""
    errno = error.errno
    message = str(error)
    if errno in _NOT_SENT:
        return errors.ConnectFailedError(message)
    if errno in _TOO_LARGE:
        return errors.AnswerTooLargeError(message, "unknown")
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        if "Connection timed out" in message:
            return errors.ConnectFailedError(message)
        return errors.ConnectionSilentError(message, "unknown")
    return errors.ConnectionLostError(message, "unknown")


def parse_refusal(answer: protocol.Response) -> errors.PeerRefusedError:
    """Read the coded refusal of another process."""
    try:
        body = msgspec.json.decode(answer.body, type=base_errors.ErrorBody)
    except DECODE_ERRORS:
        text = answer.body[:MAX_QUOTED_BYTES].decode(errors="replace")
        return errors.PeerRefusedError(
            "malformed_refusal",
            f"status {answer.status}: {text}",
            http_status=answer.status,
        )
    return errors.PeerRefusedError(
        body["code"], body["message"], body["run"], answer.status
    )


__all__ = (
    "DECODE_ERRORS",
    "MAX_ANSWER_BYTES",
    "MAX_WAITING_BYTES",
    "CurlClient",
    "CurlStream",
    "classify_failure",
    "parse_refusal",
)
