"""Guards against peers' invalid messages that stop an entry or sidecar."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.contract import support

from cyclamenwing.demo import fleet as demo_fleet

FLEET_HEADERS = {"Authorization": f"Bearer {demo_fleet.FLEET_KEY}"}
OVERSIZED_BYTES = 10**9
# Calls to these paths have no message, so none can be malformed.
PATHS_WITHOUT_MESSAGE = {"/peer/quarantine/list", "/peer/status", "/v1/status"}
LATER_VERSION_HEARTBEAT = {
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


def make_cases(path: str) -> list[support.ErrorCase]:
    cases = [
        support.ErrorCase(
            f"{path} {name}",
            support.make_raw("POST", path, FLEET_HEADERS, body),
            400,
            "malformed_message",
        )
        for name, body in MALFORMED.items()
        if path not in PATHS_WITHOUT_MESSAGE
    ]
    forbidden: dict[str, dict[str, str]] = {
        "no key": {},
        "caller's key": {"Authorization": f"Bearer {demo_fleet.CALLER_KEY}"},
        "no scheme": {"Authorization": demo_fleet.FLEET_KEY},
    }
    for name, headers in forbidden.items():
        raw = support.make_raw("POST", path, headers, b"", OVERSIZED_BYTES)
        text = f"{path} {name}"
        cases.append(support.ErrorCase(text, raw, 403, "forbidden_peer"))
    oversized = support.make_raw(
        "POST", path, FLEET_HEADERS, b"", OVERSIZED_BYTES
    )
    cases.append(
        support.ErrorCase(f"{path} large", oversized, 413, "too_large")
    )
    return cases


def test_invalid_messages_are_refused_and_peers_keep_serving() -> None:
    async def run() -> list[str]:
        fleet = await demo_fleet.Fleet.start()
        faults: list[str] = []
        try:
            ports: list[tuple[str, Any]] = [
                (fleet.entries[0].peer_address, fleet.entries[0]),
                (fleet.sidecars[0].address, fleet.sidecars[0]),
            ]
            for address, app in ports:
                paths = list_paths(app)
                cases = [case for path in paths for case in make_cases(path)]
                faults += await support.check_cases(address, cases)
            raw = support.make_raw(
                "POST",
                "/peer/heartbeat",
                FLEET_HEADERS,
                support.encode(LATER_VERSION_HEARTBEAT),
            )
            heartbeat = support.ErrorCase("replayed heartbeat", raw, 200)
            faults += await support.check_cases(ports[0][0], [heartbeat] * 3)
        finally:
            await fleet.close()
        return faults

    assert asyncio.run(run()) == []
