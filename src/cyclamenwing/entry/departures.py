"""Hosts that other entries know to be leaving."""

from __future__ import annotations

import math
import time
from typing import Any

import eliot
import msgspec

from cyclamenwing.entry import blackboard
from cyclamenwing.membership import types
from cyclamenwing.membership import view

MAX_TOLD = 32
KEPT_S = 5.0

_Hosts = list[tuple[str, str]]


class Departures:
    """Spread what this entry knows first-hand, and keep what others tell.

    A host is named with its incarnation, so that its successor of the
    same name takes work.

    :param board: the entry's state
    """

    NEWS = "departures"

    def __init__(self, board: blackboard.EntryBoard) -> None:
        self._board = board
        self._members = view.MemberController()
        self._told: dict[tuple[str, str], float] = {}
        self._refused: dict[tuple[str, str], float] = {}

    def note_refusal(self, host: str, incarnation: str) -> None:
        """Take note that a host refused work because it is leaving."""
        self._refused[host, incarnation] = time.monotonic()
        _prune(self._refused)

    def is_leaving(self, host: str, incarnation: str) -> bool:
        """Return whether a host takes no new work."""
        key = (host, incarnation)
        return _is_fresh(self._told, key) or _is_fresh(self._refused, key)

    def tell_news(self) -> _Hosts | None:
        """Return the hosts that this entry itself knows to be leaving."""
        known = [
            (member["beat"]["host"], member["beat"]["incarnation"])
            for member in self._board.members.members.values()
            if self._knows(member["beat"])
        ]
        return known[:MAX_TOLD] or None

    def hear_news(self, sender: types.Heartbeat | None, news: Any) -> None:
        """Take over what another entry knows."""
        try:
            hosts = msgspec.convert(news, _Hosts)
        except msgspec.ValidationError as err:
            eliot.log_message("entry:departures_news", message=str(err))
            return
        self._told.update(dict.fromkeys(hosts, time.monotonic()))
        _prune(self._told)

    def _knows(self, beat: types.Heartbeat) -> bool:
        if beat["role"] != "sidecar":
            return False
        key = (beat["host"], beat["incarnation"])
        return _is_fresh(self._refused, key) or self._members.is_leaving(
            self._board.members, beat
        )


def _is_fresh(
    heard: dict[tuple[str, str], float], key: tuple[str, str]
) -> bool:
    return time.monotonic() - heard.get(key, -math.inf) < KEPT_S


def _prune(heard: dict[tuple[str, str], float]) -> None:
    for key in list(heard):
        if not _is_fresh(heard, key):
            del heard[key]


__all__ = ("Departures",)
