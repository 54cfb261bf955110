"""Sample requests of the demo, with checks of their results."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import NamedTuple

import msgspec

from cyclamenwing.budget import layout
from cyclamenwing.budget import segments
from cyclamenwing.demo import checks
from cyclamenwing.demo import fleet as demo_fleet
from cyclamenwing.demo import plan as demo_plan
from cyclamenwing.request import journal
from cyclamenwing.transport import protocol as transport

ANSWER_TIMEOUT_S = 30.0
CHAT = "/v1/chat/completions"
DECISIONS = "/services/records/decisions"
CAPTURES = "/services/records/captures"
BATCH_REQUESTS = 6
BATCH_TOKENS = 60
PRINTED_CHARACTERS = 100

Check = Callable[[transport.Response], list[str]]
Scenario = Callable[[demo_fleet.Fleet], Coroutine[Any, Any, list[str]]]


class Sample(NamedTuple):
    """Describe a request and its expected answer.

    :ivar key: the caller's key
    :ivar status: the expected status
    :ivar code: the expected error code
    :ivar budget: the budget that pays for the request; empty if it is free
    :ivar check: further check of the answer
    """

    title: str
    method: str
    path: str
    key: str
    body: dict[str, Any]
    status: int
    code: str = ""
    idempotency_key: str = ""
    budget: str = ""
    check: Check | None = None


def make_chat(prompt: str, stream: bool, max_tokens: int) -> dict[str, Any]:
    """Return the body of a chat completion."""
    return {
        "model": demo_plan.MODEL,
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }


def _check_dossier(answer: transport.Response) -> list[str]:
    return checks.check_stream(answer.body, "summarise the dossier", 20)


def _check_ledger(answer: transport.Response) -> list[str]:
    return checks.check_whole(answer.body, "summarise the ledger", 30)


KEY = demo_plan.CALLER_KEY
SAMPLES = (
    Sample(
        "dossier summary, streamed",
        "POST",
        CHAT,
        KEY,
        make_chat("summarise the dossier", True, 20),
        200,
        budget="panels-tokens",
        check=_check_dossier,
    ),
    Sample(
        "panel decision",
        "POST",
        DECISIONS,
        KEY,
        {"candidate": "c-17", "decision": "extend"},
        201,
    ),
    Sample(
        "deposit capture",
        "POST",
        CAPTURES,
        KEY,
        {"booking": "b-4", "cents": 5000},
        201,
        idempotency_key="capture-b-4",
    ),
    Sample(
        "the same capture again, at the other entry",
        "POST",
        CAPTURES,
        KEY,
        {"booking": "b-4", "cents": 5000},
        201,
        idempotency_key="capture-b-4",
    ),
    Sample(
        "another capture under the same key",
        "POST",
        CAPTURES,
        KEY,
        {"booking": "b-4", "cents": 9000},
        422,
        "key_reused",
        idempotency_key="capture-b-4",
    ),
    Sample(
        "ledger summary, whole",
        "POST",
        CHAT,
        KEY,
        make_chat("summarise the ledger", False, 30),
        200,
        budget="panels-tokens",
        check=_check_ledger,
    ),
    Sample(
        "more than the budget holds",
        "POST",
        CHAT,
        demo_plan.SMALL_BUDGET_KEY,
        make_chat(
            "summarise the ledger", False, demo_plan.SMALL_BUDGET_TOKENS
        ),
        402,
        "budget_exhausted",
    ),
    Sample(
        "unknown key",
        "POST",
        CHAT,
        "wrong",
        make_chat("x", False, 1),
        401,
        "unauthorized",
    ),
)


class SampleRunner:
    """Send the samples to a fleet and collect faults.

    :param fleet: the running fleet of the small plan
    :ivar faults: the faults found so far
    """

    def __init__(self, fleet: demo_fleet.Fleet) -> None:
        self._fleet = fleet
        self._answered: dict[str, str] = {}
        self._refused: list[str] = []
        self.faults: list[str] = []

    async def run(self) -> None:
        """Send the samples in turn, then a batch on the small budget."""
        entries = self._fleet.entries
        first_request = ""
        for number, sample in enumerate(SAMPLES):
            entry = entries[number % len(entries)]
            answer = await _send_sample(self._fleet, entry.address, sample)
            self._check_answer(sample, answer)
            first_request = first_request or answer.headers.get(
                "X-Request-Id", ""
            )
        await self._exhaust_small_budget()
        await self._check_explanation(first_request)
        for state in self._fleet.services.values():
            self._record_faults("records", checks.check_effects(state.effects))

    async def settle(self) -> None:
        """Stop the sidecars and entries; check the budgets and bills."""
        await self._fleet.close_roles()
        store = self._fleet.store_client
        bills = []
        ledger_layout = await layout.load_layout(
            store, demo_fleet.LEDGER_SHARDS
        )
        for shard in range(ledger_layout["shards"]):
            document, shard_bills = await segments.read_bills(store, shard)
            bills += shard_bills
            for name, budget in document["budgets"].items():
                spent = checks.count_spent(budget)
                print(f"budget {name}: paid {budget['paid']}, spent {spent}")
                self._record_faults(
                    "budget", checks.check_budget(name, budget)
                )
        for bill in bills:
            print(
                f"bill: request {bill['request'][:12]} {bill['kind']}"
                f" {bill['units']} of {bill['budget']}"
            )
        bill_faults = checks.check_bills(bills, self._answered, self._refused)
        self._record_faults("bills", bill_faults)

    def _check_answer(
        self, sample: Sample, answer: transport.Response
    ) -> None:
        text = answer.body.decode()[:PRINTED_CHARACTERS].replace("\n", " ")
        print(f"{sample.title}: {answer.status} {text}")
        faults = checks.check_status(answer, sample.status, sample.code)
        if not faults and sample.check is not None:
            faults = sample.check(answer)
        self._record_faults(sample.title, faults)
        request = answer.headers.get("X-Request-Id", "")
        if answer.status >= 400:
            self._refused.append(request)
        elif sample.budget:
            self._answered[request] = sample.budget

    async def _exhaust_small_budget(self) -> None:
        sample = Sample(
            "batch on a small budget",
            "POST",
            CHAT,
            demo_plan.SMALL_BUDGET_KEY,
            make_chat("list the season", False, BATCH_TOKENS),
            200,
            budget="guides-tokens",
        )
        entries = self._fleet.entries
        answers = await asyncio.gather(
            *(
                _send_sample(
                    self._fleet, entries[i % len(entries)].address, sample
                )
                for i in range(BATCH_REQUESTS)
            )
        )
        for answer in answers:
            refused = answer.status != sample.status
            self._check_answer(
                sample._replace(status=402, code="budget_exhausted")
                if refused
                else sample,
                answer,
            )
        statuses = {answer.status for answer in answers}
        if statuses != {200, 402}:
            self._record_faults(sample.title, [f"statuses {sorted(statuses)}"])

    async def _check_explanation(self, request: str) -> None:
        steps: list[journal.Step] = []
        for entry in self._fleet.entries:
            timeline = await self._fleet.client.call(
                f"http://{entry.peer_address}/peer/explain",
                {"request": request},
                journal.Timeline,
                ANSWER_TIMEOUT_S,
            )
            steps += timeline["steps"]
        names = [step["step"] for step in steps]
        print(f"explain {request[:12]}: {', '.join(names)}")
        if not {"attempt", "settled"} <= set(names):
            self._record_faults("explain", [f"steps {names}"])

    def _record_faults(self, title: str, faults: list[str]) -> None:
        for fault in faults:
            print(f"broken: {title}: {fault}")
            self.faults.append(f"{title}: {fault}")


async def run_samples(fleet: demo_fleet.Fleet) -> list[str]:
    """Send the samples, stop the fleet's processes and return faults."""
    runner = SampleRunner(fleet)
    await runner.run()
    await runner.settle()
    return runner.faults


