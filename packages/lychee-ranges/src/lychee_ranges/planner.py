"""Which keys should go to which server: the first split, lost owners, newcomers, hot keys."""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from math import sqrt

from msgspec.structs import replace

from lychee_ranges.loads import BUCKET_KEYS, FAST_S, BucketRates
from lychee_ranges.table import KeyTable
from lychee_types.ids import Token
from lychee_types.registry import LAST_KEY, GrantPhase, KeyRange, RegisteredServer, ServerRun

FULL = 0.9
"""Use of a server's slots from which its queue is taken to grow with each request."""

ROOM = 0.6
"""Use of a server's slots up to which it is given more keys."""

BUSY = 0.7
"""Use of a server's slots from which keys are moved away without delay."""

OVERLOAD_S = 5.0
"""Response time added for each unit of use beyond :data:`FULL`, in seconds."""

GAIN_S = 0.02
"""Least difference of response times for which keys move, in seconds."""

GAIN_SHARE = 0.25
"""Least difference of response times for which a busy server's keys move, as a part of its own."""

CALM_GAIN_SHARE = 0.45
"""The same for a server that is not busy: paces are measured with errors of a fifth."""

FASTER = 1.15
"""How much more a server must be able to do to be given a key that another cannot serve."""

CHANCE = 1.5
"""Standard deviations that the latest rate must lie above to be no chance."""

LEAST_END = 0.5
"""Least part of the wanted load for which the end of a range is moved rather than its middle."""

LEAST_PART = 0.15
"""Least part of the wanted load for which a move is worth its cost."""

NO_OWNER = "no owner"
"""Reason of a move of keys that nobody can serve now."""

HALVINGS = 12
"""Steps of a search by halving."""

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
    """What one server has and gets while a plan is made.

    ``steady`` and ``latest`` are requests a second.
    """

    candidate: Candidate
    steady: float = 0.0
    latest: float = 0.0
    keys: int = 0
    ranges: list[KeyRange] = field(default_factory=list)

    @property
    def is_hot(self) -> bool:
        """Return whether the latest requests are more than chance makes of the steady ones."""
        return self._latest_sure > self.steady

    @property
    def rate(self) -> float:
        return max(0.0, self.steady, self._latest_sure)

    @property
    def use(self) -> float:
        return self.rate / self.candidate.capacity

    def response_s(self, more: float = 0.0) -> float:
        """Return the time to an answer if its rate changed by so many requests a second.

        Sakasegawa's approximation for a queue with several servers.
        """
        slots = max(1, self.candidate.server.slots)
        use = max(0.0, self.rate + more) / self.candidate.capacity
        bound = min(use, FULL)
        queue: float = bound ** sqrt(2 * (slots + 1)) / (slots * (1 - bound))
        return self.candidate.pace_s * (1 + queue) + OVERLOAD_S * max(0.0, use - FULL)

    @property
    def _latest_sure(self) -> float:
        counted = max(0.0, self.latest) * FAST_S
        return max(0.0, counted - CHANCE * sqrt(counted)) / FAST_S

    def add(self, load: "_Load", sign: int = 1) -> None:
        self.steady += sign * load.steady
        self.latest += sign * load.latest
        self.keys += sign * load.keys


@dataclass(frozen=True, kw_only=True, slots=True)
class _Load:
    steady: float
    latest: float
    keys: int


class _Pending:
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


