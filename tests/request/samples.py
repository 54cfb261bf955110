"""Sample orders and an in-memory cluster of sidecars."""

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
    """Admit orders by the real controllers and complete them at once."""

    def __init__(self, name: str, ran: collections.Counter[str]) -> None:
        self.name = name
        self.number = 1
        self.paused = False
        self.table = run_table.RunTable()
        self._ran = ran
        self._controller = runs.RunController()

    @property
    def incarnation(self) -> str:
        return f"{self.name}{self.number}"

    def restart(self) -> None:
        self.number += 1
        self.table = run_table.RunTable()

    def receive(
        self, order: types.RunOrder, resumed: bool, now: float
    ) -> None:
        if order["sidecar"] != self.incarnation:
            raise errors.OtherIncarnationError("other")
        admitted = self._controller.admit(self.table, {**order}, now, resumed)
        if admitted.started:
            self._ran[order["key"]] += 1
            self._controller.append(self.table, admitted.run, ANSWER)
            self._controller.finish(self.table, admitted.run, now)

    def fence_key(self, key: str, attempt: int, now: float) -> bool:
        return self._controller.fence_key(self.table, key, attempt, now)


class Cluster:
    """Hold two sidecars, one claim shard and orders that are delayed."""

    def __init__(self) -> None:
        self.ran: collections.Counter[str] = collections.Counter()
        self.sidecars = [Sidecar("a", self.ran), Sidecar("b", self.ran)]
        self.shard: claims.ClaimShard = {"commits": [], "claims": {}}
        self.delayed_orders: list[tuple[Sidecar, types.RunOrder]] = []
        self.now = 0.0

    def deliver_delayed(self) -> None:
        for sidecar, order in self.delayed_orders:
            try:
                sidecar.receive(order, False, self.now)
            except base_errors.CodedError:
                continue
        self.delayed_orders.clear()

    def acquire_claim(
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


Fault = Callable[[Cluster, Sidecar, types.RunOrder, bool], None]


def fail(kind: attempts.FailureKind, run: base_errors.RunState) -> None:
    raise AttemptFailedError(
        attempts.Failure(kind, errors.RequestError(kind, run))
    )


class AttemptFailedError(Exception):
    def __init__(self, failure: attempts.Failure) -> None:
        super().__init__(failure.kind)
        self.failure = failure
