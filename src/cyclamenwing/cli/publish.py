"""Subcommand `publish`."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import time
import uuid

from cyclamenwing.catalog import audit
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import types
from cyclamenwing.cli import check
from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.cli import survey
from cyclamenwing.store import errors as store_errors

DEFAULT_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.5
POLL_S = 0.25


class PublishCommand:
    """Publish the operators' files as the next revision."""

    NAME = "publish"
    HELP = "check operators' files and put them into force"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("paths", nargs="*", type=pathlib.Path)
        parser.add_argument(
            "--delete",
            action="append",
            default=[],
            metavar="SERVICE",
            help="take a service away; may be repeated",
        )
        parser.add_argument(
            "--base",
            type=int,
            help="revision that the files were made from (default: the one"
            " in force now)",
        )
        parser.add_argument(
            "--id",
            default=None,
            help="id of an earlier attempt, to repeat it safely",
        )
        parser.add_argument(
            "--timeout",
            type=float,
            default=DEFAULT_TIMEOUT_S,
            metavar="S",
            help="seconds to try and, with --wait, to wait",
        )
        parser.add_argument(
            "--wait",
            action="store_true",
            help="wait until all processes follow; needs --entry",
        )
        parser.add_argument(
            "--entry",
            action="append",
            default=[],
            help="peer ip:port of an entry; may be repeated",
        )
        remote.add_store(parser)
        remote.add_author(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Publish, or print the faults and exit 3."""
        if args.wait and not args.entry:
            print("publish: --wait needs --entry")
            return protocol.EXIT_USAGE
        if not args.paths and not args.delete:
            print("publish: no paths and no --delete")
            return protocol.EXIT_USAGE
        # What the author sees is read before the files are.
        in_force = remote.run_async(check.read_in_force(args.store))
        report = check.make_report(args.paths, in_force, args.delete)
        if report.findings or (args.paths and not report.files):
            for finding in report.findings:
                print(finding)
            return protocol.EXIT_INVALID
        base = args.base if args.base is not None else report.revision
        files = [made.file for made in report.collected]
        head = remote.run_async(_publish(args, files, base))
        print(f"revision {head['revision']}", flush=True)
        if not args.wait:
            return protocol.EXIT_OK
        return remote.run_async(_wait(args, head["revision"]))


async def publish_with_retries(
    publisher: publication.Publisher,
    ends_at: float,
) -> types.Head:
    """Publish through outages and races until a time.

    The publisher repeats under its own id, so that a lost answer makes no
    second revision. Raise the last error, `StoreAnswerLostError` when the
    publishing may have landed.
    """
    lost: store_errors.StoreAnswerLostError | None = None
    while True:
        try:
            return await publisher.publish()
        except store_errors.StoreAnswerLostError as err:
            lost = err
            failed: store_errors.StoreError = err
        except store_errors.StoreError as err:
            failed = err
        if time.monotonic() >= ends_at:
            raise lost or failed
        await asyncio.sleep(random.uniform(0, RETRY_DELAY_S))


async def _publish(
    args: argparse.Namespace, files: list[types.ServiceFile], base: int
) -> types.Head:
    commit_id = args.id or uuid.uuid4().hex
    async with remote.open_store(args.store) as store:
        publisher = publication.Publisher(
            store,
            files,
            args.delete,
            make_change(args.author, "publish", ""),
            commit_id,
            base,
        )
        ends_at = time.monotonic() + args.timeout
        try:
            return await publish_with_retries(publisher, ends_at)
        except store_errors.StoreAnswerLostError as err:
            raise store_errors.StoreAnswerLostError(
                f"{err.message}; the publishing may be in force: repeat it"
                f" with --id {commit_id} --base {base}"
            ) from err


async def _wait(args: argparse.Namespace, revision: int) -> int:
    ends_at = time.monotonic() + args.timeout
    async with remote.open_client() as client:
        while True:
            found = await survey.survey_fleet(client, args.entry)
            behind = found.list_outdated(revision)
            late = time.monotonic() >= ends_at
            if found.processes and not behind and not found.unreachable:
                break
            if late:
                break
            await asyncio.sleep(POLL_S)
    for host, state in sorted(found.processes.items()):
        print(f"{host} revision {state['revision']}")
    for host, why in sorted(found.unreachable.items()):
        print(f"{host} out of reach: {why}")
    whole = found.processes and not behind and not found.unreachable
    return protocol.EXIT_OK if whole else protocol.EXIT_FAILED


def make_change(author: str, kind: str, subject: str) -> audit.Change:
    """Return an audit change of an operator at this host."""
    origin = remote.find_origin()
    return audit.Change(
        time.time(), author, origin, kind, subject, "", None, None
    )


__all__ = (
    "PublishCommand",
    "make_change",
    "publish_with_retries",
)
