"""Subcommand `publish`."""

from __future__ import annotations

import argparse
import pathlib
import time
import uuid

from cyclamenwing.catalog import audit
from cyclamenwing.catalog import collection
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import types
from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote


class PublishCommand:
    """Publish the operators' files as the next revision."""

    NAME = "publish"
    HELP = "check operators' files and put them into force"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("paths", nargs="+", type=pathlib.Path)
        remote.add_store(parser)
        remote.add_author(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Publish, or print the faults and exit 3."""
        collected = collection.collect_files(args.paths)
        if collected.findings or not collected.files:
            for finding in collected.findings:
                print(finding)
            return protocol.EXIT_INVALID
        files = [made.file for made in collected.files]
        head = remote.run_async(_publish(args, files))
        print(f"revision {head['revision']}")
        return protocol.EXIT_OK


async def _publish(
    args: argparse.Namespace, files: list[types.ServiceFile]
) -> types.Head:
    change = make_change(args.author, "publish", "")
    async with remote.open_store(args.store) as store:
        return await publication.publish_files(
            store, files, change, uuid.uuid4().hex
        )


def make_change(author: str, kind: str, subject: str) -> audit.Change:
    """Return an audit change of an operator at this host."""
    origin = remote.find_origin()
    return audit.Change(
        time.time(), author, origin, kind, subject, "", None, None
    )


__all__ = (
    "PublishCommand",
    "make_change",
)
