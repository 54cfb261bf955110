"""Descriptions of metrics, declared once by the concern that counts."""

from __future__ import annotations

from typing import NamedTuple


class Counter(NamedTuple):
    """Describe a count of events; `labels` names its dimensions."""

    name: str
    text: str
    labels: tuple[str, ...] = ()


class Timer(NamedTuple):
    """Describe a distribution of durations."""

    name: str
    text: str
    labels: tuple[str, ...] = ()


class Gauge(NamedTuple):
    """Describe a value that is read at each scrape."""

    name: str
    text: str


__all__ = (
    "Counter",
    "Gauge",
    "Timer",
)
