"""The key ranges of one service: lookup and replacement."""

from bisect import bisect_right
from collections.abc import Iterable

from msgspec.structs import replace

from lychee_types.exceptions import require
from lychee_types.registry import LAST_KEY, GrantPhase, KeyRange, ServerIncarnation

_WHOLE = KeyRange(low=0, high=LAST_KEY)


class KeyTable:
    """All key ranges of one service, in order of keys and without gaps.

    :param ranges: the ranges; empty for a service whose keys have had no owner yet.
    """

    def __init__(self, *, ranges: Iterable[KeyRange] = ()) -> None:
        self._ranges = list(ranges) or [_WHOLE]
        self._lows = [key_range.low for key_range in self._ranges]
        self._by_owner: dict[ServerIncarnation, list[KeyRange]] | None = None
        _check(self._ranges, low=0, high=LAST_KEY)

    def owned_by(self, owner: ServerIncarnation) -> tuple[KeyRange, ...]:
        """Return the ranges of one owner in order of keys."""
        if self._by_owner is None:
            self._by_owner = _group_by_owner(self._ranges)
        return tuple(self._by_owner.get(owner, ()))

    @property
    def ranges(self) -> tuple[KeyRange, ...]:
        """Return all ranges in order of keys."""
        return tuple(self._ranges)

    def find(self, key: int) -> KeyRange:
        """Return the range of a key.

        :param key: from 0 to :data:`~lychee_types.registry.LAST_KEY`.
        """
        return self._ranges[bisect_right(self._lows, key) - 1]

    def overlapping(self, low: int, high: int) -> tuple[KeyRange, ...]:
        """Return the ranges that share keys with ``low`` to ``high``, both included."""
        first = bisect_right(self._lows, low) - 1
        last = bisect_right(self._lows, high)
        return tuple(self._ranges[first:last])

    def put(self, new: Iterable[KeyRange]) -> None:
        """Replace the ranges of some keys; ranges that overlap partly keep their other keys.

        Apart from shifting list items, the cost grows with the number of changed ranges only.

        :param new: the new ranges; they must not overlap each other.
        """
        self._by_owner = None
        for key_range in new:
            self._put_one(key_range)

    def _put_one(self, new: KeyRange) -> None:
        first = bisect_right(self._lows, new.low) - 1
        last = bisect_right(self._lows, new.high) - 1
        # The neighbours are included because they may be joined with the new range.
        start, end = max(0, first - 1), min(len(self._ranges), last + 2)
        changed = _joined(_cut(self._ranges[start:end], new))
        _check(changed, low=self._ranges[start].low, high=self._ranges[end - 1].high)
        self._ranges[start:end] = changed
        self._lows[start:end] = [key_range.low for key_range in changed]


def _group_by_owner(ranges: list[KeyRange]) -> dict[ServerIncarnation, list[KeyRange]]:
    groups: dict[ServerIncarnation, list[KeyRange]] = {}
    for key_range in ranges:
        if key_range.owner is not None:
            groups.setdefault(key_range.owner, []).append(key_range)
    return groups


def _check(ranges: list[KeyRange], *, low: int, high: int) -> None:
    expected = low
    for key_range in ranges:
        require(key_range.low == expected, "ranges follow each other without gaps")
        require(key_range.high >= key_range.low, "a range has a key")
        expected = key_range.high + 1
    require(expected == high + 1, "ranges cover all keys")


def _cut(ranges: list[KeyRange], new: KeyRange) -> list[KeyRange]:
    """Return the ranges with a new one in place of those that had its keys."""
    before: list[KeyRange] = []
    after: list[KeyRange] = []
    for old in ranges:
        if old.low < new.low:
            before.append(replace(old, high=min(old.high, new.low - 1)))
        if old.high > new.high:
            after.append(replace(old, low=max(old.low, new.high + 1)))
    return [*before, new, *after]


def _joined(ranges: list[KeyRange]) -> list[KeyRange]:
    """Join adjacent ranges with the same owner and token, so that one grant renews them."""
    joined = ranges[:1]
    for key_range in ranges[1:]:
        if _is_one_grant(joined[-1], key_range):
            joined[-1] = replace(joined[-1], high=key_range.high)
        else:
            joined.append(key_range)
    return joined


def _is_one_grant(left: KeyRange, right: KeyRange) -> bool:
    if left.phase is not right.phase or left.phase is GrantPhase.RELEASING:
        return False
    return (left.owner, left.token, left.handover) == (right.owner, right.token, right.handover)
