"""Descriptions of metrics, each declared by the module that records it."""

from __future__ import annotations

from typing import NamedTuple


class Counter(NamedTuple):
    """Describe a count of events; `labels` holds the label names."""

    name: str
    help_text: str
    labels: tuple[str, ...] = ()


class Timer(NamedTuple):
    """Describe a distribution of durations; `labels` as for `Counter`."""

    name: str
    help_text: str
    labels: tuple[str, ...] = ()


class Gauge(NamedTuple):
    """Describe a value that is read at each scrape."""

    name: str
    help_text: str


__all__ = (
    "Counter",
    "Gauge",
    "Timer",
)
