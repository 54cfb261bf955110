from __future__ import annotations

import asyncio
from typing import Any

from tests.contract import support

from cyclamenwing.demo import fleet as demo_fleet
from cyclamenwing.demo import sample_requests

CHAT = "/v1/chat/completions"
KEY = {"Authorization": f"Bearer {demo_fleet.CALLER_KEY}"}
LIMIT_BYTES = 4096
GOOD = sample_requests.make_chat("a dossier", False, 3)
GOOD_BODY = support.encode(GOOD)


def chat(body: bytes, headers: dict[str, str] | None = None) -> support.Raw:
    return support.make_raw("POST", CHAT, KEY | (headers or {}), body)


def vary(**changes: Any) -> support.Raw:
    return chat(support.encode(GOOD | changes))


def as_key(value: str) -> support.Raw:
    return support.make_raw("POST", CHAT, {"Authorization": value}, GOOD_BODY)


NO_KEY: dict[str, str] = {}
BIG = b"x" * (LIMIT_BYTES + 1)
DEEP = b'{"model": "assistant", "messages": ' + b"[" * 4000

# Unknown callers get one answer, whatever they ask for.
STRANGERS = [
    support.make_raw("POST", CHAT, NO_KEY, GOOD_BODY),
    support.make_raw("GET", CHAT, NO_KEY),
    support.make_raw("POST", CHAT, NO_KEY, b"", length=10**9),
    support.make_raw("POST", "/services/records/decisions", NO_KEY, b"{}"),
    support.make_raw("GET", "/services/none/x", NO_KEY),
    support.make_raw("GET", "/nowhere", NO_KEY),
    as_key("Bearer wrong"),
    as_key("Bearer"),
    as_key("Bearer "),
    as_key(f"Basic {demo_fleet.CALLER_KEY}"),
    as_key(f"Bearer {demo_fleet.CALLER_KEY} "[:-2]),
    as_key("Bearer \xff\xfe"),
    support.make_raw(
        "POST",
        CHAT,
        [("Authorization", KEY["Authorization"]), ("Authorization", "x")],
        GOOD_BODY,
    ),
]

MALFORMED = {
    "not JSON": chat(b"{"),
    "empty": chat(b""),
    "wrong type": chat(b"[]"),
    "UTF-16": chat(GOOD_BODY.decode().encode("utf-16")),
    "bad UTF-8": chat(b'{"model": "\xff"}'),
    "too deep": chat(DEEP),
    "no messages": vary(messages=None),
    "messages text": vary(messages="x"),
    "message text": vary(messages=["x"]),
    "tokens text": vary(max_tokens="5"),
    "tokens zero": vary(max_tokens=0),
    "tokens negative": vary(max_tokens=-1),
    "tokens true": vary(max_tokens=True),
    "tokens half": vary(max_tokens=1.5),
}
FAULTS = [
    *(
        support.Row(name, raw, 400, "malformed_request")
        for name, raw in MALFORMED.items()
    ),
    support.Row(
        "tokens huge", vary(max_tokens=10**30), 402, "budget_exhausted"
    ),
    support.Row("model number", vary(model=7), 404, "unknown_route"),
    support.Row("model unknown", vary(model="none"), 404, "unknown_route"),
    support.Row("too large", chat(BIG), 413, "too_large"),
    support.Row(
        "too large, body never sent",
        support.make_raw("POST", CHAT, KEY, b"", length=10**12),
        413,
        "too_large",
    ),
    support.Row(
        "too large, chunked",
        support.make_chunked(CHAT, KEY, BIG),
        413,
        "too_large",
    ),
    support.Row(
        "slow",
        support.make_raw("POST", CHAT, KEY, b"{", length=100),
        408,
        "body_timeout",
    ),
    support.Row(
        "compressed",
        chat(GOOD_BODY, {"Content-Encoding": "gzip"}),
        415,
        "unsupported_encoding",
    ),
    support.Row(
        "wrong method",
        support.make_raw("GET", CHAT, KEY),
        405,
        "method_not_allowed",
    ),
    support.Row(
        "odd method",
        support.make_raw("BREW", CHAT, KEY),
        405,
        "method_not_allowed",
    ),
    support.Row(
        "wrong path", support.make_raw("POST", "/v1/x", KEY), 404, "not_found"
    ),
    support.Row(
        "unknown service",
        support.make_raw("POST", "/services/none/x", KEY),
        404,
        "unknown_route",
    ),
    support.Row(
        "chat route as a service",
        support.make_raw("POST", "/services/assistant/x", KEY),
        404,
        "unknown_route",
    ),
]

# The library answers what is not HTTP by itself, without a body.
NOT_HTTP = [
    support.Row(
        "truncated body", support.Raw(chat(GOOD_BODY).data[:-5], hold=False), 0
    ),
    support.Row("truncated headers", support.Raw(b"POST / HT", hold=False), 0),
    support.Row("nothing", support.Raw(b"", hold=False), 0),
    support.Row("no request line", support.Raw(b"hello\r\n\r\n"), 400),
    support.Row(
        "TLS", support.Raw(b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"), 400
    ),
    support.Row(
        "two lengths",
        support.make_raw("POST", CHAT, KEY | {"Content-Length": "3"}, b"{}"),
        400,
    ),
    support.Row(
        "negative length",
        support.make_raw(
            "POST", CHAT, KEY | {"Content-Length": "-5"}, None, -1
        ),
        400,
    ),
    support.Row(
        "endless header",
        support.Raw(b"POST / HTTP/1.1\r\nX: " + b"a" * 200_000),
        0,
    ),
]


async def check(made: demo_fleet.Fleet) -> list[str]:
    address = made.entries[0].address
    wrong = await support.run_table(address, FAULTS + NOT_HTTP)
    strangers = set(
        await asyncio.gather(
            *(support.exchange(address, raw) for raw in STRANGERS)
        )
    )
    if {reply.status for reply in strangers} != {401} or len(strangers) > 1:
        wrong.append(f"strangers learn: {strangers}")
    if sum(sum(engine.state.runs.values()) for engine in made.engines):
        wrong.append("a refused request ran")
    good = support.Row("good request", chat(GOOD_BODY), 200)
    return wrong + await support.run_table(address, [good])


def test_bad_input_is_refused_and_stops_nothing() -> None:
    async def run() -> list[str]:
        made = await demo_fleet.Fleet.start({
            "max_body_bytes": LIMIT_BYTES,
            "body_timeout_s": 0.3,
        })
        try:
            return await check(made)
        finally:
            await made.close()

    assert asyncio.run(run()) == []
