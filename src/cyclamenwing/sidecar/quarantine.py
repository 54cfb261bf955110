"""Relay of the quarantine between entries that can't reach each other."""

from __future__ import annotations

import time
from typing import Any

import eliot
import msgspec

from cyclamenwing.membership import types as membership_types
from cyclamenwing.routing import quarantine


class QuarantineRelay:
    """Pass records on, and keep them while entries are replaced."""

    GOSSIP_KEY = "quarantine"

    def __init__(self, host: str) -> None:
        self._host = host
        self._state = quarantine.QuarantineBoard()
        self._controller = quarantine.QuarantineController()

    def make_gossip(self) -> quarantine.QuarantineGossip | None:
        """Return records for a heartbeat."""
        return self._controller.make_gossip(
            self._state, self._host, _read_clock_ms()
        )

    def receive_gossip(
        self, sender: membership_types.Heartbeat | None, news: Any
    ) -> None:
        """Take over an entry's records."""
        now_ms = _read_clock_ms()
        self._controller.expire(self._state, self._host, now_ms)
        try:
            read = msgspec.convert(news, quarantine.QuarantineGossip)
        except msgspec.ValidationError as err:
            eliot.log_message("sidecar:quarantine_news", message=str(err))
            return
        self._controller.receive(self._state, read, now_ms)


def _read_clock_ms() -> int:
    return int(time.time() * 1000)


__all__ = ("QuarantineRelay",)
