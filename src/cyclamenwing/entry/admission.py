"""Admission of a caller's request: key, route, budgets and bounds."""

from __future__ import annotations

import base64
import hashlib
import uuid
from typing import Any
from typing import NamedTuple

import msgspec

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
PASSED_HEADERS = (
    "Accept",
    "Accept-Language",
    "Content-Encoding",
    "Content-Type",
    "If-Match",
    "If-None-Match",
    "X-Reviewer",
)


class Caller(NamedTuple):
    """Hold a caller's request as it arrived."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Need(NamedTuple):
    """Hold the units that a request may use of one budget at most."""

    budget: str
    unit: budget_types.Unit
    amount: int


class AdmittedRequest(NamedTuple):
    """Hold a request that may be served.

    `keyed` marks a key that the caller gave, so that a retry has it too.
    """

    request: str
    key: str
    submission: str
    keyed: bool
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
    """Hold the route of a request and what its body says."""

    route: catalog_types.Route
    kind: str
    idempotent: bool
    stream: bool
    path: str
    prompt_tokens: int
    max_tokens: int


def admit_chat(catalog: index.Index, caller: Caller) -> AdmittedRequest:
    """Admit a chat completion; raise a coded error."""
    workspace = authenticate(catalog, caller)
    try:
        body = msgspec.json.decode(caller.body, type=dict[str, Any])
        prompt = bound_prompt(body, len(caller.body))
    except (
        msgspec.ValidationError,
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as err:
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
        raise errors.TooLargeError(f"beyond the limit of {route['name']!r}")
    wanted = _read_count(body, "max_tokens", DEFAULT_MAX_TOKENS)
    wanted = _read_count(body, "max_completion_tokens", wanted)
    choices = _read_count(body, "n", 1)
    if choices > MAX_CHOICES:
        raise errors.MalformedRequestError(f"n is above {MAX_CHOICES}")
    made = RoutedRequest(
        route,
        route.get("kind", CHAT_KIND),
        True,
        body.get("stream") is True,
        caller.path,
        prompt,
        min(wanted, route.get("max_tokens", wanted)) * choices,
    )
    return _accept(catalog, workspace, made, caller)


def admit_plain(
    catalog: index.Index, caller: Caller, name: str, path: str
) -> AdmittedRequest:
    """Admit a call of a plain service; raise a coded error."""
    workspace = authenticate(catalog, caller)
    match = catalog.find_plain_route(
        name, caller.method, path.partition("?")[0], workspace["name"]
    )
    if match is None:
        raise errors.UnknownRouteError(f"no route {name!r}")
    rule = match.rule or catalog_types.CallRule(
        method=caller.method, path=path
    )
    made = RoutedRequest(
        match.route,
        rule.get("kind", match.route.get("kind", CALL_KIND)),
        rule.get("idempotent", False),
        False,
        path,
        0,
        0,
    )
    return _accept(catalog, workspace, made, caller)


def authenticate(
    catalog: index.Index, caller: Caller
) -> catalog_types.Workspace:
    """Return the caller's workspace; raise `UnauthorizedError`."""
    scheme, _, key = caller.headers.get("Authorization", "").partition(" ")
    workspace = catalog.find_workspace(key) if scheme == "Bearer" else None
    if workspace is None:
        raise errors.UnauthorizedError("no valid key")
    return workspace


def bound_prompt(body: dict[str, Any], length: int) -> int:
    """Return a bound on the prompt's tokens; no token is under a byte.

    The whole body counts, since tools and schemas are in the prompt too.
    """
    messages = msgspec.convert(body.get("messages"), list[dict[str, Any]])
    return length + MESSAGE_OVERHEAD_TOKENS * (len(messages) + 1)


def fingerprint_request(
    workspace: str, route: str, method: str, path: str, body: bytes
) -> str:
    """Return a digest of what a request asks for."""
    digest = hashlib.sha256(
        f"{workspace}\0{route}\0{method}\0{path}\0".encode()
    )
    digest.update(body)
    return digest.hexdigest()


def identify_request(key: str) -> str:
    """Return the request id of a caller's key in its workspace."""
    return hashlib.sha256(key.encode()).hexdigest()[:32]


def make_order(
    accepted: AdmittedRequest,
    charges: list[types.Charge],
    sidecar: str,
    attempt: int,
    revision: int,
    remaining_s: float,
) -> types.RunOrder:
    """Make the order that a sidecar runs."""
    headers = {
        name: accepted.caller.headers[name]
        for name in PASSED_HEADERS
        if name in accepted.caller.headers
    }
    return {
        "request": accepted.request,
        "key": accepted.key,
        "submission": accepted.submission,
        "fingerprint": accepted.fingerprint,
        "sidecar": sidecar,
        "attempt": attempt,
        "workspace": accepted.workspace["name"],
        "route": accepted.route["name"],
        "kind": accepted.kind,
        "reviewer": accepted.reviewer,
        "protocol": accepted.route["protocol"],
        "idempotent": accepted.idempotent,
        "method": accepted.caller.method,
        "path": accepted.path,
        "headers": headers,
        "body": base64.b64encode(accepted.caller.body).decode(),
        "charges": charges,
        "max_tokens": accepted.max_tokens,
        "priority": routing_types.ENGINE_PRIORITIES[
            accepted.route.get("priority", "interactive")
        ],
        "deadline_ms": max(1, int(remaining_s * 1000)),
        "revision": revision,
    }


def _read_count(body: dict[str, Any], name: str, default: int) -> int:
    value = body.get(name)
    if value is None:
        return default
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise errors.MalformedRequestError(f"{name} is not positive")
    return value


def _read_key(caller: Caller) -> str:
    given = caller.headers.get("Idempotency-Key", "")
    if len(given) > MAX_KEY_LENGTH or not given.isascii():
        raise errors.MalformedRequestError("Idempotency-Key can't be used")
    return given


def _accept(
    catalog: index.Index,
    workspace: catalog_types.Workspace,
    made: RoutedRequest,
    caller: Caller,
) -> AdmittedRequest:
    given = _read_key(caller)
    fresh = uuid.uuid4().hex
    key = f"{workspace['name']}/{given or fresh}"
    # A retry has the same id, so that bills of one key fold to one.
    request = identify_request(key) if given else fresh
    reviewer = caller.headers.get("X-Reviewer", "")
    tokens = made.prompt_tokens + made.max_tokens
    amounts = {"tokens": tokens, "requests": 1}
    rules = catalog.find_budgets(workspace, made.kind, reviewer)
    needs = [
        Need(rule["name"], rule["unit"], amounts[rule["unit"]])
        for rule in rules
        if amounts[rule["unit"]]
    ]
    name = made.route["name"]
    if made.route["protocol"] == "chat" and not needs:
        raise errors.NoBudgetError(
            f"no budget of {workspace['name']!r} pays for {made.kind!r}"
        )
    return AdmittedRequest(
        request,
        key,
        fresh,
        bool(given),
        fingerprint_request(
            workspace["name"], name, caller.method, made.path, caller.body
        ),
        workspace,
        made.route,
        made.kind,
        reviewer,
        made.idempotent,
        made.stream,
        made.path,
        made.max_tokens,
        needs,
        made.route.get("timeout_s", DEFAULT_TIMEOUT_S),
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
