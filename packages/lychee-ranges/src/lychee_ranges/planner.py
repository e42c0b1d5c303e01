"""Plans which keys move to which server: unowned keys, servers without keys, load, hot keys."""

from msgspec.structs import replace

from lychee_ranges.loads import BUCKET_KEYS, BucketRates
from lychee_ranges.moves import NO_OWNER, Candidate, Move, PendingMoves
from lychee_ranges.server_ranges import MAX_RECEIVER_UTILIZATION, ServerRanges, balancing_rate
from lychee_ranges.sub_ranges import RangeLoads, SubRange
from lychee_ranges.table import KeyTable
from lychee_types.registry import LAST_KEY, GrantPhase, KeyRange, ServerIncarnation

BUSY_UTILIZATION = 0.7
"""Slot utilization from which a server is busy and its keys are moved away without delay."""

MIN_GAIN_S = 0.02
"""Minimum difference of the two servers' response times for which keys move, in seconds."""

MIN_GAIN_FRACTION = 0.25
"""Minimum difference for which keys of a busy server move, as a fraction of its response time."""

MIN_OPTIONAL_GAIN_FRACTION = 0.45
"""The same for a server that is not busy; high, as service times are accurate to about a fifth."""

MIN_CAPACITY_RATIO = 1.15
"""Minimum ratio of capacities for which an overloaded key moves to a server with a higher one."""

EMPTY_SERVER_FRACTION = 0.5
"""Fraction of the mean number of keys per server that a server without keys gets first."""


COLD_STEP_FRACTION = 0.5
"""Fraction of the rate that a cold server can still be given that moves to it in one step."""


MIN_COLD_STEP_PER_S = 0.1
"""Minimum rate of the keys that move to a cold server in one step, in requests per second."""


