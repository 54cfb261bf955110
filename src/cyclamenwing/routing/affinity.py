"""Which hosts are believed to hold which prefixes."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from cyclamenwing.routing import prefix

MAX_DIGESTS = 32_768
# Of hosts that hold one prefix, the latest are enough to choose from.
MAX_HOLDERS = 8
TRUST_S = 300.0
BYTES_PER_TOKEN = 4
# Tokens that a match at each anchor saves.
ANCHOR_TOKENS = tuple(
    count * prefix.BLOCK_BYTES // BYTES_PER_TOKEN for count in prefix.ANCHORS
)


class AffinityIndex:
    """Remember holders of prefixes in bounded memory.

    It is fed by an entry's own choices and by cache events, which come
    late and with gaps, so trust in a holder fades.
    """

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )

    def add(self, host: str, digests: Iterable[int], now: float) -> None:
        """Remember that a host holds prefixes."""
        for digest in digests:
            holders = self._holders.setdefault(digest, {})
            holders.pop(host, None)
            holders[host] = now
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._holders.move_to_end(digest)
        while len(self._holders) > MAX_DIGESTS:
            self._holders.popitem(last=False)

    def remove(self, host: str, digests: Iterable[int]) -> None:
        """Forget that a host holds prefixes."""
        for digest in digests:
            holders = self._holders.get(digest, {})
            holders.pop(host, None)
            if not holders:
                self._holders.pop(digest, None)

    def forget(self, host: str) -> None:
        """Forget all that a host held."""
        held = [
            digest
            for digest, holders in self._holders.items()
            if host in holders
        ]
        self.remove(host, held)

    def match(self, digests: tuple[int, ...], now: float) -> dict[str, float]:
        """Return the prompt tokens that hosts are believed to hold."""
        found: dict[str, float] = {}
        for place in range(len(digests) - 1, -1, -1):
            for host, at in self._holders.get(digests[place], {}).items():
                if host not in found:
                    trust = max(0.0, 1.0 - (now - at) / TRUST_S)
                    found[host] = trust * ANCHOR_TOKENS[place]
        return found


def count_prompt_tokens(digests: tuple[int, ...]) -> int:
    """Return about how many tokens a digested prompt has."""
    return ANCHOR_TOKENS[len(digests) - 1] if digests else 0


__all__ = (
    "ANCHOR_TOKENS",
    "AffinityIndex",
    "count_prompt_tokens",
)
