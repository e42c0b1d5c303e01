"""Simulation of how the placement adapts to changing hot keys under Zipf traffic."""

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from lychee_owner.experiment.placement import SIZES, DeploymentSize, members_of
from lychee_owner.hotkeys import HotKeyBalancer
from lychee_owner.loads import LoadTracker
from lychee_owner.placement import OwnerTable
from lychee_types.document import PlacementPolicy, RequestKind, Service
from lychee_types.ids import DomainName, Incarnation, KeyHash, ServerId, ServiceName, SessionId
from lychee_types.messages import (
    HotKey,
    ReportLoad,
    ServerLoad,
)
from lychee_types.records import Endpoint, KeyOwner, Placement, ServerRecord

KEYS = 100_000
ZIPF_EXPONENT = 0.9
REQUEST_RATE = 4_000.0
"""Requests per second of the service."""

CHANGE_INTERVAL_S = 120
"""Interval in seconds after which ten other keys become the hottest ones."""

CHANGES = 4
REPORTED_KEYS = 20
"""Number of hot keys in a load report."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HotKeyRow:
    """Result for one limit on individually placed hot keys.

    :param size: name of the deployment size.
    :param budget: maximum number of hot keys that are placed individually.
    :param imbalance: maximum over mean of the servers' loads per speed, averaged over time.
    :param settled_imbalance: the same, averaged over the second half of each change interval.
    :param settle_s: mean time in seconds from a change until the imbalance has settled within 2 %.
    :param moved: mean number of key moves per change of the hottest ten keys.
    """

    size: str
    budget: int
    imbalance: float
    settled_imbalance: float
    settle_s: float
    moved: float


def simulate_hot_keys(
    sizes: tuple[DeploymentSize, ...] = SIZES[:2],
    *,
    budgets: tuple[int, ...] = (0, 10, 20),
    seed: int = 7,
) -> tuple[HotKeyRow, ...]:
    """Return a row for each size and maximum number of individually placed keys."""
    return tuple(
        _Simulation(size=size, budget=b, seed=seed).row() for size in sizes for b in budgets
    )


class _Simulation:
    """A simulation of ``CHANGE_INTERVAL_S * CHANGES`` seconds."""

    def __init__(self, *, size: DeploymentSize, budget: int, seed: int) -> None:
        self._size = size
        self._budget = budget
        self._random = np.random.default_rng(seed)
        self._hashes = self._random.integers(0, 2**63, size=KEYS, dtype=np.uint64)
        shares = 1.0 / np.arange(1, KEYS + 1) ** ZIPF_EXPONENT
        self._shares = shares / shares.sum()
        self._service = _service(size, budget)
        self._servers = [_server(m.server, m.weight) for m in members_of(size)]
        self._table = self._table_with({})

    def _table_with(self, keys: dict[KeyHash, ServerId]) -> OwnerTable:
        placement = Placement(
            members=members_of(self._size),
            keys=tuple(KeyOwner(key=key, server=keys[key]) for key in sorted(keys)),
            shards=self._size.shards,
            bounded_load=self._size.bounded_load,
        )
        return OwnerTable(placement=placement, shards=self._size.shards)

    def row(self) -> HotKeyRow:
        """Return the result of the simulation."""
        loads = LoadTracker()
        hot_keys = HotKeyBalancer(loads=loads)
        placed: dict[KeyHash, ServerId] = {}
        moved, series = 0, []
        for now in range(CHANGE_INTERVAL_S * CHANGES):
            if now % CHANGE_INTERVAL_S == 0:
                popularity_order = self._new_popularity_order()
            counts = self._random.poisson(REQUEST_RATE * self._shares)
            series.append(
                self._report(
                    loads=loads, now=float(now), popularity_order=popularity_order, counts=counts
                )
            )
            chosen = hot_keys.choose(
                now=float(now),
                service=self._service,
                table=self._table,
                pins=(),
                servers=self._servers,
                is_settled=True,
            )
            if chosen != placed:
                moved += len(set(chosen.items()) ^ set(placed.items()))
                placed, self._table = chosen, self._table_with(chosen)
        return self._summary(series=np.array(series), moved=moved)

    def _new_popularity_order(self) -> npt.NDArray[np.uint64]:
        """Return the keys from the most to the least popular, starting with ten new ones."""
        new_hottest = self._random.choice(np.arange(100, KEYS), size=10, replace=False)
        rest = np.setdiff1d(np.arange(KEYS), new_hottest)
        popularity_order: npt.NDArray[np.uint64] = self._hashes[np.concatenate([new_hottest, rest])]
        return popularity_order

    def _report(
        self,
        *,
        loads: LoadTracker,
        now: float,
        popularity_order: npt.NDArray[np.uint64],
        counts: npt.NDArray[np.int64],
    ) -> float:
        """Report the load of one second of traffic, and return its expected imbalance."""
        owners = np.array(self._table.owners)[popularity_order & np.uint64(self._size.shards - 1)]
        index_by_server = {server.id: position for position, server in enumerate(self._servers)}
        for position in range(2 * REPORTED_KEYS * 10):
            owner = self._table.owner(KeyHash(int(popularity_order[position])))
            owners[position] = index_by_server[owner] if owner is not None else owners[position]
        answered = np.bincount(owners, weights=counts, minlength=len(self._servers))
        expected = np.bincount(owners, weights=self._shares, minlength=len(self._servers))
        hottest = np.argsort(-counts)[:REPORTED_KEYS]
        report = ReportLoad(
            session=SessionId("g"),
            servers=tuple(
                ServerLoad(
                    server=server.id, answered=int(count), failed=0, busy_ms=1.0, in_flight=0
                )
                for server, count in zip(self._servers, answered, strict=True)
            ),
            hot_keys=tuple(
                HotKey(
                    service=self._service.name,
                    key=KeyHash(int(popularity_order[position])),
                    rate=float(counts[position]),
                )
                for position in hottest
            ),
        )
        loads.add_report(now=now, report=report)
        speeds = np.array([server.speed for server in self._servers])
        return float((expected / speeds).max() / (expected.sum() / speeds.sum()))

    def _summary(self, *, series: npt.NDArray[np.float64], moved: int) -> HotKeyRow:
        spans = series.reshape(CHANGES, CHANGE_INTERVAL_S)
        settled_imbalance = spans[:, CHANGE_INTERVAL_S // 2 :].mean(axis=1)
        settle_s = [
            int(np.argmax(span <= level * 1.02))
            for span, level in zip(spans, settled_imbalance, strict=True)
        ]
        return HotKeyRow(
            size=self._size.name,
            budget=self._budget,
            imbalance=float(series.mean()),
            settled_imbalance=float(settled_imbalance.mean()),
            settle_s=float(np.mean(settle_s)),
            moved=moved / CHANGES,
        )


def _service(size: DeploymentSize, budget: int) -> Service:
    return Service(
        name=ServiceName(size.name),
        path=f"/{size.name}/",
        kind=RequestKind.KEYED,
        idempotent=True,
        deadline_ms=1_000,
        shards=size.shards,
        placement=PlacementPolicy(bounded_load=size.bounded_load, hot_keys=budget),
    )


def _server(name: ServerId, speed: float) -> ServerRecord:
    return ServerRecord(
        id=name,
        incarnation=Incarnation(1),
        endpoint=Endpoint(host="127.0.0.1", port=1),
        domain=DomainName("nord"),
        service=ServiceName("hot"),
        slots=1,
        connections=50,
        speed=speed,
    )
