"""Subcommand `audit`: show the audit trail."""

from __future__ import annotations

import argparse
import datetime
import json
from typing import NamedTuple

from cyclamenwing.catalog import difference
from cyclamenwing.catalog import history
from cyclamenwing.catalog import types
from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote


class Report(NamedTuple):
    """Hold the selected records, faults and differences of revisions."""

    records: list[types.AuditRecord]
    faults: list[str]
    differences: list[difference.Difference]


class AuditCommand:
    """Show and verify the audit trail."""

    NAME = "audit"
    HELP = "show who changed what; exit 1 if a record is missing or altered"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        remote.add_store_argument(parser)
        parser.add_argument("--service", help="service, budget or subject")
        parser.add_argument("--workspace")
        parser.add_argument("--kind", help="publish, top-up, order, ...")
        parser.add_argument("--since", type=parse_time, help="ISO 8601, UTC")
        parser.add_argument("--until", type=parse_time, help="ISO 8601, UTC")
        parser.add_argument(
            "--diff",
            nargs="+",
            type=int,
            metavar="REVISION",
            help="difference of two revisions, or of one to the preceding one",
        )
        parser.add_argument("--json", action="store_true")

    def run(self, args: argparse.Namespace) -> int:
        """Print the records or differences, then the faults of the chains."""
        report = remote.run_async(_read_report(args))
        if args.json:
            print(json.dumps(report._asdict()))
        elif args.diff:
            for changed in report.differences:
                print(difference.describe(changed))
        else:
            for record in report.records:
                print(describe_record(record))
        if not args.json:
            for fault in report.faults:
                print(f"audit_broken: {fault}")
        return protocol.EXIT_FAILED if report.faults else protocol.EXIT_OK


def parse_time(text: str) -> float:
    """Parse an ISO 8601 time, UTC unless it names a zone."""
    moment = datetime.datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()


def describe_record(record: types.AuditRecord) -> str:
    """Return one human-readable line."""
    at = datetime.datetime.fromtimestamp(record["at"], datetime.UTC).isoformat(
        timespec="seconds"
    )
    parts = [
        at,
        record["kind"],
        record["subject"] or "-",
        f"by {record['author']} at {record['origin']}",
    ]
    if record["workspace"]:
        parts.append(f"workspace {record['workspace']}")
    before, after = json.dumps(record["before"]), json.dumps(record["after"])
    return " ".join([*parts, f"{before} -> {after}"])


async def _read_report(args: argparse.Namespace) -> Report:
    record_filter = history.Filter(
        args.service, args.workspace, args.kind, args.since, args.until
    )
    async with remote.open_store(args.store) as store:
        audit_history = await history.read_history(store)
        differences: list[difference.Difference] = []
        if args.diff:
            old_revision, new_revision = min(args.diff), max(args.diff)
            if len(args.diff) == 1:
                old_revision = new_revision - 1
            old_services = await history.read_services(
                store, audit_history, old_revision
            )
            new_services = await history.read_services(
                store, audit_history, new_revision
            )
            differences = [
                item
                for item in difference.compare(old_services, new_services)
                if args.service in {None, item["service"]}
            ]
    return Report(
        audit_history.select(record_filter), audit_history.faults, differences
    )


__all__ = (
    "AuditCommand",
    "Report",
    "describe_record",
    "parse_time",
)