class MovePlanner:
    """Plans moves from a snapshot of a service's ranges and load.

    Planned moves are counted as done, so later calls build on earlier ones.

    :param table: the service's ranges.
    :param candidates: servers that may own keys.
    :param rates: request rates by bucket.
    :param pending: moves in progress; their keys count towards their new owners.
    """

    def __init__(
        self,
        *,
        table: KeyTable,
        candidates: tuple[Candidate, ...],
        rates: BucketRates,
        pending: tuple[Move, ...] = (),
    ) -> None:
        self._range_loads = RangeLoads(rates=rates)
        self._pending = PendingMoves(moves=pending)
        self._servers = {
            candidate.run: ServerRanges(candidate=candidate) for candidate in candidates
        }
        self._unowned: list[KeyRange] = []
        self._stepped: set[ServerIncarnation] = set()
        for key_range in table.ranges:
            self._count(key_range)

    def plan_moves(
        self, limit: int, *, optional_limit: int, unowned_limit: int
    ) -> tuple[Move, ...]:
        """Return the moves to start now, the most urgent first.

        :param limit: maximum number of moves of keys that have a serving owner.
        :param optional_limit: maximum number of these from servers that are not busy; they only
            reduce response times.
        :param unowned_limit: maximum number of moves of keys that no server can serve now.
        """
        if not self._servers:
            return ()
        moves: list[Move] = []
        self._unowned.sort(key=lambda item: self._range_loads.load(item.low, item.high).steady)
        while self._unowned and len(moves) < unowned_limit:
            moves.append(self._assign_unowned(self._unowned.pop()))
        limit += len(moves)
        optional = 0
        while len(moves) < limit:
            move = self._fill_empty_server() or self._move_load(is_optional=False)
            if move is None:
                move = self._fill_cold_server()
            if move is None and optional < optional_limit:
                optional += 1
                move = self._move_load(is_optional=True)
            if move is None:
                break
            moves.append(move)
        return tuple(moves)

    def _count(self, key_range: KeyRange) -> None:
        """Count a range's load for its owner, and the parts in pending moves for the new owners."""
        low = key_range.low
        for move in self._pending.overlapping(key_range):
            first, last = max(low, move.keys.low), min(key_range.high, move.keys.high)
            if low < first:
                self._count_unmoved(replace(key_range, low=low, high=first - 1))
            server = self._servers.get(move.new_owner)
            if server is not None:
                server.add(self._range_loads.load(first, last))
            low = last + 1
        if low <= key_range.high:
            self._count_unmoved(replace(key_range, low=low))

    def _count_unmoved(self, key_range: KeyRange) -> None:
        server = self._servers.get(key_range.owner) if key_range.owner is not None else None
        if server is None or key_range.phase is GrantPhase.RELEASING:
            # The range has no owner that can keep it, or a former leader started to move it.
            self._unowned.append(key_range)
            return
        server.add(self._range_loads.load(key_range.low, key_range.high))
        if key_range.phase is GrantPhase.ACTIVE:
            server.movable_ranges.append(key_range)

    def _assign_unowned(self, key_range: KeyRange) -> Move:
        load = self._range_loads.load(key_range.low, key_range.high)
        warm = [server for server in self._servers.values() if not server.candidate.is_cold]
        receiver = min(
            warm or self._servers.values(),
            key=lambda server: (
                (max(server.steady, server.latest) + load.steady) / server.candidate.capacity,
                server.keys,
            ),
        )
        receiver.add(load)
        return Move(keys=key_range, new_owner=receiver.candidate.run, reason=NO_OWNER)

    def _fill_empty_server(self) -> Move | None:
        """Move keys to a server that has none, from the server with the highest utilization."""
        empty = next(
            (
                server
                for server in self._servers.values()
                if server.keys == 0 and not server.candidate.is_cold
            ),
            None,
        )
        donors = [server for server in self._servers.values() if server.movable_ranges]
        if empty is None or not donors:
            return None
        donor = max(donors, key=lambda server: (server.utilization, server.keys))
        source = max(donor.movable_ranges, key=lambda key_range: key_range.size)
        mean = (LAST_KEY + 1) / len(self._servers)
        size = int(min(source.size / 2, mean * EMPTY_SERVER_FRACTION)) // BUCKET_KEYS * BUCKET_KEYS
        if size == 0:
            return None
        low = source.high - size + 1
        rate = self._range_loads.load(low, source.high).steady
        sub_range = SubRange(source=source, low=low, high=source.high, rate=rate)
        return self._record_move(donor, empty, sub_range, "newcomer")

    def _fill_cold_server(self) -> Move | None:
        """Move the end of a range to a cold server that has no keys in motion.

        Its load is known and a part of what the server can still be given, so that no hot key is
        among them and each step shows its effect before the next one.
        """
        warm = [
            server
            for server in self._servers.values()
            if server.movable_ranges and not server.candidate.is_cold
        ]
        for cold in self._servers.values():
            target_rate = cold.spare_rate * COLD_STEP_FRACTION
            if not cold.candidate.is_cold or target_rate < MIN_COLD_STEP_PER_S or not warm:
                continue
            run = cold.candidate.run
            if run in self._stepped or self._pending.is_receiver(run):
                continue
            donor = max(warm, key=lambda server: (server.utilization, server.keys))
            sub_range = self._range_loads.find_end(donor, target_rate)
            if sub_range is not None:
                self._stepped.add(run)
                return self._record_move(donor, cold, sub_range, "cold")
        return None

    def _move_load(self, *, is_optional: bool) -> Move | None:
        """Move load from one of the three slowest servers to the one that will respond fastest."""
        donors = [
            server
            for server in self._servers.values()
            if server.movable_ranges
            and server.rate > 0
            and (is_optional or server.utilization >= BUSY_UTILIZATION)
        ]
        donors.sort(key=lambda server: -server.response_s())
        for donor in donors[:3]:
            move = self._move_load_from(donor, is_optional=is_optional)
            if move is not None:
                return move
        return None

    def _move_load_from(self, donor: ServerRanges, *, is_optional: bool) -> Move | None:
        hot_key_move = self._move_hot_key(donor)
        if hot_key_move is not None:
            return hot_key_move
        receivers = [server for server in self._servers.values() if server is not donor]
        receivers = [
            server for server in receivers if server.utilization < MAX_RECEIVER_UTILIZATION
        ]
        if not receivers:
            return None
        receivers = [item for item in receivers if not item.candidate.is_cold] or receivers
        step = donor.rate / 4
        receiver = min(
            receivers, key=lambda server: server.response_s(min(step, server.spare_rate))
        )
        target_rate = balancing_rate(donor, receiver)
        gain_s = donor.response_s() - receiver.response_s(target_rate)
        min_fraction = MIN_OPTIONAL_GAIN_FRACTION if is_optional else MIN_GAIN_FRACTION
        if gain_s < max(MIN_GAIN_S, min_fraction * donor.response_s()):
            return None
        sub_range = None if donor.is_rising else self._range_loads.find_end(donor, target_rate)
        if not receiver.candidate.is_cold:
            sub_range = sub_range or self._range_loads.find_part(donor, target_rate)
        return (
            self._record_move(donor, receiver, sub_range, "load") if sub_range is not None else None
        )

    def _move_hot_key(self, donor: ServerRanges) -> Move | None:
        """Move a bucket that alone makes its owner busy to the server with the highest capacity."""
        hottest = self._range_loads.hottest_bucket(donor)
        if hottest is None or hottest.rate < BUSY_UTILIZATION * donor.candidate.capacity:
            return None
        receiver = max(self._servers.values(), key=lambda server: server.candidate.capacity)
        if receiver.candidate.capacity < MIN_CAPACITY_RATIO * donor.candidate.capacity:
            return None
        return self._record_move(donor, receiver, hottest, "hot key")

    def _record_move(
        self, donor: ServerRanges, receiver: ServerRanges, sub_range: SubRange, reason: str
    ) -> Move:
        source, low, high = sub_range.source, sub_range.low, sub_range.high
        load = self._range_loads.load(low, high)
        donor.add(load, -1)
        receiver.add(load)
        donor.movable_ranges.remove(source)
        if source.low < low:
            donor.movable_ranges.append(replace(source, high=low - 1))
        if high < source.high:
            donor.movable_ranges.append(replace(source, low=high + 1))
        keys = replace(source, low=low, high=high)
        return Move(keys=keys, new_owner=receiver.candidate.run, reason=reason)
