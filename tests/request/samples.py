"""Orders and a small world of sidecars for tests of requests."""

from __future__ import annotations

import collections
from collections.abc import Callable

from cyclamenwing import errors as base_errors
from cyclamenwing.request import attempts
from cyclamenwing.request import claims
from cyclamenwing.request import errors
from cyclamenwing.request import run_table
from cyclamenwing.request import runs
from cyclamenwing.request import types

ANSWER = b"the answer"


def make_order(key: str = "w/k", **changes: object) -> types.RunOrder:
    order: types.RunOrder = {
        "request": f"id-{key}",
        "key": key,
        "submission": "s1",
        "fingerprint": "f",
        "sidecar": "a1",
        "attempt": 1,
        "workspace": "w",
        "route": "r",
        "kind": "call",
        "reviewer": "",
        "protocol": "plain",
        "idempotent": False,
        "method": "POST",
        "path": "/",
        "headers": {},
        "body": "",
        "charges": [],
        "max_tokens": 0,
        "priority": 0,
        "deadline_ms": 60_000,
        "revision": 1,
    }
    order.update(changes)  # type: ignore[typeddict-item]
    return order


class Sidecar:
    """Run orders at once, as the sidecar's controllers decide."""

    def __init__(self, name: str, ran: collections.Counter[str]) -> None:
        self.name = name
        self.number = 1
        self.paused = False
        self.board = run_table.RunTable()
        self._ran = ran
        self._controller = runs.RunController()

    @property
    def incarnation(self) -> str:
        return f"{self.name}{self.number}"

    def restart(self) -> None:
        self.number += 1
        self.board = run_table.RunTable()

    def receive(
        self, order: types.RunOrder, resumed: bool, now: float
    ) -> None:
        if order["sidecar"] != self.incarnation:
            raise errors.OtherIncarnationError("other")
        admitted = self._controller.admit(self.board, {**order}, now, resumed)
        if admitted.started:
            self._ran[order["key"]] += 1
            self._controller.append(self.board, admitted.run, ANSWER)
            self._controller.finish(self.board, admitted.run, now)

    def bar(self, key: str, attempt: int, now: float) -> bool:
        return self._controller.fence_key(self.board, key, attempt, now)


class World:
    """Hold two sidecars, the claims and messages that come late."""

    def __init__(self) -> None:
        self.ran: collections.Counter[str] = collections.Counter()
        self.sidecars = [Sidecar("a", self.ran), Sidecar("b", self.ran)]
        self.shard: claims.ClaimShard = {"commits": [], "claims": {}}
        self.late: list[tuple[Sidecar, types.RunOrder]] = []
        self.now = 0.0

    def deliver_late(self) -> None:
        for sidecar, order in self.late:
            try:
                sidecar.receive(order, False, self.now)
            except base_errors.CodedError:
                continue
        self.late.clear()

    def take(
        self, order: types.RunOrder, sidecar: Sidecar, replaces: int
    ) -> claims.Result:
        op: claims.AcquireOp = {
            "op": "take",
            "key": order["key"],
            "request": order["request"],
            "fingerprint": order["fingerprint"],
            "session": order["submission"],
            "place": {
                "host": sidecar.name,
                "address": "",
                "incarnation": sidecar.incarnation,
            },
            "replaces": replaces,
        }
        return claims.apply_ops(self.shard, [op], "c", self.now)[0]


Fault = Callable[[World, Sidecar, types.RunOrder, bool], None]


def fail(kind: attempts.FailureKind, run: base_errors.RunState) -> None:
    raise FaultError(attempts.Failure(kind, errors.RequestError(kind, run)))


class FaultError(Exception):
    def __init__(self, failure: attempts.Failure) -> None:
        super().__init__(failure.kind)
        self.failure = failure
