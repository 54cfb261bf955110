"""Subcommand `check`: check operators' files."""

from __future__ import annotations

import argparse
import json
import pathlib
from collections.abc import Collection
from typing import Any
from typing import NamedTuple

from cyclamenwing.catalog import collection
from cyclamenwing.catalog import difference
from cyclamenwing.catalog import revisions
from cyclamenwing.catalog import types
from cyclamenwing.catalog import validation
from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.settings import documents

NO_REVISION: types.Revision = {"revision": 0, "services": {}}


class Report(NamedTuple):
    """Hold the result of a check; `revision` is the active one."""

    revision: int
    collected: list[collection.CollectedFile]
    findings: list[documents.Finding]
    differences: list[difference.Difference]

    @property
    def files(self) -> int:
        """Return the number of files that match the schema."""
        return len(self.collected)


class CheckCommand:
    """Check operators' files for faults."""

    NAME = "check"
    HELP = "check operators' files; exit 3 if any has a fault"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("paths", nargs="+", type=pathlib.Path)
        parser.add_argument("--json", action="store_true")
        parser.add_argument(
            "--diff",
            action="store_true",
            help="show what would change; needs --store",
        )
        parser.add_argument(
            "--store",
            help="ip:port of the key-value service, to check against the"
            " active revision",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Print each finding with its file and line."""
        if args.diff and not args.store:
            print("check: --diff needs --store")
            return protocol.EXIT_USAGE
        active_revision = NO_REVISION
        if args.store:
            active_revision = remote.run_async(
                read_active_revision(args.store)
            )
        report = make_report(args.paths, active_revision)
        write = _write_json if args.json else _write_text
        write(report, args.diff)
        if report.findings or not report.files:
            return protocol.EXIT_INVALID
        return protocol.EXIT_OK


def make_report(
    paths: list[pathlib.Path],
    active_revision: types.Revision,
    removals: Collection[str] = (),
) -> Report:
    """Check files individually and together with the active revision.

    :param removals: names of active services that are to be removed
    """
    collected = collection.collect_files(paths)
    old_services = active_revision["services"]
    remaining = {
        service: file
        for service, file in old_services.items()
        if service not in removals
    }
    changed = {item.file["service"]: item.file for item in collected.files}
    new_services = {**remaining, **changed}
    findings = validation.check_files(collected.files, old_services, removals)
    return Report(
        active_revision["revision"],
        collected.files,
        sorted([*collected.findings, *findings]),
        difference.compare(old_services, new_services),
    )


async def read_active_revision(address: str) -> types.Revision:
    """Read the active revision from the store."""
    async with remote.open_store(address) as store:
        head = await revisions.read_head(store)
        return await revisions.read_revision(store, head)


def _write_json(report: Report, with_differences: bool) -> None:
    data: dict[str, Any] = {
        "revision": report.revision,
        "files": report.files,
        "findings": [finding._asdict() for finding in report.findings],
    }
    if with_differences:
        data["differences"] = report.differences
    print(json.dumps(data))


def _write_text(report: Report, with_differences: bool) -> None:
    for finding in report.findings:
        print(finding)
    if with_differences:
        for changed in report.differences:
            print(difference.describe(changed))
    print(
        f"{report.files} files, {len(report.findings)} faults,"
        f" revision {report.revision} in force"
    )


__all__ = (
    "NO_REVISION",
    "CheckCommand",
    "Report",
    "make_report",
    "read_active_revision",
)
