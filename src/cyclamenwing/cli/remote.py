"""Arguments and connections of the operators' subcommands."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import getpass
import os
import socket
from collections.abc import AsyncIterator
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from cyclamenwing.store import client as store_client
from cyclamenwing.transport import client

FLEET_KEY_VARIABLE = "CYCLAMENWING_FLEET_KEY"

T = TypeVar("T")


def add_store(parser: argparse.ArgumentParser) -> None:
    """Add the store's address."""
    parser.add_argument(
        "--store", required=True, help="ip:port of the key-value service"
    )


def add_entries(parser: argparse.ArgumentParser) -> None:
    """Add the entries' peer addresses."""
    parser.add_argument(
        "--entry",
        action="append",
        required=True,
        help="peer ip:port of an entry; may be repeated",
    )


def add_author(parser: argparse.ArgumentParser) -> None:
    """Add the author for the audit trail."""
    parser.add_argument(
        "--author",
        default=getpass.getuser(),
        help="name for the audit trail (default: the user)",
    )


def find_origin() -> str:
    """Return the host's name for the audit trail."""
    return socket.gethostname()


@contextlib.asynccontextmanager
async def open_client() -> AsyncIterator[client.CurlClient]:
    """Open an HTTP client with the fleet key of the environment."""
    made = client.CurlClient(os.environ.get(FLEET_KEY_VARIABLE, ""))
    try:
        yield made
    finally:
        await made.close()


@contextlib.asynccontextmanager
async def open_store(address: str) -> AsyncIterator[store_client.StoreClient]:
    """Open a client of the key-value service."""
    async with open_client() as made:
        yield store_client.StoreClient(made, address)


def run_async(work: Coroutine[Any, Any, T]) -> T:
    """Run a subcommand's work to its end."""
    return asyncio.run(work)


__all__ = (
    "FLEET_KEY_VARIABLE",
    "add_author",
    "add_entries",
    "add_store",
    "find_origin",
    "open_client",
    "open_store",
    "run_async",
)
