from __future__ import annotations

import asyncio
from typing import Any
from typing import NamedTuple

import pytest
from tests.catalog import interleaving

from cyclamenwing import errors as base_errors
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import revisions
from cyclamenwing.catalog import segments
from cyclamenwing.catalog import types
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

KEY = "a" * 64


def make_change(author: str) -> audit.Change:
    return audit.Change(1.0, author, "host", "publish", "", "", None, None)


def make_file(service: str, *names: str, admits: str = "") -> Any:
    file: dict[str, Any] = {"service": service}
    file["workspaces"] = [
        {"name": name, "keys": [], "budgets": []} for name in names
    ]
    if admits:
        file["routes"] = [
            {
                "name": f"{service}-route",
                "protocol": "plain",
                "workspaces": [admits],
            },
        ]
    return file


class Outcome(NamedTuple):
    """Hold the result of one publication."""

    author: str
    base: int
    revision: int
    error: base_errors.CodedError | None


class Publication(NamedTuple):
    """Publish files, based on the active revision at the start."""

    author: str
    files: list[Any]
    removals: tuple[str, ...] = ()

    async def run(self, store: protocol.Store) -> Outcome:
        base = (await revisions.read_head(store))["revision"]
        try:
            head = await publication.publish_files(
                store,
                self.files,
                make_change(self.author),
                f"commit-{self.author}",
                base,
                self.removals,
            )
        except base_errors.CodedError as err:
            return Outcome(self.author, base, 0, err)
        own_revisions = [
            record["after"]["revision"]
            for record in head["audit"]
            if record["commit"] == f"commit-{self.author}"
        ]
        return Outcome(self.author, base, own_revisions[0], None)


def make_initial_values(*files: Any) -> dict[str, tuple[bytes, int]]:
    """Return the values of a store in which the files are published."""

    def publish(store: protocol.Store) -> Any:
        change = make_change("start")
        return publication.publish_files(store, files, change, "start")

    values: dict[str, tuple[bytes, int]] = {}
    choices: list[interleaving.Choice] = []
    while True:
        state = interleaving.replay([publish], values, choices)
        if state.waiting == [None]:
            return state.values
        choices.append(interleaving.Choice(0, ""))


BASE = make_file("base", "w")
# Each row: title, two concurrent publications, the code of a rejected one,
# and whether both always commit.
RACES = (
    (
        "different services",
        Publication("ann", [make_file("a", "a1")]),
        Publication("bob", [make_file("b", "b1")]),
        "",
        True,
    ),
    (
        "same service",
        Publication("ann", [make_file("a", "a1")]),
        Publication("bob", [make_file("a", "a2")]),
        "publish_conflict",
        False,
    ),
    (
        "same service, one is removed",
        Publication("ann", [make_file("base", "w", "x")]),
        Publication("bob", [], ("base",)),
        "publish_conflict",
        False,
    ),
    (
        "reference to a workspace that the other removes",
        Publication("ann", [make_file("base", "x")]),
        Publication("bob", [make_file("b", admits="w")]),
        "catalog_invalid",
        False,
    ),
    (
        "one workspace in two services",
        Publication("ann", [make_file("a", "same")]),
        Publication("bob", [make_file("b", "same")]),
        "catalog_invalid",
        False,
    ),
)


@pytest.mark.parametrize(
    ("title", "first", "second", "code", "both_commit"),
    RACES,
    ids=lambda item: "",
)
def test_every_interleaving_of_two_publishers(
    title: str,
    first: Publication,
    second: Publication,
    code: str,
    both_commit: bool,
) -> None:
    committed_counts: set[int] = set()

    def check(state: interleaving.State) -> None:
        outcomes: list[Outcome] = state.outcomes
        head = revisions.HeadCodec().decode(state.values[keys.CATALOG_HEAD][0])
        committed = [item for item in outcomes if item.error is None]
        committed_counts.add(len(committed))
        assert committed, outcomes
        assert head["revision"] == 1 + len(committed)
        assert audit.find_broken_record(head["audit"]) is None
        authors = [record["author"] for record in head["audit"][1:]]
        order = sorted(committed, key=lambda item: item.revision)
        assert authors == [item.author for item in order]
        for item in outcomes:
            if item.error is None:
                continue
            assert item.error.code == code
            if code == "publish_conflict":
                assert committed[0].author in item.error.message
                assert item.base < committed[0].revision
        if code == "publish_conflict" and len(committed) == 2:
            assert order[1].base >= order[0].revision

    states, end_count = interleaving.explore_interleavings(
        [first.run, second.run], make_initial_values(BASE), check
    )
    assert end_count > 10 and states > 200
    assert committed_counts == ({2} if both_commit else committed_counts | {1})
    print(f"{title}: {states} states, {end_count} ends")


class MemoryStore(interleaving.SteppedStore):
    """Hold values in memory; calls don't pause, so that asyncio can run."""

    def __init__(self) -> None:
        super().__init__({}, [])

    async def get(self, key: str) -> protocol.Entry | None:
        stored = self.values.get(key)
        return protocol.Entry(key, *stored) if stored else None

    async def swap(
        self, key: str, revision: int, value: bytes, lease: int = 0
    ) -> int | None:
        if self.values.get(key, (b"", 0))[1] != revision:
            return None
        self.values[key] = (value, revision + 1)
        return revision + 1


def publish(
    store: protocol.Store, file: Any, commit: str, **options: Any
) -> types.Head:
    return asyncio.run(
        publication.publish_files(
            store, [file] if file else [], make_change("m"), commit, **options
        )
    )


def test_repeated_publication_adds_no_second_revision() -> None:
    store = MemoryStore()
    publish(store, make_file("a", "a1"), "one")
    assert publish(store, make_file("a", "a1"), "one")["revision"] == 1
    assert publish(store, make_file("a", "a1"), "two")["revision"] == 1
    assert publish(store, None, "x", removals=["none"])["revision"] == 1
    assert publish(store, None, "y", removals=["a"])["revision"] == 2
    with pytest.raises(errors.PublishConflictError, match="removed by 'm'"):
        publish(store, make_file("a", "a1"), "z", base_revision=1)


def test_old_audit_records_move_to_segments_and_head_stays_small() -> None:
    store = MemoryStore()
    services = 300
    head = publish(store, make_file("s0"), "first")
    for number in range(1, services + 200):
        file = make_file(f"s{number % services}", f"w{number}")
        head = publish(store, file, f"c{number}")
    assert head["audit_segments"] == (services + 200 - 32) // 32
    size = len(store.values[keys.CATALOG_HEAD][0])
    assert size < 200_000, size
    records = asyncio.run(segments.read_records(store, "catalog", head))
    assert len(records) == services + 200
    assert audit.find_broken_record(records) is None


@pytest.mark.parametrize("number", [1, 32, 33, 70, 100])
@pytest.mark.parametrize("tampering", ["change", "drop", "swap"])
def test_missing_or_altered_record_is_found(
    number: int, tampering: str
) -> None:
    store = MemoryStore()
    for index in range(100):
        head = publish(store, make_file("s", f"w{index}"), f"c{index}")
    records = asyncio.run(segments.read_records(store, "catalog", head))
    if tampering == "change":
        records[number - 1]["author"] = "x"
    elif tampering == "drop":
        del records[number - 1]
    else:
        records[number - 1] = records[number - 2]
    broken = audit.find_broken_record(records)
    last_dropped = tampering == "drop" and number == 100
    assert broken == (None if last_dropped else number)
