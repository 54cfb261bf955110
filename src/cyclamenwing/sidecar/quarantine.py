"""Relay of quarantine records between entries.

It connects entries that can't reach each other.
"""

from __future__ import annotations

import time
from typing import Any

import eliot
import msgspec

from cyclamenwing.membership import types as membership_types
from cyclamenwing.routing import quarantine


class QuarantineRelay:
    """Relay quarantine records and keep them while entries are replaced."""

    GOSSIP_KEY = "quarantine"

    def __init__(self, host: str) -> None:
        self._host = host
        self._board = quarantine.QuarantineBoard()
        self._controller = quarantine.QuarantineController()

    def make_gossip(self) -> quarantine.QuarantineGossip | None:
        """Return quarantine records for a heartbeat."""
        return self._controller.make_gossip(
            self._board, self._host, _read_clock_ms()
        )

    def receive_gossip(
        self, sender: membership_types.Heartbeat | None, gossip: Any
    ) -> None:
        """Adopt the records in an entry's reply."""
        now_ms = _read_clock_ms()
        self._controller.expire(self._board, self._host, now_ms)
        try:
            records = msgspec.convert(gossip, quarantine.QuarantineGossip)
        except msgspec.ValidationError as err:
            eliot.log_message("sidecar:quarantine_malformed", message=str(err))
            return
        self._controller.receive(self._board, records, now_ms)


def _read_clock_ms() -> int:
    return int(time.time() * 1000)


__all__ = ("QuarantineRelay",)
