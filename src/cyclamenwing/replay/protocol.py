"""Interface of trace replayers and the structure of a trace."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TypedDict


class Trace(TypedDict):
    """Hold recorded events and the outcomes expected of a replay."""

    kind: str
    title: str
    seed: int
    events: list[dict[str, Any]]
    outcomes: dict[str, Any]


class Replayer(Protocol):
    """Replay the traces of one kind on the controllers, without I/O."""

    KIND: str

    def replay(self, trace: Trace) -> list[str]:
        """Return each outcome that differs from the stated one."""


__all__ = (
    "Replayer",
    "Trace",
)
