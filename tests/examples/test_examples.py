"""Guards against example files that are invalid or do not start a fleet."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from cyclamenwing.catalog import collection
from cyclamenwing.catalog import index
from cyclamenwing.catalog import validation
from cyclamenwing.demo import fleet
from cyclamenwing.demo import plan as demo_plan
from cyclamenwing.demo import sample_requests
from cyclamenwing.settings import loader

ROOT = pathlib.Path(__file__).parents[2] / "examples"
# Number of zones, chat endpoints and plain endpoints of each user.
SIZES = {"bundesstelle": (4, 10, 4), "matkaraha": (3, 6, 3)}
EXAMPLES = sorted(path.name for path in ROOT.iterdir())


def test_each_user_has_an_example() -> None:
    assert set(EXAMPLES) == set(SIZES)


@pytest.mark.parametrize("name", EXAMPLES)
def test_files_are_valid(name: str) -> None:
    collected = collection.collect_files([ROOT / name])
    assert collected.findings == []
    assert validation.check_files(collected.files, {}) == []
    settings = ROOT / name / "settings"
    entries = [
        loader.load_entry(path).settings
        for path in settings.glob("entry-*.json")
    ]
    sidecars = [
        loader.load_sidecar(path).settings
        for path in settings.glob("sidecar-*.json")
    ]
    plan = demo_plan.Plan.from_folder(ROOT / name)
    assert sorted(entry["zone"] for entry in entries) == plan.zones
    peers = {entry["peers"] for entry in entries}
    for each in [*entries, *sidecars]:
        assert set(each["entries"]) == peers
    for sidecar in sidecars:
        plan.find_route(sidecar["route"])


@pytest.mark.parametrize("name", EXAMPLES)
def test_sizes_match_the_users_fleets(name: str) -> None:
    plan = demo_plan.Plan.from_folder(ROOT / name)
    endpoint_counts = {"chat": 0, "plain": 0}
    for item in plan.endpoints:
        protocol = plan.find_route(item["route"])["protocol"]
        endpoint_counts[protocol] += item["replicas"]
    sizes = (len(plan.zones), *endpoint_counts.values())
    assert sizes == SIZES[name]
    catalog_index = index.Index({
        "revision": 1,
        "services": {file["service"]: file for file in plan.files},
    })
    assert len(catalog_index.workspaces) == 10
    assert set(plan.paid) == set(catalog_index.budgets)
    for workspace, key in plan.keys.items():
        caller_workspace = catalog_index.find_workspace(key)
        assert caller_workspace is not None
        assert caller_workspace["name"] == workspace


@pytest.mark.parametrize("name", EXAMPLES)
def test_example_runs(name: str) -> None:
    async def run() -> list[str]:
        plan = demo_plan.Plan.from_folder(ROOT / name)
        demo_fleet = await fleet.Fleet.start(plan=plan)
        try:
            return await sample_requests.run_routes(demo_fleet)
        finally:
            await demo_fleet.close()

    assert asyncio.run(run()) == []
