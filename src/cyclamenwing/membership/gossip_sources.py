"""Interface of what a concern adds to heartbeats."""

from __future__ import annotations

from typing import Any
from typing import Protocol

from cyclamenwing.membership import types


class GossipSource(Protocol):
    """Add one concern's news to heartbeats and their replies."""

    GOSSIP_KEY: str

    def make_gossip(self) -> Any:
        """Return the news as JSON data; None adds nothing."""

    def receive_gossip(
        self, sender: types.Heartbeat | None, news: Any
    ) -> None:
        """Take over another process's news; a reply has no sender."""


def collect_gossip(sources: list[GossipSource]) -> dict[str, Any]:
    """Return the news of all concerns by name."""
    told = {source.GOSSIP_KEY: source.make_gossip() for source in sources}
    return {name: news for name, news in told.items() if news is not None}


def deliver_gossip(
    sources: list[GossipSource],
    sender: types.Heartbeat | None,
    news: dict[str, Any],
) -> None:
    """Give each concern its part of the news."""
    for source in sources:
        if source.GOSSIP_KEY in news:
            source.receive_gossip(sender, news[source.GOSSIP_KEY])


__all__ = (
    "GossipSource",
    "collect_gossip",
    "deliver_gossip",
)
