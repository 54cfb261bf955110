"""Callers that keep connections and use them until the process is gone."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple
from typing import Protocol

from tests.soak import configuration
from tests.soak import connection as wire
from tests.soak import endpoint
from tests.soak import trace

DEADLINES_MS = (600, 1000, 1500)
# A caller gives up this long after its deadline.
PATIENCE_S = 1.0
MAX_TRIES = 3
NOT_RUN_STATUSES = (429, 503)


class Target(NamedTuple):
    """Name a gateway's process that accepts connections."""

    gateway: int
    process: int
    address: str


class Fleet(Protocol):
    """Know the processes and the configuration in force."""

    version: int

    def list_targets(self) -> list[Target]:
        """Return the processes that are not known to be gone."""


class Caller:
    """Send requests in series to processes drawn at random."""

    def __init__(
        self,
        name: str,
        rng: random.Random,
        fleet: Fleet,
        recorder: trace.Trace,
    ) -> None:
        self._name = name
        self._rng = rng
        self._fleet = fleet
        self._trace = recorder
        self._connections: dict[tuple[int, int], wire.Connection] = {}
        self._wait_until_s: dict[int, float] = {}
        self._tasks = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._rng.uniform(0.0, 0.08))
                await self._run_task()
        finally:
            for connection in self._connections.values():
                connection.close()

    async def _run_task(self) -> None:
        kind = self._rng.choice(tuple(configuration.KINDS))
        self._tasks += 1
        request: trace.Request | None = None
        for number in range(MAX_TRIES):
            target = self._choose_target()
            if target is None:
                return
            request = await self.send(target, kind, number, before=request)
            if request is None or not _may_repeat(request, kind):
                return

    def _choose_target(self) -> Target | None:
        now_s = self._trace.read_time()
        targets = [
            t
            for t in self._fleet.list_targets()
            if self._wait_until_s.get(t.gateway, 0.0) <= now_s
        ]
        return self._rng.choice(targets) if targets else None

    async def send(
        self,
        target: Target,
        kind: str,
        number: int = 0,
        newest: bool = False,
        before: trace.Request | None = None,
    ) -> trace.Request | None:
        """Send one request; return None if no connection opens.

        :param newest: ask for the route of the newest configuration
        :param before: the request that it repeats, and whose stream it takes
            up if there was an event
        """
        try:
            connection = await self._get_connection(target)
        except (OSError, TimeoutError):
            return None
        request, message = self._make_request(target, kind, number, newest)
        request.reused = connection.uses > 0
        if before is not None:
            _take_up(before, request, message)
        self._trace.requests.append(request)
        answer = wire.Answer()
        try:
            async with asyncio.timeout(
                request.deadline_s + PATIENCE_S - request.sent_s
            ):
                await connection.exchange(message, answer)
        except TimeoutError:
            request.timed_out = True
        except wire.LostError as err:
            request.cause = str(err)
        finally:
            if not answer.whole or not connection.usable:
                self._connections.pop((target.gateway, target.process), None)
                connection.close()
        request.whole = answer.whole
        request.status = answer.status
        _check_content(request, message, answer)
        request.end_s = self._trace.read_time()
        self._note_retry_after(target, answer)
        return request

    async def _get_connection(self, target: Target) -> wire.Connection:
        key = (target.gateway, target.process)
        connection = self._connections.get(key)
        if connection is None or not connection.usable:
            connection = await wire.Connection.open(target.address)
            self._connections[key] = connection
        return connection

    def _make_request(
        self, target: Target, kind: str, number: int, newest: bool
    ) -> tuple[trace.Request, wire.Message]:
        age = 0 if newest else self._rng.choice((0, 1))
        version = max(1, self._fleet.version - age)
        workspace = self._rng.choice(tuple(configuration.WORKSPACES))
        wait_ms = self._rng.choice(DEADLINES_MS)
        streams = kind in configuration.STREAMS
        now_s = self._trace.read_time()
        request = trace.Request(
            request_id=f"{self._name}-{self._tasks}.{number}",
            task=f"{self._name}-{self._tasks}",
            gateway=target.gateway,
            process=target.process,
            route=kind,
            version=version if kind == configuration.VERSIONED else 0,
            workspace=workspace,
            prompt_tokens=configuration.PROMPT_TOKENS if streams else 0,
            sent_s=now_s,
            deadline_s=now_s + wait_ms / 1000,
            reused=False,
        )
        headers = [
            ("Host", configuration.HOST),
            ("Request-Id", request.request_id),
            ("Deadline-Ms", str(wait_ms)),
            ("Key", f"key-{workspace}"),
        ]
        if streams:
            output = endpoint.STREAM_EVENTS * configuration.STRIDE
            headers.append((
                "Token-Counts",
                f"{configuration.PROMPT_TOKENS},{output}",
            ))
        body = b"" if streams else self._rng.randbytes(40).hex().encode()
        path = configuration.make_path(kind, version)
        return request, wire.Message(
            configuration.KINDS[kind], path, headers, body
        )

    def _note_retry_after(self, target: Target, answer: wire.Answer) -> None:
        value = answer.headers.get("retry-after")
        if value is not None:
            self._wait_until_s[target.gateway] = (
                self._trace.read_time() + float(value)
            )


def _may_repeat(request: trace.Request, kind: str) -> bool:
    if request.status in NOT_RUN_STATUSES:
        return True
    return not request.whole and kind in configuration.REPEATABLE


def _take_up(
    before: trace.Request, request: trace.Request, message: wire.Message
) -> None:
    """Let a request go on with the stream of the one before."""
    received = before.events_before + before.events
    if not received:
        return
    request.begun_by = before.begun_by or before.request_id
    request.events_before = received
    message.headers.extend([
        ("Resumes", request.begun_by),
        ("Last-Event-Id", str(received)),
    ])


def _check_content(
    request: trace.Request, message: wire.Message, answer: wire.Answer
) -> None:
    """Record events, and what is wrong with the content of an answer."""
    if answer.status != 200:
        return
    request_id = request.request_id.encode()
    if answer.headers.get("request-id") != request.request_id:
        request.fault = "id of another request"
        return
    if request.route not in configuration.STREAMS:
        expected = endpoint.make_body(request_id, message.body)
        if answer.whole and answer.body != expected:
            request.fault = "body of another request"
        return
    whole_events = answer.body.split(b"\n\n")[:-1]
    request.events = len(whole_events)
    names = [endpoint.read_software(event) for event in whole_events]
    request.software = tuple(sorted({name.decode() for name in names}))
    first = request.events_before + 1
    expected = b"".join(
        endpoint.make_event(request_id, number, name)
        for number, name in enumerate(names, first)
    )
    received = request.events_before + request.events
    if not answer.body.startswith(expected):
        request.fault = "events out of order"
    elif answer.whole and received != endpoint.STREAM_EVENTS:
        request.fault = "stream ended early as if it were whole"


__all__ = ("Caller", "Fleet", "Target")
