"""JSON nested too deeply, on every path that decodes what others wrote.

Pattern: an entry of 13,500 nested bytes in the list of endpoints raised
RecursionError, which no reader expected; it ended the watch of all endpoints.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import pathlib
import re
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from tests.gateway import deployments

from cyclamenwing import decoding
from cyclamenwing import errors
from cyclamenwing.budget import shard
from cyclamenwing.gateway import host_record
from cyclamenwing.gateway import pool_restoration
from cyclamenwing.gateway import records
from cyclamenwing.gateway import registration
from cyclamenwing.platform import configuration
from cyclamenwing.platform import endpoints
from cyclamenwing.routing import prefix
from cyclamenwing.settings import documents
from cyclamenwing.sidecar import calls
from cyclamenwing.sidecar import meter
from cyclamenwing.store import protocol
from cyclamenwing.transport import frame_codec
from cyclamenwing.transport import h1
from cyclamenwing.transport import pooled_client

SOURCES = pathlib.Path(decoding.__file__).parent
OPERATOR_KEY = b"operators-only"
FOLLOW_S = 0.3
# Each within the size of an entry, a body and a message of a peer.
NESTED_VALUES = [
    b'{"entry":' * 1500,
    b"[" * 100_000,
    b'{"x":' + b"[" * 100_000,
    b'{"x":' + b'{"a":' * 2000 + b"1" + b"}" * 2001,
]


@pytest.mark.parametrize("value", NESTED_VALUES)
@pytest.mark.parametrize("kind", [dict[str, Any], Any, records.PoolRecord])
def test_deep_nesting_is_a_decode_error(value: bytes, kind: Any) -> None:
    with pytest.raises(msgspec.DecodeError):
        decoding.decode(value, kind)


def make_nested(depth: int) -> bytes:
    return b'{"a":' * depth + b"1" + b"}" * depth


def test_document_is_nested_no_deeper_than_it_can_be_encoded() -> None:
    """A sidecar encodes a chat body again, below other calls."""
    document = decoding.decode_document(make_nested(decoding.MAX_DEPTH))
    assert msgspec.json.encode(document) == make_nested(decoding.MAX_DEPTH)
    for value in (
        make_nested(decoding.MAX_DEPTH + 1),
        b'{"a":' + b"[" * 200 + b"]" * 200 + b"}",
    ):
        with pytest.raises(msgspec.DecodeError):
            decoding.decode_document(value)


CODED_READERS: dict[str, Callable[[bytes], Any]] = {
    "endpoint": lambda v: endpoints.read_endpoint("servers/i-1", v),
    "configuration": configuration.read_configuration,
    "chat order": lambda v: calls.decode_chat({
        "body": base64.b64encode(v).decode()
    }),  # type: ignore[typeddict-item]
    "chat event": lambda v: meter.StreamMeter(False, 3).feed(
        b"data: " + v + b"\n\n"
    ),
    "frame": frame_codec.decode_frame,
    "ledger shard": shard.ShardCodec().decode,
    "settings": lambda v: documents.parse_document("file", v.decode()),
}


@pytest.mark.parametrize("value", NESTED_VALUES)
@pytest.mark.parametrize("reader", CODED_READERS)
def test_reader_refuses_deep_nesting_with_a_code(
    reader: str, value: bytes
) -> None:
    with pytest.raises(errors.CodedError):
        CODED_READERS[reader](value)


@pytest.mark.parametrize("value", NESTED_VALUES)
def test_record_nested_too_deeply_is_unreadable(value: bytes) -> None:
    entry = protocol.Entry("key", value, 1)
    assert records.read_holder(entry) is None
    assert registration.read_member(entry) is None
    assert prefix.digest_chat(value) == ()


def test_each_reader_of_json_uses_the_common_decoder() -> None:
    """A direct call of msgspec would miss that JSON is nested too deeply."""
    pattern = re.compile(r"msgspec\.(json|msgpack|yaml|toml)\.(decode|Deco)")
    found = [
        str(path.relative_to(SOURCES))
        for path in SOURCES.rglob("*.py")
        if pattern.search(path.read_text())
    ]
    assert found == ["decoding.py"]


async def drain(deployment: deployments.Deployment, number: int) -> None:
    """Mark an endpoint as draining, and let the gateways learn of it."""
    endpoint = deployment.endpoints[number]
    await deployment.store.put(
        f"servers/{endpoint.name}", endpoint.describe("draining")
    )
    await asyncio.sleep(FOLLOW_S)


async def count_new_arrivals(
    deployment: deployments.Deployment, number: int, gateway: int = 0
) -> int:
    """Send requests that have to be answered; count those that reach one."""
    endpoint = deployment.endpoints[number]
    before = endpoint.arrivals
    for _ in range(8):
        head, _ = await deployment.send("read", b"GET", gateway)
        assert head.status == 200
    return endpoint.arrivals - before


@pytest.mark.parametrize("value", NESTED_VALUES)
def test_nested_entry_leaves_the_other_endpoints_followed(
    value: bytes,
) -> None:
    """The entry's key is the first, so all others are read after it."""

    async def check() -> None:
        async with deployments.deploy() as deployment:
            await deployment.store.put("servers/0", value)
            await drain(deployment, 0)
            assert await count_new_arrivals(deployment, 0) == 0
            # A process that starts reads the entry with all others.
            await deployment.add_gateway("g1")
            assert await count_new_arrivals(deployment, 0, 1) == 0

    asyncio.run(check())


