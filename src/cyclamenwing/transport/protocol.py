"""Interface of the HTTP client that the roles use."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

T = TypeVar("T")


class Response(NamedTuple):
    """Hold a complete HTTP response.

    Header names are capitalized, as in ``Content-Type``.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class ResponseHead(NamedTuple):
    """Hold the status and headers of a streamed response.

    Header names are in lower case.
    """

    status: int
    headers: dict[str, str]


class Stream(Protocol):
    """Read a streamed response."""

    async def read_head(self) -> ResponseHead:
        """Wait for the status line and headers and return them.

        :raises TransportError: if the exchange fails before they arrive
        """

    def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks of the body as they arrive.

        :raises TransportError: if the response ends incomplete
        """

    def close(self) -> None:
        """Abandon the response and close its connection."""


class Client(Protocol):
    """Send HTTP requests to other processes.

    Each method raises `ConnectFailedError` if no part of the request was
    sent, and `ConnectionLostError` if the peer may have received it.
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

        :param reply: type that the reply is decoded to
        :param repeatable: whether the message may be sent more than once
        :raises PeerRefusedError: for a status of 400 or above
        :raises MalformedMessageError: if the reply does not match its type
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
        """Send a request and return the complete response.

        :param repeatable: whether the request may be sent more than once
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
        """Send a request and return its streamed response.

        :param silence_s: longest time without a received byte
        :param fresh: use a new connection, so that the request is sent at
            most once
        """


__all__ = (
    "Client",
    "Response",
    "ResponseHead",
    "Stream",
)
