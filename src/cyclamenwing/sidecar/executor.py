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
from cyclamenwing.sidecar import progress
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport


class Executor:
    """Run admitted orders to completion, with or without followers.

    :param board: state of the sidecar
    :param client: HTTP client
    :param endpoint: ``ip:port`` of the endpoint
    :param session_accounts: records of the runs of each session
    :param rules: rules to check orders against, if any
    """

    def __init__(
        self,
        board: blackboard.SidecarBoard,
        client: transport.Client,
        endpoint: str,
        session_accounts: accounts.Accounts,
        rules: catalog.Rules | None = None,
    ) -> None:
        self._board = board
        self._client = client
        self._endpoint = endpoint
        self._accounts = session_accounts
        self._runs = runs.RunController()
        self._rules = rules
        self._progress_events: dict[str, progress.ProgressEvent] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def running(self) -> int:
        """Return the number of runs in progress."""
        return len(self._tasks)

    @property
    def has_undelivered(self) -> bool:
        """Return whether an answer was not delivered completely yet."""
        return self._runs.has_undelivered(self._board.runs)

    def start(
        self, order: types.RunOrder, resumed: bool = False
    ) -> run_table.Run:
        """Admit an order and start it, or join the run of the same key.

        :param resumed: whether an entry sends the order again after it lost
            the stream of the run
        :raises OtherIncarnationError: if the order names another incarnation
        :raises CodedError: if the order is refused
        """
        if order["sidecar"] != self._board.incarnation:
            raise request_errors.OtherIncarnationError(
                "the order names another incarnation of this sidecar"
            )
        admission = self._admit(order, resumed)
        step = "run_started" if admission.started else "run_joined"
        self._record_step(
            order, step, attempt=order["attempt"], resumed=resumed
        )
        if admission.started:
            key = order["key"]
            self._progress_events[key] = progress.ProgressEvent()
            self._tasks[key] = asyncio.create_task(
                self._execute(admission.run)
            )
            self._board.running = len(self._tasks)
        return admission.run

    def attach(self, query: types.KeyQuery) -> run_table.Run:
        """Return the run of a key.

        :raises RunNotFoundError: if the key has no run
        :raises KeyReusedError: if the run is of another request
        :raises ExpiredAnswerError: if the answer has expired
        """
        run = self._runs.find(self._board.runs, query["key"])
        if run is None:
            raise request_errors.RunNotFoundError(
                "the key has no run at this sidecar"
            )
        self._runs.check_content(run, query["fingerprint"])
        self._record_step(run.order, "run_attached")
        return run

    def find(self, query: types.KeyQuery) -> types.KeyReply:
        """Return whether a key has a run; fence its attempts if asked.

        Attempts up to the number in the query are fenced if the key has no
        run and the query names this incarnation.
        """
        run = self._runs.find(self._board.runs, query["key"])
        same_incarnation = query["incarnation"] == self._board.incarnation
        fenced = False
        if run is None and query["attempt"] and same_incarnation:
            fenced = self._runs.fence_key(
                self._board.runs,
                query["key"],
                query["attempt"],
                time.monotonic(),
            )
        return {
            "found": run is not None,
            "barred": fenced,
            "incarnation": self._board.incarnation,
        }

    def cancel(self, key: str) -> bool:
        """Cancel a run in progress that has no followers.

        :returns: whether a run was cancelled
        """
        run = self._runs.find(self._board.runs, key)
        if run is None or run.phase != "running" or run.followers:
            return False
        return self._tasks[key].cancel()

    def get_progress_event(self, run: run_table.Run) -> progress.ProgressEvent:
        """Return the event that is notified at each progress of a run."""
        return (
            self._progress_events.get(run.order["key"])
            or progress.ProgressEvent()
        )

    def expire(self, now: float) -> None:
        """Drop runs past their retention.

        :param now: monotonic time in seconds
        """
        retention.expire(self._board.runs, now)

    async def drain(self) -> None:
        """Wait until every run has ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks.values()))

    def _admit(self, order: types.RunOrder, resumed: bool) -> runs.Admission:
        now = time.monotonic()
        admission = self._runs.admit(self._board.runs, order, now, resumed)
        if not admission.started:
            return admission
        try:
            if self._rules is not None:
                self._rules.check_order(order)
            self._accounts.admit(order, time.time())
        except base_errors.CodedError as err:
            refusal = _make_refusal(admission.run, err)
            self._runs.fail(self._board.runs, admission.run, refusal, now)
            if resumed and not self._runs.fence_order(
                self._board.runs, order, now
            ):
                err.run = "unknown"
            raise
        return admission

    async def _execute(self, run: run_table.Run) -> None:
        order = run.order
        with eliot.start_action(
            action_type="sidecar:run", request=order["request"]
        ) as action:
            run.phase = "running"
            error = await self._run_until_deadline(run)
            now = time.monotonic()
            if error is None:
                self._runs.finish(self._board.runs, run, now)
            else:
                refusal = _make_refusal(run, error)
                self._runs.fail(self._board.runs, run, refusal, now)
            not_run = error is not None and error.run == "not_run"
            usage = None if not_run else run.usage
            self._accounts.settle(order, usage, time.time())
            summary = {
                "phase": run.phase,
                "status": run.status,
                "usage": run.usage,
                "code": error.code if error else None,
            }
            self._record_step(
                order, "run_ended", bytes=len(run.answer), **summary
            )
            action.add_success_fields(**summary)
        self._remove_task(order["key"])

    def _remove_task(self, key: str) -> None:
        self._tasks.pop(key, None)
        self._board.running = len(self._tasks)
        progress_event = self._progress_events.pop(key, None)
        if progress_event is not None:
            progress_event.notify()

    async def _run_until_deadline(
        self, run: run_table.Run
    ) -> base_errors.CodedError | None:
        """Run until the end or the deadline; return the error if it failed."""
        try:
            async with asyncio.timeout_at(run.deadline):
                await self._call_endpoint(run)
        except TimeoutError:
            return request_errors.DeadlineExceededError(
                "the deadline was exceeded during the run", "unknown"
            )
        except asyncio.CancelledError:
            return request_errors.CancelledError(
                "the run was cancelled", "unknown"
            )
        except base_errors.CodedError as err:
            return err
        except Exception as err:  # Followers need an end for any failure.
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
            # On a reused connection curl may resend the request, and a
            # failed connect would not prove that nothing was sent.
            True,
        )
        try:
            await self._copy_answer(run, stream, call.usage_meter)
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
        usage_meter: meter.Meter,
    ) -> None:
        head = await stream.read_head()
        run.status = head.status
        run.headers = calls.filter_headers(head)
        active_meter = (
            usage_meter if head.status == 200 else meter.PassThroughMeter()
        )
        run.usage = active_meter.usage
        async for chunk in stream.read_chunks():
            self._append(run, active_meter.feed(chunk))
            run.usage = active_meter.usage
            if active_meter.stopped:
                break
        self._append(run, active_meter.finish())
        run.usage = active_meter.usage

    def _append(self, run: run_table.Run, data: bytes) -> None:
        if data:
            self._runs.append(self._board.runs, run, data)
            self.get_progress_event(run).notify()

    def _record_step(
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