async def run_routes(fleet: demo_fleet.Fleet) -> list[str]:
    """Send one request to each route of an example; return faults.

    Only the key of the plan's first workspace is used.
    """
    faults: list[str] = []
    for key in list(fleet.plan.keys.values())[:1]:
        for item in fleet.plan.endpoints:
            sample = make_sample(fleet.plan, item["route"], key)
            answer = await _send_sample(
                fleet, fleet.entries[0].address, sample
            )
            text = answer.body.decode()[:PRINTED_CHARACTERS].replace("\n", " ")
            print(f"{sample.title}: {answer.status} {text}")
            faults += [
                f"{sample.title}: {fault}"
                for fault in checks.check_status(answer, sample.status)
            ]
    return faults


def make_sample(plan: demo_plan.Plan, name: str, key: str) -> Sample:
    """Return a sample request that a route accepts."""
    route = plan.find_route(name)
    if route["protocol"] == "chat":
        body = make_chat("one two three", False, 5)
        body["model"] = route["model"]
        return Sample(name, "POST", CHAT, key, body, 200)
    call = next(
        item for item in route.get("calls", []) if item["method"] == "GET"
    )
    path = f"/services/{name}{call['path']}"
    return Sample(name, "GET", path, key, {}, 200)


async def _send_sample(
    fleet: demo_fleet.Fleet, address: str, sample: Sample
) -> transport.Response:
    headers = {"Authorization": f"Bearer {sample.key}"}
    if sample.idempotency_key:
        headers["Idempotency-Key"] = sample.idempotency_key
    return await fleet.client.fetch(
        sample.method,
        f"http://{address}{sample.path}",
        headers,
        msgspec.json.encode(sample.body) if sample.body else None,
        ANSWER_TIMEOUT_S,
    )


__all__ = (
    "SAMPLES",
    "Sample",
    "SampleRunner",
    "Scenario",
    "make_chat",
    "make_sample",
    "run_routes",
    "run_samples",
)
