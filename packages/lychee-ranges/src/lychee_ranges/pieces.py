"""Which piece of a server's ranges to move: an end, a part around its hottest keys, one bucket."""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass

from lychee_ranges.loads import BUCKET_KEYS, BucketRates
from lychee_ranges.share import Load, Share
from lychee_types.registry import KeyRange

LEAST_END = 0.5
"""Least part of the wanted load for which the end of a range is moved rather than its middle."""

LEAST_PART = 0.15
"""Least part of the wanted load for which a move is worth its cost."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Piece:
    """Keys of one range that may move.

    :param source: the range.
    :param low: first key.
    :param high: last key.
    :param rate: requests a second.
    """

    source: KeyRange
    low: int
    high: int
    rate: float


class RatedKeys:
    """Requests by bucket of keys, and the pieces that may be cut out of ranges by them.

    :param rates: requests by bucket.
    """

    def __init__(self, *, rates: BucketRates) -> None:
        self._rates = rates
        self._buckets = sorted(rates.slow)

    def load(self, low: int, high: int) -> Load:
        """Return the requests for the keys from ``low`` to ``high``, both included."""
        buckets = self._buckets_in(low, high)
        return Load(
            steady=sum(self._rates.slow[bucket] for bucket in buckets),
            latest=sum(self._rates.fast[bucket] for bucket in buckets),
            keys=high - low + 1,
        )

    def hottest(self, donor: Share) -> Piece | None:
        """Return a server's busiest bucket."""
        rates = self._rates_of(donor)
        return max(
            (
                _piece(key_range, bucket, bucket, rates[bucket])
                for key_range in donor.ranges
                for bucket in self._buckets_in(key_range.low, key_range.high)
            ),
            default=None,
            key=lambda piece: (piece.rate, piece.low),
        )

    def end(self, donor: Share, wanted: float) -> Piece | None:
        """Return an end of a range with about a wanted load.

        It leaves fewer ranges than a piece of the middle.
        """
        best: Piece | None = None
        for key_range in donor.ranges:
            for is_low in (True, False):
                piece = self._end_of(key_range, wanted, is_low=is_low)
                if piece is not None and (best is None or piece.rate > best.rate):
                    best = piece
        return best if best is not None and best.rate >= wanted * LEAST_END else None

    def part(self, donor: Share, wanted: float) -> Piece | None:
        """Return neighbouring keys with about a wanted load, around the busiest bucket of it."""
        rates = self._rates_of(donor)
        best: tuple[float, int, KeyRange] | None = None
        for key_range in donor.ranges:
            for bucket in self._buckets_in(key_range.low, key_range.high):
                rate = rates[bucket]
                if rate <= wanted and (best is None or rate > best[0]):
                    best = (rate, bucket, key_range)
        if best is None:
            return None
        _, bucket, source = best
        first, last, rate = _widened(rates, source, bucket, wanted)
        return _piece(source, first, last, rate) if rate >= wanted * LEAST_PART else None

    def _end_of(self, key_range: KeyRange, wanted: float, *, is_low: bool) -> Piece | None:
        buckets = self._buckets_in(key_range.low, key_range.high)
        rate, last = 0.0, -1
        for bucket in buckets if is_low else reversed(buckets):
            if rate + self._rates.slow[bucket] > wanted:
                break
            rate += self._rates.slow[bucket]
            last = bucket
        if last < 0:
            return None
        if is_low:
            return _piece(key_range, key_range.low // BUCKET_KEYS, last, rate)
        return _piece(key_range, last, key_range.high // BUCKET_KEYS, rate)

    def _rates_of(self, donor: Share) -> dict[int, float]:
        return self._rates.fast if donor.is_hot else self._rates.slow

    def _buckets_in(self, low: int, high: int) -> list[int]:
        """Return the buckets whose first key lies in a range."""
        first = bisect_left(self._buckets, -(-low // BUCKET_KEYS))
        last = bisect_right(self._buckets, high // BUCKET_KEYS)
        return self._buckets[first:last]


def _piece(source: KeyRange, first: int, last: int, rate: float) -> Piece:
    """Return the keys of a range from one bucket to another, both included."""
    return Piece(
        source=source,
        low=max(source.low, first * BUCKET_KEYS),
        high=min(source.high, last * BUCKET_KEYS + BUCKET_KEYS - 1),
        rate=rate,
    )


def _widened(
    rates: dict[int, float], source: KeyRange, bucket: int, wanted: float
) -> tuple[int, int, float]:
    """Return the buckets around one that together stay under a rate, and their rate."""
    start, end = source.low // BUCKET_KEYS, source.high // BUCKET_KEYS
    first = last = bucket
    rate = rates[bucket]
    while last < end and rate + rates.get(last + 1, 0.0) <= wanted:
        last += 1
        rate += rates.get(last, 0.0)
    while first > start and rate + rates.get(first - 1, 0.0) <= wanted:
        first -= 1
        rate += rates.get(first, 0.0)
    return _trimmed(rates, first, last, rate)


def _trimmed(rates: dict[int, float], first: int, last: int, rate: float) -> tuple[int, int, float]:
    """Leave out buckets at both ends that bring nothing, as each key that moves costs."""
    while first < last and rates.get(first, 0.0) == 0.0:
        first += 1
    while first < last and rates.get(last, 0.0) == 0.0:
        last -= 1
    return first, last, rate
