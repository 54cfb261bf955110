"""Interface of components that exchange gossip in heartbeats."""

from __future__ import annotations

from typing import Any
from typing import Protocol

from cyclamenwing.membership import types


class GossipSource(Protocol):
    """Add one component's gossip to heartbeats and their replies.

    `GOSSIP_KEY` is its key in the ``news`` field of these messages.
    """

    GOSSIP_KEY: str

    def make_gossip(self) -> Any:
        """Return the gossip to send as JSON data; None if there is none."""

    def receive_gossip(
        self, sender: types.Heartbeat | None, gossip: Any
    ) -> None:
        """Merge the gossip of another process.

        :param sender: heartbeat that carried the gossip; None for a reply
        """


def collect_gossip(sources: list[GossipSource]) -> dict[str, Any]:
    """Return the gossip to send from all sources, by key."""
    parts = {source.GOSSIP_KEY: source.make_gossip() for source in sources}
    return {name: part for name, part in parts.items() if part is not None}


def deliver_gossip(
    sources: list[GossipSource],
    sender: types.Heartbeat | None,
    gossip: dict[str, Any],
) -> None:
    """Pass received gossip to the sources that it belongs to."""
    for source in sources:
        if source.GOSSIP_KEY in gossip:
            source.receive_gossip(sender, gossip[source.GOSSIP_KEY])


__all__ = (
    "GossipSource",
    "collect_gossip",
    "deliver_gossip",
)
