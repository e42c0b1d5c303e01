"""Which hot keys are placed apart from their shard."""

from collections.abc import Collection
from dataclasses import dataclass

from lychee_owner.loads import KeyRate, LoadTracker
from lychee_owner.placement import OwnerTable
from lychee_owner.planner import capacity
from lychee_types.document import Service
from lychee_types.ids import KeyHash, ServerId, ServiceName
from lychee_types.records import ServerRecord

REVIEW_INTERVAL_S = 5.0
"""Interval in seconds between two decisions on the hot keys of a service."""

MAX_MOVES_PER_REVIEW = 2
"""Number of hot keys that one decision moves at most: the churn budget."""

MIN_GAIN = 0.03
"""Least drop of the busiest server's load, as a share of the mean load, that is worth a move."""

COLD_SHARE = 0.02
"""Share of the mean load of a server below which a key placed apart returns to its shard."""


@dataclass(kw_only=True, slots=True)
class ServerLoads:
    """Load of the servers of a service, in requests a second for a unit of capacity.

    :param rates: each server's requests a second.
    :param capacities: each server's capacity.
    """

    rates: dict[ServerId, float]
    capacities: dict[ServerId, float]

    def load(self, server: ServerId) -> float:
        """Return a server's load."""
        return self.rates[server] / self.capacities[server]

    @property
    def mean(self) -> float:
        """The load if it were even."""
        return sum(self.rates.values()) / sum(self.capacities.values())

    def most_loaded(self) -> ServerId:
        """Return the server with the highest load."""
        return max(self.rates, key=lambda server: (self.load(server), server))

    def least_loaded(self, rate: float) -> ServerId:
        """Return the server with the lowest load once a rate is added to it."""

        def after(server: ServerId) -> tuple[float, ServerId]:
            return (self.rates[server] + rate) / self.capacities[server], server

        return min(self.rates, key=after)

    def move(self, *, rate: float, source: ServerId, target: ServerId) -> None:
        """Count a rate to another server."""
        self.rates[source] -= rate
        self.rates[target] += rate


class HotKeyBalancer:
    """Decides on the keys of services that are placed apart from their shard.

    :param loads: load of servers and keys.
    """

    def __init__(self, *, loads: LoadTracker) -> None:
        self._loads = loads
        self._review_at: dict[ServiceName, float] = {}

    def choose(
        self,
        *,
        now: float,
        service: Service,
        table: OwnerTable,
        pins: Collection[KeyHash],
        servers: Collection[ServerRecord],
        is_settled: bool,
    ) -> dict[KeyHash, ServerId]:
        """Return the hot keys to place apart, with their owners.

        :param now: the leader's time in seconds.
        :param service: a keyed service.
        :param table: owners in the placement in force or under way.
        :param pins: keys that the document binds to a server.
        :param servers: the servers that may own keys.
        :param is_settled: whether a change may be made now.
        """
        limit = service.placement.hot_keys
        apart = table.placement.keys if limit else ()
        placed = {key.key: key.server for key in apart if key.key not in pins}
        due = now >= self._review_at.setdefault(service.name, now + REVIEW_INTERVAL_S)
        if not due or not is_settled or not limit:
            return placed
        self._review_at[service.name] = now + REVIEW_INTERVAL_S
        balance = self._balance(now=now, servers=servers)
        if len(balance.rates) < 2 or not balance.mean:
            return placed
        rates = self._loads.key_rates(now=now, service=service.name)
        hot = [hot_key for hot_key in rates if hot_key.key not in pins]
        placed = _without_coldest(placed=placed, hot=hot, balance=balance)
        return _rebalance(placed=placed, hot=hot, table=table, balance=balance, limit=limit)

    def _balance(self, *, now: float, servers: Collection[ServerRecord]) -> ServerLoads:
        return ServerLoads(
            rates={s.id: self._loads.response_rate(now=now, server=s.id) for s in servers},
            capacities={s.id: capacity(s) for s in servers},
        )


def _without_coldest(
    *,
    placed: dict[KeyHash, ServerId],
    hot: list[KeyRate],
    balance: ServerLoads,
) -> dict[KeyHash, ServerId]:
    """Return the keys placed apart without the coldest one that is cold."""
    rates = {hot_key.key: hot_key.rate for hot_key in hot}
    least = COLD_SHARE * balance.mean * sum(balance.capacities.values()) / len(balance.rates)
    cold = [key for key in placed if rates.get(key, 0.0) < least]
    if not cold:
        return placed
    coldest = min(cold, key=lambda key: (rates.get(key, 0.0), key))
    return {key: server for key, server in placed.items() if key != coldest}


def _rebalance(
    *,
    placed: dict[KeyHash, ServerId],
    hot: list[KeyRate],
    table: OwnerTable,
    balance: ServerLoads,
    limit: int,
) -> dict[KeyHash, ServerId]:
    """Return the keys placed apart once the busiest server has given up some of them."""
    placed = dict(placed)
    for _ in range(MAX_MOVES_PER_REVIEW):
        move = _best_move(placed=placed, hot=hot, table=table, balance=balance, limit=limit)
        if move is None:
            return placed
        placed[move.hot_key.key] = move.target
        balance.move(rate=move.hot_key.rate, source=move.source, target=move.target)
    return placed


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyMove:
    """A hot key to place elsewhere.

    :param found: the key and its rate.
    :param source: its owner.
    :param target: its next owner.
    :param load: the higher load of the two servers afterwards.
    """

    hot_key: KeyRate
    source: ServerId
    target: ServerId
    load: float


def _best_move(
    *,
    placed: dict[KeyHash, ServerId],
    hot: list[KeyRate],
    table: OwnerTable,
    balance: ServerLoads,
    limit: int,
) -> KeyMove | None:
    """Return the move of one key that lowers the busiest server's load the most."""
    source = balance.most_loaded()
    owned = [
        hot_key
        for hot_key in hot
        if placed.get(hot_key.key, table.owner_of_key_shard(hot_key.key)) == source
        and (hot_key.key in placed or len(placed) < limit)
    ]
    moves = [_move(hot_key=hot_key, source=source, balance=balance) for hot_key in owned]
    best = min(
        (move for move in moves if move.target != source),
        key=lambda move: (move.load, move.hot_key.key),
        default=None,
    )
    if best is None or balance.load(source) - best.load < MIN_GAIN * balance.mean:
        return None
    return best


def _move(*, hot_key: KeyRate, source: ServerId, balance: ServerLoads) -> KeyMove:
    target = balance.least_loaded(hot_key.rate)
    there = (balance.rates[target] + hot_key.rate) / balance.capacities[target]
    here = (balance.rates[source] - hot_key.rate) / balance.capacities[source]
    return KeyMove(hot_key=hot_key, source=source, target=target, load=max(there, here))
