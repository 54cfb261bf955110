"""Execution of runs at the endpoint."""

from __future__ import annotations

import asyncio
import time

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.request import errors as request_errors
from cyclamenwing.request import retention
from cyclamenwing.request import run_table
from cyclamenwing.request import runs
from cyclamenwing.request import types
from cyclamenwing.sidecar import accounts
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import calls
from cyclamenwing.sidecar import catalog
from cyclamenwing.sidecar import errors
from cyclamenwing.sidecar import meter
from cyclamenwing.sidecar import signal
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport


class Executor:
    """Run admitted orders to their end, whoever still follows them.

    :param board: the sidecar's state
    :param client: HTTP client
    :param endpoint: ``ip:port`` of the endpoint
    :param held: what each session ran here
    :param rules: rules of the configuration, if the sidecar keeps them
    """

    def __init__(
        self,
        board: blackboard.SidecarBoard,
        client: transport.Client,
        endpoint: str,
        held: accounts.Accounts,
        rules: catalog.Rules | None = None,
    ) -> None:
        self._board = board
        self._client = client
        self._endpoint = endpoint
        self._accounts = held
        self._runs = runs.RunController()
        self._rules = rules
        self._signals: dict[str, signal.Signal] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def running(self) -> int:
        """Return the number of runs in progress."""
        return len(self._tasks)

    @property
    def has_undelivered(self) -> bool:
        """Tell whether an answer waits for a retry of its caller."""
        return self._runs.has_undelivered(self._board.runs)

    def start(
        self, order: types.RunOrder, resumed: bool = False
    ) -> run_table.Run:
        """Admit an order and start it unless it runs already."""
        if order["sidecar"] != self._board.incarnation:
            raise request_errors.OtherIncarnationError(
                "the order is for another incarnation"
            )
        admitted = self._admit(order, resumed)
        step = "run_started" if admitted.started else "run_joined"
        self._note(order, step, attempt=order["attempt"], resumed=resumed)
        if admitted.started:
            key = order["key"]
            self._signals[key] = signal.Signal()
            self._tasks[key] = asyncio.create_task(self._execute(admitted.run))
            self._board.running = len(self._tasks)
        return admitted.run

    def attach(self, query: types.KeyQuery) -> run_table.Run:
        """Return the run of a key; raise a coded error."""
        run = self._runs.find(self._board.runs, query["key"])
        if run is None:
            raise request_errors.RunNotFoundError("no run has this key")
        self._runs.check_content(run, query["fingerprint"])
        self._note(run.order, "run_attached")
        return run

    def find(self, query: types.KeyQuery) -> types.KeyReply:
        """Tell whether a key has a run, barring its attempts if asked."""
        run = self._runs.find(self._board.runs, query["key"])
        own = query["incarnation"] == self._board.incarnation
        barred = False
        if run is None and query["attempt"] and own:
            barred = self._runs.fence_key(
                self._board.runs,
                query["key"],
                query["attempt"],
                time.monotonic(),
            )
        return {
            "found": run is not None,
            "barred": barred,
            "incarnation": self._board.incarnation,
        }

    def cancel(self, key: str) -> bool:
        """Cancel a run that nobody follows; tell whether there was one."""
        run = self._runs.find(self._board.runs, key)
        if run is None or run.phase != "running" or run.followers:
            return False
        return self._tasks[key].cancel()

    def get_signal(self, run: run_table.Run) -> signal.Signal:
        """Return the signal that a run's progress raises."""
        return self._signals.get(run.order["key"]) or signal.Signal()

    def expire(self, now: float) -> None:
        """Drop runs past their retention."""
        retention.expire(self._board.runs, now)

    async def drain(self) -> None:
        """Wait until every run has ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks.values()))

    def _admit(self, order: types.RunOrder, resumed: bool) -> runs.Admission:
        now = time.monotonic()
        admitted = self._runs.admit(self._board.runs, order, now, resumed)
        if not admitted.started:
            return admitted
        try:
            if self._rules is not None:
                self._rules.check_order(order)
            self._accounts.admit(order, time.time())
        except base_errors.CodedError as err:
            refusal = _make_refusal(admitted.run, err)
            self._runs.fail(self._board.runs, admitted.run, refusal, now)
            if resumed and not self._runs.fence_order(
                self._board.runs, order, now
            ):
                err.run = "unknown"
            raise
        return admitted

    async def _execute(self, run: run_table.Run) -> None:
        order = run.order
        with eliot.start_action(
            action_type="sidecar:run", request=order["request"]
        ) as action:
            run.phase = "running"
            error = await self._run_bounded(run)
            now = time.monotonic()
            if error is None:
                self._runs.finish(self._board.runs, run, now)
            else:
                refusal = _make_refusal(run, error)
                self._runs.fail(self._board.runs, run, refusal, now)
            not_run = error is not None and error.run == "not_run"
            used = None if not_run else run.usage
            self._accounts.settle(order, used, time.time())
            summary = {
                "phase": run.phase,
                "status": run.status,
                "usage": run.usage,
                "code": error.code if error else None,
            }
            self._note(order, "run_ended", bytes=len(run.answer), **summary)
            action.add_success_fields(**summary)
        self._forget(order["key"])

    def _forget(self, key: str) -> None:
        self._tasks.pop(key, None)
        self._board.running = len(self._tasks)
        raised = self._signals.pop(key, None)
        if raised is not None:
            raised.notify()

    async def _run_bounded(
        self, run: run_table.Run
    ) -> base_errors.CodedError | None:
        """Run to the end; return the error of a run that failed."""
        try:
            async with asyncio.timeout_at(run.deadline):
                await self._call_endpoint(run)
        except TimeoutError:
            return request_errors.DeadlineExceededError(
                "the deadline passed during the run", "unknown"
            )
        except asyncio.CancelledError:
            return request_errors.CancelledError("cancelled", "unknown")
        except base_errors.CodedError as err:
            return err
        except Exception as err:  # Followers must hear of any failure.
            eliot.write_traceback()
            return errors.SidecarError(type(err).__name__, "unknown")
        return None

    async def _call_endpoint(self, run: run_table.Run) -> None:
        call = calls.make_call(run.order, run.deadline - time.monotonic())
        stream = self._client.open_stream(
            call.method,
            f"http://{self._endpoint}{call.path}",
            call.headers,
            call.body,
            call.silence_s,
            # On a kept connection the library may send twice, and a failed
            # connect would not show that nothing was sent.
            True,
        )
        try:
            await self._copy_answer(run, stream, call.metered)
        except transport_errors.ConnectFailedError as err:
            raise errors.EndpointDownError(err.message) from err
        except transport_errors.ConnectionSilentError as err:
            raise errors.EndpointSilentError(err.message, "unknown") from err
        except transport_errors.TransportError as err:
            raise errors.EndpointCrashedError(err.message, "unknown") from err
        finally:
            stream.close()

    async def _copy_answer(
        self,
        run: run_table.Run,
        stream: transport.Stream,
        metered: meter.Meter,
    ) -> None:
        head = await stream.read_head()
        run.status = head.status
        run.headers = calls.pick_headers(head)
        used = metered if head.status == 200 else meter.PlainMeter()
        run.usage = used.usage
        async for chunk in stream.read_chunks():
            self._append(run, used.feed(chunk))
            run.usage = used.usage
            if used.stopped:
                break
        self._append(run, used.finish())
        run.usage = used.usage

    def _append(self, run: run_table.Run, data: bytes) -> None:
        if data:
            self._runs.append(self._board.runs, run, data)
            self.get_signal(run).notify()

    def _note(
        self, order: types.RunOrder, step: str, **detail: object
    ) -> None:
        self._board.journal.record(
            order["request"], time.time(), step, **detail
        )


def _make_refusal(
    run: run_table.Run, error: base_errors.CodedError
) -> types.Refusal:
    refusal: types.Refusal = {
        "t": "refusal",
        "code": error.code,
        "message": error.message,
        "run": error.run,
    }
    if error.run != "not_run":
        refusal["usage"] = run.usage
        refusal["charges"] = run.order["charges"]
    return refusal


__all__ = ("Executor",)
