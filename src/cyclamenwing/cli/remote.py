"""Shared arguments and connections of operators' subcommands."""

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


def add_store_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument for the store's address."""
    parser.add_argument(
        "--store", required=True, help="ip:port of the key-value service"
    )


def add_entry_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument for the entries' peer addresses."""
    parser.add_argument(
        "--entry",
        action="append",
        required=True,
        help="peer ip:port of an entry; may be repeated",
    )


def add_author_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument for the author in the audit trail."""
    parser.add_argument(
        "--author",
        default=getpass.getuser(),
        help="name for the audit trail (default: the user)",
    )


def find_origin() -> str:
    """Return this host's name, the origin in audit records."""
    return socket.gethostname()


@contextlib.asynccontextmanager
async def open_client() -> AsyncIterator[client.CurlClient]:
    """Open an HTTP client with the fleet key from the environment."""
    http_client = client.CurlClient(os.environ.get(FLEET_KEY_VARIABLE, ""))
    try:
        yield http_client
    finally:
        await http_client.close()


@contextlib.asynccontextmanager
async def open_store(address: str) -> AsyncIterator[store_client.StoreClient]:
    """Open a client of the key-value service."""
    async with open_client() as http_client:
        yield store_client.StoreClient(http_client, address)


def run_async(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a subcommand's coroutine and return its result."""
    return asyncio.run(coroutine)


__all__ = (
    "FLEET_KEY_VARIABLE",
    "add_author_argument",
    "add_entry_argument",
    "add_store_argument",
    "find_origin",
    "open_client",
    "open_store",
    "run_async",
)
