"""Decisions on which hot keys get an owner of their own instead of the owner of their shard."""

from collections.abc import Collection
from dataclasses import dataclass

from lychee_owner.loads import KeyRate, LoadTracker
from lychee_owner.placement import OwnerTable
from lychee_owner.planner import capacity
from lychee_types.document import Service
from lychee_types.ids import KeyHash, ServerId, ServiceName
from lychee_types.records import ServerRecord

REVIEW_INTERVAL_S = 5.0
"""Interval in seconds between two reviews of the hot keys of a service."""

MAX_MOVES_PER_REVIEW = 2
"""Maximum number of hot keys that one review moves, which limits churn."""

MIN_GAIN = 0.03
"""Minimum gain of a move: drop of the highest server load as a fraction of the mean load."""

COLD_SHARE = 0.02
"""Fraction of a server's mean load below which an individually placed key returns to its shard."""


@dataclass(kw_only=True, slots=True)
class ServerLoads:
    """Loads of the servers of a service, in requests per second and unit of capacity.

    :param rates: requests per second of each server.
    :param capacities: capacity of each server.
    """

    rates: dict[ServerId, float]
    capacities: dict[ServerId, float]

    def load(self, server: ServerId) -> float:
        """Return a server's load."""
        return self.rates[server] / self.capacities[server]

    @property
    def mean(self) -> float:
        """The load of each server if it were spread evenly."""
        return sum(self.rates.values()) / sum(self.capacities.values())

    def most_loaded(self) -> ServerId:
        """Return the server with the highest load."""
        return max(self.rates, key=lambda server: (self.load(server), server))

    def least_loaded(self, rate: float) -> ServerId:
        """Return the server that has the lowest load after a rate is added to it."""

        def after(server: ServerId) -> tuple[float, ServerId]:
            return (self.rates[server] + rate) / self.capacities[server], server

        return min(self.rates, key=after)

    def move(self, *, rate: float, source: ServerId, target: ServerId) -> None:
        """Move a request rate from one server to another."""
        self.rates[source] -= rate
        self.rates[target] += rate


class HotKeyBalancer:
    """Decides which hot keys of a service are placed individually, and on which servers.

    :param loads: loads of servers and keys.
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
        """Return the hot keys to place individually, with their owners.

        :param now: the leader's monotonic time in seconds.
        :param service: a keyed service.
        :param table: owners in the pending placement, or in the current one if none is pending.
        :param pins: keys that the document assigns to a server.
        :param servers: the servers that may own keys.
        :param is_settled: whether no transition is pending, so that keys may move now.
        """
        limit = service.placement.hot_keys
        individual_keys = table.placement.keys if limit else ()
        placed = {key.key: key.server for key in individual_keys if key.key not in pins}
        due = now >= self._review_at.setdefault(service.name, now + REVIEW_INTERVAL_S)
        if not due or not is_settled or not limit:
            return placed
        self._review_at[service.name] = now + REVIEW_INTERVAL_S
        server_loads = self._server_loads(now=now, servers=servers)
        if len(server_loads.rates) < 2 or not server_loads.mean:
            return placed
        rates = self._loads.key_rates(now=now, service=service.name)
        hot = [hot_key for hot_key in rates if hot_key.key not in pins]
        placed = _without_coldest(placed=placed, hot=hot, server_loads=server_loads)
        return _rebalance(
            placed=placed, hot=hot, table=table, server_loads=server_loads, limit=limit
        )

    def _server_loads(self, *, now: float, servers: Collection[ServerRecord]) -> ServerLoads:
        return ServerLoads(
            rates={s.id: self._loads.response_rate(now=now, server=s.id) for s in servers},
            capacities={s.id: capacity(s) for s in servers},
        )


def _without_coldest(
    *,
    placed: dict[KeyHash, ServerId],
    hot: list[KeyRate],
    server_loads: ServerLoads,
) -> dict[KeyHash, ServerId]:
    """Return the individually placed keys without the coldest one, if its rate is low enough."""
    rates = {hot_key.key: hot_key.rate for hot_key in hot}
    min_rate = (
        COLD_SHARE
        * server_loads.mean
        * sum(server_loads.capacities.values())
        / len(server_loads.rates)
    )
    cold = [key for key in placed if rates.get(key, 0.0) < min_rate]
    if not cold:
        return placed
    coldest = min(cold, key=lambda key: (rates.get(key, 0.0), key))
    return {key: server for key, server in placed.items() if key != coldest}


def _rebalance(
    *,
    placed: dict[KeyHash, ServerId],
    hot: list[KeyRate],
    table: OwnerTable,
    server_loads: ServerLoads,
    limit: int,
) -> dict[KeyHash, ServerId]:
    """Return the individually placed keys after moving some off the most loaded servers."""
    placed = dict(placed)
    for _ in range(MAX_MOVES_PER_REVIEW):
        move = _best_move(
            placed=placed, hot=hot, table=table, server_loads=server_loads, limit=limit
        )
        if move is None:
            return placed
        placed[move.hot_key.key] = move.target
        server_loads.move(rate=move.hot_key.rate, source=move.source, target=move.target)
    return placed


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyMove:
    """A possible move of a hot key.

    :param hot_key: the key and its rate.
    :param source: its current owner.
    :param target: its new owner.
    :param load: the higher load of the two servers after the move.
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
    server_loads: ServerLoads,
    limit: int,
) -> KeyMove | None:
    """Return the move of one key that lowers the highest load the most, or None if too little."""
    source = server_loads.most_loaded()
    owned = [
        hot_key
        for hot_key in hot
        if placed.get(hot_key.key, table.owner_of_key_shard(hot_key.key)) == source
        and (hot_key.key in placed or len(placed) < limit)
    ]
    moves = [
        _move_to_least_loaded(hot_key=hot_key, source=source, server_loads=server_loads)
        for hot_key in owned
    ]
    best = min(
        (move for move in moves if move.target != source),
        key=lambda move: (move.load, move.hot_key.key),
        default=None,
    )
    if best is None or server_loads.load(source) - best.load < MIN_GAIN * server_loads.mean:
        return None
    return best


def _move_to_least_loaded(
    *, hot_key: KeyRate, source: ServerId, server_loads: ServerLoads
) -> KeyMove:
    target = server_loads.least_loaded(hot_key.rate)
    target_load = (server_loads.rates[target] + hot_key.rate) / server_loads.capacities[target]
    source_load = (server_loads.rates[source] - hot_key.rate) / server_loads.capacities[source]
    return KeyMove(
        hot_key=hot_key, source=source, target=target, load=max(target_load, source_load)
    )
