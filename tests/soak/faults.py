"""Faults, and the schedule of them that a seed draws."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from tests.soak import configuration
from tests.soak import endpoint
from tests.soak import fleet
from tests.soak import proxy
from tests.soak import trace

from cyclamenwing.standin import metadata_store

MEAN_INTERVAL_S = 0.45
MIN_DURATION_S = 0.3
MAX_DURATION_S = 2.5
DRAIN_DURATION_S = 4.0
SLOW_STORE_S = 0.4
SLOW_STORE_AFTER_S = 2.3
LIMITS = (b"1", b"2.5", b"6")
DELAYS_S = (0.02, 0.2)
DROPS = (
    frozenset({proxy.UP}),
    frozenset({proxy.DOWN}),
    frozenset({proxy.UP, proxy.DOWN}),
)


class Event(NamedTuple):
    """Hold one fault of a schedule.

    :param draw: number from which targets and variants are drawn
    """

    time_s: float
    kind: str
    duration_s: float
    draw: int


def draw_schedule(rng: random.Random, seconds: float) -> list[Event]:
    """Return faults in series, which overlap by their durations."""
    events = []
    time_s = rng.uniform(0.0, MEAN_INTERVAL_S)
    kinds = list(FAULTS)
    rng.shuffle(kinds)
    while time_s < seconds:
        # Each kind comes once before any comes again.
        kind = kinds.pop(0)
        kinds.append(kind)
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        events.append(Event(time_s, kind, duration_s, rng.getrandbits(32)))
        time_s += rng.expovariate(1 / MEAN_INTERVAL_S)
    return events


class Site:
    """Hold what faults act on.

    :param proxies: the endpoints' proxies by name
    """

    def __init__(
        self,
        recorder: trace.Trace,
        store: metadata_store.MetadataStoreStandin,
        endpoints: list[endpoint.Endpoint],
        proxies: dict[str, proxy.Proxy],
        gateways: fleet.Gateways,
    ) -> None:
        self.trace = recorder
        self.store = store
        self.endpoints = endpoints
        self.proxies = proxies
        self.gateways = gateways
        self.drawn: set[str] = set()
        # Rates that endpoints have named.
        self.limits = recorder.limits

    @contextlib.contextmanager
    def fault(self, kind: str, target: str) -> Iterator[bool]:
        """Record a fault; yield False if the target has one already."""
        name = f"{kind.partition('-')[0]} {target}"
        if name in self.drawn:
            yield False
            return
        self.drawn.add(name)
        window = self.trace.open_window(kind, target)
        try:
            yield True
        finally:
            self.trace.close_window(window)
            self.drawn.discard(name)

    async def publish(self) -> None:
        """Write the next configuration, which adds prepaid tokens."""
        version = self.gateways.version + 1
        for workspace in configuration.WORKSPACES:
            self.trace.payments.append(
                trace.Payment(
                    workspace,
                    self.trace.read_time(),
                    configuration.count_prepaid(workspace, version),
                )
            )
        await self.store.put(
            "op/config", configuration.make_configuration(version)
        )
        self.gateways.version = version

    async def register(self, item: endpoint.Endpoint, state: str) -> None:
        """Write the registration of an endpoint."""
        address = self.proxies[item.name].address
        await self.store.put(
            f"servers/{item.name}", item.describe(address, state)
        )


Fault = Callable[[Site, random.Random, float], Awaitable[None]]


async def _publish(site: Site, rng: random.Random, seconds: float) -> None:
    await site.publish()
    site.trace.close_window(site.trace.open_window("publish", "store"))


def _mark(site: Site, kind: str, gateway: fleet.Gateway) -> None:
    window = site.trace.open_window(kind, f"g{gateway.number}")
    site.trace.close_window(window)


def _pick_gateways(
    site: Site, rng: random.Random, many: bool
) -> list[fleet.Gateway]:
    items = site.gateways.items
    return rng.sample(items, rng.randint(2, len(items)) if many else 1)


def _make_signals(kind: str, many: bool, *extra: signal.Signals) -> Fault:
    """Return a fault that sends SIGTERM and maybe other signals after it."""

    async def run(site: Site, rng: random.Random, seconds: float) -> None:
        chosen = _pick_gateways(site, rng, many)
        for gateway in chosen:
            if gateway.terminate(site.trace):
                _mark(site, kind, gateway)
        for number in extra:
            await asyncio.sleep(seconds)
            for gateway in chosen:
                life = gateway.life
                if life and life.terminated_s and gateway.accepting:
                    gateway.send_signal(number)

    return run


def _make_kill(kind: str, many: bool) -> Fault:
    async def run(site: Site, rng: random.Random, seconds: float) -> None:
        for gateway in _pick_gateways(site, rng, many):
            _mark(site, kind, gateway)
            gateway.kill(site.trace)

    return run


async def _hang_up(site: Site, rng: random.Random, seconds: float) -> None:
    for gateway in _pick_gateways(site, rng, True):
        if gateway.accepting and gateway.send_signal(signal.SIGHUP):
            _mark(site, "hup", gateway)


async def _freeze(site: Site, rng: random.Random, seconds: float) -> None:
    (gateway,) = _pick_gateways(site, rng, False)
    if gateway.frozen is not None:
        return
    gateway.freeze(site.trace)
    try:
        await asyncio.sleep(seconds)
    finally:
        gateway.thaw(site.trace)


async def _keep_store_away(
    site: Site, rng: random.Random, seconds: float
) -> None:
    with site.fault("store-away", "store") as free:
        proxies = [g.store for g in site.gateways.items] if free else []
        for item in proxies:
            item.refusing = True
            item.reset()
        await asyncio.sleep(seconds)
        for item in proxies:
            item.refusing = False


def _make_store_fault(kind: str, name: str, value: object) -> Fault:
    """Return a fault that sets an attribute of the store for a while."""

    async def run(site: Site, rng: random.Random, seconds: float) -> None:
        with site.fault(kind, "store") as free:
            if not free:
                return
            before = getattr(site.store, name)
            setattr(site.store, name, value)
            await asyncio.sleep(seconds)
            setattr(site.store, name, before)

    return run


async def _forget_history(
    site: Site, rng: random.Random, seconds: float
) -> None:
    with site.fault("store-forgets", "store"):
        site.store.compact()


async def _disturb_link(
    item: proxy.Proxy, rng: random.Random, seconds: float
) -> None:
    """Delay, reset, cut one way or silence connections for a while."""
    delay_s, drops = rng.choice(DELAYS_S), rng.choice(DROPS)
    variant = rng.randrange(3)
    if variant == 0:
        item.delay_s = delay_s
    elif variant == 1:
        item.dropped = drops
    else:
        item.refusing = True
        item.reset()
    await asyncio.sleep(seconds)
    item.delay_s, item.dropped, item.refusing = 0.0, frozenset(), False


async def _disturb_store_link(
    site: Site, rng: random.Random, seconds: float
) -> None:
    (gateway,) = _pick_gateways(site, rng, False)
    with site.fault("store-link", f"g{gateway.number}") as free:
        if free:
            await _disturb_link(gateway.store, rng, seconds)


async def _disturb_endpoint_link(
    site: Site, rng: random.Random, seconds: float
) -> None:
    item = rng.choice(site.endpoints)
    with site.fault("endpoint-link", item.name) as free:
        if free:
            await _disturb_link(site.proxies[item.name], rng, seconds)


async def _crash_endpoint(
    site: Site, rng: random.Random, seconds: float
) -> None:
    item = rng.choice(site.endpoints)
    with site.fault("endpoint-crash", item.name) as free:
        if free:
            item.crash()
            await asyncio.sleep(seconds)
            item.restart()


async def _change_endpoint(
    site: Site, rng: random.Random, seconds: float
) -> None:
    item = rng.choice(site.endpoints)
    behaviour = rng.choice(endpoint.FAULTY_BEHAVIOURS)
    with site.fault(f"endpoint-{behaviour}", item.name) as free:
        if free:
            item.behaviour = behaviour
            await asyncio.sleep(seconds)
            item.behaviour = "serve"


async def _drain_endpoint(
    site: Site, rng: random.Random, seconds: float
) -> None:
    item = rng.choice(site.endpoints)
    name = f"drain {item.name}"
    if name in site.drawn:
        return
    site.drawn.add(name)
    await site.register(item, "draining")
    window = site.trace.open_window("drain", item.name)
    await asyncio.sleep(DRAIN_DURATION_S)
    site.trace.close_window(window)
    await site.register(item, "ready")
    site.drawn.discard(name)


async def _restart_with_slow_store(
    site: Site, rng: random.Random, seconds: float
) -> None:
    """Make the store slow while leaving gateways return their holdings."""
    await _make_signals("term-slow-store", True)(site, rng, seconds)
    await asyncio.sleep(SLOW_STORE_AFTER_S)
    await FAULTS["store-slow"](site, rng, seconds)


async def _name_limit(site: Site, rng: random.Random, seconds: float) -> None:
    item = rng.choice(site.endpoints)
    with site.fault("limit", item.name) as free:
        if free:
            item.limit = rng.choice(LIMITS)
            site.limits[item.name] = float(item.limit)
            await asyncio.sleep(seconds)
            item.limit = b""


FAULTS: dict[str, Fault] = {
    "publish": _publish,
    "restart": _make_signals("term", False),
    "restart-many": _make_signals("term-many", True),
    "restart-slow-store": _restart_with_slow_store,
    "hup-after-term": _make_signals("term-hup", False, signal.SIGHUP),
    "second-term": _make_signals("term-twice", True, signal.SIGTERM),
    "hup": _hang_up,
    "kill": _make_kill("kill", False),
    "kill-many": _make_kill("kill-many", True),
    "freeze": _freeze,
    "store-away": _keep_store_away,
    "store-slow": _make_store_fault("store-slow", "txn_pause_s", SLOW_STORE_S),
    "store-lossy": _make_store_fault("store-lossy", "lose_txn_answers", True),
    "store-error": _make_store_fault("store-error", "error_status", 503),
    "store-forgets": _forget_history,
    "store-link": _disturb_store_link,
    "endpoint-link": _disturb_endpoint_link,
    "endpoint-crash": _crash_endpoint,
    "endpoint-behaviour": _change_endpoint,
    "drain": _drain_endpoint,
}

# Faults that no seed draws by itself.
OTHER_FAULTS: dict[str, Fault] = {"limit": _name_limit}

__all__ = (
    "DRAIN_DURATION_S",
    "FAULTS",
    "MAX_DURATION_S",
    "OTHER_FAULTS",
    "Event",
    "Site",
    "draw_schedule",
)
