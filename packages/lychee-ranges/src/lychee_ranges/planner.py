"""Which keys should go to which server: the first split, lost owners, newcomers, hot keys."""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

from lychee_ranges.loads import BUCKET_KEYS
from lychee_ranges.table import KeyTable
from lychee_types.registry import LAST_KEY, GrantPhase, KeyRange, RegisteredServer, ServerRun

BUSY = 0.45
"""Share of its slots in use from which a server hands keys over."""

GAP = 0.15
"""Least difference in use between two servers for which keys move."""

NEWCOMER_SHARE = 0.5
"""Part of the usual server's keys that a newcomer gets at first."""


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


@dataclass(kw_only=True, slots=True)
class _Share:
    """What one server has and gets while a plan is made."""

    candidate: Candidate
    rate: float = 0.0
    keys: int = 0
    ranges: list[KeyRange] = field(default_factory=list)

    @property
    def use(self) -> float:
        return self.rate / self.candidate.capacity


class Plan:
    """One look at a service's keys.

    :param table: its ranges.
    :param candidates: servers that may own keys.
    :param rates: requests a second by bucket.
    """

    def __init__(
        self, *, table: KeyTable, candidates: tuple[Candidate, ...], rates: dict[int, float]
    ) -> None:
        self._buckets = sorted(rates)
        self._rates = rates
        self._shares = {candidate.run: _Share(candidate=candidate) for candidate in candidates}
        self._homeless: list[KeyRange] = []
        for key_range in table.ranges:
            self._place(key_range)

    def moves(self, limit: int) -> tuple[Move, ...]:
        """Return the moves to begin now, the most urgent first.

        :param limit: most moves.
        """
        if not self._shares:
            return ()
        found: list[Move] = []
        while self._homeless and len(found) < limit:
            found.append(self._house(self._homeless.pop()))
        while len(found) < limit:
            move = self._seat_newcomer() or self._relieve()
            if move is None:
                break
            found.append(move)
        return tuple(found)

    def _place(self, key_range: KeyRange) -> None:
        share = self._shares.get(key_range.owner) if key_range.owner is not None else None
        if share is None:
            if key_range.phase is not GrantPhase.RELEASING:
                self._homeless.append(key_range)
            return
        share.rate += self._rate(key_range.low, key_range.high)
        share.keys += key_range.size
        if key_range.phase is GrantPhase.ACTIVE:
            share.ranges.append(key_range)

    def _rate(self, low: int, high: int) -> float:
        first = bisect_left(self._buckets, -(-low // BUCKET_KEYS))
        last = bisect_right(self._buckets, high // BUCKET_KEYS)
        return sum(self._rates[bucket] for bucket in self._buckets[first:last])

    def _house(self, key_range: KeyRange) -> Move:
        rate = self._rate(key_range.low, key_range.high)
        best = min(
            self._shares.values(),
            key=lambda share: ((share.rate + rate) / share.candidate.capacity, share.keys),
        )
        best.rate += rate
        best.keys += key_range.size
        return Move(keys=key_range, to=best.candidate.run, reason="no owner")

    def _seat_newcomer(self) -> Move | None:
        """Give a server without keys a part of the one that has most."""
        empty = next((share for share in self._shares.values() if share.keys == 0), None)
        if empty is None:
            return None
        donors = [share for share in self._shares.values() if share.ranges]
        if not donors:
            return None
        donor = max(donors, key=lambda share: (share.use, share.keys))
        source = max(donor.ranges, key=lambda key_range: key_range.size)
        usual = (LAST_KEY + 1) / len(self._shares)
        size = int(min(source.size / 2, usual * NEWCOMER_SHARE)) // BUCKET_KEYS * BUCKET_KEYS
        if size == 0:
            return None
        return self._take(donor, empty, source, source.high - size + 1, source.high, "newcomer")

    def _relieve(self) -> Move | None:
        """Move load from the most used server to the least used one, if that is worth it."""
        donors = [share for share in self._shares.values() if share.ranges]
        if len(self._shares) < 2 or not donors:
            return None
        donor = max(donors, key=lambda share: share.use)
        taker = min(self._shares.values(), key=lambda share: share.use)
        if donor.use < BUSY or donor.use - taker.use < GAP:
            return None
        capacity, room = donor.candidate.capacity, taker.candidate.capacity
        # Both are equally used once this much has moved.
        wanted = (donor.use - taker.use) * capacity * room / (capacity + room)
        return self._cut_out(donor, taker, wanted)

    def _cut_out(self, donor: _Share, taker: _Share, wanted: float) -> Move | None:
        """Move neighbouring keys of about a wanted rate, around the donor's busiest bucket."""
        best: tuple[float, int, KeyRange] | None = None
        for key_range in donor.ranges:
            for bucket in self._buckets_in(key_range):
                rate = self._rates[bucket]
                if rate <= wanted and (best is None or rate > best[0]):
                    best = (rate, bucket, key_range)
        if best is None:
            return None
        rate, bucket, source = best
        first, last = bucket, bucket
        final = source.high // BUCKET_KEYS
        while last < final and rate + self._rates.get(last + 1, 0.0) <= wanted:
            last += 1
            rate += self._rates.get(last, 0.0)
        start = -(-source.low // BUCKET_KEYS)
        while first > start and rate + self._rates.get(first - 1, 0.0) <= wanted:
            first -= 1
            rate += self._rates.get(first, 0.0)
        if rate < wanted * 0.1:
            return None
        low = source.low if first == start else first * BUCKET_KEYS
        high = source.high if last == final else last * BUCKET_KEYS + BUCKET_KEYS - 1
        return self._take(donor, taker, source, low, high, "load")

    def _buckets_in(self, key_range: KeyRange) -> list[int]:
        first = bisect_left(self._buckets, -(-key_range.low // BUCKET_KEYS))
        last = bisect_right(self._buckets, key_range.high // BUCKET_KEYS)
        return self._buckets[first:last]

    def _take(
        self, donor: _Share, taker: _Share, source: KeyRange, low: int, high: int, reason: str
    ) -> Move:
        rate = self._rate(low, high)
        keys = KeyRange(
            low=low, high=high, owner=source.owner, token=source.token, phase=source.phase
        )
        donor.rate -= rate
        donor.keys -= keys.size
        taker.rate += rate
        taker.keys += keys.size
        # A range that is cut once waits for the next plan before it is cut again.
        donor.ranges.remove(source)
        return Move(keys=keys, to=taker.candidate.run, reason=reason)
