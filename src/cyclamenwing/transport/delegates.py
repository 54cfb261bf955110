"""Bounded intake of request bodies, ahead of the handlers."""

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
LINGER_S = 1.0


class AdmissionDelegate(httputil.HTTPServerConnectionDelegate):
    """Pass requests on whose headers and bodies are admitted.

    :param application: handlers by path
    :param admission: decides by headers
    :param body_timeout_s: time for a whole body to arrive
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
        """Return the intake of one request."""
        inner = self._application.start_request(server_conn, request_conn)
        return RequestDelegate(self, inner, request_conn)


class RequestDelegate(httputil.HTTPMessageDelegate):
    """Refuse one request early, or pass it on to its handler.

    :param intake: what all requests share
    :param inner: delegate of the handler
    :param connection: the request's connection
    """

    def __init__(
        self,
        intake: AdmissionDelegate,
        inner: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._intake = intake
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
        """Admit the request by its headers."""
        request_line = cast(httputil.RequestStartLine, start_line)
        try:
            self._limit_bytes = self._intake.admission.admit(
                request_line.path, headers
            )
            check_headers(headers, self._limit_bytes)
        except base_errors.CodedError as err:
            self._refuse(err)
            return
        if has_body(headers):
            self._start_timer(self._intake.body_timeout_s, self._time_out)
        self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        if self._refused:
            return
        self._received_bytes += len(chunk)
        if self._received_bytes > self._limit_bytes:
            self._refuse(make_too_large(self._limit_bytes))
            return
        self._inner.data_received(chunk)

    def finish(self) -> None:
        """Run the handler once the body is whole."""
        self._stop_timer()
        if self._refused:
            self._connection.finish()
            return
        self._inner.finish()

    def on_connection_close(self) -> None:
        """Drop what was received."""
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
        # Closing with unread data would reset the connection, and the
        # sender would never see the answer.
        self._start_timer(LINGER_S, self._connection.finish)

    def _time_out(self) -> None:
        self._refuse(errors.BodyTimeoutError("the body did not arrive"))

    def _start_timer(self, delay_s: float, act: Callable[[], None]) -> None:
        self._timer = asyncio.get_running_loop().call_later(delay_s, act)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def check_headers(headers: httputil.HTTPHeaders, limit_bytes: int) -> None:
    """Raise a coded error for a body that will not be read."""
    if headers.get("Content-Encoding", "identity") != "identity":
        raise errors.UnsupportedEncodingError("send the body uncompressed")
    length = headers.get("Content-Length", "0")
    if length.isdecimal() and int(length) > limit_bytes:
        raise make_too_large(limit_bytes)


def has_body(headers: httputil.HTTPHeaders) -> bool:
    """Tell whether a body follows the headers."""
    length = headers.get("Content-Length", "0")
    return length != "0" or "Transfer-Encoding" in headers


def make_too_large(limit_bytes: int) -> errors.BodyTooLargeError:
    """Return the refusal of a body beyond a limit."""
    return errors.BodyTooLargeError(
        f"the body is larger than {limit_bytes} bytes"
    )


__all__ = (
    "BODY_TIMEOUT_S",
    "AdmissionDelegate",
    "RequestDelegate",
    "check_headers",
    "has_body",
)
