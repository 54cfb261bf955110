"""HTTP client on curl with idle timeouts and classified failures."""

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

from cyclamenwing import decoding
from cyclamenwing import errors as base_errors
from cyclamenwing.transport import errors
from cyclamenwing.transport import protocol

MAX_CONNECTIONS = 2_000
CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_BUFFERED_BYTES = 1024 * 1024
MAX_QUOTED_BODY_BYTES = 200
STREAM_TIMEOUT_S = 3_600.0
CLOSE_TIMEOUT_S = 5.0
JSON_TYPE = "application/json"

T = TypeVar("T")

_NOT_SENT_ERRNOS = frozenset((
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_URL_MALFORMAT,
    pycurl.E_UNSUPPORTED_PROTOCOL,
))
_TOO_LARGE_ERRNOS = frozenset((
    pycurl.E_WRITE_ERROR,
    pycurl.E_FILESIZE_EXCEEDED,
))


class CurlStream:
    """Read the response of a curl transfer as a stream.

    The transfer is paused while `MAX_BUFFERED_BYTES` wait to be read.
    Curl's own limit for slow transfers averages over seconds, so this
    class measures the time without data itself.

    :param silence_s: longest time without a received byte
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._last_activity_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._head: asyncio.Future[protocol.ResponseHead] = (
            asyncio.get_running_loop().create_future()
        )
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._curl: pycurl.Curl | None = None
        self._buffered_bytes = 0
        self._paused = False
        self._ended = False
        self._closed = False
        self._error: errors.TransportError | None = None
        self._status = 0
        self._headers: dict[str, str] = {}
        self._record_activity()
        self._schedule_silence_check(self._silence_s)

    async def read_head(self) -> protocol.ResponseHead:
        """Wait for the status line and headers and return them."""
        return await asyncio.shield(self._head)

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks of the body as they arrive.

        :raises TransportError: if the response ends incomplete
        """
        while True:
            chunk = await self._chunks.get()
            if chunk is None:
                break
            self._buffered_bytes -= len(chunk)
            self._resume_if_paused()
            yield chunk
        if self._error is not None:
            raise self._error

    def close(self) -> None:
        """Abandon the response and close its connection."""
        self._closed = True
        self._unpause_transfer()

    def prepare(self, curl: pycurl.Curl) -> None:
        """Attach this stream to the handle of a transfer."""
        self._curl = curl
        self._record_activity()
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._check_closed)

    def read_header_line(self, line: str) -> None:
        """Process one header line; an empty line ends the head.

        Informational (1xx) heads are skipped.
        """
        self._record_activity()
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
        """End the stream.

        :param error: why the transfer failed; None if it is complete
        """
        # Tornado reuses the handle for another transfer.
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
                error
                or errors.ConnectionLostError("no response head", "unknown")
            )
            # An abandoned stream has no reader; reading the exception here
            # prevents a warning of asyncio.
            self._head.exception()
        self._chunks.put_nowait(None)

    def _write(self, chunk: bytes) -> int:
        if self._closed:
            return 0
        if self._buffered_bytes >= MAX_BUFFERED_BYTES:
            self._paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self._buffered_bytes += len(chunk)
        self._record_activity()
        self._chunks.put_nowait(chunk)
        return len(chunk)

    def _record_activity(self) -> None:
        self._last_activity_s = asyncio.get_running_loop().time()

    def _schedule_silence_check(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check_silence)

    def _check_silence(self) -> None:
        loop = asyncio.get_running_loop()
        left_s = self._last_activity_s + self._silence_s - loop.time()
        if self._paused:
            left_s = self._silence_s
        if left_s > 0:
            self._schedule_silence_check(left_s)
            return
        self._timer = None
        self.close()
        self.finish(
            errors.ConnectionSilentError(
                f"no data was received for {self._silence_s} s", "unknown"
            )
        )

    def _resume_if_paused(self) -> None:
        if not self._paused:
            return
        self._record_activity()
        self._unpause_transfer()

    def _unpause_transfer(self) -> None:
        if self._curl is None:
            return
        self._paused = False
        # The transfer may fail here; `finish` then gets the error.
        with contextlib.suppress(pycurl.error):
            self._curl.pause(pycurl.PAUSE_RECV)
            self._curl.pause(pycurl.PAUSE_CONT)

    def _check_closed(self, *_totals: float) -> int:
        return 1 if self._closed else 0


