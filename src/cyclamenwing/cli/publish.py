"""Subcommand `publish`: publish operators' files."""

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
MAX_RETRY_DELAY_S = 0.5
POLL_INTERVAL_S = 0.25


class PublishCommand:
    """Publish operators' files as a new revision."""

    NAME = "publish"
    HELP = "check operators' files and publish them as a new revision"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("paths", nargs="*", type=pathlib.Path)
        parser.add_argument(
            "--delete",
            action="append",
            default=[],
            metavar="SERVICE",
            help="service to remove; may be repeated",
        )
        parser.add_argument(
            "--base",
            type=int,
            help="revision that the files are based on (default: the"
            " active revision)",
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
            help="seconds to retry for and, with --wait, to wait",
        )
        parser.add_argument(
            "--wait",
            action="store_true",
            help="wait until all processes follow the revision; needs --entry",
        )
        parser.add_argument(
            "--entry",
            action="append",
            default=[],
            help="peer ip:port of an entry; may be repeated",
        )
        remote.add_store_argument(parser)
        remote.add_author_argument(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Publish the files, or print the findings and return 3."""
        if args.wait and not args.entry:
            print("publish: --wait needs --entry")
            return protocol.EXIT_USAGE
        if not args.paths and not args.delete:
            print("publish: no paths and no --delete")
            return protocol.EXIT_USAGE
        # The base revision is read before the files, so that a change
        # published in between is detected as a conflict.
        active_revision = remote.run_async(
            check.read_active_revision(args.store)
        )
        report = check.make_report(args.paths, active_revision, args.delete)
        if report.findings or (args.paths and not report.files):
            for finding in report.findings:
                print(finding)
            return protocol.EXIT_INVALID
        base = args.base if args.base is not None else report.revision
        files = [collected_file.file for collected_file in report.collected]
        head = remote.run_async(_publish(args, files, base))
        print(f"revision {head['revision']}", flush=True)
        if not args.wait:
            return protocol.EXIT_OK
        return remote.run_async(_wait_for_fleet(args, head["revision"]))


async def publish_with_retries(
    publisher: publication.Publisher,
    ends_at: float,
) -> types.Head:
    """Publish and retry after store errors until a deadline.

    Each attempt has the same commit id, so that a retry after a lost
    answer adds no second revision.

    :param ends_at: deadline on the monotonic clock
    :raises StoreAnswerLostError: if the publication may have taken effect
    :raises StoreError: the last error, if it took no effect
    """
    lost: store_errors.StoreAnswerLostError | None = None
    while True:
        try:
            return await publisher.publish()
        except store_errors.StoreAnswerLostError as err:
            lost = err
            error: store_errors.StoreError = err
        except store_errors.StoreError as err:
            error = err
        if time.monotonic() >= ends_at:
            raise lost or error
        await asyncio.sleep(random.uniform(0, MAX_RETRY_DELAY_S))


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
                f"{err.message}; the publication may have taken effect:"
                f" repeat it with --id {commit_id} --base {base}"
            ) from err


async def _wait_for_fleet(args: argparse.Namespace, revision: int) -> int:
    ends_at = time.monotonic() + args.timeout
    async with remote.open_client() as client:
        while True:
            fleet_survey = await survey.survey_fleet(client, args.entry)
            outdated = fleet_survey.list_outdated(revision)
            timed_out = time.monotonic() >= ends_at
            if (
                fleet_survey.processes
                and not outdated
                and not fleet_survey.unreachable
            ):
                break
            if timed_out:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
    for host, state in sorted(fleet_survey.processes.items()):
        print(f"{host} revision {state['revision']}")
    for host, reason in sorted(fleet_survey.unreachable.items()):
        print(f"{host} out of reach: {reason}")
    is_complete = (
        fleet_survey.processes
        and not outdated
        and not fleet_survey.unreachable
    )
    return protocol.EXIT_OK if is_complete else protocol.EXIT_FAILED


def make_change(author: str, kind: str, subject: str) -> audit.Change:
    """Return an audit change by an operator on this host."""
    origin = remote.find_origin()
    return audit.Change(
        time.time(), author, origin, kind, subject, "", None, None
    )


__all__ = (
    "PublishCommand",
    "make_change",
    "publish_with_retries",
)
