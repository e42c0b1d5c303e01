"""Retry budget: limits retries to a share of the requests of the last seconds."""

from collections import deque

WINDOW_S = 10
"""Length of the window in seconds."""

MIN_RETRIES = 3
"""Usual number of retries that every window allows, however few requests it has."""


class RetryBudget:
    """Counts requests and retries of a sliding window in one-second buckets.

    :param share: allowed retries per request in the window.
    :param least: number of retries that every window allows, however few requests it has.
    """

    def __init__(self, *, share: float, least: float = MIN_RETRIES) -> None:
        self.share = share
        self.least = least
        self._buckets: deque[tuple[int, int, int]] = deque()
        self._requests = 0
        self._retries = 0

    def count_request(self, now: float) -> None:
        """Count the first attempt of a request.

        :param now: monotonic time in seconds.
        """
        self._add(now, requests=1, retries=0)

    def try_spend(self, now: float) -> bool:
        """Count a retry if the budget allows it, and return whether it does.

        :param now: monotonic time in seconds.
        """
        self._expire(now)
        if self._retries + 1 > max(self.least, self.share * self._requests):
            return False
        self._add(now, requests=0, retries=1)
        return True

    def _add(self, now: float, *, requests: int, retries: int) -> None:
        self._expire(now)
        second = int(now)
        if self._buckets and self._buckets[-1][0] == second:
            _, earlier_requests, earlier_retries = self._buckets.pop()
            bucket = (second, earlier_requests + requests, earlier_retries + retries)
        else:
            bucket = (second, requests, retries)
        self._buckets.append(bucket)
        self._requests += requests
        self._retries += retries

    def _expire(self, now: float) -> None:
        oldest = int(now) - WINDOW_S
        while self._buckets and self._buckets[0][0] <= oldest:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
