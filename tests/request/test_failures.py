"""Each failure of an attempt, and each pair, on the pure controllers."""

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
    world: samples.World,
    sidecar: samples.Sidecar,
    order: types.RunOrder,
    resumed: bool,
) -> None:
    if sidecar.paused:
        samples.fail("silent", "unknown")
    try:
        sidecar.receive(order, resumed, world.now)
    except base_errors.CodedError as err:
        kind: attempts.FailureKind = (
            "replaced" if err.code == "other_incarnation" else "refused"
        )
        raise samples.FaultError(attempts.Failure(kind, err)) from err


def refuse_connection(world, sidecar, order, resumed):  # type: ignore
    samples.fail("unsent", "not_run")


def lose_order(world, sidecar, order, resumed):  # type: ignore
    samples.fail("lost", "unknown")


def delay_order(world, sidecar, order, resumed):  # type: ignore
    world.late.append((sidecar, order))
    samples.fail("silent", "unknown")


def lose_answer(world, sidecar, order, resumed):  # type: ignore
    deliver(world, sidecar, order, resumed)
    samples.fail("lost", "unknown")


def kill_before_run(world, sidecar, order, resumed):  # type: ignore
    sidecar.restart()
    samples.fail("lost", "unknown")


def kill_after_run(world, sidecar, order, resumed):  # type: ignore
    deliver(world, sidecar, order, resumed)
    sidecar.restart()
    samples.fail("lost", "unknown")


def pause_after_run(world, sidecar, order, resumed):  # type: ignore
    deliver(world, sidecar, order, resumed)
    sidecar.paused = True
    samples.fail("silent", "unknown")


def crash_endpoint(world, sidecar, order, resumed):  # type: ignore
    deliver(world, sidecar, order, resumed)
    samples.fail("crashed", "unknown")


def drain(world, sidecar, order, resumed):  # type: ignore
    sidecar.board.draining = True
    deliver(world, sidecar, order, resumed)


def fill_buffers(world, sidecar, order, resumed):  # type: ignore
    sidecar.board.booked_bytes += run_table.MAX_HELD_BYTES
    try:
        deliver(world, sidecar, order, resumed)
    finally:
        sidecar.board.booked_bytes -= run_table.MAX_HELD_BYTES


def restart_and_drain(world, sidecar, order, resumed):  # type: ignore
    sidecar.restart()
    deliver(world, sidecar, order, resumed)


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
    """Drive one submission through the controllers."""

    def __init__(
        self, world: samples.World, name: str, idempotent: bool
    ) -> None:
        self._world = world
        self._name = name
        self._idempotent = idempotent
        self._controller = attempts.AttemptController()
        self._attempt = 0

    def submit(self, script: list[samples.Fault]) -> str:
        """Return "answered" or the run state of the refusal."""
        progress = attempts.Progress(self._idempotent, 100.0)
        tried: list[samples.Sidecar] = []
        replaces = 0
        while True:
            free = [s for s in self._world.sidecars if s not in tried]
            if not free:
                return self._refuse(progress)
            tried.append(free[0])
            order = self._make_order(free[0])
            if not self._idempotent:
                result = self._world.take(
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
            verdict = self._try(progress, order, free[0], script)
            if verdict is not None:
                return verdict

    def _try(
        self,
        progress: attempts.Progress,
        order: types.RunOrder,
        sidecar: samples.Sidecar,
        script: list[samples.Fault],
    ) -> str | None:
        self._controller.begin(progress)
        while True:
            self._world.now += 0.1
            act = script.pop(0) if script else deliver
            try:
                act(self._world, sidecar, order, progress.received)
            except samples.FaultError as err:
                step = self._controller.decide(
                    progress, err.failure, self._world.now
                )
            else:
                return "answered"
            if step.error is not None:
                return step.error.run
            if step.kind == "elsewhere":
                return None

    def _refuse(self, progress: attempts.Progress) -> str:
        error = base_errors.CodedError("no endpoint", "not_run")
        return self._controller.conclude(progress, error).run

    def _resolve(self, claim: claims.Claim) -> int:
        """Return 0 for answered, -1 for unknown, or an attempt to replace."""
        place = claim["place"]
        sidecar = next(
            s for s in self._world.sidecars if s.name == place["host"]
        )
        if sidecar.paused or sidecar.incarnation != place["incarnation"]:
            return -1
        if sidecar.bar(KEY, claim["attempt"], self._world.now):
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
def test_states_are_true(
    idempotent: bool, first: samples.Fault, second: samples.Fault | None
) -> None:
    world = samples.World()
    script = [first] if second is None else [first, second]
    verdict = Entry(world, "e1", idempotent).submit(script)
    ran_at_answer = world.ran[KEY]
    world.deliver_late()
    if verdict == "not_run":
        assert (ran_at_answer, world.ran[KEY]) == (0, 0)
    if verdict == "answered":
        assert world.ran[KEY] >= 1
    again = Entry(world, "e2", idempotent).submit([])
    world.deliver_late()
    if not idempotent:
        assert world.ran[KEY] <= 1
    if again == "answered":
        assert world.ran[KEY] >= 1
    if again == "not_run" and not idempotent:
        assert world.ran[KEY] == 0


@pytest.mark.parametrize(
    ("first", "second"), [*itertools.product(FAULTS, FAULTS)]
)
def test_late_order_never_runs_a_decision_twice(
    first: samples.Fault, second: samples.Fault
) -> None:
    """A holder that wakes after a takeover sends to a barred place."""
    world = samples.World()
    Entry(world, "e1", False).submit([delay_order, first, second])
    Entry(world, "e2", False).submit([second, first])
    world.deliver_late()
    Entry(world, "e3", False).submit([])
    assert world.ran[KEY] <= 1


def test_idempotent_request_survives_each_single_failure() -> None:
    for fault in FAULTS:
        world = samples.World()
        assert Entry(world, "e1", True).submit([fault]) == "answered", fault
