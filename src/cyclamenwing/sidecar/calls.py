"""What an order asks of the endpoint."""

from __future__ import annotations

import base64
from typing import Any
from typing import NamedTuple

import msgspec

from cyclamenwing.request import types
from cyclamenwing.sidecar import errors
from cyclamenwing.sidecar import meter
from cyclamenwing.transport import protocol as transport

STREAM_SILENCE_S = 30.0
CHAT_PATH = "/v1/chat/completions"
SAFE_HEADERS = frozenset((
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
    """Hold a call of the endpoint; `silence_s` bounds a time without bytes."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes | None
    silence_s: float
    metered: meter.Meter


def make_call(order: types.RunOrder, remaining_s: float) -> EndpointCall:
    """Return the endpoint call of an order with its time left."""
    return _MAKERS[order["protocol"]](order, remaining_s)


def pick_headers(head: transport.ResponseHead) -> dict[str, str]:
    """Return the headers of an answer that callers may see."""
    return {
        name: value
        for name, value in head.headers.items()
        if name in SAFE_HEADERS
    }


def decode_chat(order: types.RunOrder) -> dict[str, Any]:
    """Read the JSON body of a chat order."""
    try:
        return msgspec.json.decode(
            base64.b64decode(order["body"]), type=dict[str, Any]
        )
    except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as err:
        raise errors.SidecarError(f"order's body: {err}") from err


def _make_chat(order: types.RunOrder, remaining_s: float) -> EndpointCall:
    body = decode_chat(order)
    bound = order["max_tokens"]
    body.pop("max_completion_tokens", None)
    body["max_tokens"] = max(1, bound // body.get("n", 1))
    # Engines without priorities refuse the field, so the usual has none.
    body.pop("priority", None)
    if order["priority"]:
        body["priority"] = order["priority"]
    metered: meter.Meter = meter.WholeMeter(bound)
    silence_s = remaining_s
    if body.get("stream"):
        wants = body.get("stream_options") or {}
        body["stream_options"] = wants | {"include_usage": True}
        shown = bool(wants.get("include_usage"))
        metered = meter.StreamMeter(shown, bound)
        silence_s = min(STREAM_SILENCE_S, remaining_s)
    return EndpointCall(
        "POST",
        CHAT_PATH,
        _make_headers(order),
        msgspec.json.encode(body),
        silence_s,
        metered,
    )


def _make_plain(order: types.RunOrder, remaining_s: float) -> EndpointCall:
    try:
        body = base64.b64decode(order["body"], validate=True)
    except ValueError as err:
        raise errors.SidecarError(f"order's body: {err}") from err
    return EndpointCall(
        order["method"],
        order["path"],
        _make_headers(order),
        body or None,
        remaining_s,
        meter.PlainMeter(),
    )


def _make_headers(order: types.RunOrder) -> dict[str, str]:
    # The fleet key is for the fleet's own processes only.
    own = {"Authorization": "", "X-Request-Id": order["request"]}
    return order["headers"] | own


_MAKERS = {
    "chat": _make_chat,
    "plain": _make_plain,
}

__all__ = (
    "CHAT_PATH",
    "SAFE_HEADERS",
    "EndpointCall",
    "decode_chat",
    "make_call",
    "pick_headers",
)
