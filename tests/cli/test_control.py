from __future__ import annotations

import asyncio
import json
import pathlib
import time
import uuid
from typing import Any

import pytest
from tests.entry import fleet

from cyclamenwing import errors as base_errors
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import audit_trail
from cyclamenwing.catalog import history
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import revisions
from cyclamenwing.cli import main
from cyclamenwing.cli import protocol
from cyclamenwing.cli import publish
from cyclamenwing.cli import remote
from cyclamenwing.cli import survey
from cyclamenwing.standin import faults
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys


def make_fault(kind: faults.FaultKind, skip: int, count: int) -> faults.Fault:
    return {
        "call": "kv/",
        "kind": kind,
        "skip": skip,
        "count": count,
        "delay_s": 0.05 if kind == "slow" else 0.0,
    }


# Each row: kind of the store fault, number of calls before it and with it,
# and the expected error code, empty for success.
FAULTS: tuple[tuple[faults.FaultKind, int, int, str], ...] = (
    ("down", 0, 3, ""),
    ("down", 0, 10**6, "store_unavailable"),
    ("slow", 0, 10**6, ""),
    *(("lost_answer", skip, 1, "") for skip in range(5)),
    ("lost_answer", 0, 3, ""),
    ("lost_answer", 3, 10**6, "store_answer_lost"),
)


@pytest.mark.parametrize(("kind", "skip", "count", "code"), FAULTS)
def test_publication_under_store_faults(
    kind: faults.FaultKind, skip: int, count: int, code: str
) -> None:
    async def run() -> None:
        async with fleet.open_fleet() as running_fleet:
            await running_fleet.publish(fleet.make_file())
            running_fleet.table.faults = [make_fault(kind, skip, count)]
            change = audit.Change(
                time.time(), "bob", "test", "publish", "", "", None, None
            )
            publisher = publication.Publisher(
                running_fleet.store_client,
                [fleet.make_file(idempotent=True)],
                (),
                change,
                uuid.uuid4().hex,
                1,
            )
            bound_s = 1.0 if code else fleet.WAIT_S
            error_code = ""
            try:
                ends_at = time.monotonic() + bound_s
                await publish.publish_with_retries(publisher, ends_at)
            except base_errors.CodedError as err:
                error_code = err.code
            assert error_code == code
            running_fleet.table.faults = []
            # A repetition under the same id adds no second revision, whether
            # the first attempt succeeded or failed.
            await publisher.publish()
            head = await revisions.read_head(running_fleet.store_client)
            assert head["revision"] == 2
            assert len(head["audit"]) == 2

    asyncio.run(run())


