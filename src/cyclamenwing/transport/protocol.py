"""Interface of the HTTP client that roles use."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

T = TypeVar("T")


class Response(NamedTuple):
    """Hold a whole HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class ResponseHead(NamedTuple):
    """Hold the status line and headers of a streamed answer.

    Names of headers are in lower case.
    """

    status: int
    headers: dict[str, str]


class Stream(Protocol):
    """Read a streamed answer."""

    async def read_head(self) -> ResponseHead:
        """Wait for the status line and headers."""

    def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks as they arrive."""

    def close(self) -> None:
        """Abandon the answer; the connection is not reused."""


class Client(Protocol):
    """Exchange messages with other processes.

    Each call raises `ConnectFailedError` when nothing was sent and
    `ConnectionLostError` when the other side may have received it.
    """

    async def call(
        self,
        url: str,
        message: Any,
        reply: type[T],
        timeout_s: float,
        repeatable: bool = True,
    ) -> T:
        """Post a JSON message and decode the JSON reply.

        One that is not `repeatable` is sent at most once.
        """

    async def fetch(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
        repeatable: bool = True,
    ) -> Response:
        """Send a request and return the whole answer.

        One that is not `repeatable` is sent at most once.
        """

    def open_stream(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        silence_s: float,
        fresh: bool = False,
    ) -> Stream:
        """Send a request and stream the answer.

        A `fresh` one gets a new connection and is sent at most once.
        """


__all__ = (
    "Response",
    "Client",
    "ResponseHead",
    "Stream",
)
