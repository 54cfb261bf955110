"""Slopes of runs, answers and journals."""

from __future__ import annotations

import base64

from cyclamenwing.bench import memory
from cyclamenwing.bench import slopes
from cyclamenwing.bench import timing
from cyclamenwing.request import assembly
from cyclamenwing.request import journal
from cyclamenwing.request import runs
from cyclamenwing.request import types
from cyclamenwing.sidecar import meter
from cyclamenwing.transport import lines

PROMPT_BYTES = 2_000
TOKENS_AN_ANSWER = 200
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

    def make() -> runs.RunBoard:
        board = runs.RunBoard()
        controller = runs.RunController()
        for number in range(count):
            run = controller.admit(board, make_order(number), 0.0).run
            controller.append(board, run, EVENT * TOKENS_AN_ANSWER)
            controller.finish(board, run, 1.0)
        return board

    return memory.measure_bytes(make)


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
                made.note(f"{number:032x}", 1.0, step, sidecar="endpoint-1")
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
