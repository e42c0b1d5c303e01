"""Selects the part of a server's ranges to move: an end, keys around a busy bucket, or a bucket."""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass

from lychee_ranges.loads import BUCKET_KEYS, BucketRates
from lychee_ranges.server_ranges import RangeLoad, ServerRanges
from lychee_types.registry import KeyRange

MIN_END_FRACTION = 0.5
"""Minimum fraction of the target rate for which the end of a range moves rather than its middle."""

MIN_PART_FRACTION = 0.15
"""Minimum fraction of the target rate for which a move is worth its cost."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SubRange:
    """Adjacent keys of one range that may move.

    :param source: the range.
    :param low: first key.
    :param high: last key.
    :param rate: requests per second.
    """

    source: KeyRange
    low: int
    high: int
    rate: float


class RangeLoads:
    """Request rates of any keys, and the sub-ranges that may be moved for their load.

    :param rates: request rates by bucket.
    """

    def __init__(self, *, rates: BucketRates) -> None:
        self._rates = rates
        self._buckets = sorted(rates.steady)

    def load(self, low: int, high: int) -> RangeLoad:
        """Return the load of the keys from ``low`` to ``high``, both included."""
        buckets = self._buckets_in(low, high)
        return RangeLoad(
            steady=sum(self._rates.steady[bucket] for bucket in buckets),
            latest=sum(self._rates.latest[bucket] for bucket in buckets),
            keys=high - low + 1,
        )

    def hottest_bucket(self, donor: ServerRanges) -> SubRange | None:
        """Return a server's busiest bucket, None if it has none with requests."""
        rates = self._rates_of(donor)
        best: tuple[float, int] | None = None
        source: KeyRange | None = None
        for key_range in donor.movable_ranges:
            for bucket in self._buckets_in(key_range.low, key_range.high):
                if best is None or (rates[bucket], bucket) > best:
                    best, source = (rates[bucket], bucket), key_range
        if best is None or source is None:
            return None
        rate, bucket = best
        return _sub_range(source, bucket, bucket, rate)

    def find_end(self, donor: ServerRanges, target_rate: float) -> SubRange | None:
        """Return the end of a range with at most a target rate, None if all are far below it.

        The limit is :data:`MIN_END_FRACTION`. Moving an end leaves fewer ranges than moving keys
        from the middle.

        :param donor: the server.
        :param target_rate: requests per second.
        """
        best: SubRange | None = None
        for key_range in donor.movable_ranges:
            for is_low in (True, False):
                sub_range = self._end_of(key_range, target_rate, is_low=is_low)
                if sub_range is not None and (best is None or sub_range.rate > best.rate):
                    best = sub_range
        return best if best is not None and best.rate >= target_rate * MIN_END_FRACTION else None

    def find_part(self, donor: ServerRanges, target_rate: float) -> SubRange | None:
        """Return adjacent keys with at most a target rate, None if all are far below it.

        The limit is :data:`MIN_PART_FRACTION`. The keys lie around the busiest bucket that alone
        does not exceed the rate.

        :param donor: the server.
        :param target_rate: requests per second.
        """
        rates = self._rates_of(donor)
        best: tuple[float, int, KeyRange] | None = None
        for key_range in donor.movable_ranges:
            for bucket in self._buckets_in(key_range.low, key_range.high):
                rate = rates[bucket]
                if rate <= target_rate and (best is None or rate > best[0]):
                    best = (rate, bucket, key_range)
        if best is None:
            return None
        _, bucket, source = best
        first, last, rate = _grow_around(rates, source, bucket, target_rate)
        return (
            _sub_range(source, first, last, rate)
            if rate >= target_rate * MIN_PART_FRACTION
            else None
        )

    def _end_of(self, key_range: KeyRange, target_rate: float, *, is_low: bool) -> SubRange | None:
        buckets = self._buckets_in(key_range.low, key_range.high)
        rate, last = 0.0, -1
        for bucket in buckets if is_low else reversed(buckets):
            if rate + self._rates.steady[bucket] > target_rate:
                break
            rate += self._rates.steady[bucket]
            last = bucket
        if last < 0:
            return None
        if is_low:
            return _sub_range(key_range, key_range.low // BUCKET_KEYS, last, rate)
        return _sub_range(key_range, last, key_range.high // BUCKET_KEYS, rate)

    def _rates_of(self, donor: ServerRanges) -> dict[int, float]:
        return self._rates.latest if donor.is_rising else self._rates.steady

    def _buckets_in(self, low: int, high: int) -> list[int]:
        """Return the buckets whose first key lies from ``low`` to ``high``."""
        first = bisect_left(self._buckets, -(-low // BUCKET_KEYS))
        last = bisect_right(self._buckets, high // BUCKET_KEYS)
        return self._buckets[first:last]


def _sub_range(source: KeyRange, first: int, last: int, rate: float) -> SubRange:
    """Return the keys of a range from one bucket to another, both included."""
    return SubRange(
        source=source,
        low=max(source.low, first * BUCKET_KEYS),
        high=min(source.high, last * BUCKET_KEYS + BUCKET_KEYS - 1),
        rate=rate,
    )


def _grow_around(
    rates: dict[int, float], source: KeyRange, bucket: int, target_rate: float
) -> tuple[int, int, float]:
    """Return the first and last bucket around one that fit into a rate, and their total rate."""
    start, end = source.low // BUCKET_KEYS, source.high // BUCKET_KEYS
    first = last = bucket
    rate = rates[bucket]
    while last < end and rate + rates.get(last + 1, 0.0) <= target_rate:
        last += 1
        rate += rates.get(last, 0.0)
    while first > start and rate + rates.get(first - 1, 0.0) <= target_rate:
        first -= 1
        rate += rates.get(first, 0.0)
    return _trim_idle(rates, first, last, rate)


def _trim_idle(
    rates: dict[int, float], first: int, last: int, rate: float
) -> tuple[int, int, float]:
    """Drop buckets without requests at both ends, as each key that moves has a cost."""
    while first < last and rates.get(first, 0.0) == 0.0:
        first += 1
    while first < last and rates.get(last, 0.0) == 0.0:
        last -= 1
    return first, last, rate
