"""Parser and writer of the platform's request and answer headers."""

from __future__ import annotations

import math
import re

from cyclamenwing.gateway import calls
from cyclamenwing.platform import errors
from cyclamenwing.routing import rate_limits
from cyclamenwing.transport import h1

MS_PER_S = 1000.0
# Longer than any process runs. Far larger values of an endpoint would
# overflow when they are rounded.
MAX_REFUSE_S = 1e9

_DROPPED_HEADERS = h1.HOP_BY_HOP | {
    # The client's API key, and headers that clients may not set themselves.
    b"key",
    b"tenant",
    b"deadline-ms",
    b"expect-replica",
    b"expect-version",
    b"urgency",
    b"kv-hold",
    b"kv-backup",
    b"kv-from",
    b"kv-fetch",
    b"pin-ms",
}
_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}")
_DECIMAL = re.compile(rb"\d+(\.\d*)?|\.\d+")


def read_call(request: h1.Request) -> calls.Call:
    """Parse the headers of a client's request.

    If a header occurs more than once, the first one counts.

    :raises RequestUnreadableError: if a header can't be parsed
    """
    get_header = dict(reversed(request.headers)).get
    request_id = get_header(b"request-id")
    if request_id is not None and not _REQUEST_ID.fullmatch(request_id):
        raise errors.RequestUnreadableError("the Request-Id header is invalid")
    try:
        return calls.Call(
            request_id=request_id,
            virtual_host=_read_host(get_header(b"host", b"")),
            path=request.target.partition(b"?")[0].decode("ascii"),
            key=get_header(b"key", b"").decode("ascii"),
            wait_s=_read_wait(get_header(b"deadline-ms")),
            size=_read_size(get_header(b"token-counts")),
            parts=_read_parts(get_header(b"prompt-prefix", b"")),
            last_event_id=get_header(b"last-event-id"),
            resumes=get_header(b"resumes"),
        )
    except ValueError as err:
        raise errors.RequestUnreadableError(str(err)) from err


def write_call(
    request: h1.Request, call: calls.Call, options: calls.UpstreamOptions
) -> h1.Request:
    """Return a client's request with the headers for an endpoint."""
    headers = [
        header
        for header in request.headers
        if header[0] not in _DROPPED_HEADERS
    ]
    if options.resume_after is not None:
        headers = [
            header for header in headers if header[0] != b"last-event-id"
        ]
        headers.append((b"Last-Event-Id", options.resume_after))
    headers += [
        (b"Deadline-Ms", b"%d" % max(int(options.wait_s * MS_PER_S), 1)),
        (b"Expect-Replica", options.endpoint.encode()),
    ]
    if options.workspace is not None:
        headers.append((b"Tenant", options.workspace.encode()))
    return h1.Request(
        request.method, request.target, tuple(headers), request.body
    )


def read_answer(head: h1.ResponseHead) -> calls.AnswerMetadata:
    """Parse the headers of an endpoint's answer."""
    get_header = dict(head.headers).get
    limit_rps = _read_limit(get_header(b"server-limit"))
    keep_alive = re.search(rb"timeout=(\d+)", get_header(b"keep-alive", b""))
    return calls.AnswerMetadata(
        request_id=get_header(b"request-id"),
        signed=b"replica-stamp" in dict(head.headers),
        not_run=b"not-executed" in dict(head.headers) or head.status == 421,
        closes=b"close" in get_header(b"connection", b"").lower(),
        keep_alive_s=float(keep_alive[1]) if keep_alive else None,
        encoded=b"content-encoding" in dict(head.headers),
        leaving=get_header(b"server-leaving") == b"1",
        refuse_s=_read_refuse_time(head.status, get_header(b"retry-after")),
        limit_rps=limit_rps,
        limit_unreadable=limit_rps is None
        and get_header(b"server-limit") is not None,
        cold_remaining_s=_read_cold_time(get_header(b"cold-ms")),
    )


def write_refusal(
    refusal: calls.Refusal, request_id: bytes | None
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return status, headers and body of a refusal by the gateway."""
    headers = [(b"Content-Type", b"application/json")]
    if request_id is not None:
        headers.append((b"Request-Id", request_id))
    if refusal.retry_after_s is not None:
        # Rounded up, so that no client returns too early.
        hundredths = math.ceil(round(refusal.retry_after_s * 100, 6))
        headers.append((b"Retry-After", b"%.2f" % (hundredths / 100)))
    body = b'{"code":"%s","run":"%s"}' % (
        refusal.code.encode(),
        refusal.run.encode(),
    )
    return refusal.status, headers, body


def _read_host(value: bytes) -> str:
    return value.decode("ascii").partition(":")[0].lower()


def _read_wait(value: bytes | None) -> float | None:
    if value is None:
        return None
    wait_s = float(value) / MS_PER_S
    if not 0 <= wait_s < 86_400:
        raise ValueError("the Deadline-Ms header is out of range")
    return wait_s


def _read_refuse_time(status: int, value: bytes | None) -> float | None:
    """Return seconds; None if not asked for or not a finite number."""
    if status != 503 or value is None or not _DECIMAL.fullmatch(value):
        return None
    refuse_s = float(value)
    return min(refuse_s, MAX_REFUSE_S) if math.isfinite(refuse_s) else None


def _read_cold_time(value: bytes | None) -> float | None:
    """Return seconds; None if not stated or not a finite number."""
    if value is None or not _DECIMAL.fullmatch(value):
        return None
    cold_s = float(value) / MS_PER_S
    return min(cold_s, MAX_REFUSE_S) if math.isfinite(cold_s) else None


def _read_limit(value: bytes | None) -> float | None:
    """Return requests per second; None if not named or not above zero."""
    if value is None or not _DECIMAL.fullmatch(value):
        return None
    limit_rps = float(value)
    if not limit_rps:
        return None
    return min(
        max(limit_rps, rate_limits.MIN_LIMIT_RPS), rate_limits.MAX_LIMIT_RPS
    )


def _read_size(value: bytes | None) -> calls.Size | None:
    if value is None:
        return None
    prompt, _, output = value.partition(b",")
    size = calls.Size(int(prompt), int(output))
    if size.prompt_tokens < 0 or size.output_tokens < 0:
        raise ValueError("the Token-Counts header has a negative number")
    return size


def _read_parts(value: bytes) -> tuple[calls.Part, ...]:
    parts = []
    for item in value.decode("ascii").split(","):
        if item.strip():
            name, _, tokens = item.strip().partition(":")
            parts.append(calls.Part(name, int(tokens)))
    return tuple(parts)


__all__ = (
    "MAX_REFUSE_S",
    "read_answer",
    "read_call",
    "write_call",
    "write_refusal",
)
