"""Retry budget: limits retries to a share of the requests of the last seconds."""

WINDOW_S = 10
"""Length of the window in seconds."""

BUCKET_S = 0.25
"""Length of the buckets in which events are counted, in seconds."""

WINDOW_BUCKETS = int(WINDOW_S / BUCKET_S)

MIN_RETRIES = 3
"""Usual number of retries that every window allows, however few requests it has."""


class RecentCount:
    """Number of events of the last seconds, which may be counted out of order.

    :param buckets: number of buckets that count, with the current one.
    """

    def __init__(self, *, buckets: int) -> None:
        self._length = buckets
        self._buckets: dict[int, int] = {}
        self._first = 0
        self._sum = 0

    def add(self, at: float) -> None:
        """Count an event.

        :param at: monotonic time in seconds.
        """
        number = int(at / BUCKET_S)
        self._expire(number)
        if number < self._first:
            return
        self._buckets[number] = self._buckets.get(number, 0) + 1
        self._sum += 1

    def get(self, now: float) -> int:
        """Return the number of events.

        :param now: monotonic time in seconds.
        """
        self._expire(int(now / BUCKET_S))
        return self._sum

    def _expire(self, newest: int) -> None:
        first = newest - self._length + 1
        while self._buckets and self._first < first:
            self._sum -= self._buckets.pop(self._first, 0)
            self._first += 1
        self._first = max(self._first, first)


class RetryBudget:
    """Counts requests and retries of a sliding window.

    Retries count for at least the whole window, requests for at most that.

    :param share: allowed retries per request in the window.
    :param least: number of retries that every window allows, however few requests it has.
    """

    def __init__(self, *, share: float, least: float = MIN_RETRIES) -> None:
        self.share = share
        self.least = least
        self._requests = RecentCount(buckets=WINDOW_BUCKETS)
        self._retries = RecentCount(buckets=WINDOW_BUCKETS + 1)

    def count_request(self, now: float) -> None:
        """Count the first attempt of a request.

        :param now: monotonic time in seconds.
        """
        self._requests.add(now)

    def recent_requests(self, now: float) -> int:
        """Return the number of requests in the window.

        :param now: monotonic time in seconds.
        """
        return self._requests.get(now)

    def try_spend(self, now: float, *, most: float | None = None) -> bool:
        """Count a retry if the budget allows it, and return whether it does.

        :param now: monotonic time in seconds.
        :param most: number of retries that the window allows at most, None if any.
        """
        if self.left(now, most=most) < 1:
            return False
        self._retries.add(now)
        return True

    def left(self, now: float, *, most: float | None = None) -> float:
        """Return how many retries the window still allows.

        :param now: monotonic time in seconds.
        :param most: number of retries that the window allows at most, None if any.
        """
        allowed = max(self.least, self.share * self._requests.get(now))
        if most is not None:
            allowed = min(allowed, most)
        return allowed - self._retries.get(now)
