"""Execution of runs at the endpoint."""

from __future__ import annotations

import asyncio
import base64
import time
from typing import Any

import eliot
import msgspec

from cyclamenwing import errors as base_errors
from cyclamenwing.request import runs
from cyclamenwing.request import types
from cyclamenwing.sidecar import accounts
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import errors
from cyclamenwing.sidecar import meter
from cyclamenwing.sidecar import signal
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport

ENDPOINT_SILENCE_S = 30.0
CHAT_PATH = "/v1/chat/completions"


class Executor:
    """Run admitted orders to their end, whoever still follows them.

    :param board: the sidecar's state
    :param client: HTTP client
    :param endpoint: ``ip:port`` of the endpoint
    :param held: what each session ran here
    """

    def __init__(
        self,
        board: blackboard.SidecarBoard,
        client: transport.Client,
        endpoint: str,
        held: accounts.Accounts,
    ) -> None:
        self._board = board
        self._client = client
        self._endpoint = endpoint
        self._accounts = held
        self._runs = runs.RunController()
        self._signals: dict[str, signal.Signal] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Return the number of runs in progress."""
        return len(self._tasks)

    def start(self, order: types.RunOrder) -> runs.Run:
        """Admit an order and start it unless it runs already."""
        admitted = self._admit(order)
        if admitted.started:
            self._signals[order["key"]] = signal.Signal()
            task = asyncio.create_task(self._execute(admitted.run))
            self._tasks.add(task)
            task.add_done_callback(self._forget)
            self._board.running = len(self._tasks)
        return admitted.run

    def get_signal(self, run: runs.Run) -> signal.Signal:
        """Return the signal that a run's progress raises."""
        return self._signals[run.order["key"]]

    def expire(self, now: float) -> None:
        """Drop runs past their retention."""
        self._runs.expire(self._board.runs, now)
        for key in self._signals.keys() - self._board.runs.runs.keys():
            del self._signals[key]

    async def drain(self) -> None:
        """Wait until every run has ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _admit(self, order: types.RunOrder) -> runs.Admission:
        joins = order["key"] in self._board.runs.runs
        if not joins:
            self._accounts.admit(order, time.time())
        try:
            return self._runs.admit(self._board.runs, order)
        except base_errors.CodedError:
            if not joins:
                self._accounts.settle(order, None, time.time())
            raise

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._board.running = len(self._tasks)

    async def _execute(self, run: runs.Run) -> None:
        order = run.order
        with eliot.start_action(
            action_type="sidecar:run", request=order["request"]
        ) as action:
            run.phase = "running"
            try:
                await _EXECUTORS[order["protocol"]](self, run)
            except base_errors.CodedError as err:
                refusal = types.Refusal(t="refusal", **err.describe())
                self._runs.fail(run, refusal, time.monotonic())
            else:
                self._runs.finish(run, time.monotonic())
            not_run = run.refusal and run.refusal["run"] == "not_run"
            used = None if not_run else run.usage
            self._accounts.settle(order, used, time.time())
            action.add_success_fields(
                phase=run.phase, status=run.status, usage=run.usage
            )
        self.get_signal(run).notify()

    async def _execute_chat(self, run: runs.Run) -> None:
        body = decode_chat(run.order)
        wants = body.get("stream_options") or {}
        body["max_tokens"] = run.order["max_tokens"]
        if not body.get("stream"):
            await self._execute_whole(run, CHAT_PATH, body)
            return
        body["stream_options"] = wants | {"include_usage": True}
        metered = meter.StreamMeter(bool(wants.get("include_usage")))
        stream = self._open(run, CHAT_PATH, msgspec.json.encode(body))
        try:
            await self._copy_stream(run, stream, metered)
        finally:
            stream.close()

    async def _copy_stream(
        self,
        run: runs.Run,
        stream: transport.Stream,
        metered: meter.StreamMeter,
    ) -> None:
        head = await self._read_head(stream)
        run.status = head.status
        run.content_type = head.content_type
        plain = head.status != 200
        try:
            async for chunk in stream.read_chunks():
                data = chunk if plain else metered.feed(chunk)
                self._append(run, data)
                run.usage = metered.usage
        except transport_errors.TransportError as err:
            raise errors.EndpointCrashedError(err.message, "unknown") from err
        if not plain and not metered.done:
            raise errors.EndpointCrashedError("stream cut off", "unknown")

    async def _execute_whole(
        self, run: runs.Run, path: str, body: dict[str, Any]
    ) -> None:
        answer = await self._fetch(
            run, "POST", path, msgspec.json.encode(body)
        )
        if answer.status == 200:
            try:
                read = msgspec.json.decode(answer.body, type=dict[str, Any])
            except msgspec.DecodeError as err:
                raise errors.EndpointMalformedError(str(err), "ran") from err
            run.usage = meter.read_usage(read.get("usage") or {})
        self._append(run, answer.body)

    async def _execute_plain(self, run: runs.Run) -> None:
        order = run.order
        body = base64.b64decode(order["body"])
        answer = await self._fetch(run, order["method"], order["path"], body)
        self._append(run, answer.body)

    async def _fetch(
        self, run: runs.Run, method: str, path: str, body: bytes
    ) -> transport.Answer:
        try:
            answer = await self._client.fetch(
                method,
                f"http://{self._endpoint}{path}",
                self._make_headers(run),
                body or None,
                run.order["deadline_ms"] / 1000,
                run.order["idempotent"],
            )
        except transport_errors.ConnectFailedError as err:
            raise errors.EndpointDownError(err.message) from err
        except transport_errors.TransportError as err:
            raise errors.EndpointCrashedError(err.message, "unknown") from err
        run.status = answer.status
        run.content_type = answer.headers.get("Content-Type", "")
        return answer

    def _open(self, run: runs.Run, path: str, body: bytes) -> transport.Stream:
        return self._client.open_stream(
            "POST",
            f"http://{self._endpoint}{path}",
            self._make_headers(run),
            body,
            ENDPOINT_SILENCE_S,
        )

    async def _read_head(self, stream: transport.Stream) -> transport.Head:
        try:
            return await stream.read_head()
        except transport_errors.ConnectFailedError as err:
            raise errors.EndpointDownError(err.message) from err
        except transport_errors.TransportError as err:
            raise errors.EndpointCrashedError(err.message, "unknown") from err

    def _make_headers(self, run: runs.Run) -> dict[str, str]:
        # The fleet key is for the fleet's own processes only.
        own = {"Authorization": "", "X-Request-Id": run.order["request"]}
        return run.order["headers"] | own

    def _append(self, run: runs.Run, data: bytes) -> None:
        if data:
            self._runs.append(self._board.runs, run, data)
            self.get_signal(run).notify()


def decode_chat(order: types.RunOrder) -> dict[str, Any]:
    """Read the JSON body of a chat order."""
    try:
        return msgspec.json.decode(
            base64.b64decode(order["body"]), type=dict[str, Any]
        )
    except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as err:
        raise errors.SidecarError(f"order's body: {err}") from err


_EXECUTORS = {
    "chat": Executor._execute_chat,
    "plain": Executor._execute_plain,
}

__all__ = (
    "Executor",
    "decode_chat",
)
