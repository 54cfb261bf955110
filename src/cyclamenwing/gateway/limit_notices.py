"""Exchange of the limits of endpoints with peers, by gossip."""

from __future__ import annotations

from collections.abc import Sequence

import eliot

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import delivery_log
from cyclamenwing.routing import rate_limits

# Limits of endpoints in one message; the others follow in the next ones.
MAX_LIMIT_NOTICES = 100


class LimitNoticeExchange:
    """Build the notices of limits for each peer and merge those of peers."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        self._log = delivery_log.DeliveryLog()
        self.record_delivered = self._log.record
        self.forget = self._log.forget

    def build(
        self, address: str, serves: bool, receiver: str, now_s: float
    ) -> list[rate_limits.LimitNotice]:
        """Return the limits that a peer has not been told of yet.

        :param serves: the receiver is attached to this gateway
        """
        notices = [
            notice
            for notice, limit in self._board.directory.limits.list_notices(
                now_s
            )
            if self._log.lacks(address, notice)
            and not (limit.source and limit.source == receiver)
            and (serves or not limit.from_delegate)
        ]
        return notices[:MAX_LIMIT_NOTICES]

    def merge(
        self,
        notices: Sequence[rate_limits.LimitNotice],
        host: str,
        from_delegate: bool,
        now_s: float,
    ) -> None:
        """Record the limits that a peer knows of."""
        limits = self._board.directory.limits
        for notice in notices:
            if limits.merge_notice(notice, now_s, host, from_delegate):
                eliot.log_message(
                    "endpoint:limit_merged",
                    endpoint=notice.incarnation.name,
                    address=notice.incarnation.address,
                    limit_rps=notice.limit_rps,
                    peer=host,
                    origin=notice.origin,
                    age_s=round(notice.age_s, 3),
                    wait_s=round(
                        limits.measure_wait(notice.incarnation, now_s), 3
                    ),
                )


__all__ = ("LimitNoticeExchange",)
