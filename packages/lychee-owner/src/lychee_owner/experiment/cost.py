"""CPU and memory of the leader's decisions as the deployment grows."""

import tracemalloc
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from time import perf_counter

from lychee_owner.coordinator import Coordinator
from lychee_owner.hashing import all_draws
from lychee_owner.state import ClusterState
from lychee_types.commands import BeginTransition, Command, SubmitDocument, encode_command
from lychee_types.document import Document, PlacementPolicy, RequestKind, Service
from lychee_types.ids import (
    DomainName,
    GatewayId,
    Incarnation,
    KeyHash,
    LogIndex,
    ServerId,
    ServiceName,
    SessionId,
)
from lychee_types.messages import (
    Announcement,
    Drained,
    HotKey,
    RenewLease,
    ReportLoad,
    ServerLoad,
)
from lychee_types.records import Endpoint, GatewayRecord, ServerRecord
from lychee_types.timing import Timing

NAME = ServiceName("lookup")
DOMAINS = ("nord", "midt", "syd")
ROUNDS = 20
STEP_S = 0.3
REPORTING = 10


@dataclass(frozen=True, kw_only=True, slots=True)
class CostRow:
    """The leader's cost at one size.

    :param gateways: gateway runs.
    :param servers: backend servers.
    :param shards: shards of the one keyed service.
    :param hot_keys: hot keys in each report.
    :param renewal_us: CPU of a renewal in microseconds.
    :param announcement_us: CPU of an announcement.
    :param report_us: CPU of a report of load.
    :param tick_us: CPU of one look at everything that is due, once a tick.
    :param loss_ms: CPU of the loss of one server until its move has finished, in milliseconds.
    :param begin_bytes: size of the command that begins a move.
    :param state_bytes: memory of the state and of the coordinator.
    """

    gateways: int
    servers: int
    shards: int
    hot_keys: int
    renewal_us: float
    announcement_us: float
    report_us: float
    tick_us: float
    loss_ms: float
    begin_bytes: int
    state_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CostSize:
    """A size to measure."""

    gateways: int = 10
    servers: int = 17
    shards: int = 4_096
    hot_keys: int = 10


COST_SIZES = (
    CostSize(),
    CostSize(gateways=100),
    CostSize(gateways=400),
    CostSize(servers=100),
    CostSize(servers=400),
    CostSize(servers=1_000),
    CostSize(shards=1_024),
    CostSize(shards=16_384),
    CostSize(shards=65_536),
    CostSize(hot_keys=50),
    CostSize(gateways=400, servers=1_000, shards=65_536),
)


def measure_cost(sizes: Sequence[CostSize] = COST_SIZES) -> tuple[CostRow, ...]:
    """Return the leader's cost at each size."""
    return tuple(_Deployment(size).row() for size in sizes)


