"""Probes of runs, claims, streams and request timelines."""

from __future__ import annotations

import base64

import msgspec

from cyclamenwing.bench import memory
from cyclamenwing.bench import slopes
from cyclamenwing.bench import timing
from cyclamenwing.request import assembly
from cyclamenwing.request import claims
from cyclamenwing.request import journal
from cyclamenwing.request import run_table
from cyclamenwing.request import runs
from cyclamenwing.request import types
from cyclamenwing.sidecar import meter
from cyclamenwing.transport import frame_codec

PROMPT_BYTES = 2_000
TOKENS_PER_ANSWER = 200
SMALL_ANSWER_BYTES = 200
EVENT = (
    b'data: {"id":"chatcmpl-0123456789abcdef0123456789abcdef",'
    b'"object":"chat.completion.chunk","model":"assistant",'
    b'"choices":[{"index":0,"delta":{"content":"word "}}]}\n\n'
)


def make_order(number: int) -> types.RunOrder:
    """Return the run order of a chat completion."""
    request = f"{number:032x}"
    return {
        "request": request,
        "key": f"workspace/{request}",
        "submission": request,
        "fingerprint": f"{number:064x}",
        "sidecar": "incarnation",
        "attempt": 1,
        "workspace": "workspace",
        "route": "assistant",
        "kind": "completion",
        "reviewer": "",
        "protocol": "chat",
        "idempotent": True,
        "method": "POST",
        "path": "/v1/chat/completions",
        "headers": {},
        "body": base64.b64encode(b"x" * PROMPT_BYTES).decode(),
        "charges": [],
        "max_tokens": TOKENS_PER_ANSWER,
        "priority": 0,
        "deadline_ms": 60_000,
        "revision": 1,
    }


def measure_run_bytes(count: int) -> float:
    """Return the bytes that ended runs and their answers allocate."""

    def build() -> run_table.RunTable:
        table = run_table.RunTable()
        controller = runs.RunController()
        for number in range(count):
            run = controller.admit(table, make_order(number), 0.0).run
            controller.append(table, run, EVENT * TOKENS_PER_ANSWER)
            controller.finish(table, run, 1.0)
        return table

    return memory.measure_bytes(build)


def measure_tombstone_bytes(count: int) -> float:
    """Return the bytes that tombstones of ended runs allocate."""

    def build() -> run_table.RunTable:
        table = run_table.RunTable()
        controller = runs.RunController(run_table.MAX_HELD_BYTES)
        for number in range(count):
            run = controller.admit(table, make_order(number), 0.0).run
            controller.finish(table, run, 1.0)
        return table

    return memory.measure_bytes(build)


def measure_fence_bytes(count: int) -> float:
    """Return the bytes that fenced keys allocate."""

    def build() -> run_table.RunTable:
        table = run_table.RunTable()
        controller = runs.RunController()
        for number in range(count):
            controller.fence_key(table, f"workspace/{number:032x}", 1, 0.0)
        return table

    return memory.measure_bytes(build)


def measure_claim_bytes(count: int) -> float:
    """Return the encoded bytes of a shard of ended claims."""
    return float(len(msgspec.json.encode(make_claim_shard(count))))


def measure_claim_cpu(count: int) -> float:
    """Return the microseconds to decode, change and encode a claim shard."""
    encoded = msgspec.json.encode(make_claim_shard(count))
    codec = claims.ShardCodec()

    def update_shard() -> None:
        shard = codec.decode(encoded)
        claims.apply_ops(shard, [make_acquire_op(count)], "commit", 1.0)
        codec.encode(shard)

    return timing.measure_cpu_us(update_shard)


def make_claim_shard(count: int) -> claims.ClaimShard:
    """Return a shard of ended claims with small answers."""
    shard: claims.ClaimShard = {"commits": [], "claims": {}}
    for number in range(count):
        acquire = make_acquire_op(number)
        complete: claims.CompleteOp = {
            "op": "end",
            "key": acquire["key"],
            "attempt": 1,
            "status": 201,
            "headers": {"content-type": "application/json"},
            "body": claims.encode_body(b"x" * SMALL_ANSWER_BYTES),
        }
        claims.apply_ops(shard, [acquire, complete], f"{number:032x}", 1.0)
    return shard


def make_acquire_op(number: int) -> claims.AcquireOp:
    """Return the operation that claims a key for a request."""
    return {
        "op": "take",
        "key": f"workspace/{number:032x}",
        "request": f"{number:032x}",
        "fingerprint": f"{number:064x}",
        "session": f"entry-1/{number:032x}",
        "place": {
            "host": "endpoint-1",
            "address": "10.0.0.1:8080",
            "incarnation": f"{number:032x}",
        },
        "replaces": 0,
    }


def measure_meter_cpu(tokens: int) -> float:
    """Return the microseconds to count the tokens of a stream."""

    def meter_stream() -> None:
        stream_meter = meter.StreamMeter(False, tokens)
        for _ in range(tokens):
            stream_meter.feed(EVENT)

    return timing.measure_cpu_us(meter_stream)


def measure_frame_cpu(tokens: int) -> float:
    """Return the microseconds to frame and reassemble a stream."""

    def transfer_stream() -> None:
        assembler = assembly.Assembler()
        offset = 0
        for _ in range(tokens):
            part = assembly.encode_part(offset, EVENT)
            line = frame_codec.encode_frame(part)
            assembler.accept(frame_codec.decode_frame(line[:-1]))
            offset += len(EVENT)

    return timing.measure_cpu_us(transfer_stream)


def measure_journal_bytes(count: int) -> float:
    """Return the bytes that the timelines of requests allocate."""

    def build() -> journal.Journal:
        timelines = journal.Journal()
        for number in range(count):
            for step in ("reserved", "attempt", "settled"):
                timelines.record(
                    f"{number:032x}", 1.0, step, sidecar="endpoint-1"
                )
        return timelines

    return memory.measure_bytes(build)


PROBES = (
    slopes.Probe(
        "memory of ended runs, 2 kB prompt and 200 tokens",
        "sidecar",
        "runs",
        "B",
        (10, 100, 400),
        measure_run_bytes,
    ),
    slopes.Probe(
        "memory of tombstones of runs",
        "sidecar",
        "keys",
        "B",
        (100, 1_000, 5_000),
        measure_tombstone_bytes,
    ),
    slopes.Probe(
        "memory of barred keys",
        "sidecar",
        "keys",
        "B",
        (100, 1_000, 5_000),
        measure_fence_bytes,
    ),
    slopes.Probe(
        "size of a claim shard, 200 B answers",
        "store",
        "keys",
        "B",
        (50, 200, 500),
        measure_claim_bytes,
    ),
    slopes.Probe(
        "processor time of a commit against a shard's claims",
        "entry",
        "keys",
        "us",
        (50, 200, 500),
        measure_claim_cpu,
    ),
    slopes.Probe(
        "processor time to meter tokens",
        "sidecar",
        "tokens",
        "us",
        (1_000, 5_000, 20_000),
        measure_meter_cpu,
    ),
    slopes.Probe(
        "processor time to frame and assemble tokens",
        "entry and sidecar",
        "tokens",
        "us",
        (1_000, 5_000, 20_000),
        measure_frame_cpu,
    ),
    slopes.Probe(
        "memory of courses for explain",
        "entry",
        "requests",
        "B",
        (100, 1_000, 5_000),
        measure_journal_bytes,
    ),
)

__all__ = (
    "PROBES",
    "make_order",
)