@pytest.mark.parametrize("value", NESTED_VALUES)
def test_nested_entry_of_any_kind_ends_no_watch(value: bytes) -> None:
    """Configuration, members, records and pools are read from the store."""

    async def check() -> None:
        async with deployments.deploy() as deployment:
            for key in (
                "op/config",
                registration.HOSTS_PREFIX + "0",
                host_record.HOLDER_PREFIX + "0",
                pool_restoration.POOL_PREFIX + "0",
            ):
                await deployment.store.put(key, value)
            await drain(deployment, 0)
            assert await count_new_arrivals(deployment, 0) == 0
            newer = deployments.make_configuration(
                2, tenants=[{"name": "t2", "api_keys": ["k2"]}]
            )
            await deployment.store.put("op/config", newer)
            await asyncio.sleep(FOLLOW_S)
            head, _ = await deployment.send("read", b"GET")
            assert head.status == 401
            await deployment.store.put(
                "op/config", deployments.make_configuration(3)
            )
            await deployment.add_gateway("g1")
            assert await count_new_arrivals(deployment, 0, 1) == 0

    asyncio.run(check())


class FakeConnection:
    """Receive the answer to a call of a peer or an operator."""

    status = 0

    async def respond(self, status: int, *_: Any) -> None:
        self.status = status


@pytest.mark.parametrize("value", NESTED_VALUES)
def test_nested_message_of_a_peer_or_operator_is_refused(
    value: bytes,
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            gateway = deployment.gateways[0]
            gateway._operator_calls._key_sha256 = hashlib.sha256(
                OPERATOR_KEY
            ).hexdigest()
            headers = ((b"authorization", b"Bearer " + OPERATOR_KEY),)
            statuses = {}
            for caller in (gateway._peers, gateway._operator_calls):
                for path in caller.handlers:
                    connection = FakeConnection()
                    await caller.handle(
                        connection,  # type: ignore[arg-type]
                        h1.Request(b"POST", path.encode(), headers, value),
                    )
                    statuses[path] = connection.status
            # This call has no body.
            assert statuses.pop("/peers/configuration") == 200
            assert set(statuses.values()) == {400}

    asyncio.run(check())


def test_nested_answer_of_a_peer_is_a_failed_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The tasks that exchange gossip and ask for tokens go on."""
    value = NESTED_VALUES[0]

    async def answer(*_: Any, **__: Any) -> tuple[int, bytes]:
        return 200, value

    async def check() -> None:
        async with deployments.deploy(2) as deployment:
            gateway = deployment.gateways[0]
            await asyncio.sleep(FOLLOW_S)
            peer = gateway.board.peers["g1"]
            monkeypatch.setattr(pooled_client.PooledClient, "call", answer)
            peers = gateway._peers
            assert await peers.request_tokens(peer, "t1", 5) == 0
            await peers._exchange_gossip(peer.address, "g1")
            assert await peers.request_record_ages("dead") == []

    asyncio.run(check())