class _Deployment:
    """A leader with model gateways and servers that do what is asked of them."""

    def __init__(self, size: CostSize) -> None:
        self._size = size
        self._now = 0.0
        self._number = 0
        all_draws.cache_clear()
        tracemalloc.start()
        self._state = ClusterState()
        self._apply_alone(_submission(size))
        self._leader = Coordinator(state=self._state, timing=Timing(), now=self._now)
        self._servers = [_server(position) for position in range(size.servers)]
        self._gateways = [_gateway(position) for position in range(size.gateways)]
        for gateway in self._gateways:
            self._leader.attach_gateway(now=self._now, gateway=gateway)
        while not self._is_placed():
            self._round(self._servers)
        self._state_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()

    def _is_placed(self) -> bool:
        ownership = self._state.ownerships[NAME]
        return len(ownership.current.members) == len(self._servers) and not ownership.pending

    def _apply_alone(self, command: Command) -> None:
        self._state.apply(LogIndex(self._state.index + 1), command)

    def _look(self) -> tuple[Command, ...]:
        taken = self._leader.take_commands(now=self._now)
        for command in taken:
            index = LogIndex(self._state.index + 1)
            outcome = self._state.apply(index, command)
            self._leader.on_applied(now=self._now, index=index, command=command, outcome=outcome)
        return taken

    def _round(self, servers: Iterable[ServerRecord]) -> list[Command]:
        self._now += STEP_S
        self._number += 1
        self._announce_all(servers)
        self._renew_all(self._gateways)
        return list(self._look())

    def _announce_all(self, servers: Iterable[ServerRecord]) -> None:
        for server in servers:
            self._announce(server)

    def _renew_all(self, gateways: Iterable[GatewayRecord]) -> None:
        for gateway in gateways:
            self._renew(gateway)

    def _report_some(self) -> None:
        for gateway in self._gateways[:REPORTING]:
            self._report(gateway)

    def _announce(self, server: ServerRecord) -> None:
        announcement = Announcement(server=server, number=self._number)
        session = self._gateways[0].session
        self._leader.handle_announcement(now=self._now, session=session, announcement=announcement)

    def _renew(self, gateway: GatewayRecord) -> None:
        pending = self._state.ownerships[NAME].pending
        drained = (Drained(service=NAME, begun=pending.begun),) if pending else ()
        renewal = RenewLease(
            session=gateway.session,
            number=self._number,
            applied=self._state.index,
            document_version=1,
            drained=drained,
        )
        self._leader.renew_lease(now=self._now, renewal=renewal)

    def _report(self, gateway: GatewayRecord) -> None:
        servers = tuple(
            ServerLoad(
                server=server.id,
                answered=10,
                failed=0,
                busy_ms=100.0 / server.speed,
                in_flight=1,
            )
            for server in self._servers
        )
        hot = tuple(
            HotKey(service=NAME, key=KeyHash(key), rate=1.0) for key in range(self._size.hot_keys)
        )
        report = ReportLoad(session=gateway.session, servers=servers, hot_keys=hot)
        self._leader.handle_load_report(now=self._now, report=report)

    def row(self) -> CostRow:
        """Return the cost of each kind of work."""
        renewal_us = self._mean_us(lambda: self._renew_all(self._gateways))
        announcement_us = self._mean_us(lambda: self._announce_all(self._servers))
        report_us = self._mean_us(self._report_some)
        tick_us = self._mean_us(self._timed_look)
        loss_ms, begin_bytes = self._lose()
        return CostRow(
            gateways=self._size.gateways,
            servers=self._size.servers,
            shards=self._size.shards,
            hot_keys=self._size.hot_keys,
            renewal_us=renewal_us / len(self._gateways),
            announcement_us=announcement_us / len(self._servers),
            report_us=report_us / min(len(self._gateways), REPORTING),
            tick_us=tick_us,
            loss_ms=loss_ms,
            begin_bytes=begin_bytes,
            state_bytes=self._state_bytes,
        )

    def _timed_look(self) -> None:
        self._look()

    def _mean_us(self, work: Callable[[], object]) -> float:
        total = 0.0
        for _ in range(ROUNDS):
            self._round(self._servers)
            self._now += STEP_S
            started = perf_counter()
            work()
            total += perf_counter() - started
        return total / ROUNDS * 1e6

    def _lose(self) -> tuple[float, int]:
        """Lose a server and return the CPU until its keys have moved, and the command's size."""
        left = self._servers[1:]
        begin_bytes, spent = 0, 0.0
        while len(self._state.ownerships[NAME].current.members) > len(left):
            self._now += STEP_S
            self._number += 1
            self._announce_all(left)
            self._renew_all(self._gateways)
            started = perf_counter()
            taken = self._look()
            spent += perf_counter() - started
            begun = [c for c in taken if isinstance(c, BeginTransition)]
            begin_bytes = max([begin_bytes, *(len(encode_command(c)) for c in begun)])
        return spent * 1_000, begin_bytes


def _submission(size: CostSize) -> SubmitDocument:
    service = Service(
        name=NAME,
        path="/lookup/",
        kind=RequestKind.KEYED,
        idempotent=True,
        deadline_ms=1_000,
        shards=size.shards,
        placement=PlacementPolicy(hot_keys=size.hot_keys),
    )
    document = Document(
        organisation="experiment",
        domains=tuple(DomainName(name) for name in DOMAINS),
        services=(service,),
    )
    return SubmitDocument(submission="x", based_on=0, author="x", document=document)


def _server(position: int) -> ServerRecord:
    return ServerRecord(
        id=ServerId(f"s{position:04d}"),
        incarnation=Incarnation(1),
        endpoint=Endpoint(host=f"10.0.{position // 250}.{position % 250}", port=8_000),
        domain=DomainName(DOMAINS[position % 3]),
        service=NAME,
        slots=4,
        connections=50,
        speed=float(1 + position % 4),
    )


def _gateway(position: int) -> GatewayRecord:
    return GatewayRecord(
        id=GatewayId(f"g{position:03d}"),
        session=SessionId(f"session-{position:03d}"),
        domain=DomainName(DOMAINS[position % 3]),
    )
