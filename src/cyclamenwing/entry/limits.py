"""Checks of a caller's headers before the body is read."""

from __future__ import annotations

from tornado import httputil

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import admission
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import metrics
from cyclamenwing.transport import errors
from cyclamenwing.transport import request_filter

SERVICES_PREFIX = "/services/"


class CallerGate:
    """Admit callers with a valid key and limit the size of their bodies.

    :param board: the entry's state
    :param limit_bytes: largest body if the route has no limit of its own
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        limit_bytes: int = request_filter.MAX_BODY_BYTES,
    ) -> None:
        self._board = board
        self._limit_bytes = limit_bytes

    def admit(self, path: str, headers: httputil.HTTPHeaders) -> int:
        """Return the largest body in bytes; raise a coded error."""
        try:
            return self._find_limit(path, headers)
        except base_errors.CodedError as err:
            self._board.recorder.count(metrics.REFUSALS, err.code, err.run)
            raise

    def _find_limit(self, path: str, headers: httputil.HTTPHeaders) -> int:
        catalog = self._board.catalog
        if catalog.revision == 0:
            raise errors.NotReadyError(
                "this entry has no catalog revision yet"
            )
        caller_headers = {"Authorization": headers.get("Authorization", "")}
        caller = admission.Caller("", path, caller_headers, b"")
        workspace = admission.authenticate(catalog, caller)
        if not path.startswith(SERVICES_PREFIX):
            return self._limit_bytes
        name = path.removeprefix(SERVICES_PREFIX).partition("/")[0]
        match = catalog.find_plain_route(name, "", "", workspace["name"])
        if match is None:
            return self._limit_bytes
        return match.route.get("max_body_bytes", self._limit_bytes)


__all__ = ("CallerGate",)
