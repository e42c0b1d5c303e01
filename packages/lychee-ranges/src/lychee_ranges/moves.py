"""Moves of keys between servers, the first split of a service's keys, and merging of ranges."""

from bisect import bisect_right
from dataclasses import dataclass

from msgspec.structs import replace

from lychee_ranges.loads import BUCKET_KEYS
from lychee_ranges.table import KeyTable
from lychee_types.ids import Token
from lychee_types.registry import (
    LAST_KEY,
    GrantPhase,
    KeyRange,
    RegisteredServer,
    ServerIncarnation,
)

MIN_CAPACITY_PER_S = 0.1
"""Capacity of a server whose rate limit is lower, in requests per second."""

NO_OWNER = "no owner"
"""Reason of a move of keys that no server can serve now."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that may own keys.

    :param server: its record.
    :param service_time_s: mean time that it takes to serve a request, in seconds.
    :param limit_per_s: its rate limit in requests per second, None if it has none.
    :param is_cold: whether it gets keys in steps, and only as many as it can serve.
    """

    server: RegisteredServer
    service_time_s: float
    limit_per_s: float | None = None
    is_cold: bool = False

    @property
    def run(self) -> ServerIncarnation:
        """Return the server's id and incarnation."""
        return self.server.run

    @property
    def capacity(self) -> float:
        """Return the requests per second that the server can serve, up to its rate limit."""
        slots_per_s = max(1, self.server.slots) / self.service_time_s
        if self.limit_per_s is None:
            return slots_per_s
        return min(slots_per_s, max(MIN_CAPACITY_PER_S, self.limit_per_s))


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """A change of the owner of adjacent keys.

    :param keys: the keys with their present owner.
    :param new_owner: the server incarnation that becomes the owner.
    :param reason: cause of the move, for the log.
    """

    keys: KeyRange
    new_owner: ServerIncarnation
    reason: str


class PendingMoves:
    """Moves in progress, in order of their keys.

    :param moves: the moves; no two of them share a key.
    """

    def __init__(self, *, moves: tuple[Move, ...]) -> None:
        self._moves = sorted(moves, key=lambda move: move.keys.low)
        self._lows = [move.keys.low for move in self._moves]

    def is_receiver(self, incarnation: ServerIncarnation) -> bool:
        """Return whether keys are moving to a server."""
        return any(move.new_owner == incarnation for move in self._moves)

    def overlapping(self, key_range: KeyRange) -> list[Move]:
        """Return the moves that share keys with a range, in order of their keys."""
        first = max(0, bisect_right(self._lows, key_range.low) - 1)
        last = bisect_right(self._lows, key_range.high)
        return [move for move in self._moves[first:last] if _overlap(move.keys, key_range)]


def first_split(candidates: tuple[Candidate, ...]) -> tuple[KeyRange, ...]:
    """Split all keys among servers in proportion to their slots; cold ones get keys later.

    :param candidates: the servers, at least one.
    """
    candidates = tuple(item for item in candidates if not item.is_cold) or candidates
    total = sum(max(1, candidate.server.slots) for candidate in candidates)
    ranges = []
    low = slots = 0
    for candidate in candidates:
        slots += max(1, candidate.server.slots)
        high = (LAST_KEY + 1) * slots // total // BUCKET_KEYS * BUCKET_KEYS - 1
        high = LAST_KEY if slots == total else high
        if high >= low:
            ranges.append(_granting_range(low, high, candidate.run))
            low = high + 1
    return tuple(ranges)


def _granting_range(low: int, high: int, incarnation: ServerIncarnation) -> KeyRange:
    return KeyRange(low=low, high=high, owner=incarnation, phase=GrantPhase.GRANTING)


def mergeable_ranges(table: KeyTable, pending: tuple[Move, ...]) -> tuple[KeyRange, ...]:
    """Return the merged ranges for adjacent ranges of one owner, so that fewer grants are renewed.

    Each merged range has no token yet, so the state machine assigns a new one.

    :param table: the ranges.
    :param pending: moves in progress; ranges that share keys with them are not merged.
    """
    moving = PendingMoves(moves=pending)
    merged: list[KeyRange] = []
    adjacent: list[KeyRange] = []
    for key_range in (*table.ranges, None):
        is_mergeable = (
            key_range is not None
            and key_range.phase is GrantPhase.ACTIVE
            and not moving.overlapping(key_range)
        )
        if adjacent and not (
            is_mergeable and key_range is not None and key_range.owner == adjacent[0].owner
        ):
            if len(adjacent) > 1:
                merged.append(replace(adjacent[0], high=adjacent[-1].high, token=Token(0)))
            adjacent = []
        if is_mergeable and key_range is not None:
            adjacent.append(key_range)
    return tuple(merged)


def _overlap(left: KeyRange, right: KeyRange) -> bool:
    return left.low <= right.high and right.low <= left.high
