"""Tornado delegates that limit requests before handlers run."""

from __future__ import annotations

import asyncio
import http
from collections.abc import Callable
from typing import cast

import msgspec
from tornado import httputil
from tornado import web

from cyclamenwing import errors as base_errors
from cyclamenwing.transport import errors
from cyclamenwing.transport import request_filter

BODY_TIMEOUT_S = 30.0
REFUSAL_LINGER_S = 1.0


class AdmissionDelegate(httputil.HTTPServerConnectionDelegate):
    """Pass admitted requests to the handlers of an application.

    :param application: handlers by path
    :param admission: filter that admits requests by their headers
    :param body_timeout_s: longest time for a complete body to arrive
    """

    def __init__(
        self,
        application: web.Application,
        admission: request_filter.RequestFilter,
        body_timeout_s: float = BODY_TIMEOUT_S,
    ) -> None:
        self._application = application
        self.admission = admission
        self.body_timeout_s = body_timeout_s

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate of one request."""
        inner = self._application.start_request(server_conn, request_conn)
        return RequestDelegate(self, inner, request_conn)


class RequestDelegate(httputil.HTTPMessageDelegate):
    """Reject one request early, or pass it to its handler.

    :param shared: settings that all requests share
    :param inner: delegate of the handler
    :param connection: connection of the request
    """

    def __init__(
        self,
        shared: AdmissionDelegate,
        inner: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._shared = shared
        self._inner = inner
        self._connection = connection
        self._limit_bytes = 0
        self._received_bytes = 0
        self._refused = False
        self._timer: asyncio.TimerHandle | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Admit the request by its headers or reject it."""
        request_line = cast(httputil.RequestStartLine, start_line)
        try:
            self._limit_bytes = self._shared.admission.admit(
                request_line.path, headers
            )
            check_body_headers(headers, self._limit_bytes)
        except base_errors.CodedError as err:
            self._refuse(err)
            return
        if has_body(headers):
            self._start_timer(
                self._shared.body_timeout_s, self._refuse_late_body
            )
        self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> None:
        """Pass on a part of the body, up to the size limit."""
        if self._refused:
            return
        self._received_bytes += len(chunk)
        if self._received_bytes > self._limit_bytes:
            self._refuse(make_too_large_error(self._limit_bytes))
            return
        self._inner.data_received(chunk)

    def finish(self) -> None:
        """Run the handler once the body is complete."""
        self._stop_timer()
        if self._refused:
            self._connection.finish()
            return
        self._inner.finish()

    def on_connection_close(self) -> None:
        """Stop the timer and inform the handler."""
        self._stop_timer()
        if not self._refused:
            self._inner.on_connection_close()

    def _refuse(self, error: base_errors.CodedError) -> None:
        self._refused = True
        self._stop_timer()
        body = msgspec.json.encode(error.describe())
        headers = httputil.HTTPHeaders({
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "Connection": "close",
        })
        if error.retry_after_s is not None:
            headers["Retry-After"] = str(round(error.retry_after_s))
        reason = http.HTTPStatus(error.status).phrase
        line = httputil.ResponseStartLine("HTTP/1.1", error.status, reason)
        self._connection.write_headers(line, headers, body)
        # Closing a connection with unread data resets it, and the client
        # could lose the response; so the close is delayed.
        self._start_timer(REFUSAL_LINGER_S, self._connection.finish)

    def _refuse_late_body(self) -> None:
        self._refuse(
            errors.BodyTimeoutError("the request body did not arrive in time")
        )

    def _start_timer(
        self, delay_s: float, callback: Callable[[], None]
    ) -> None:
        self._timer = asyncio.get_running_loop().call_later(delay_s, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def check_body_headers(
    headers: httputil.HTTPHeaders, limit_bytes: int
) -> None:
    """Check the headers that describe the body.

    :raises UnsupportedEncodingError: for a Content-Encoding
    :raises BodyTooLargeError: for a Content-Length above the limit
    """
    if headers.get("Content-Encoding", "identity") != "identity":
        raise errors.UnsupportedEncodingError(
            "Content-Encoding is not supported; send the body uncompressed"
        )
    length = headers.get("Content-Length", "0")
    if length.isdecimal() and int(length) > limit_bytes:
        raise make_too_large_error(limit_bytes)


def has_body(headers: httputil.HTTPHeaders) -> bool:
    """Return whether a body follows the headers."""
    length = headers.get("Content-Length", "0")
    return length != "0" or "Transfer-Encoding" in headers


def make_too_large_error(limit_bytes: int) -> errors.BodyTooLargeError:
    """Return the error for a body above the size limit."""
    return errors.BodyTooLargeError(
        f"the request body is larger than {limit_bytes} bytes"
    )


__all__ = (
    "BODY_TIMEOUT_S",
    "AdmissionDelegate",
    "RequestDelegate",
    "check_body_headers",
    "has_body",
)
