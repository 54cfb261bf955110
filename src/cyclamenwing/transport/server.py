"""Base classes of HTTP servers: authentication, JSON and coded errors."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from typing import Any
from typing import TypeVar

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from cyclamenwing import decoding
from cyclamenwing import errors as base_errors
from cyclamenwing.transport import delegates
from cyclamenwing.transport import errors
from cyclamenwing.transport import request_filter

IDLE_TIMEOUT_S = 300.0
# The request filter limits bodies. Tornado's own limit closes the connection
# without a response, so it is set out of reach.
TORNADO_MAX_BODY_BYTES = 2**40

T = TypeVar("T")


class CodedHandler(web.RequestHandler):
    """Respond to errors with a code, a message and the run state."""

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write an uncaught error; only a coded error shows its details."""
        info = kwargs.get("exc_info")
        error = info[1] if info else None
        if isinstance(error, base_errors.CodedError):
            self.write_refusal(error)
            return
        code = _HTTP_CODES.get(status_code, "internal")
        run = "unknown" if status_code >= 500 else "not_run"
        self.finish({"code": code, "message": self._reason, "run": run})

    def write_refusal(self, error: base_errors.CodedError) -> None:
        """Write a coded error as the response."""
        self.set_status(error.status)
        if error.retry_after_s is not None:
            self.set_header("Retry-After", str(round(error.retry_after_s)))
        self.finish(dict(error.describe()))

    def log_exception(self, *args: Any) -> None:
        """Log unexpected errors; the role itself logs coded errors."""
        if not isinstance(args[1], base_errors.CodedError):
            super().log_exception(*args)

    def decode_body(self, message: type[T]) -> T:
        """Decode the JSON body of the request.

        :raises MalformedMessageError: if it does not match the type
        """
        try:
            return decoding.decode(self.request.body, message)
        except msgspec.DecodeError as err:
            raise errors.MalformedMessageError(str(err)) from err

    def write_json(self, message: object) -> None:
        """Write a JSON response and finish the request."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))


class PeerHandler(CodedHandler):
    """Serve only requests that carry a valid fleet key."""

    def prepare(self) -> None:
        """Check the fleet key again, whichever filter admitted the request.

        :raises ForbiddenPeerError: without a valid fleet key
        """
        peers = request_filter.FleetKeyFilter(self.settings["fleet_keys"])
        peers.admit(self.request.path, self.request.headers)


class NotFoundHandler(CodedHandler):
    """Respond to paths that no handler serves."""

    def prepare(self) -> None:
        """Respond with status 404 to every method."""
        raise web.HTTPError(404)


class Listener:
    """Serve an application on one address.

    :param application: handlers by path
    :param address: ``ip:port``; port 0 selects a free port
    :param admission: filter that runs before a body is read; by default it
        checks the fleet key if the application has any
    :param body_timeout_s: longest time for a complete body to arrive
    :raises BindFailedError: if the address can't be bound
    """

    def __init__(
        self,
        application: web.Application,
        address: str,
        admission: request_filter.RequestFilter | None = None,
        body_timeout_s: float = delegates.BODY_TIMEOUT_S,
    ) -> None:
        ip, _, port = address.rpartition(":")
        self._ip = ip
        try:
            self._sockets = netutil.bind_sockets(
                int(port), ip, family=socket.AF_INET
            )
        except (OSError, ValueError) as err:
            raise errors.BindFailedError(address, str(err)) from err
        self.server = httpserver.HTTPServer(
            delegates.AdmissionDelegate(
                application,
                admission or _make_default_filter(application),
                body_timeout_s,
            ),
            max_body_size=TORNADO_MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        self.server.add_sockets(self._sockets)

    @property
    def address(self) -> str:
        """Return the bound ``ip:port``."""
        return f"{self._ip}:{self._sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self.server.stop()
        await self.server.close_all_connections()


def make_application(
    handlers: list[Any], fleet_keys: Sequence[str] = ()
) -> web.Application:
    """Return an application that responds to unknown paths in JSON.

    :param fleet_keys: keys of which a peer must present one
    """
    return web.Application(
        handlers,
        default_handler_class=NotFoundHandler,
        log_function=_discard_access_log,
        fleet_keys=fleet_keys,
    )


def _make_default_filter(
    application: web.Application,
) -> request_filter.RequestFilter:
    fleet_keys = application.settings["fleet_keys"]
    return (
        request_filter.FleetKeyFilter(fleet_keys)
        if fleet_keys
        else request_filter.AllowAllFilter()
    )


def _discard_access_log(_handler: web.RequestHandler) -> None:
    # Each role logs its requests itself.
    return None


_HTTP_CODES = {
    400: "malformed_request",
    404: "not_found",
    405: "method_not_allowed",
}

__all__ = (
    "CodedHandler",
    "Listener",
    "NotFoundHandler",
    "PeerHandler",
    "make_application",
)
