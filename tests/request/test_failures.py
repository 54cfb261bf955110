"""Run states after each failure of an attempt and each pair of failures.

The controllers of entry and sidecar run without network or processes.
"""

from __future__ import annotations

import itertools

import pytest
from tests.request import samples

from cyclamenwing import errors as base_errors
from cyclamenwing.request import attempts
from cyclamenwing.request import claims
from cyclamenwing.request import run_table
from cyclamenwing.request import types

KEY = "w/k"


def deliver(
    cluster: samples.Cluster,
    sidecar: samples.Sidecar,
    order: types.RunOrder,
    resumed: bool,
) -> None:
    if sidecar.paused:
        samples.fail("silent", "unknown")
    try:
        sidecar.receive(order, resumed, cluster.now)
    except base_errors.CodedError as err:
        kind: attempts.FailureKind = (
            "replaced" if err.code == "other_incarnation" else "refused"
        )
        raise samples.AttemptFailedError(attempts.Failure(kind, err)) from err


def refuse_connection(cluster, sidecar, order, resumed):  # type: ignore
    samples.fail("unsent", "not_run")


def lose_order(cluster, sidecar, order, resumed):  # type: ignore
    samples.fail("lost", "unknown")


def delay_order(cluster, sidecar, order, resumed):  # type: ignore
    cluster.delayed_orders.append((sidecar, order))
    samples.fail("silent", "unknown")


def lose_answer(cluster, sidecar, order, resumed):  # type: ignore
    deliver(cluster, sidecar, order, resumed)
    samples.fail("lost", "unknown")


def kill_before_run(cluster, sidecar, order, resumed):  # type: ignore
    sidecar.restart()
    samples.fail("lost", "unknown")


def kill_after_run(cluster, sidecar, order, resumed):  # type: ignore
    deliver(cluster, sidecar, order, resumed)
    sidecar.restart()
    samples.fail("lost", "unknown")


def pause_after_run(cluster, sidecar, order, resumed):  # type: ignore
    deliver(cluster, sidecar, order, resumed)
    sidecar.paused = True
    samples.fail("silent", "unknown")


def crash_endpoint(cluster, sidecar, order, resumed):  # type: ignore
    deliver(cluster, sidecar, order, resumed)
    samples.fail("crashed", "unknown")


def drain(cluster, sidecar, order, resumed):  # type: ignore
    sidecar.table.draining = True
    deliver(cluster, sidecar, order, resumed)


def fill_buffers(cluster, sidecar, order, resumed):  # type: ignore
    sidecar.table.reserved_bytes += run_table.MAX_HELD_BYTES
    try:
        deliver(cluster, sidecar, order, resumed)
    finally:
        sidecar.table.reserved_bytes -= run_table.MAX_HELD_BYTES


def restart_and_drain(cluster, sidecar, order, resumed):  # type: ignore
    sidecar.restart()
    deliver(cluster, sidecar, order, resumed)


FAULTS = (
    refuse_connection,
    lose_order,
    delay_order,
    lose_answer,
    kill_before_run,
    kill_after_run,
    pause_after_run,
    crash_endpoint,
    drain,
    fill_buffers,
    restart_and_drain,
)


