"""Origins of streams: the software version that began each of them.

A client that takes a stream up names its own request that brought the first
event. The gateway that forwarded it may be gone, so while a service has more
than one version it tells two other gateways, its keepers, which all gateways
derive from the request's id. While there is one version nothing is sent.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing import errors as base_errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import request_context
from cyclamenwing.membership import rendezvous
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.routing import versions
from cyclamenwing.transport import pooled_client

NOTE_PATH = "/peers/stream-origins"
QUERY_PATH = "/peers/stream-origin"
KEEPERS = 2
# Views of the members differ for a while, so more are asked than are told.
KEEPERS_ASKED = 4
CALL_TIMEOUT_S = 0.3
REFRESH_INTERVAL_S = 0.2
# Bounds on the origins that are held, and on those in one message.
MAX_ORIGINS = 20_000
MAX_NOTES_PER_CALL = 500
# Longest time from the first event of a stream until it is taken up, unless
# the routes have a shorter time-out.
MAX_STREAM_S = 60.0
# A client may use up the time-out of a route twice.
TIMEOUTS_PER_STREAM = 2.0

RESUMED = metric_types.Counter(
    "gateway_resumed_streams",
    "Streams that clients took up, by what is known of their origin",
    ("origin",),
)


class OriginNote(msgspec.Struct, array_like=True):
    """Tell a keeper of a stream.

    :param request: id of the client's request that brought the first event
    """

    request: str
    service: str
    software: str


class OriginQuery(msgspec.Struct):
    """Ask a keeper for the origin of a stream."""

    request: str


class OriginReply(msgspec.Struct):
    """Hold the origin of a stream, None if it is not known."""

    origin: versions.Origin | None


class _KnownOrigin(NamedTuple):
    origin: versions.Origin
    begun_s: float
    own: bool


class StreamOrigins:
    """Record the origins of streams and find those of others.

    :param check_versions: records versions that this gateway has missed;
        returns False if it may have missed others
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        http: pooled_client.PooledClient,
        check_versions: Callable[[], Awaitable[bool]],
    ) -> None:
        self._board = board
        self._caller = http
        self._check_versions = check_versions
        self._known: collections.OrderedDict[str, _KnownOrigin] = (
            collections.OrderedDict()
        )
        self._mixed: set[str] = set()
        # Longest time of a stream by the version of the configuration.
        self._stream_time = (-1, MAX_STREAM_S)
        self._pending: dict[str, list[OriginNote]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Keep the history of versions until cancelled."""
        while True:
            self.refresh()
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def record(self, context: request_context.RequestContext) -> None:
        """Record the origin of a stream whose first event is at hand."""
        if context.origin is not None:
            return
        context.origin = origin = versions.Origin(
            context.service.name, context.software
        )
        request = calls.format_request_id(context.call.request_id)
        if request is None or not context.route.resumable:
            return
        self._put(request, origin, True)
        self.refresh()
        if origin.service in self._mixed:
            self._tell_keepers([OriginNote(request, *origin)])

    def refresh(self) -> None:
        """Record the present versions, and tell of streams begun before.

        A stream that began while there was one version has no keepers yet
        when the second one appears.
        """
        directory = self._board.directory
        history = self._board.versions
        now_s = clock.read_time()
        history.record(directory.list_software(), now_s)
        within_s = self._measure_stream_time()
        mixed = versions.find_mixed({
            service: history.list_versions(service, within_s, now_s)
            for service, _ in directory.list_software()
        })
        added, self._mixed = mixed - self._mixed, mixed
        if added:
            notes = [
                OriginNote(request, *known.origin)
                for request, known in self._known.items()
                if known.own
                and known.origin.service in added
                and now_s - known.begun_s <= within_s
            ]
            eliot.log_message(
                "streams:versions_mixed",
                services=sorted(added),
                streams=len(notes),
            )
            self._tell_keepers(notes)

    async def resolve(self, context: request_context.RequestContext) -> None:
        """Find the origin of the stream that a client takes up.

        :raises StreamVersionUnknownError: if no gateway knows it, and it may
            have begun at another version than serves now
        """
        request = calls.format_request_id(context.call.resumes)
        found, source = await self._find(request, context.service.name)
        self._board.metrics.count(RESUMED, source)
        eliot.log_message(
            "stream:resumed",
            request=calls.format_request_id(context.call.request_id),
            resumes=request,
            service=found and found.service,
            software=found and found.software,
            source=source,
            ms=round((clock.read_time() - context.started_s) * 1000, 1),
        )
        if found is None:
            raise errors.StreamVersionUnknownError(
                f"no gateway knows the version that began {request}"
            )
        context.origin = found
        if found.service == context.service.name:
            return
        config = self._board.configuration
        names = {share.service for share in context.route.shares}
        if config is None or found.service not in names:
            raise errors.StreamVersionGoneError(
                f"the route no longer leads to {found.service}"
            )
        context.service = config.services.get(
            found.service, context.service._replace(name=found.service)
        )

    async def answer_note(self, body: bytes) -> bytes:
        """Keep the origins that a peer tells of."""
        for note in decoding.decode(body, list[OriginNote]):
            self._put(
                note.request,
                versions.Origin(note.service, note.software),
                False,
            )
        return b"{}"

    async def answer_query(self, body: bytes) -> bytes:
        """Answer a peer that looks for an origin."""
        query = decoding.decode(body, OriginQuery)
        known = self._known.get(query.request)
        return msgspec.json.encode(OriginReply(known and known.origin))

    async def _find(
        self, request: str | None, service: str
    ) -> tuple[versions.Origin | None, str]:
        """Return an origin and how it is known."""
        known = self._known.get(request) if request else None
        if known is not None:
            return known.origin, "own"
        self.refresh()
        if self._find_sole(service) is not None:
            complete = await self._check_versions()
            sole = self._find_sole(service)
            if complete and sole is not None:
                return sole, "sole version"
        origin = await self._ask_keepers(request) if request else None
        return (origin, "keeper") if origin else (None, "unknown")

    def _find_sole(self, service: str) -> versions.Origin | None:
        """Return the only version that served while a stream can last."""
        history = self._board.versions
        now_s = clock.read_time()
        within_s = self._measure_stream_time()
        known = history.list_versions(service, within_s, now_s)
        if len(known) != 1 or not history.covers(within_s, now_s):
            return None
        return versions.Origin(service, *known)

    async def _ask_keepers(self, request: str) -> versions.Origin | None:
        addresses = self._list_keepers(request, KEEPERS_ASKED)
        body = msgspec.json.encode(OriginQuery(request))
        pending = [
            asyncio.ensure_future(self._ask(address, body))
            for address in addresses
        ]
        try:
            for answer in asyncio.as_completed(pending):
                origin = await answer
                if origin is not None:
                    return origin
        finally:
            for task in pending:
                task.cancel()
        return None

    async def _ask(self, address: str, body: bytes) -> versions.Origin | None:
        try:
            status, answer = await self._caller.call(
                address, "POST", QUERY_PATH, body, CALL_TIMEOUT_S
            )
            if status != 200:
                return None
            return decoding.decode(answer, OriginReply).origin
        except (base_errors.CodedError, msgspec.DecodeError) as err:
            eliot.log_message(
                "streams:keeper_failed", address=address, reason=str(err)
            )
            return None

    def _tell_keepers(self, notes: Iterable[OriginNote]) -> None:
        for note in notes:
            for address in self._list_keepers(note.request, KEEPERS):
                waiting = self._pending.get(address)
                if waiting is not None:
                    waiting.append(note)
                    continue
                self._pending[address] = [note]
                task = asyncio.ensure_future(self._send_notes(address))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send_notes(self, address: str) -> None:
        """Send the notes for a peer, with those that come meanwhile."""
        try:
            while notes := self._pending[address][:MAX_NOTES_PER_CALL]:
                del self._pending[address][: len(notes)]
                await self._caller.call(
                    address,
                    "POST",
                    NOTE_PATH,
                    msgspec.json.encode(notes),
                    CALL_TIMEOUT_S,
                )
        except base_errors.CodedError as err:
            eliot.log_message(
                "streams:note_failed", address=address, reason=str(err)
            )
        finally:
            del self._pending[address]

    def _list_keepers(self, request: str, count: int) -> list[str]:
        roster = self._board.roster
        others = [host for host in roster.alive if host in roster.members]
        ranked = rendezvous.rank_members(request, others)
        return [roster.members[host].address for host in ranked[:count]]

    def _put(self, request: str, origin: versions.Origin, own: bool) -> None:
        now_s = clock.read_time()
        self._known[request] = _KnownOrigin(origin, now_s, own)
        self._known.move_to_end(request)
        while self._known:
            oldest = next(iter(self._known.values()))
            if (
                len(self._known) <= MAX_ORIGINS
                and now_s - oldest.begun_s <= versions.MEMORY_S
            ):
                return
            self._known.popitem(last=False)

    def _measure_stream_time(self) -> float:
        """Return the longest time for which a stream may be taken up."""
        config = self._board.configuration
        if config is not None and config.version != self._stream_time[0]:
            timeouts_s = [
                route.timeout_s or MAX_STREAM_S
                for routes in config.routes.values()
                for route in routes
                if route.resumable
            ]
            longest_s = max(timeouts_s, default=MAX_STREAM_S)
            self._stream_time = (
                config.version,
                min(longest_s * TIMEOUTS_PER_STREAM, MAX_STREAM_S),
            )
        return self._stream_time[1]


__all__ = (
    "NOTE_PATH",
    "QUERY_PATH",
    "RESUMED",
    "OriginNote",
    "OriginQuery",
    "OriginReply",
    "StreamOrigins",
)
