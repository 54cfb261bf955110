"""HTTP server for operators: metrics and health of a process."""

from __future__ import annotations

import resource
from collections.abc import Callable
from typing import Any
from typing import TypedDict

from cyclamenwing.metrics import exposition
from cyclamenwing.metrics import recorder
from cyclamenwing.metrics import types
from cyclamenwing.transport import server

CPU_SECONDS = types.Gauge("cpu_seconds", "Processor time used since the start")
PEAK_MEMORY = types.Gauge("peak_resident_bytes", "Largest resident memory")
BYTES_PER_KB = 1024


class Health(TypedDict):
    """Describe a process's state.

    `ready` means that it accepts new requests, `leaving` that it drains.
    """

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
        """Set the recorder that is exported."""
        self._source = source

    async def get(self) -> None:
        """Return all metrics in the Prometheus text format."""
        self.set_header("Content-Type", exposition.CONTENT_TYPE)
        self.finish(exposition.render_metrics(self._source))


class HealthHandler(server.CodedHandler):
    """Serve ``GET /health`` for load balancers and operators."""

    def initialize(self, read: Callable[[], Health]) -> None:
        """Set the function that returns the process's state."""
        self._read_health = read

    async def get(self) -> None:
        """Return the state, with status 503 if the process isn't ready."""
        health = self._read_health()
        self.set_status(200 if health["ready"] else 503)
        self.write_json(health)


class OperatorServer:
    """Serve metrics and health on an address of their own.

    :param address: ``ip:port`` to bind, None to serve nothing
    :param source: the process's recorder
    :param read_health: returns the process's health
    """

    def __init__(
        self,
        address: str | None,
        source: recorder.Recorder,
        read_health: Callable[[], Health],
    ) -> None:
        source.register_gauge(CPU_SECONDS, read_cpu_s)
        source.register_gauge(PEAK_MEMORY, read_peak_bytes)
        self._listener = (
            server.Listener(_make_application(source, read_health), address)
            if address
            else None
        )
        self.address = self._listener.address if self._listener else None

    def list_handlers(self) -> list[Any]:
        """Return no handlers, as other processes call none here."""
        return []

    def start(self) -> None:
        """Do nothing; the server runs since its address was bound."""

    async def close(self) -> None:
        """Stop serving."""
        if self._listener is not None:
            await self._listener.close()


def read_cpu_s() -> float:
    """Return the processor time of this process in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def read_peak_bytes() -> float:
    """Return the peak resident memory of this process in bytes."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * BYTES_PER_KB


def _make_application(
    source: recorder.Recorder, read_health: Callable[[], Health]
) -> Any:
    return server.make_application([
        (r"/metrics", MetricsHandler, {"source": source}),
        (r"/health", HealthHandler, {"read": read_health}),
    ])


__all__ = (
    "Health",
    "OperatorServer",
    "read_cpu_s",
    "read_peak_bytes",
)
