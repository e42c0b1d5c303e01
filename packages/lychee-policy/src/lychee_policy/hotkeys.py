"""Approximate counting of hot keys in bounded memory."""

from typing import Any

from lychee_types.ids import KeyHash, ServiceName
from lychee_types.messages import (
    HotKey,
)

SKETCH_LOG2_SIZE = 9
"""Base-2 logarithm of the number of keys that a frequent-items sketch can hold."""

MIN_HOT_RATE = 5.0
"""Requests per second from which a key is reported as hot."""


def _new_sketch() -> Any:
    # Imported here because the library loads numpy, which programs without hot keys do not need
    # in memory.
    from datasketches import frequent_strings_sketch

    return frequent_strings_sketch(SKETCH_LOG2_SIZE)


class HotKeyCounter:
    """Approximately counts the requests for each key of one service.

    :param service: name of the service.
    :param limit: maximum number of keys in a report.
    :param now: monotonic time in seconds.
    """

    def __init__(self, *, service: ServiceName, limit: int, now: float) -> None:
        self._service = service
        self._limit = limit
        self._sketch = _new_sketch()
        self._since = now

    def count(self, key: KeyHash) -> None:
        """Count a request for a key."""
        self._sketch.update(str(key))

    def take(self, now: float) -> tuple[HotKey, ...]:
        """Return the hottest keys since the last call, hottest first, and reset the counts.

        :param now: monotonic time in seconds.
        """
        from datasketches import frequent_items_error_type

        since, self._since = self._since, now
        sketch, self._sketch = self._sketch, _new_sketch()
        if now <= since:
            return ()
        items = sketch.get_frequent_items(frequent_items_error_type.NO_FALSE_POSITIVES)
        rates = [(int(name), estimate / (now - since)) for name, estimate, *_ in items]
        hot = sorted((item for item in rates if item[1] >= MIN_HOT_RATE), key=lambda item: -item[1])
        return tuple(
            HotKey(service=self._service, key=KeyHash(key), rate=rate)
            for key, rate in hot[: self._limit]
        )
