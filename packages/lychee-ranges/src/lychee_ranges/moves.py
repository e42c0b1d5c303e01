"""Moves of keys between servers, those under way, and the ranges of a first split."""

from bisect import bisect_right
from dataclasses import dataclass

from msgspec.structs import replace

from lychee_ranges.loads import BUCKET_KEYS
from lychee_ranges.table import KeyTable
from lychee_types.ids import Token
from lychee_types.registry import LAST_KEY, GrantPhase, KeyRange, RegisteredServer, ServerRun

NO_OWNER = "no owner"
"""Reason of a move of keys that nobody can serve now."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that may own keys.

    :param server: its record.
    :param pace_s: time that it works on a request, in seconds.
    """

    server: RegisteredServer
    pace_s: float

    @property
    def run(self) -> ServerRun:
        """Return its run."""
        return self.server.run

    @property
    def capacity(self) -> float:
        """Return the requests a second that it can work on."""
        return max(1, self.server.slots) / self.pace_s


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """Keys that should get another owner.

    :param keys: the keys and their present owner.
    :param to: the next owner.
    :param reason: why, for the log.
    """

    keys: KeyRange
    to: ServerRun
    reason: str


class PendingMoves:
    """Moves under way, in order of their keys; they never share keys.

    :param moves: the moves.
    """

    def __init__(self, *, moves: tuple[Move, ...]) -> None:
        self._moves = sorted(moves, key=lambda move: move.keys.low)
        self._lows = [move.keys.low for move in self._moves]

    def overlapping(self, key_range: KeyRange) -> list[Move]:
        """Return the moves that share keys with a range, in order of keys."""
        first = max(0, bisect_right(self._lows, key_range.low) - 1)
        last = bisect_right(self._lows, key_range.high)
        return [move for move in self._moves[first:last] if _overlap(move.keys, key_range)]


def first_split(candidates: tuple[Candidate, ...]) -> tuple[KeyRange, ...]:
    """Return ranges that give each server keys in proportion to its slots.

    :param candidates: the servers, at least one.
    """
    total = sum(max(1, candidate.server.slots) for candidate in candidates)
    ranges = []
    low = slots = 0
    for candidate in candidates:
        slots += max(1, candidate.server.slots)
        high = (LAST_KEY + 1) * slots // total // BUCKET_KEYS * BUCKET_KEYS - 1
        high = LAST_KEY if slots == total else high
        if high >= low:
            ranges.append(_granted(low, high, candidate.run))
            low = high + 1
    return tuple(ranges)


def _granted(low: int, high: int, run: ServerRun) -> KeyRange:
    return KeyRange(low=low, high=high, owner=run, phase=GrantPhase.GRANTING)


def mergeable(table: KeyTable, pending: tuple[Move, ...]) -> tuple[KeyRange, ...]:
    """Return neighbouring ranges of one owner as one, so that fewer grants need renewal.

    :param table: the ranges.
    :param pending: moves that are under way; their neighbours are left alone.
    """
    moving = PendingMoves(moves=pending)
    merged: list[KeyRange] = []
    run: list[KeyRange] = []
    for key_range in (*table.ranges, None):
        is_free = (
            key_range is not None
            and key_range.phase is GrantPhase.ACTIVE
            and not moving.overlapping(key_range)
        )
        if run and not (is_free and key_range is not None and key_range.owner == run[0].owner):
            if len(run) > 1:
                merged.append(replace(run[0], high=run[-1].high, token=Token(0)))
            run = []
        if is_free and key_range is not None:
            run.append(key_range)
    return tuple(merged)


def _overlap(left: KeyRange, right: KeyRange) -> bool:
    return left.low <= right.high and right.low <= left.high
