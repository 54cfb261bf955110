"""Calls of operators to a gateway's control address."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Awaitable
from collections.abc import Callable

import eliot
import msgspec

from cyclamenwing.gateway import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import pooled_client

BEARER = b"Bearer "

Answer = Callable[[bytes], Awaitable[bytes]]


class OperatorCalls:
    """Answer the calls of operators who know the key in the settings.

    :param key_sha256: hexadecimal SHA-256 digest of the operators' key; empty
        if there is none, and no call is answered
    """

    def __init__(self, key_sha256: str, handlers: dict[str, Answer]) -> None:
        self._key_sha256 = key_sha256.lower()
        self.handlers = handlers

    async def handle(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        """Answer a call to one of the paths of `handlers`."""
        path = request.target.decode("latin-1")
        try:
            self._check_key(request)
            body = await self.handlers[path](request.body)
            status = 200
        except errors.GatewayError as err:
            status = err.status
            body = _encode_error(err.code, err.message)
        except msgspec.DecodeError as err:
            status = 400
            body = _encode_error("query_unreadable", str(err))
        eliot.log_message("operators:call", path=path, status=status)
        await connection.respond(status, pooled_client.JSON_HEADERS, body)

    def _check_key(self, request: h1.Request) -> None:
        value = h1.find_header(request.headers, b"authorization") or b""
        digest = hashlib.sha256(value.removeprefix(BEARER)).hexdigest()
        if not self._key_sha256 or not hmac.compare_digest(
            digest, self._key_sha256
        ):
            raise errors.OperatorKeyError("the operators' key is missing")


def _encode_error(code: str, message: str) -> bytes:
    return msgspec.json.encode({
        "code": code,
        "message": message,
        "run": "not_run",
    })


__all__ = ("OperatorCalls",)
