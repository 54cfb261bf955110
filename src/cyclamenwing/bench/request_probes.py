"""Slopes of runs, answers and journals."""

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
from cyclamenwing.transport import lines

PROMPT_BYTES = 2_000
TOKENS_AN_ANSWER = 200
SMALL_ANSWER_BYTES = 200
EVENT = (
    b'data: {"id":"chatcmpl-0123456789abcdef0123456789abcdef",'
    b'"object":"chat.completion.chunk","model":"assistant",'
    b'"choices":[{"index":0,"delta":{"content":"word "}}]}\n\n'
)


def make_order(number: int) -> types.RunOrder:
    """Return the order of a chat completion."""
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
        "max_tokens": TOKENS_AN_ANSWER,
        "priority": 0,
        "deadline_ms": 60_000,
        "revision": 1,
    }


def measure_run_bytes(count: int) -> float:
    """Return the memory of ended runs with their answers."""

    def make() -> run_table.RunTable:
        board = run_table.RunTable()
        controller = runs.RunController()
        for number in range(count):
            run = controller.admit(board, make_order(number), 0.0).run
            controller.append(board, run, EVENT * TOKENS_AN_ANSWER)
            controller.finish(board, run, 1.0)
        return board

    return memory.measure_bytes(make)


def measure_tombstone_bytes(count: int) -> float:
    """Return the memory of ended runs whose answers were dropped."""

    def make() -> run_table.RunTable:
        board = run_table.RunTable()
        controller = runs.RunController(run_table.MAX_HELD_BYTES)
        for number in range(count):
            run = controller.admit(board, make_order(number), 0.0).run
            controller.finish(board, run, 1.0)
        return board

    return memory.measure_bytes(make)


def measure_fence_bytes(count: int) -> float:
    """Return the memory of barred keys."""

    def make() -> run_table.RunTable:
        board = run_table.RunTable()
        controller = runs.RunController()
        for number in range(count):
            controller.fence_key(board, f"workspace/{number:032x}", 1, 0.0)
        return board

    return memory.measure_bytes(make)


def measure_claim_bytes(count: int) -> float:
    """Return the size of a claim shard with ended claims."""
    return float(len(msgspec.json.encode(make_claims(count))))


def measure_claim_cpu(count: int) -> float:
    """Return the processor time to read, change and write a shard."""
    encoded = msgspec.json.encode(make_claims(count))
    codec = claims.ShardCodec()

    def work() -> None:
        shard = codec.decode(encoded)
        claims.apply_ops(shard, [make_take(count)], "commit", 1.0)
        codec.encode(shard)

    return timing.measure_cpu_us(work)


def make_claims(count: int) -> claims.ClaimShard:
    """Return a shard of ended claims with small answers."""
    shard: claims.ClaimShard = {"commits": [], "claims": {}}
    for number in range(count):
        take = make_take(number)
        end: claims.CompleteOp = {
            "op": "end",
            "key": take["key"],
            "attempt": 1,
            "status": 201,
            "headers": {"content-type": "application/json"},
            "body": claims.encode_body(b"x" * SMALL_ANSWER_BYTES),
        }
        claims.apply_ops(shard, [take, end], f"{number:032x}", 1.0)
    return shard


def make_take(number: int) -> claims.AcquireOp:
    """Return the claim of a decision."""
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
    """Return the processor time to meter a stream."""

    def work() -> None:
        metered = meter.StreamMeter(False, tokens)
        for _ in range(tokens):
            metered.feed(EVENT)

    return timing.measure_cpu_us(work)


def measure_frame_cpu(tokens: int) -> float:
    """Return the processor time to frame and assemble a stream."""

    def work() -> None:
        passed = assembly.Assembler()
        offset = 0
        for _ in range(tokens):
            part = assembly.encode_part(offset, EVENT)
            line = lines.encode_frame(part)
            passed.accept(lines.decode_frame(line[:-1]))
            offset += len(EVENT)

    return timing.measure_cpu_us(work)


def measure_journal_bytes(count: int) -> float:
    """Return the memory of the courses of requests."""

    def make() -> journal.Journal:
        made = journal.Journal()
        for number in range(count):
            for step in ("reserved", "attempt", "settled"):
                made.record(f"{number:032x}", 1.0, step, sidecar="endpoint-1")
        return made

    return memory.measure_bytes(make)


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