class Plan:
    """One look at a service's keys.

    :param table: its ranges.
    :param candidates: servers that may own keys.
    :param rates: requests by bucket.
    :param pending: moves that are under way; their keys count for their next owners.
    """

    def __init__(
        self,
        *,
        table: KeyTable,
        candidates: tuple[Candidate, ...],
        rates: BucketRates,
        pending: tuple[Move, ...] = (),
    ) -> None:
        self._rates = rates
        self._buckets = sorted(rates.slow)
        self._pending = _Pending(moves=pending)
        self._shares = {candidate.run: _Share(candidate=candidate) for candidate in candidates}
        self._homeless: list[KeyRange] = []
        for key_range in table.ranges:
            self._place(key_range)

    def moves(self, limit: int, *, calm_limit: int, house_limit: int) -> tuple[Move, ...]:
        """Return the moves to begin now, the most urgent first.

        :param limit: most moves of keys that are served.
        :param calm_limit: most moves among them that only make answers faster.
        :param house_limit: most moves of keys that nobody can serve now.
        """
        if not self._shares:
            return ()
        found: list[Move] = []
        self._homeless.sort(key=lambda item: self._load(item.low, item.high).steady)
        while self._homeless and len(found) < house_limit:
            found.append(self._house(self._homeless.pop()))
        limit += len(found)
        calm = 0
        while len(found) < limit:
            move = self._seat_newcomer() or self._relieve(is_calm=False)
            if move is None and calm < calm_limit:
                calm += 1
                move = self._relieve(is_calm=True)
            if move is None:
                break
            found.append(move)
        return tuple(found)

    def _place(self, key_range: KeyRange) -> None:
        """Count a range for its owner, and what moves of it for the next one."""
        low = key_range.low
        for move in self._pending.overlapping(key_range):
            first, last = max(low, move.keys.low), min(key_range.high, move.keys.high)
            if low < first:
                self._place_rest(replace(key_range, low=low, high=first - 1))
            share = self._shares.get(move.to)
            if share is not None:
                share.add(self._load(first, last))
            low = last + 1
        if low <= key_range.high:
            self._place_rest(replace(key_range, low=low))

    def _place_rest(self, key_range: KeyRange) -> None:
        share = self._shares.get(key_range.owner) if key_range.owner is not None else None
        if share is None or key_range.phase is GrantPhase.RELEASING:
            # Nobody holds it for long, or a former leader had begun to move it.
            self._homeless.append(key_range)
            return
        share.add(self._load(key_range.low, key_range.high))
        if key_range.phase is GrantPhase.ACTIVE:
            share.ranges.append(key_range)

    def _load(self, low: int, high: int) -> _Load:
        buckets = self._buckets_in(low, high)
        return _Load(
            steady=sum(self._rates.slow[bucket] for bucket in buckets),
            latest=sum(self._rates.fast[bucket] for bucket in buckets),
            keys=high - low + 1,
        )

    def _buckets_in(self, low: int, high: int) -> list[int]:
        """Return the buckets whose first key lies in a range."""
        first = bisect_left(self._buckets, -(-low // BUCKET_KEYS))
        last = bisect_right(self._buckets, high // BUCKET_KEYS)
        return self._buckets[first:last]

    def _house(self, key_range: KeyRange) -> Move:
        load = self._load(key_range.low, key_range.high)
        best = min(
            self._shares.values(),
            key=lambda share: (
                (max(share.steady, share.latest) + load.steady) / share.candidate.capacity,
                share.keys,
            ),
        )
        best.add(load)
        return Move(keys=key_range, to=best.candidate.run, reason=NO_OWNER)

    def _seat_newcomer(self) -> Move | None:
        """Give a server without keys a part of the one that has most."""
        empty = next((share for share in self._shares.values() if share.keys == 0), None)
        donors = [share for share in self._shares.values() if share.ranges]
        if empty is None or not donors:
            return None
        donor = max(donors, key=lambda share: (share.use, share.keys))
        source = max(donor.ranges, key=lambda key_range: key_range.size)
        usual = (LAST_KEY + 1) / len(self._shares)
        size = int(min(source.size / 2, usual * NEWCOMER_SHARE)) // BUCKET_KEYS * BUCKET_KEYS
        if size == 0:
            return None
        return self._take(donor, empty, source, source.high - size + 1, source.high, "newcomer")

    def _relieve(self, *, is_calm: bool) -> Move | None:
        """Move load from the slowest server to the one that would answer soonest."""
        donors = [
            share
            for share in self._shares.values()
            if share.ranges and share.rate > 0 and (is_calm or share.use >= BUSY)
        ]
        donors.sort(key=lambda share: -share.response_s())
        for donor in donors[:3]:
            move = self._relieve_one(donor, is_calm=is_calm)
            if move is not None:
                return move
        return None

    def _relieve_one(self, donor: _Share, *, is_calm: bool) -> Move | None:
        hot = self._hand_over_hottest(donor)
        if hot is not None:
            return hot
        takers = [share for share in self._shares.values() if share is not donor]
        takers = [share for share in takers if share.use < ROOM]
        if not takers:
            return None
        step = donor.rate / 4
        taker = min(takers, key=lambda share: share.response_s(min(step, _room(share))))
        wanted = _wanted(donor, taker)
        gain_s = donor.response_s() - taker.response_s(wanted)
        least = CALM_GAIN_SHARE if is_calm else GAIN_SHARE
        if gain_s < max(GAIN_S, least * donor.response_s()):
            return None
        return self._cut_off(donor, taker, wanted) or self._cut_out(donor, taker, wanted)

    def _cut_off(self, donor: _Share, taker: _Share, wanted: float) -> Move | None:
        """Move an end of a range, which leaves fewer ranges than a piece of its middle."""
        if donor.is_hot:
            return None
        best: tuple[float, int, int, KeyRange] | None = None
        for key_range in donor.ranges:
            buckets = self._buckets_in(key_range.low, key_range.high)
            for is_low, ordered in ((True, buckets), (False, buckets[::-1])):
                rate, last = 0.0, -1
                for bucket in ordered:
                    if rate + self._rates.slow[bucket] > wanted:
                        break
                    rate += self._rates.slow[bucket]
                    last = bucket
                low = key_range.low if is_low else last * BUCKET_KEYS
                high = last * BUCKET_KEYS + BUCKET_KEYS - 1 if is_low else key_range.high
                if last >= 0 and (best is None or rate > best[0]):
                    best = (rate, max(low, key_range.low), min(high, key_range.high), key_range)
        if best is None or best[0] < wanted * LEAST_END:
            return None
        _, low, high, source = best
        return self._take(donor, taker, source, low, high, "load")

    def _hand_over_hottest(self, donor: _Share) -> Move | None:
        """Give a key that alone is too much for its owner to a server that can do more."""
        rates = self._rates.fast if donor.is_hot else self._rates.slow
        hottest = max(
            (
                (rates[bucket], bucket, key_range)
                for key_range in donor.ranges
                for bucket in self._buckets_in(key_range.low, key_range.high)
            ),
            default=None,
            key=lambda item: item[:2],
        )
        if hottest is None or hottest[0] < BUSY * donor.candidate.capacity:
            return None
        best = max(self._shares.values(), key=lambda share: share.candidate.capacity)
        if best.candidate.capacity < FASTER * donor.candidate.capacity:
            return None
        _, bucket, source = hottest
        low = max(source.low, bucket * BUCKET_KEYS)
        high = min(source.high, bucket * BUCKET_KEYS + BUCKET_KEYS - 1)
        return self._take(donor, best, source, low, high, "hot key")

    def _cut_out(self, donor: _Share, taker: _Share, wanted: float) -> Move | None:
        """Move neighbouring keys of about a wanted rate, around the donor's busiest bucket."""
        rates = self._rates.fast if donor.is_hot else self._rates.slow
        best: tuple[float, int, KeyRange] | None = None
        for key_range in donor.ranges:
            for bucket in self._buckets_in(key_range.low, key_range.high):
                rate = rates[bucket]
                if rate <= wanted and (best is None or rate > best[0]):
                    best = (rate, bucket, key_range)
        if best is None:
            return None
        rate, bucket, source = best
        first, last, rate = _widened(rates, source, bucket, wanted)
        if rate < wanted * LEAST_PART:
            return None
        low = max(source.low, first * BUCKET_KEYS)
        high = min(source.high, last * BUCKET_KEYS + BUCKET_KEYS - 1)
        return self._take(donor, taker, source, low, high, "load")

    def _take(
        self, donor: _Share, taker: _Share, source: KeyRange, low: int, high: int, reason: str
    ) -> Move:
        load = self._load(low, high)
        donor.add(load, -1)
        taker.add(load)
        donor.ranges.remove(source)
        if source.low < low:
            donor.ranges.append(replace(source, high=low - 1))
        if high < source.high:
            donor.ranges.append(replace(source, low=high + 1))
        keys = replace(source, low=low, high=high)
        return Move(keys=keys, to=taker.candidate.run, reason=reason)


def _room(share: _Share) -> float:
    """Return the requests a second that a server may be given."""
    return max(0.0, ROOM * share.candidate.capacity - share.rate)


def _wanted(donor: _Share, taker: _Share) -> float:
    """Return the load whose move has both answer about equally soon, requests a second."""
    low, high = 0.0, min(donor.rate, _room(taker))
    for _ in range(HALVINGS):
        middle = (low + high) / 2
        if donor.response_s(-middle) > taker.response_s(middle):
            low = middle
        else:
            high = middle
    return high


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


def mergeable(table: KeyTable, pending: tuple[Move, ...]) -> tuple[KeyRange, ...]:
    """Return neighbouring ranges of one owner as one, so that fewer grants need renewal.

    :param table: the ranges.
    :param pending: moves that are under way; their neighbours are left alone.
    """
    moving = _Pending(moves=pending)
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
