"""Which keys should go to which server: lost owners, newcomers, hot keys."""

from msgspec.structs import replace

from lychee_ranges.loads import BUCKET_KEYS, BucketRates
from lychee_ranges.moves import NO_OWNER, Candidate, Move, PendingMoves
from lychee_ranges.pieces import Piece, RatedKeys
from lychee_ranges.share import ROOM, Share, evening_load
from lychee_ranges.table import KeyTable
from lychee_types.registry import LAST_KEY, GrantPhase, KeyRange

BUSY = 0.7
"""Use of a server's slots from which keys are moved away without delay."""

GAIN_S = 0.02
"""Least difference of response times for which keys move, in seconds."""

GAIN_SHARE = 0.25
"""Least difference of response times for which a busy server's keys move, as a part of its own."""

CALM_GAIN_SHARE = 0.45
"""The same for a server that is not busy: paces are measured with errors of a fifth."""

FASTER = 1.15
"""How much more a server must be able to do to be given a key that another cannot serve."""

NEWCOMER_SHARE = 0.5
"""Part of the usual server's keys that a newcomer gets at first."""


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
        self._keys = RatedKeys(rates=rates)
        self._pending = PendingMoves(moves=pending)
        self._shares = {candidate.run: Share(candidate=candidate) for candidate in candidates}
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
        self._homeless.sort(key=lambda item: self._keys.load(item.low, item.high).steady)
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
                share.add(self._keys.load(first, last))
            low = last + 1
        if low <= key_range.high:
            self._place_rest(replace(key_range, low=low))

    def _place_rest(self, key_range: KeyRange) -> None:
        share = self._shares.get(key_range.owner) if key_range.owner is not None else None
        if share is None or key_range.phase is GrantPhase.RELEASING:
            # Nobody holds it for long, or a former leader had begun to move it.
            self._homeless.append(key_range)
            return
        share.add(self._keys.load(key_range.low, key_range.high))
        if key_range.phase is GrantPhase.ACTIVE:
            share.ranges.append(key_range)

    def _house(self, key_range: KeyRange) -> Move:
        load = self._keys.load(key_range.low, key_range.high)
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
        low = source.high - size + 1
        rate = self._keys.load(low, source.high).steady
        piece = Piece(source=source, low=low, high=source.high, rate=rate)
        return self._take(donor, empty, piece, "newcomer")

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

    def _relieve_one(self, donor: Share, *, is_calm: bool) -> Move | None:
        hot = self._hand_over_hottest(donor)
        if hot is not None:
            return hot
        takers = [share for share in self._shares.values() if share is not donor]
        takers = [share for share in takers if share.use < ROOM]
        if not takers:
            return None
        step = donor.rate / 4
        taker = min(takers, key=lambda share: share.response_s(min(step, share.room)))
        wanted = evening_load(donor, taker)
        gain_s = donor.response_s() - taker.response_s(wanted)
        least = CALM_GAIN_SHARE if is_calm else GAIN_SHARE
        if gain_s < max(GAIN_S, least * donor.response_s()):
            return None
        piece = None if donor.is_hot else self._keys.end(donor, wanted)
        piece = piece or self._keys.part(donor, wanted)
        return self._take(donor, taker, piece, "load") if piece is not None else None

    def _hand_over_hottest(self, donor: Share) -> Move | None:
        """Give a key that alone is too much for its owner to a server that can do more."""
        hottest = self._keys.hottest(donor)
        if hottest is None or hottest.rate < BUSY * donor.candidate.capacity:
            return None
        best = max(self._shares.values(), key=lambda share: share.candidate.capacity)
        if best.candidate.capacity < FASTER * donor.candidate.capacity:
            return None
        return self._take(donor, best, hottest, "hot key")

    def _take(self, donor: Share, taker: Share, piece: Piece, reason: str) -> Move:
        source, low, high = piece.source, piece.low, piece.high
        load = self._keys.load(low, high)
        donor.add(load, -1)
        taker.add(load)
        donor.ranges.remove(source)
        if source.low < low:
            donor.ranges.append(replace(source, high=low - 1))
        if high < source.high:
            donor.ranges.append(replace(source, low=high + 1))
        keys = replace(source, low=low, high=high)
        return Move(keys=keys, to=taker.candidate.run, reason=reason)
