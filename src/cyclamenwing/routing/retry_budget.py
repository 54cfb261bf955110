"""Retry budget of the gateways, for each service in a sliding window."""

from __future__ import annotations

import collections


class WindowedRetryBudget:
    """Limit retries in proportion to the requests of a sliding window.

    :param ratio: retries allowed per request in the window
    :param slack: further retries allowed to all gateways together
    :param window_s: length of the sliding window
    """

    # The bound holds for all gateways together, whose windows don't align. So
    # each gateway uses only this share of the retries allowed to it.
    SAFETY_FACTOR = 0.7

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a client's request to a service."""
        self._trim(self._requests, service, now_s).append(now_s)

    def try_acquire(self, service: str, gateways: int, now_s: float) -> bool:
        """Charge a retry to the budget; return False if it is used up.

        :param gateways: number of live gateways, which share the slack
        """
        requests = self._trim(self._requests, service, now_s)
        retries = self._trim(self._retries, service, now_s)
        allowed = self._ratio * len(requests) + self._slack / max(gateways, 1)
        if len(retries) + 1 > allowed * self.SAFETY_FACTOR:
            return False
        retries.append(now_s)
        return True

    def _trim(
        self,
        times: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> collections.deque[float]:
        times_in_window = times.setdefault(service, collections.deque())
        while times_in_window and times_in_window[0] <= now_s - self._window_s:
            times_in_window.popleft()
        return times_in_window


__all__ = ("WindowedRetryBudget",)
