"""Tests of the decisions on hot keys, server speeds and unreachable servers."""

from lychee_owner.evidence import BASE_EXCLUSION_S, ReachabilityTracker
from lychee_owner.hotkeys import REVIEW_INTERVAL_S, HotKeyBalancer
from lychee_owner.loads import LoadTracker
from lychee_owner.placement import OwnerTable
from lychee_owner.speeds import SUSTAINED_DIFFERENCE_S, SpeedEstimator
from lychee_types.commands import SetSpeed
from lychee_types.document import RequestKind, Service
from lychee_types.messages import (
    HotKey,
    ReportLoad,
    ServerLoad,
)
from lychee_types.records import Endpoint, Member, Placement, ServerRecord

SERVICE = Service(
    name="truss-drawing",
    path="/truss-drawing/",
    kind=RequestKind.KEYED,
    idempotent=True,
    deadline_ms=1_000,
    shards=64,
)


def server(name: str, speed: float = 1.0) -> ServerRecord:
    return ServerRecord(
        id=name,
        incarnation=1,
        endpoint=Endpoint(host="127.0.0.1", port=1),
        domain="bursa",
        service=SERVICE.name,
        slots=4,
        connections=50,
        speed=speed,
    )


SERVERS = [server(f"t{i}") for i in range(4)]


def load(name: str, *, answered: int, failed: int = 0, request_ms: float = 10.0) -> ServerLoad:
    return ServerLoad(
        server=name,
        answered=answered,
        failed=failed,
        busy_ms=answered * request_ms,
        in_flight=0,
    )


def table(*keys: object) -> OwnerTable:
    members = tuple(Member(server=s.id, weight=4.0) for s in SERVERS)
    placement = Placement(members=members, keys=keys, shards=64)
    return OwnerTable(placement=placement, shards=64)


def choose(
    loads: LoadTracker, owners: OwnerTable, *, seconds: float = REVIEW_INTERVAL_S
) -> dict[int, str]:
    hot_keys = HotKeyBalancer(loads=loads)
    now = 0.0
    chosen: dict[int, str] = {}
    while now <= seconds:
        chosen = hot_keys.choose(
            now=now, service=SERVICE, table=owners, pins=(), servers=SERVERS, is_settled=True
        )
        now += 1.0
    return chosen


def loads_of(rates: dict[str, int], keys: dict[int, float]) -> LoadTracker:
    loads = LoadTracker()
    hot = tuple(HotKey(service=SERVICE.name, key=key, rate=rate) for key, rate in keys.items())
    servers = tuple(load(name, answered=rate) for name, rate in rates.items())
    for now in range(6):
        loads.add_report(now=now, report=ReportLoad(session="g", servers=servers, hot_keys=hot))
    return loads


def test_the_hottest_keys_move_from_the_most_to_the_least_loaded_server() -> None:
    owners = table()
    busy = owners.owner(5)
    rates = {s.id: 100 for s in SERVERS} | {busy: 300, "t9": 0}
    idle = next(s.id for s in SERVERS if s.id != busy)
    rates[idle] = 40
    chosen = choose(loads_of(rates, {5: 120.0}), owners)
    assert chosen == {5: idle}


def test_an_even_load_moves_no_key() -> None:
    rates = {s.id: 100 for s in SERVERS}
    assert choose(loads_of(rates, {5: 30.0, 6: 30.0}), table()) == {}


def test_a_measured_speed_is_set_only_when_it_differs_much_and_for_long() -> None:
    loads, speeds = LoadTracker(), SpeedEstimator(loads=LoadTracker())
    speeds = SpeedEstimator(loads=loads)
    taken: list[tuple[int, SetSpeed]] = []
    for now in range(30):
        servers = (
            load("t0", answered=50, request_ms=100.0),
            load("t1", answered=50, request_ms=12.0),
            load("t2", answered=50),
            load("t3", answered=50),
        )
        loads.add_report(now=now, report=ReportLoad(session="g", servers=servers))
        taken += [
            (now, command) for command in speeds.commands(now=now, servers=SERVERS, min_change=0.3)
        ]
    assert {command.server for _, command in taken} == {"t0"}
    assert taken[0][0] >= SUSTAINED_DIFFERENCE_S and 0.1 <= taken[0][1].speed <= 0.12


def test_a_single_failure_domain_does_not_make_a_server_unreachable() -> None:
    reachability = ReachabilityTracker()
    for now in range(5):
        reachability.add_report(now=now, domain="bursa", load=load("t0", answered=0, failed=9))
    assert not reachability.is_unreachable(now=4, server="t0", for_s=1.0)
    reachability.add_report(now=3, domain="gebze", load=load("t0", answered=0, failed=1))
    reachability.add_report(now=4, domain="gebze", load=load("t0", answered=0, failed=1))
    assert reachability.is_unreachable(now=4, server="t0", for_s=1.0)
    reachability.add_report(now=4, domain="tekirdag", load=load("t0", answered=1))
    assert not reachability.is_unreachable(now=4, server="t0", for_s=1.0)


def test_an_unreachable_server_is_excluded_for_longer_each_time() -> None:
    reachability = ReachabilityTracker()
    reachability.exclude(now=0.0, server="t0")
    assert reachability.is_excluded(now=BASE_EXCLUSION_S - 0.1, server="t0")
    reachability.exclude(now=BASE_EXCLUSION_S, server="t0")
    assert reachability.is_excluded(now=2.5 * BASE_EXCLUSION_S, server="t0")
