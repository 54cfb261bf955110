"""Interface of what a concern adds to heartbeats."""

from __future__ import annotations

from typing import Any
from typing import Protocol

from cyclamenwing.membership import types


class Source(Protocol):
    """Add one concern's news to heartbeats and their replies."""

    NEWS: str

    def tell_news(self) -> Any:
        """Return the news as JSON data; None adds nothing."""

    def hear_news(self, sender: types.Heartbeat | None, news: Any) -> None:
        """Take over another process's news; a reply has no sender."""


def gather_news(sources: list[Source]) -> dict[str, Any]:
    """Return the news of all concerns by name."""
    told = {source.NEWS: source.tell_news() for source in sources}
    return {name: news for name, news in told.items() if news is not None}


def spread_news(
    sources: list[Source],
    sender: types.Heartbeat | None,
    news: dict[str, Any],
) -> None:
    """Give each concern its part of the news."""
    for source in sources:
        if source.NEWS in news:
            source.hear_news(sender, news[source.NEWS])


__all__ = (
    "Source",
    "gather_news",
    "spread_news",
)