class CurlClient:
    """Send HTTP requests through curl.

    :param fleet_key: key that authenticates this process to its peers
    """

    def __init__(self, fleet_key: str) -> None:
        self._fleet_key = fleet_key
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_body_size=MAX_RESPONSE_BYTES,
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
        response = await self.fetch(
            "POST", url, {}, body, timeout_s, repeatable
        )
        if response.status >= 400:
            raise parse_error_response(response)
        try:
            return decoding.decode(response.body, reply)
        except msgspec.DecodeError as err:
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
        """Send a request and return the complete response.

        A request that is not `repeatable` gets a new connection, since curl
        resends a request if a reused connection turns out to be closed.
        """
        request = self._make_request(method, url, headers, body, timeout_s)
        request.prepare_curl_callback = (
            _reset_stream_options if repeatable else _force_new_connection
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
        """Send a request and return its streamed response.

        A `fresh` request gets a new connection, so that curl does not
        resend it.
        """
        stream = CurlStream(silence_s)
        request = self._make_request(
            method, url, headers, body, STREAM_TIMEOUT_S
        )
        request.header_callback = stream.read_header_line
        request.prepare_curl_callback = _make_preparer(stream, fresh)
        task = asyncio.create_task(self._transfer(request, stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return stream

    async def close(self) -> None:
        """Wait for transfers in progress and close all connections.

        The wait is limited to `CLOSE_TIMEOUT_S`.
        """
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
            raise classify_curl_error(err) from err

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


def _reset_stream_options(curl: pycurl.Curl) -> None:
    # Curl handles are reused: reset the options that a stream has set.
    curl.setopt(pycurl.NOPROGRESS, 1)
    curl.setopt(pycurl.FRESH_CONNECT, 0)


def _force_new_connection(curl: pycurl.Curl) -> None:
    _reset_stream_options(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _make_preparer(
    stream: CurlStream, fresh: bool
) -> Callable[[pycurl.Curl], None]:
    def prepare(curl: pycurl.Curl) -> None:
        stream.prepare(curl)
        curl.setopt(pycurl.FRESH_CONNECT, int(fresh))

    return prepare


def classify_curl_error(
    error: curl_httpclient.CurlError,
) -> errors.TransportError:
    """Return the transport error of a curl error.

    It is `ConnectFailedError` if nothing was sent; after any other error the
    peer may have received the request.
    """
    errno = error.errno
    message = str(error)
    if errno in _NOT_SENT_ERRNOS:
        return errors.ConnectFailedError(message)
    if errno in _TOO_LARGE_ERRNOS:
        return errors.ResponseTooLargeError(message, "unknown")
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        if "Connection timed out" in message:
            return errors.ConnectFailedError(message)
        return errors.ConnectionSilentError(message, "unknown")
    return errors.ConnectionLostError(message, "unknown")


def parse_error_response(
    response: protocol.Response,
) -> errors.PeerRefusedError:
    """Return the coded error that a peer responded with."""
    try:
        body = decoding.decode(response.body, base_errors.ErrorBody)
    except msgspec.DecodeError:
        text = response.body[:MAX_QUOTED_BODY_BYTES].decode(errors="replace")
        return errors.PeerRefusedError(
            "malformed_refusal",
            f"status {response.status}: {text}",
            http_status=response.status,
        )
    return errors.PeerRefusedError(
        body["code"], body["message"], body["run"], response.status
    )


__all__ = (
    "MAX_BUFFERED_BYTES",
    "MAX_RESPONSE_BYTES",
    "CurlClient",
    "CurlStream",
    "classify_curl_error",
    "parse_error_response",
)
