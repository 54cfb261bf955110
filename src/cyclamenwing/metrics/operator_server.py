"""Operators' port of a process: metrics and health."""

from __future__ import annotations

import resource
from collections.abc import Callable
from typing import Any
from typing import TypedDict

from cyclamenwing.metrics import exposition
from cyclamenwing.metrics import recorder
from cyclamenwing.metrics import types
from cyclamenwing.transport import server

CPU = types.Gauge("cpu_seconds", "Processor time used since the start")
MEMORY = types.Gauge("peak_resident_bytes", "Largest resident memory")
BYTES_PER_KB = 1024


class Health(TypedDict):
    """Tell whether a process takes new work."""

    ready: bool
    role: str
    host: str
    zone: str
    revision: int
    leaving: bool
    in_progress: int


class MetricsHandler(server.CodedHandler):
    """Serve ``GET /metrics``."""

    def initialize(self, source: recorder.Recorder) -> None:
        """Take the process's recorder."""
        self._source = source

    async def get(self) -> None:
        """Return all metrics in the Prometheus text form."""
        self.set_header("Content-Type", exposition.CONTENT_TYPE)
        self.finish(exposition.render_metrics(self._source))


class HealthHandler(server.CodedHandler):
    """Serve ``GET /health`` for balancers and operators."""

    def initialize(self, read: Callable[[], Health]) -> None:
        """Take the function that reads the process's state."""
        self._read = read

    async def get(self) -> None:
        """Return the state; 503 when no new work is taken."""
        health = self._read()
        self.set_status(200 if health["ready"] else 503)
        self.write_json(health)


class OperatorServer:
    """Serve metrics and health, on an address of their own.

    :param address: ``ip:port`` to bind, None for no port
    :param source: the process's recorder
    :param read: returns the process's health
    """

    def __init__(
        self,
        address: str | None,
        source: recorder.Recorder,
        read: Callable[[], Health],
    ) -> None:
        source.register_gauge(CPU, read_cpu_s)
        source.register_gauge(MEMORY, read_peak_bytes)
        self._listener = (
            server.Listener(_make_application(source, read), address)
            if address
            else None
        )
        self.address = self._listener.address if self._listener else None

    def list_handlers(self) -> list[Any]:
        """Return no handlers for other processes."""
        return []

    def start(self) -> None:
        """Do nothing; the address is served since it was bound."""

    async def close(self) -> None:
        """Stop serving."""
        if self._listener is not None:
            await self._listener.close()


def read_cpu_s() -> float:
    """Return the processor time of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def read_peak_bytes() -> float:
    """Return the largest resident memory of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_maxrss * BYTES_PER_KB


def _make_application(
    source: recorder.Recorder, read: Callable[[], Health]
) -> Any:
    return server.make_application([
        (r"/metrics", MetricsHandler, {"source": source}),
        (r"/health", HealthHandler, {"read": read}),
    ])


__all__ = (
    "Health",
    "OperatorServer",
    "read_cpu_s",
    "read_peak_bytes",
)
