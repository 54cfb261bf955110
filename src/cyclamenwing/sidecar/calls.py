"""Conversion of run orders to HTTP requests for the endpoint."""

from __future__ import annotations

import base64
from typing import Any
from typing import NamedTuple

import msgspec

from cyclamenwing import decoding
from cyclamenwing.request import types
from cyclamenwing.sidecar import errors
from cyclamenwing.sidecar import meter
from cyclamenwing.transport import protocol as transport

STREAM_SILENCE_S = 30.0
CHAT_PATH = "/v1/chat/completions"
FORWARDED_HEADERS = frozenset((
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
    "retry-after",
    "vary",
))


class EndpointCall(NamedTuple):
    """Hold one HTTP request for the endpoint.

    `silence_s` is the longest time without a received byte.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes | None
    silence_s: float
    usage_meter: meter.Meter


def make_call(order: types.RunOrder, remaining_s: float) -> EndpointCall:
    """Return the endpoint call of an order.

    :param remaining_s: time until the deadline of the order
    :raises SidecarError: if the body of the order can't be decoded
    """
    return _CALL_BUILDERS[order["protocol"]](order, remaining_s)


def filter_headers(head: transport.ResponseHead) -> dict[str, str]:
    """Return the response headers that are forwarded to callers."""
    return {
        name: value
        for name, value in head.headers.items()
        if name in FORWARDED_HEADERS
    }


def decode_chat(order: types.RunOrder) -> dict[str, Any]:
    """Return the decoded JSON body of a chat order.

    :raises SidecarError: if it can't be decoded
    """
    try:
        return decoding.decode_document(base64.b64decode(order["body"]))
    except (msgspec.DecodeError, ValueError) as err:
        raise errors.SidecarError(
            f"the order has a malformed body: {err}"
        ) from err


def _make_chat(order: types.RunOrder, remaining_s: float) -> EndpointCall:
    body = decode_chat(order)
    max_tokens = order["max_tokens"]
    body.pop("max_completion_tokens", None)
    body["max_tokens"] = max(1, max_tokens // body.get("n", 1))
    # Engines without priority support reject the field, so it is set only
    # for a priority other than the default.
    body.pop("priority", None)
    if order["priority"]:
        body["priority"] = order["priority"]
    usage_meter: meter.Meter = meter.BufferedMeter(max_tokens)
    silence_s = remaining_s
    if body.get("stream"):
        stream_options = body.get("stream_options") or {}
        body["stream_options"] = stream_options | {"include_usage": True}
        show_usage = bool(stream_options.get("include_usage"))
        usage_meter = meter.StreamMeter(show_usage, max_tokens)
        silence_s = min(STREAM_SILENCE_S, remaining_s)
    return EndpointCall(
        "POST",
        CHAT_PATH,
        _make_headers(order),
        msgspec.json.encode(body),
        silence_s,
        usage_meter,
    )


def _make_plain(order: types.RunOrder, remaining_s: float) -> EndpointCall:
    try:
        body = base64.b64decode(order["body"], validate=True)
    except ValueError as err:
        raise errors.SidecarError(
            f"the order has a malformed body: {err}"
        ) from err
    return EndpointCall(
        order["method"],
        order["path"],
        _make_headers(order),
        body or None,
        remaining_s,
        meter.PassThroughMeter(),
    )


def _make_headers(order: types.RunOrder) -> dict[str, str]:
    # The transport client sends the fleet key by default; it must not reach
    # the endpoint.
    overrides = {"Authorization": "", "X-Request-Id": order["request"]}
    return order["headers"] | overrides


_CALL_BUILDERS = {
    "chat": _make_chat,
    "plain": _make_plain,
}

__all__ = (
    "CHAT_PATH",
    "FORWARDED_HEADERS",
    "EndpointCall",
    "decode_chat",
    "filter_headers",
    "make_call",
)
