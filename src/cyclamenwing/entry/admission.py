"""Admission of callers' requests: API key, route, budgets and limits."""

from __future__ import annotations

import base64
import hashlib
import uuid
from typing import Any
from typing import NamedTuple

import msgspec

from cyclamenwing import decoding
from cyclamenwing.budget import types as budget_types
from cyclamenwing.catalog import index
from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.request import errors
from cyclamenwing.request import types
from cyclamenwing.routing import types as routing_types

DEFAULT_MAX_TOKENS = 1024
DEFAULT_TIMEOUT_S = 120.0
MESSAGE_OVERHEAD_TOKENS = 16
MAX_CHOICES = 16
MAX_KEY_LENGTH = 255
CHAT_KIND = "completion"
CALL_KIND = "call"
FORWARDED_HEADERS = (
    "Accept",
    "Accept-Language",
    "Content-Encoding",
    "Content-Type",
    "If-Match",
    "If-None-Match",
    "X-Reviewer",
)


class Caller(NamedTuple):
    """Hold a caller's request as received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Need(NamedTuple):
    """Hold the most units that a request may use of one budget."""

    budget: str
    unit: budget_types.Unit
    amount: int


class AdmittedRequest(NamedTuple):
    """Hold an admitted request.

    `has_client_key` is true if the caller sent an idempotency key, which
    its retries send as well.
    """

    request: str
    key: str
    submission: str
    has_client_key: bool
    fingerprint: str
    workspace: catalog_types.Workspace
    route: catalog_types.Route
    kind: str
    reviewer: str
    idempotent: bool
    stream: bool
    path: str
    max_tokens: int
    needs: list[Need]
    timeout_s: float
    caller: Caller


class RoutedRequest(NamedTuple):
    """Hold the route of a request and the values read from its body."""

    route: catalog_types.Route
    kind: str
    idempotent: bool
    stream: bool
    path: str
    prompt_tokens: int
    max_tokens: int


def admit_chat(catalog: index.Index, caller: Caller) -> AdmittedRequest:
    """Return the admitted chat completion; raise a coded error."""
    workspace = authenticate(catalog, caller)
    try:
        body = decoding.decode_document(caller.body)
        prompt = bound_prompt(body, len(caller.body))
    except msgspec.DecodeError as err:
        raise errors.MalformedRequestError(str(err)) from err
    model = body.get("model")
    route = (
        catalog.find_chat_route(model, workspace["name"])
        if isinstance(model, str)
        else None
    )
    if route is None:
        raise errors.UnknownRouteError(f"no route for model {model!r}")
    if len(caller.body) > route.get("max_body_bytes", len(caller.body)):
        raise errors.TooLargeError(
            f"request body exceeds the limit of route {route['name']!r}"
        )
    token_limit = _read_count(body, "max_tokens", DEFAULT_MAX_TOKENS)
    token_limit = _read_count(body, "max_completion_tokens", token_limit)
    choices = _read_count(body, "n", 1)
    if choices > MAX_CHOICES:
        raise errors.MalformedRequestError(f"n exceeds {MAX_CHOICES}")
    routed = RoutedRequest(
        route,
        route.get("kind", CHAT_KIND),
        True,
        body.get("stream") is True,
        caller.path,
        prompt,
        min(token_limit, route.get("max_tokens", token_limit)) * choices,
    )
    return _admit(catalog, workspace, routed, caller)


def admit_plain(
    catalog: index.Index, caller: Caller, name: str, path: str
) -> AdmittedRequest:
    """Return the admitted call of a plain service; raise a coded error."""
    workspace = authenticate(catalog, caller)
    match = catalog.find_plain_route(
        name, caller.method, path.partition("?")[0], workspace["name"]
    )
    if match is None:
        raise errors.UnknownRouteError(
            f"the workspace has no route for this call of {name!r}"
        )
    rule = match.rule or catalog_types.CallRule(
        method=caller.method, path=path
    )
    routed = RoutedRequest(
        match.route,
        rule.get("kind", match.route.get("kind", CALL_KIND)),
        rule.get("idempotent", False),
        False,
        path,
        0,
        0,
    )
    return _admit(catalog, workspace, routed, caller)


def authenticate(
    catalog: index.Index, caller: Caller
) -> catalog_types.Workspace:
    """Return the workspace of the caller's API key.

    :raises UnauthorizedError: if the key is missing or unknown
    """
    scheme, _, key = caller.headers.get("Authorization", "").partition(" ")
    workspace = catalog.find_workspace(key) if scheme == "Bearer" else None
    if workspace is None:
        raise errors.UnauthorizedError(
            "Authorization header has no valid bearer key"
        )
    return workspace


def bound_prompt(body: dict[str, Any], length: int) -> int:
    """Return an upper bound on the tokens of a prompt.

    Each token is at least one byte long. The whole body counts, since
    tools and schemas are part of the prompt.

    :param length: length of the body in bytes
    """
    messages = msgspec.convert(body.get("messages"), list[dict[str, Any]])
    return length + MESSAGE_OVERHEAD_TOKENS * (len(messages) + 1)


def fingerprint_request(
    workspace: str, route: str, method: str, path: str, body: bytes
) -> str:
    """Return a digest of what identifies a request's content.

    It covers the workspace, route, method, path and body.
    """
    digest = hashlib.sha256(
        f"{workspace}\0{route}\0{method}\0{path}\0".encode()
    )
    digest.update(body)
    return digest.hexdigest()


def identify_request(key: str) -> str:
    """Return the request id derived from a caller's idempotency key.

    :param key: the key, prefixed with the workspace's name
    """
    return hashlib.sha256(key.encode()).hexdigest()[:32]


def make_order(
    admitted: AdmittedRequest,
    charges: list[types.Charge],
    sidecar: str,
    attempt: int,
    revision: int,
    remaining_s: float,
) -> types.RunOrder:
    """Return the run order to send to a sidecar."""
    headers = {
        name: admitted.caller.headers[name]
        for name in FORWARDED_HEADERS
        if name in admitted.caller.headers
    }
    return {
        "request": admitted.request,
        "key": admitted.key,
        "submission": admitted.submission,
        "fingerprint": admitted.fingerprint,
        "sidecar": sidecar,
        "attempt": attempt,
        "workspace": admitted.workspace["name"],
        "route": admitted.route["name"],
        "kind": admitted.kind,
        "reviewer": admitted.reviewer,
        "protocol": admitted.route["protocol"],
        "idempotent": admitted.idempotent,
        "method": admitted.caller.method,
        "path": admitted.path,
        "headers": headers,
        "body": base64.b64encode(admitted.caller.body).decode(),
        "charges": charges,
        "max_tokens": admitted.max_tokens,
        "priority": routing_types.ENGINE_PRIORITIES[
            admitted.route.get("priority", "interactive")
        ],
        "deadline_ms": max(1, int(remaining_s * 1000)),
        "revision": revision,
    }


def _read_count(body: dict[str, Any], name: str, default: int) -> int:
    value = body.get(name)
    if value is None:
        return default
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise errors.MalformedRequestError(f"{name} is not a positive integer")
    return value


def _read_key(caller: Caller) -> str:
    client_key = caller.headers.get("Idempotency-Key", "")
    if len(client_key) > MAX_KEY_LENGTH or not client_key.isascii():
        raise errors.MalformedRequestError(
            "Idempotency-Key is too long or not ASCII"
        )
    return client_key


def _admit(
    catalog: index.Index,
    workspace: catalog_types.Workspace,
    routed: RoutedRequest,
    caller: Caller,
) -> AdmittedRequest:
    client_key = _read_key(caller)
    new_id = uuid.uuid4().hex
    key = f"{workspace['name']}/{client_key or new_id}"
    # A retry with the same key gets the same id, so that the bills of one
    # key are merged into one.
    request = identify_request(key) if client_key else new_id
    reviewer = caller.headers.get("X-Reviewer", "")
    tokens = routed.prompt_tokens + routed.max_tokens
    amounts = {"tokens": tokens, "requests": 1}
    rules = catalog.find_budgets(workspace, routed.kind, reviewer)
    needs = [
        Need(rule["name"], rule["unit"], amounts[rule["unit"]])
        for rule in rules
        if amounts[rule["unit"]]
    ]
    name = routed.route["name"]
    if routed.route["protocol"] == "chat" and not needs:
        raise errors.NoBudgetError(
            f"no budget of workspace {workspace['name']!r}"
            f" covers requests of kind {routed.kind!r}"
        )
    return AdmittedRequest(
        request,
        key,
        new_id,
        bool(client_key),
        fingerprint_request(
            workspace["name"], name, caller.method, routed.path, caller.body
        ),
        workspace,
        routed.route,
        routed.kind,
        reviewer,
        routed.idempotent,
        routed.stream,
        routed.path,
        routed.max_tokens,
        needs,
        routed.route.get("timeout_s", DEFAULT_TIMEOUT_S),
        caller,
    )


__all__ = (
    "AdmittedRequest",
    "Caller",
    "Need",
    "admit_chat",
    "admit_plain",
    "authenticate",
    "bound_prompt",
    "fingerprint_request",
    "identify_request",
    "make_order",
)
