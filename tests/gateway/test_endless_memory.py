"""Memory of a gateway whose endpoints send bytes without end.

Reported of another system: a process kept all that a faulty endpoint sent
until it ran out of memory, and the requests of other clients ended with it.
"""

from __future__ import annotations

import asyncio
import socket
import threading
import time
import tracemalloc

import pytest
from tests.gateway import deployments
from tests.gateway import test_endless_answers
from tests.transport import floods

from cyclamenwing.gateway import read_ahead
from cyclamenwing.gateway import settings
from cyclamenwing.transport import errors

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
REQUESTS = 6
DEADLINE_S = 1.0
MAX_LATE_S = 1.0
# What answers may be held for clients, and the buffers of each connection.
MAX_HELD_BYTES = int(
    settings.Limits().memory_mb
    * read_ahead.BYTES_PER_MB
    * read_ahead.MEMORY_SHARE
)
MAX_CONNECTION_BYTES = 1024 * 1024
MAX_BYTES = MAX_HELD_BYTES + REQUESTS * MAX_CONNECTION_BYTES
# An answer to another request, which is read to its end to find the own one.
FOREIGN = b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nReplica-Stamp: s\r\n"
FORMS = floods.FORMS | {
    "foreign body": (FOREIGN + b"\r\n", b"x" * 4096),
    "foreign chunks": (
        FOREIGN + b"Transfer-Encoding: chunked\r\n\r\n",
        floods.make_chunk(b"x" * 4096),
    ),
    "no HTTP": (b"", b"\x00\xff" * 2048),
    "signed body": (
        floods.HEAD.replace(b"200 OK", b"500 Failed") + b"\r\n",
        b"x" * 4096,
    ),
}


class ParallelFlood(floods.Flood):
    """Send a form on several connections at the same time."""

    def _run(self) -> None:
        threads = []
        while not self._ended.is_set():
            try:
                peer, _ = self._socket.accept()
            except TimeoutError:
                continue
            thread = threading.Thread(
                target=self._serve, args=(peer,), daemon=True
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _serve(self, peer: socket.socket) -> None:
        with peer:
            try:
                self._send(peer)
            except OSError:
                return


async def send(deployment: deployments.Deployment, route: str) -> None:
    """Send a request; take whatever comes, without keeping it."""
    deadline = {"Deadline-Ms": b"%d" % (DEADLINE_S * 1000)}
    connection = await deployment.open(route, b"POST", headers=SIZE | deadline)
    try:
        await connection.read_head(5.0)
        while await connection.read_data(5.0) is not None:
            pass
    except errors.TransportError:
        pass
    finally:
        connection.close()


async def flood_gateway(form: str, route: str) -> None:
    async with deployments.deploy() as deployment:
        flood = ParallelFlood(*FORMS[form])
        try:
            for name in ("a1", "a2", "m1", "m2"):
                await test_endless_answers.replace_address(
                    deployment, name, flood.address
                )
            tracemalloc.reset_peak()
            started_s = time.monotonic()
            await asyncio.gather(
                *(send(deployment, route) for _ in range(REQUESTS))
            )
            elapsed_s = time.monotonic() - started_s
            assert elapsed_s <= DEADLINE_S + MAX_LATE_S
            assert flood.sent_bytes
            # Other requests go on.
            board = deployment.gateways[0].board
            assert board.active_requests == 0
        finally:
            flood.stop()


@pytest.mark.parametrize("route", ["write", "chat"])
@pytest.mark.parametrize("form", FORMS)
def test_bytes_without_end_are_not_kept(form: str, route: str) -> None:
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        asyncio.run(flood_gateway(form, route))
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes - before_bytes <= MAX_BYTES
