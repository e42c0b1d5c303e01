"""The key ranges of one service: look-up, and putting new ranges in place of old ones."""

from bisect import bisect_right
from collections.abc import Iterable

from msgspec.structs import replace

from lychee_types.exceptions import require
from lychee_types.registry import LAST_KEY, GrantPhase, KeyRange

_WHOLE = KeyRange(low=0, high=LAST_KEY)


class KeyTable:
    """All ranges of one service, in order of keys and without gaps.

    :param ranges: the ranges; empty for a service whose keys nobody has held yet.
    """

    def __init__(self, *, ranges: Iterable[KeyRange] = ()) -> None:
        self._ranges = tuple(ranges) or (_WHOLE,)
        self._lows = [key_range.low for key_range in self._ranges]
        self._check()

    @property
    def ranges(self) -> tuple[KeyRange, ...]:
        """Return all ranges."""
        return self._ranges

    def find(self, key: int) -> KeyRange:
        """Return the range of a key.

        :param key: from 0 to :data:`~lychee_types.registry.LAST_KEY`.
        """
        return self._ranges[bisect_right(self._lows, key) - 1]

    def overlapping(self, low: int, high: int) -> tuple[KeyRange, ...]:
        """Return the ranges that share keys with ``low`` to ``high``, both included."""
        first = bisect_right(self._lows, low) - 1
        last = bisect_right(self._lows, high)
        return self._ranges[first:last]

    def put(self, new: Iterable[KeyRange]) -> None:
        """Put ranges in place of what covered their keys; ranges that they cut keep their rest.

        :param new: ranges apart from each other.
        """
        ranges = list(self._ranges)
        for key_range in new:
            ranges = list(_cut(ranges, key_range))
        self._ranges = tuple(_joined(ranges))
        self._lows = [key_range.low for key_range in self._ranges]
        self._check()

    def _check(self) -> None:
        expected = 0
        for key_range in self._ranges:
            require(key_range.low == expected, "ranges follow each other without gaps")
            require(key_range.high >= key_range.low, "a range has a key")
            expected = key_range.high + 1
        require(expected == LAST_KEY + 1, "ranges cover all keys")


def _cut(ranges: list[KeyRange], new: KeyRange) -> Iterable[KeyRange]:
    is_placed = False
    for old in ranges:
        if old.high < new.low or old.low > new.high:
            if old.low > new.high and not is_placed:
                is_placed = True
                yield new
            yield old
            continue
        if old.low < new.low:
            yield replace(old, high=new.low - 1)
        if not is_placed:
            is_placed = True
            yield new
        if old.high > new.high:
            yield replace(old, low=new.high + 1)


def _joined(ranges: list[KeyRange]) -> Iterable[KeyRange]:
    """Join neighbours that one owner holds by one token, so that one grant renews both."""
    held: KeyRange | None = None
    for key_range in ranges:
        if held is not None and _is_one_grant(held, key_range):
            held = replace(held, high=key_range.high)
            continue
        if held is not None:
            yield held
        held = key_range
    if held is not None:
        yield held


def _is_one_grant(left: KeyRange, right: KeyRange) -> bool:
    if left.phase is not right.phase or left.phase is GrantPhase.RELEASING:
        return False
    return (left.owner, left.token, left.handover) == (right.owner, right.token, right.handover)