class Entry:
    """Submit one request through the entry's controllers."""

    def __init__(
        self, cluster: samples.Cluster, name: str, idempotent: bool
    ) -> None:
        self._cluster = cluster
        self._name = name
        self._idempotent = idempotent
        self._controller = attempts.AttemptController()
        self._attempt = 0

    def submit(self, script: list[samples.Fault]) -> str:
        """Return "answered" or the run state of the error."""
        progress = attempts.Progress(self._idempotent, 100.0)
        tried: list[samples.Sidecar] = []
        replaces = 0
        while True:
            free = [s for s in self._cluster.sidecars if s not in tried]
            if not free:
                return self._refuse(progress)
            tried.append(free[0])
            order = self._make_order(free[0])
            if not self._idempotent:
                result = self._cluster.acquire_claim(
                    order, free[0], self._attempt or replaces
                )
                assert result.claim is not None
                if not result.applied:
                    replaces = self._resolve(result.claim)
                    if not replaces:
                        return "answered"
                    if replaces < 0:
                        return "unknown"
                    tried.pop()
                    continue
                self._attempt = result.claim["attempt"]
            order["attempt"] = self._attempt = self._attempt or len(tried)
            outcome = self._try(progress, order, free[0], script)
            if outcome is not None:
                return outcome

    def _try(
        self,
        progress: attempts.Progress,
        order: types.RunOrder,
        sidecar: samples.Sidecar,
        script: list[samples.Fault],
    ) -> str | None:
        self._controller.begin(progress)
        while True:
            self._cluster.now += 0.1
            fault = script.pop(0) if script else deliver
            try:
                fault(self._cluster, sidecar, order, progress.received)
            except samples.AttemptFailedError as err:
                decision = self._controller.decide(
                    progress, err.failure, self._cluster.now
                )
            else:
                return "answered"
            if decision.error is not None:
                return decision.error.run
            if decision.kind == "elsewhere":
                return None

    def _refuse(self, progress: attempts.Progress) -> str:
        error = base_errors.CodedError("no endpoint", "not_run")
        return self._controller.conclude(progress, error).run

    def _resolve(self, claim: claims.Claim) -> int:
        """Return 0 for answered, -1 for unknown, or the attempt to replace."""
        location = claim["place"]
        sidecar = next(
            s for s in self._cluster.sidecars if s.name == location["host"]
        )
        if sidecar.paused or sidecar.incarnation != location["incarnation"]:
            return -1
        if sidecar.fence_key(KEY, claim["attempt"], self._cluster.now):
            return claim["attempt"]
        return 0

    def _make_order(self, sidecar: samples.Sidecar) -> types.RunOrder:
        return samples.make_order(
            KEY,
            submission=self._name,
            sidecar=sidecar.incarnation,
            idempotent=self._idempotent,
        )


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("first", FAULTS)
@pytest.mark.parametrize("second", [None, *FAULTS])
def test_reported_run_state_is_true(
    idempotent: bool, first: samples.Fault, second: samples.Fault | None
) -> None:
    cluster = samples.Cluster()
    script = [first] if second is None else [first, second]
    outcome = Entry(cluster, "e1", idempotent).submit(script)
    ran_at_answer = cluster.ran[KEY]
    cluster.deliver_delayed()
    if outcome == "not_run":
        assert (ran_at_answer, cluster.ran[KEY]) == (0, 0)
    if outcome == "answered":
        assert cluster.ran[KEY] >= 1
    retry_outcome = Entry(cluster, "e2", idempotent).submit([])
    cluster.deliver_delayed()
    if not idempotent:
        assert cluster.ran[KEY] <= 1
    if retry_outcome == "answered":
        assert cluster.ran[KEY] >= 1
    if retry_outcome == "not_run" and not idempotent:
        assert cluster.ran[KEY] == 0


@pytest.mark.parametrize(
    ("first", "second"), [*itertools.product(FAULTS, FAULTS)]
)
def test_delayed_order_never_runs_a_request_twice(
    first: samples.Fault, second: samples.Fault
) -> None:
    """An order that arrives after its claim was taken over is fenced."""
    cluster = samples.Cluster()
    Entry(cluster, "e1", False).submit([delay_order, first, second])
    Entry(cluster, "e2", False).submit([second, first])
    cluster.deliver_delayed()
    Entry(cluster, "e3", False).submit([])
    assert cluster.ran[KEY] <= 1


def test_idempotent_request_is_answered_despite_any_single_failure() -> None:
    for fault in FAULTS:
        cluster = samples.Cluster()
        assert Entry(cluster, "e1", True).submit([fault]) == "answered", fault
