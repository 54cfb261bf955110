"""Stand-in of a model engine that serves the chat completions API."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec
import prometheus_client
from prometheus_client import registry

from cyclamenwing.standin import completions
from cyclamenwing.standin import generation
from cyclamenwing.standin import orders
from cyclamenwing.transport import server

EngineState = generation.EngineState
make_words = generation.make_words


class ModelsHandler(completions.EngineHandler):
    """Serve ``GET /v1/models``."""

    async def get(self) -> None:
        """Return the model and its loaded adapters."""
        names = [self.state.model, *self.state.orders.adapters]
        data = [{"id": name, "object": "model"} for name in names]
        self.write_json({"object": "list", "data": data})


class TokenizeHandler(completions.EngineHandler):
    """Serve ``POST /tokenize``."""

    async def post(self) -> None:
        """Return the number of tokens in the messages."""
        body = self.decode_body(dict[str, list[dict[str, Any]]])
        text = " ".join(str(item["content"]) for item in body["messages"])
        self.write_json({"count": generation.count_tokens(text)})


class LoadHandler(completions.EngineHandler):
    """Serve ``GET /load``."""

    async def get(self) -> None:
        """Return the load as of the configured delay ago."""
        self.write_json(self.state.batch.read_load(time.monotonic()))


class MetricsHandler(completions.EngineHandler):
    """Serve ``GET /metrics``."""

    async def get(self) -> None:
        """Return the load in the Prometheus text format."""
        load = self.state.batch.read_load(time.monotonic())
        collectors = registry.CollectorRegistry()
        for name, value in (
            ("engine_requests_running", load["running"]),
            ("engine_requests_waiting", load["waiting"]),
            ("engine_cache_usage_ratio", load["cache_used"]),
        ):
            prometheus_client.Gauge(name, name, registry=collectors).set(value)
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(prometheus_client.generate_latest(collectors))


class EventsHandler(completions.EngineHandler):
    """Serve ``GET /cache/events?after=SEQ``."""

    async def get(self) -> None:
        """Return the readable cache events after `SEQ` as JSON lines."""
        after = int(self.get_query_argument("after", "0"))
        events = self.state.batch.cache.read_events(after, time.monotonic())
        self.set_header("Content-Type", "application/x-ndjson")
        self.finish(
            b"".join(msgspec.json.encode(event) + b"\n" for event in events)
        )


class CancelHandler(completions.EngineHandler):
    """Serve ``POST /cancel``."""

    async def post(self) -> None:
        """Cancel a request by id and return whether it was running."""
        body = self.decode_body(dict[str, str])
        cancelled = self.state.cancel(body.get("request", ""))
        self.write_json({"cancelled": cancelled})


class OrdersHandler(completions.EngineHandler):
    """Serve ``/orders``."""

    async def get(self) -> None:
        """Return the applied orders and the highest fencing token."""
        order_book = self.state.orders
        self.write_json({
            "applied": order_book.applied,
            "fence": order_book.highest_fence,
        })

    async def post(self) -> None:
        """Apply an order; answer 409 if its fencing token is stale."""
        applied = self.state.orders.apply(self.decode_body(orders.EngineOrder))
        self.set_status(200 if applied else 409)
        self.write_json({
            "applied": applied,
            "fence": self.state.orders.highest_fence,
        })


class EngineStandin:
    """Serve the engine API on one address.

    :param address: ``ip:port`` to bind
    :param state: the engine's state
    """

    def __init__(self, address: str, state: generation.EngineState) -> None:
        self.state = state
        self._listener = self._listen(address)
        self.address = self._listener.address
        self._batch_task = asyncio.create_task(state.run(self._restart))

    async def close(self) -> None:
        """Stop serving."""
        self._batch_task.cancel()
        await self._listener.close()

    async def _restart(self) -> None:
        # After a crash, open connections are closed and new ones refused
        # until the restart delay has passed.
        await self._listener.close()
        await asyncio.sleep(self.state.restart_delay_s)
        self._listener = self._listen(self.address)

    def _listen(self, address: str) -> server.Listener:
        options = {"state": self.state}
        return server.Listener(
            server.make_application([
                (path, handler, options) for path, handler in _HANDLERS
            ]),
            address,
        )


_HANDLERS = (
    (r"/v1/chat/completions", completions.ChatHandler),
    (r"/v1/models", ModelsHandler),
    (r"/tokenize", TokenizeHandler),
    (r"/load", LoadHandler),
    (r"/metrics", MetricsHandler),
    (r"/cache/events", EventsHandler),
    (r"/cancel", CancelHandler),
    (r"/orders", OrdersHandler),
)

__all__ = (
    "EngineStandin",
    "EngineState",
    "make_words",
)
