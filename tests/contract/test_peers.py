from __future__ import annotations

import asyncio
from typing import Any

from tests.contract import support

from cyclamenwing.demo import fleet as demo_fleet

KEY = {"Authorization": f"Bearer {demo_fleet.FLEET_KEY}"}
BIG_BYTES = 10**9
# Paths whose calls carry no message.
BODILESS = {"/peer/quarantine/list", "/peer/status", "/v1/status"}
BEAT = {
    "host": "late",
    "role": "sidecar",
    "zone": "zone-0",
    "address": "127.0.0.1:9",
    "incarnation": "one",
    "route": "none",
    "leaving": True,
    "revision": 0,
    "load": 0,
    "news": {},
    "added_by_a_later_version": [1, 2],
}

MALFORMED: dict[str, bytes] = {
    "empty": b"",
    "not JSON": b"{",
    "wrong type": b"17",
    "wrong field types": b'{"host": 3, "request": 4, "session": []}',
    "UTF-16": '{"host": "h"}'.encode("utf-16"),
    "bad UTF-8": b'{"host": "\xff", "request": "\xff"}',
    "too deep": b'{"news": ' + b"[" * 4000,
}


def list_paths(app: Any) -> list[str]:
    return [
        handler[0]
        for item in app._parts
        for handler in item.list_handlers()
        if "(" not in handler[0]
    ]


def make_rows(path: str) -> list[support.Row]:
    rows = [
        support.Row(
            f"{path} {name}",
            support.make_raw("POST", path, KEY, body),
            400,
            "malformed_message",
        )
        for name, body in MALFORMED.items()
        if path not in BODILESS
    ]
    forbidden: dict[str, dict[str, str]] = {
        "no key": {},
        "caller's key": {"Authorization": f"Bearer {demo_fleet.CALLER_KEY}"},
        "no scheme": {"Authorization": demo_fleet.FLEET_KEY},
    }
    for name, headers in forbidden.items():
        raw = support.make_raw("POST", path, headers, b"", BIG_BYTES)
        text = f"{path} {name}"
        rows.append(support.Row(text, raw, 403, "forbidden_peer"))
    large = support.make_raw("POST", path, KEY, b"", BIG_BYTES)
    rows.append(support.Row(f"{path} large", large, 413, "too_large"))
    return rows


def test_bad_messages_are_refused_and_stop_nothing() -> None:
    async def run() -> list[str]:
        made = await demo_fleet.Fleet.start()
        wrong: list[str] = []
        try:
            ports: list[tuple[str, Any]] = [
                (made.entries[0].peer_address, made.entries[0]),
                (made.sidecars[0].address, made.sidecars[0]),
            ]
            for address, app in ports:
                paths = list_paths(app)
                rows = [row for path in paths for row in make_rows(path)]
                wrong += await support.run_table(address, rows)
            raw = support.make_raw(
                "POST", "/peer/heartbeat", KEY, support.encode(BEAT)
            )
            good = support.Row("replayed heartbeat", raw, 200)
            wrong += await support.run_table(ports[0][0], [good] * 3)
        finally:
            await made.close()
        return wrong

    assert asyncio.run(run()) == []