def test_publish_check_status_and_audit_commands(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv(remote.FLEET_KEY_VARIABLE, fleet.KEY)
    path = tmp_path / "records.cyclamenwing.json"
    store = ["--store"]

    async def run_command(*arguments: str) -> tuple[int, str]:
        code = await asyncio.to_thread(main.run, list(arguments))
        return code, capsys.readouterr().out

    async def run() -> None:
        async with fleet.open_fleet() as running_fleet:
            entry = running_fleet.start_entry("e0", "z0", [])
            peer = entry.peer_address
            running_fleet.start_sidecar("s0", [peer])
            store.append(running_fleet.store.address)
            path.write_text(json.dumps(fleet.make_file()))
            code, out = await run_command(
                "publish", str(path), *store, "--wait", "--entry", peer
            )
            assert (code, out.split("\n")[:3]) == (
                protocol.EXIT_OK,
                ["revision 1", "e0 revision 1", "s0 revision 1"],
            )
            path.write_text(json.dumps(fleet.make_file(idempotent=True)))
            code, out = await run_command("check", str(path), *store, "--diff")
            assert code == protocol.EXIT_OK
            assert out.startswith("change records/routes/records calls: ")
            code, _ = await run_command("publish", str(path), *store)
            code, _ = await run_command(
                "publish", "--delete", "records", "--base", "1", *store
            )
            assert code == protocol.EXIT_FAILED
            running_fleet.hosts.state.hosts = [
                {
                    "host": "gone",
                    "role": "sidecar",
                    "zone": "z0",
                    "address": "127.0.0.1:1",
                    "state": "live",
                },
            ]
            await fleet.wait_for(lambda: entry.board.members.hosts)
            await fleet.wait_for(lambda: entry.board.catalog.revision == 2)
            code, out = await run_command("status", "--json", "--entry", peer)
            status = json.loads(out)
            assert code == protocol.EXIT_FAILED
            assert status["unreachable"] == {"gone": "not heard of"}
            assert set(status["processes"]) == {"e0", "s0"}
            code, out = await run_command("audit", *store, "--diff", "2")
            assert (code, out[:29]) == (
                protocol.EXIT_OK,
                "change records/routes/records",
            )
            code, out = await run_command("audit", *store, "--json")
            assert len(json.loads(out)["records"]) == 2

    asyncio.run(run())


def test_operation_is_audited_when_it_or_the_store_fails() -> None:
    async def run() -> None:
        async with fleet.open_fleet() as running_fleet:
            change = audit.Change(
                1.0, "ann", "host", "top-up", "budget", "w", None, 5
            )
            store = running_fleet.store_client

            async def succeed() -> audit_trail.Outcome:
                return audit_trail.Outcome(1, 6)

            async def fail() -> audit_trail.Outcome:
                raise store_errors.StoreUnavailableError("down")

            async def lose_store() -> audit_trail.Outcome:
                running_fleet.table.faults = [fleet.DOWN]
                return audit_trail.Outcome(6, 11)

            await audit_trail.record_operation(
                store, audit_trail.Operation("a", change), succeed
            )
            with pytest.raises(store_errors.StoreUnavailableError):
                await audit_trail.record_operation(
                    store, audit_trail.Operation("b", change), fail
                )
            await audit_trail.record_operation(
                store, audit_trail.Operation("c", change), lose_store
            )
            with pytest.raises(store_errors.StoreUnavailableError):
                await audit_trail.record_operation(
                    store, audit_trail.Operation("d", change), succeed
                )
            running_fleet.table.faults = []
            audit_history = await history.read_history(store)
            assert not audit_history.faults
            records = audit_history.select(history.Filter(workspace="w"))
            states = [
                (record["after"]["act"], record["after"]["state"])
                for record in records
            ]
            assert states == [
                ("a", "begun"),
                ("a", "done"),
                ("b", "begun"),
                ("b", "refused"),
                ("c", "begun"),
            ]
            assert not audit_history.select(history.Filter(kind="publish"))
            assert not audit_history.select(history.Filter(since=2.0))
            assert len(audit_history.select(history.Filter(until=2.0))) == 5

    asyncio.run(run())


def test_top_ups_are_audited() -> None:
    async def run() -> None:
        async with fleet.open_fleet() as running_fleet:
            store = ["--store", running_fleet.store.address]
            arguments = ["top-up", "b", "5", "--id", "p1", "--author", "ann"]
            for _ in range(2):
                code = await asyncio.to_thread(main.run, [*arguments, *store])
                assert code == protocol.EXIT_OK
            # An operation that can't be recorded isn't carried out.
            running_fleet.table.faults = [fleet.DOWN]
            code = await asyncio.to_thread(main.run, [*arguments, *store])
            assert code == protocol.EXIT_UNAVAILABLE
            running_fleet.table.faults = []
            audit_history = await history.read_history(
                running_fleet.store_client
            )
            assert not audit_history.faults
            recorded = [
                (record["kind"], record["author"], record["after"]["state"])
                for record in audit_history.select(history.Filter())
            ]
            assert recorded == [
                *[("top-up", "ann", "begun"), ("top-up", "ann", "done")] * 2,
            ]

    asyncio.run(run())


@pytest.mark.parametrize(
    "tampering", ["segment", "record", "revision", "tail"]
)
def test_tampered_audit_trail_is_reported(
    tampering: str, capsys: pytest.CaptureFixture[str]
) -> None:
    async def run() -> tuple[int, str]:
        async with fleet.open_fleet() as running_fleet:
            for number in range(70):
                await running_fleet.publish(fleet.make_file(path=f"/{number}"))
            data = running_fleet.store.state.data
            key = keys.name_audit("catalog", 0)
            head = await revisions.read_head(running_fleet.store_client)
            if tampering == "segment":
                data.swap(key, data.records[key].revision, None, 0)
            elif tampering == "record":
                head["audit"][3]["author"] = "x"
            elif tampering == "revision":
                head["services"]["records"]["author"] = "x"
            else:
                del head["audit"][-1]
            encoded = revisions.HeadCodec().encode(head)
            stored_head = data.records[keys.CATALOG_HEAD]
            data.swap(keys.CATALOG_HEAD, stored_head.revision, encoded, 0)
            code = await asyncio.to_thread(
                main.run, ["audit", "--store", running_fleet.store.address]
            )
            return code, capsys.readouterr().out

    code, out = asyncio.run(run())
    assert code == protocol.EXIT_FAILED
    assert "audit_broken: " in out


def make_member(host: str, **fields: Any) -> Any:
    return {
        "host": host,
        "role": "sidecar",
        "zone": "z",
        "address": f"at-{host}",
        "incarnation": "i",
        "route": "r",
        "revision": 3,
        "load": 0,
        "leaving": False,
        "live": True,
        "direct": True,
        "silent_s": 0.1,
        **fields,
    }


def test_survey_merges_views_of_entries() -> None:
    view: Any = {
        "zone": "z",
        "incarnation": "i",
        "leaving": False,
        "behind": 0,
        "standing": "confirmed",
        "confirmed_age_s": 0.0,
        "in_progress": 0,
        "hosts": [],
    }
    one = make_member("e1", role="entry", direct=False, revision=0)
    dead = make_member("e9", role="entry", direct=False, revision=0)
    fleets: Any = [
        {
            **view,
            "host": "e0",
            "address": "at-e0",
            "revision": 4,
            "members": [
                one,
                dead,
                make_member("s0", revision=4),
                make_member("s1", direct=False, revision=0),
                make_member("s2", live=False),
            ],
        },
        {
            **view,
            "host": "e1",
            "address": "at-e1",
            "revision": 3,
            "members": [make_member("s1"), make_member("s3", direct=False)],
        },
    ]
    merged = survey.merge_fleets(fleets, {"at-e9": "connect_failed"})
    assert merged.list_outdated(4) == ["e1", "s1"]
    assert merged.unreachable == {
        "e9": "connect_failed",
        "s2": "silent",
        "s3": "reports to no entry that answers",
    }
