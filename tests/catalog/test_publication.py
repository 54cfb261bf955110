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
    """Hold how one publishing ended."""

    author: str
    base: int
    revision: int
    error: base_errors.CodedError | None


class Publishing(NamedTuple):
    """Publish from the revision that the author saw."""

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
        mine = [
            record["after"]["revision"]
            for record in head["audit"]
            if record["commit"] == f"commit-{self.author}"
        ]
        return Outcome(self.author, base, mine[0], None)


def start_values(*files: Any) -> dict[str, tuple[bytes, int]]:
    """Return a store in which some files are in force."""

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
# Each row: title, two publishings, the code of a refused one, and whether
# both always land.
RACES = (
    (
        "different services",
        Publishing("ann", [make_file("a", "a1")]),
        Publishing("bob", [make_file("b", "b1")]),
        "",
        True,
    ),
    (
        "same service",
        Publishing("ann", [make_file("a", "a1")]),
        Publishing("bob", [make_file("a", "a2")]),
        "publish_conflict",
        False,
    ),
    (
        "same service, one is removed",
        Publishing("ann", [make_file("base", "w", "x")]),
        Publishing("bob", [], ("base",)),
        "publish_conflict",
        False,
    ),
    (
        "reference to what the other takes away",
        Publishing("ann", [make_file("base", "x")]),
        Publishing("bob", [make_file("b", admits="w")]),
        "catalog_invalid",
        False,
    ),
    (
        "one workspace in two services",
        Publishing("ann", [make_file("a", "same")]),
        Publishing("bob", [make_file("b", "same")]),
        "catalog_invalid",
        False,
    ),
)


@pytest.mark.parametrize(
    ("title", "one", "other", "code", "both"), RACES, ids=lambda item: ""
)
def test_every_order_of_two_publishers(
    title: str, one: Publishing, other: Publishing, code: str, both: bool
) -> None:
    kinds: set[int] = set()

    def check(state: interleaving.State) -> None:
        outcomes: list[Outcome] = state.outcomes
        head = revisions.HeadCodec().decode(state.values[keys.CATALOG_HEAD][0])
        landed = [item for item in outcomes if item.error is None]
        kinds.add(len(landed))
        assert landed, outcomes
        assert head["revision"] == 1 + len(landed)
        assert audit.find_broken_record(head["audit"]) is None
        made = [record["author"] for record in head["audit"][1:]]
        order = sorted(landed, key=lambda item: item.revision)
        assert made == [item.author for item in order]
        for item in outcomes:
            if item.error is None:
                continue
            assert item.error.code == code
            if code == "publish_conflict":
                assert landed[0].author in item.error.message
                assert item.base < landed[0].revision
        if code == "publish_conflict" and len(landed) == 2:
            assert order[1].base >= order[0].revision

    states, ends = interleaving.walk(
        [one.run, other.run], start_values(BASE), check
    )
    assert ends > 10 and states > 200
    assert kinds == ({2} if both else kinds | {1})
    print(f"{title}: {states} states, {ends} ends")


class QuietStore(interleaving.StepStore):
    """Keep values in memory without pauses; for asyncio."""

    def __init__(self) -> None:
        super().__init__({}, [])

    async def get(self, key: str) -> protocol.Entry | None:
        found = self.values.get(key)
        return protocol.Entry(key, *found) if found else None

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


def test_repeated_publishing_makes_no_second_revision() -> None:
    store = QuietStore()
    publish(store, make_file("a", "a1"), "one")
    assert publish(store, make_file("a", "a1"), "one")["revision"] == 1
    assert publish(store, make_file("a", "a1"), "two")["revision"] == 1
    assert publish(store, None, "x", removals=["none"])["revision"] == 1
    assert publish(store, None, "y", removals=["a"])["revision"] == 2
    with pytest.raises(errors.PublishConflictError, match="removed by 'm'"):
        publish(store, make_file("a", "a1"), "z", base_revision=1)


def test_audit_moves_to_segments_and_head_stays_small() -> None:
    store = QuietStore()
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
@pytest.mark.parametrize("how", ["change", "drop", "swap"])
def test_missing_or_changed_record_shows(number: int, how: str) -> None:
    store = QuietStore()
    for made in range(100):
        head = publish(store, make_file("s", f"w{made}"), f"c{made}")
    records = asyncio.run(segments.read_records(store, "catalog", head))
    if how == "change":
        records[number - 1]["author"] = "x"
    elif how == "drop":
        del records[number - 1]
    else:
        records[number - 1] = records[number - 2]
    found = audit.find_broken_record(records)
    last_dropped = how == "drop" and number == 100
    assert found == (None if last_dropped else number)
