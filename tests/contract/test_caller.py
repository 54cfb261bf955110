"""Guards against callers' invalid requests that run or stop an entry."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.contract import support

from cyclamenwing.demo import fleet as demo_fleet
from cyclamenwing.demo import sample_requests

CHAT = "/v1/chat/completions"
KEY = {"Authorization": f"Bearer {demo_fleet.CALLER_KEY}"}
LIMIT_BYTES = 4096
VALID_MESSAGE = sample_requests.make_chat("a dossier", False, 3)
VALID_BODY = support.encode(VALID_MESSAGE)


def chat(
    body: bytes, headers: dict[str, str] | None = None
) -> support.RawRequest:
    return support.make_raw("POST", CHAT, KEY | (headers or {}), body)


def chat_with(**changes: Any) -> support.RawRequest:
    return chat(support.encode(VALID_MESSAGE | changes))


def with_authorization(value: str) -> support.RawRequest:
    return support.make_raw("POST", CHAT, {"Authorization": value}, VALID_BODY)


NO_KEY: dict[str, str] = {}
OVERSIZED_BODY = b"x" * (LIMIT_BYTES + 1)
DEEPLY_NESTED_BODY = b'{"model": "assistant", "messages": ' + b"[" * 4000

# Unauthenticated requests get the same answer whatever they ask for, so
# that the answer reveals neither routes nor keys.
UNAUTHENTICATED = [
    support.make_raw("POST", CHAT, NO_KEY, VALID_BODY),
    support.make_raw("GET", CHAT, NO_KEY),
    support.make_raw("POST", CHAT, NO_KEY, b"", length=10**9),
    support.make_raw("POST", "/services/records/decisions", NO_KEY, b"{}"),
    support.make_raw("GET", "/services/none/x", NO_KEY),
    support.make_raw("GET", "/nowhere", NO_KEY),
    with_authorization("Bearer wrong"),
    with_authorization("Bearer"),
    with_authorization("Bearer "),
    with_authorization(f"Basic {demo_fleet.CALLER_KEY}"),
    with_authorization(f"Bearer {demo_fleet.CALLER_KEY} "[:-2]),
    with_authorization("Bearer \xff\xfe"),
    support.make_raw(
        "POST",
        CHAT,
        [("Authorization", KEY["Authorization"]), ("Authorization", "x")],
        VALID_BODY,
    ),
]

MALFORMED = {
    "not JSON": chat(b"{"),
    "empty": chat(b""),
    "wrong type": chat(b"[]"),
    "UTF-16": chat(VALID_BODY.decode().encode("utf-16")),
    "bad UTF-8": chat(b'{"model": "\xff"}'),
    "too deep": chat(DEEPLY_NESTED_BODY),
    "no messages": chat_with(messages=None),
    "messages text": chat_with(messages="x"),
    "message text": chat_with(messages=["x"]),
    "tokens text": chat_with(max_tokens="5"),
    "tokens zero": chat_with(max_tokens=0),
    "tokens negative": chat_with(max_tokens=-1),
    "tokens true": chat_with(max_tokens=True),
    "tokens half": chat_with(max_tokens=1.5),
}
REFUSED = [
    *(
        support.ErrorCase(name, raw, 400, "malformed_request")
        for name, raw in MALFORMED.items()
    ),
    support.ErrorCase(
        "tokens huge", chat_with(max_tokens=10**30), 402, "budget_exhausted"
    ),
    support.ErrorCase(
        "model number", chat_with(model=7), 404, "unknown_route"
    ),
    support.ErrorCase(
        "model unknown", chat_with(model="none"), 404, "unknown_route"
    ),
    support.ErrorCase("too large", chat(OVERSIZED_BODY), 413, "too_large"),
    support.ErrorCase(
        "too large, body never sent",
        support.make_raw("POST", CHAT, KEY, b"", length=10**12),
        413,
        "too_large",
    ),
    support.ErrorCase(
        "too large, chunked",
        support.make_chunked(CHAT, KEY, OVERSIZED_BODY),
        413,
        "too_large",
    ),
    support.ErrorCase(
        "slow",
        support.make_raw("POST", CHAT, KEY, b"{", length=100),
        408,
        "body_timeout",
    ),
    support.ErrorCase(
        "compressed",
        chat(VALID_BODY, {"Content-Encoding": "gzip"}),
        415,
        "unsupported_encoding",
    ),
    support.ErrorCase(
        "wrong method",
        support.make_raw("GET", CHAT, KEY),
        405,
        "method_not_allowed",
    ),
    support.ErrorCase(
        "odd method",
        support.make_raw("BREW", CHAT, KEY),
        405,
        "method_not_allowed",
    ),
    support.ErrorCase(
        "wrong path", support.make_raw("POST", "/v1/x", KEY), 404, "not_found"
    ),
    support.ErrorCase(
        "unknown service",
        support.make_raw("POST", "/services/none/x", KEY),
        404,
        "unknown_route",
    ),
    support.ErrorCase(
        "chat route as a service",
        support.make_raw("POST", "/services/assistant/x", KEY),
        404,
        "unknown_route",
    ),
]

# The HTTP library itself answers input that is not HTTP, without a body.
NOT_HTTP = [
    support.ErrorCase(
        "truncated body",
        support.RawRequest(chat(VALID_BODY).data[:-5], keep_open=False),
        0,
    ),
    support.ErrorCase(
        "truncated headers",
        support.RawRequest(b"POST / HT", keep_open=False),
        0,
    ),
    support.ErrorCase("nothing", support.RawRequest(b"", keep_open=False), 0),
    support.ErrorCase(
        "no request line", support.RawRequest(b"hello\r\n\r\n"), 400
    ),
    support.ErrorCase(
        "TLS", support.RawRequest(b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"), 400
    ),
    support.ErrorCase(
        "two lengths",
        support.make_raw("POST", CHAT, KEY | {"Content-Length": "3"}, b"{}"),
        400,
    ),
    support.ErrorCase(
        "negative length",
        support.make_raw(
            "POST", CHAT, KEY | {"Content-Length": "-5"}, None, -1
        ),
        400,
    ),
    support.ErrorCase(
        "endless header",
        support.RawRequest(b"POST / HTTP/1.1\r\nX: " + b"a" * 200_000),
        0,
    ),
]


async def check(fleet: demo_fleet.Fleet) -> list[str]:
    address = fleet.entries[0].address
    faults = await support.check_cases(address, REFUSED + NOT_HTTP)
    replies = set(
        await asyncio.gather(
            *(support.send_raw(address, raw) for raw in UNAUTHENTICATED)
        )
    )
    if {reply.status for reply in replies} != {401} or len(replies) > 1:
        faults.append(
            f"unauthenticated requests get different answers: {replies}"
        )
    if sum(sum(engine.state.runs.values()) for engine in fleet.engines):
        faults.append("a refused request ran")
    valid = support.ErrorCase("good request", chat(VALID_BODY), 200)
    return faults + await support.check_cases(address, [valid])


def test_invalid_requests_are_refused_and_the_entry_keeps_serving() -> None:
    async def run() -> list[str]:
        fleet = await demo_fleet.Fleet.start({
            "max_body_bytes": LIMIT_BYTES,
            "body_timeout_s": 0.3,
        })
        try:
            return await check(fleet)
        finally:
            await fleet.close()

    assert asyncio.run(run()) == []
