"""Index of the hosts that probably have a prompt prefix cached."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from cyclamenwing.routing import prefix

MAX_DIGESTS = 32_768
# Only the most recent hosts of a prefix are kept; they are enough to choose
# from.
MAX_HOSTS_PER_PREFIX = 8
TRUST_FADE_S = 300.0
BYTES_PER_TOKEN = 4
# Prompt tokens up to each anchor, which a match there saves.
ANCHOR_TOKENS = tuple(
    count * prefix.BLOCK_BYTES // BYTES_PER_TOKEN for count in prefix.ANCHORS
)


class AffinityIndex:
    """Map prefix digests to hosts in bounded memory.

    Its sources are this entry's own choices and the hosts' cache events.
    As events are delayed and some are lost, the trust in a record fades
    to zero within `TRUST_FADE_S`.
    """

    def __init__(self) -> None:
        self._hosts: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )

    def add(self, host: str, digests: Iterable[int], now: float) -> None:
        """Record that a host has prefixes cached."""
        for digest in digests:
            hosts = self._hosts.setdefault(digest, {})
            hosts.pop(host, None)
            hosts[host] = now
            if len(hosts) > MAX_HOSTS_PER_PREFIX:
                del hosts[next(iter(hosts))]
            self._hosts.move_to_end(digest)
        while len(self._hosts) > MAX_DIGESTS:
            self._hosts.popitem(last=False)

    def remove(self, host: str, digests: Iterable[int]) -> None:
        """Record that a host no longer has prefixes cached."""
        for digest in digests:
            hosts = self._hosts.get(digest, {})
            hosts.pop(host, None)
            if not hosts:
                self._hosts.pop(digest, None)

    def forget(self, host: str) -> None:
        """Remove all records of a host."""
        digests = [
            digest for digest, hosts in self._hosts.items() if host in hosts
        ]
        self.remove(host, digests)

    def match(self, digests: tuple[int, ...], now: float) -> dict[str, float]:
        """Return the cached prompt tokens expected at each host.

        :param digests: digests of the prompt's prefixes, the shortest
            first
        """
        tokens: dict[str, float] = {}
        for index in range(len(digests) - 1, -1, -1):
            for host, at in self._hosts.get(digests[index], {}).items():
                if host not in tokens:
                    trust = max(0.0, 1.0 - (now - at) / TRUST_FADE_S)
                    tokens[host] = trust * ANCHOR_TOKENS[index]
        return tokens


def count_prompt_tokens(digests: tuple[int, ...]) -> int:
    """Return the approximate token count of a digested prompt."""
    return ANCHOR_TOKENS[len(digests) - 1] if digests else 0


__all__ = (
    "ANCHOR_TOKENS",
    "AffinityIndex",
    "count_prompt_tokens",
)
