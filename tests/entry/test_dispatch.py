"""Queueing of jobs and choice of sidecars at an entry.

A draining host must get no work, however an entry learns of the drain. Jobs
without a chance to run in time must be refused instead of waiting.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import cast

import pytest
from tests.entry import fleet as test_fleet
from tests.routing import samples

from cyclamenwing.budget import account
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import dispatch
from cyclamenwing.entry import quarantine
from cyclamenwing.membership import types as membership_types
from cyclamenwing.membership import view
from cyclamenwing.routing import errors
from cyclamenwing.routing import scoring
from cyclamenwing.routing import types
from cyclamenwing.transport import protocol

DRAIN_BOUND_S = 3.0
SLOTS = 2


def make_beat(host: str, leaving: bool = False) -> membership_types.Heartbeat:
    return {
        "host": host,
        "role": "sidecar",
        "zone": "z1",
        "address": "127.0.0.1:1",
        "incarnation": f"{host}/1",
        "route": "route",
        "leaving": leaving,
        "revision": 1,
        "load": 0,
        "news": {},
    }


async def lift_without_record(
    request: quarantine.LiftRequest, lift: Callable[[], bool]
) -> bool:
    return lift()


class Entry:
    def __init__(self, *hosts: str) -> None:
        self.board = blackboard.EntryBoard(
            "e", "z1", "e/1", account.HolderBoard("e/1")
        )
        crash_quarantine = quarantine.Quarantine(
            self.board,
            cast(protocol.Client, None),
            lift_without_record,
        )
        self.dispatch = dispatch.Dispatch(
            self.board,
            scoring.ScoringPolicy("z1"),
            crash_quarantine,
            random.Random(1),
        )
        self.view = view.MemberController()
        for host in hosts:
            self.receive(make_beat(host))
            self.board.served.add(f"{host}/1")

    def receive(self, beat: membership_types.Heartbeat) -> None:
        self.view.receive(self.board.members, beat, time.monotonic())
        report = samples.make_report(max_running=SLOTS)
        self.dispatch.receive_gossip(beat, report)

    def list_hosts(self) -> list[str]:
        candidates = self.dispatch.list_candidates("route", time.monotonic())
        return sorted(item.host for item in candidates)

    async def begin(self, job: types.Job) -> None:
        await self.dispatch.admit(job)
        host = self.dispatch.choose(job, []).host
        self.dispatch.record_start(job, host)


def make_job(name: str, timeout_s: float = 60.0) -> types.Job:
    return samples.make_job(name, deadline=time.monotonic() + timeout_s)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def run_with_timeout() -> None:
        async with asyncio.timeout(test_fleet.WAIT_S):
            await scenario()

    asyncio.run(run_with_timeout())


def drain_by_heartbeat(entry: Entry) -> None:
    entry.receive(make_beat("a", leaving=True))


def drain_by_host_list(entry: Entry) -> None:
    host: membership_types.Host = {
        "host": "a",
        "role": "sidecar",
        "zone": "z1",
        "address": "127.0.0.1:1",
        "state": "leaving",
    }
    entry.view.adopt_hosts(entry.board.members, [host])


def drain_by_refusal(entry: Entry) -> None:
    entry.dispatch.record_draining("a", "a/1")


def remove_from_session(entry: Entry) -> None:
    entry.board.served.discard("a/1")


@pytest.mark.parametrize(
    "make_unavailable",
    [
        drain_by_heartbeat,
        drain_by_host_list,
        drain_by_refusal,
        remove_from_session,
    ],
)
def test_draining_host_is_no_candidate(
    make_unavailable: Callable[[Entry], None],
) -> None:
    entry = Entry("a", "b")
    assert entry.list_hosts() == ["a", "b"]
    make_unavailable(entry)
    assert entry.list_hosts() == ["b"]
    with pytest.raises(errors.NoEndpointError) as refusal:
        entry.dispatch.choose(make_job("r"), ["b"])
    assert refusal.value.run == "not_run"


def test_new_incarnation_on_a_draining_host_takes_work() -> None:
    entry = Entry("a")
    drain_by_refusal(entry)
    entry.receive({**make_beat("a"), "incarnation": "a/2", "sequence": 1})
    entry.board.served.add("a/2")
    assert entry.list_hosts() == ["a"]


def test_jobs_wait_for_free_slots_in_queue_order() -> None:
    async def scenario() -> None:
        entry = Entry("a")
        jobs = [make_job(str(number)) for number in range(5)]
        tasks = [asyncio.create_task(entry.begin(job)) for job in jobs]
        await test_fleet.wait_for(tasks[SLOTS - 1].done)
        assert [task.done() for task in tasks] == [True] * 2 + [False] * 3
        tasks[2].cancel()
        await asyncio.wait([tasks[2]])
        entry.dispatch.record_end(jobs[0], "a", True)
        entry.dispatch.finish(jobs[0])
        await tasks[3]
        assert not tasks[4].done()
        entry.dispatch.record_end(jobs[1], "a", True)
        entry.dispatch.finish(jobs[1])
        await tasks[4]

    run(scenario)


def test_queued_job_is_refused_once_it_misses_its_deadline() -> None:
    async def scenario() -> None:
        entry = Entry("a")
        for name in ("1", "2"):
            await entry.begin(make_job(name))
        entry.dispatch.start()
        with pytest.raises(errors.OverloadedError) as refusal:
            await entry.begin(make_job("late", timeout_s=0.05))
        assert refusal.value.run == "not_run"
        assert (refusal.value.retry_after_s or 0) >= 1
        await entry.dispatch.close()

    run(scenario)


def test_suspect_runs_alone_or_is_refused_at_once() -> None:
    async def scenario() -> None:
        entry = Entry("a", "b")
        job = make_job("r")._replace(fingerprint="f" * 64)
        await entry.begin(job)
        entry.dispatch.record_crash(job, "a")
        entry.dispatch.record_end(job, "a")
        entry.dispatch.finish(job)
        short = job._replace(request="s", deadline=time.monotonic() + 0.5)
        with pytest.raises(errors.OverloadedError) as refusal:
            await entry.begin(short)
        assert (refusal.value.run, refusal.value.retry_after_s) == (
            "not_run",
            2,
        )
        retries = [
            asyncio.create_task(entry.begin(job._replace(request=name)))
            for name in ("t", "u")
        ]
        done, waiting = await asyncio.wait(
            retries, return_when=asyncio.FIRST_COMPLETED
        )
        assert (len(done), len(waiting)) == (1, 1)
        entry.dispatch.record_crash(job, "b")
        with pytest.raises(errors.QuarantinedError):
            await waiting.pop()

    run(scenario)


def test_without_endpoints_a_job_is_refused_at_once() -> None:
    async def scenario() -> None:
        with pytest.raises(errors.NoEndpointError) as refusal:
            await Entry().begin(make_job("r"))
        assert refusal.value.retry_after_s is not None

    run(scenario)


@pytest.mark.parametrize("source", ["sidecar", "list"])
def test_every_entry_stops_using_a_draining_host(source: str) -> None:
    async def scenario() -> None:
        async with test_fleet.open_fleet() as fleet:
            await fleet.publish(test_fleet.make_file())
            seeds: list[str] = []
            for number in range(3):
                entry = fleet.start_entry(f"e{number}", "z0", seeds)
                seeds.append(entry.peer_address)
            sidecar = fleet.start_sidecar("s0", seeds)
            await test_fleet.wait_for(
                lambda: all(map(_list_available, fleet.entries))
            )
            if source == "sidecar":
                stopping = asyncio.create_task(fleet.stop(sidecar))
            else:
                fleet.hosts.state.hosts = [_make_draining(sidecar)]
            async with asyncio.timeout(DRAIN_BOUND_S):
                while any(map(_list_available, fleet.entries)):
                    await asyncio.sleep(0.01)
            if source == "sidecar":
                await stopping

    run(scenario)


def _list_available(entry: Any) -> list[membership_types.Heartbeat]:
    return view.MemberController().list_available(
        entry.board.members, "records", time.monotonic()
    )


def _make_draining(sidecar: Any) -> membership_types.Host:
    return {
        "host": "s0",
        "role": "sidecar",
        "zone": "z0",
        "address": sidecar.address,
        "state": "leaving",
    }
