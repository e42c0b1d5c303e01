"""Time and memory that the leader's decisions take, by the size of the deployment."""

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

SERVICE = ServiceName("lookup")
DOMAINS = ("nord", "midt", "syd")
ROUNDS = 20
STEP_S = 0.3
REPORTING_GATEWAYS = 10


@dataclass(frozen=True, kw_only=True, slots=True)
class CostRow:
    """The leader's cost for one deployment size.

    :param gateways: number of gateway sessions.
    :param servers: number of backend servers.
    :param shards: number of shards of the only keyed service.
    :param hot_keys: number of hot keys in each load report.
    :param renewal_us: time to process a lease renewal, in microseconds.
    :param announcement_us: time to process an announcement, in microseconds.
    :param report_us: time to process a load report, in microseconds.
    :param tick_us: time to compute all commands that are due, once per tick, in microseconds.
    :param loss_ms: time spent on the loss of one server until its keys have moved, in milliseconds.
    :param begin_bytes: size of the command that begins the transition, in bytes.
    :param state_bytes: memory of the state and of the coordinator, in bytes.
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
    """A deployment size to measure."""

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
    """Return the leader's cost for each size."""
    return tuple(_SimulatedDeployment(size).row() for size in sizes)


class _SimulatedDeployment:
    """A leader with model gateways and servers that respond correctly."""

    def __init__(self, size: CostSize) -> None:
        self._size = size
        self._now = 0.0
        self._number = 0
        all_draws.cache_clear()
        tracemalloc.start()
        self._state = ClusterState()
        self._apply_directly(_submission(size))
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
        ownership = self._state.ownerships[SERVICE]
        return len(ownership.current.members) == len(self._servers) and not ownership.pending

    def _apply_directly(self, command: Command) -> None:
        self._state.apply(LogIndex(self._state.index + 1), command)

    def _tick(self) -> tuple[Command, ...]:
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
        return list(self._tick())

    def _announce_all(self, servers: Iterable[ServerRecord]) -> None:
        for server in servers:
            self._announce(server)

    def _renew_all(self, gateways: Iterable[GatewayRecord]) -> None:
        for gateway in gateways:
            self._renew(gateway)

    def _report_some(self) -> None:
        for gateway in self._gateways[:REPORTING_GATEWAYS]:
            self._report(gateway)

    def _announce(self, server: ServerRecord) -> None:
        announcement = Announcement(server=server, number=self._number)
        session = self._gateways[0].session
        self._leader.handle_announcement(now=self._now, session=session, announcement=announcement)

    def _renew(self, gateway: GatewayRecord) -> None:
        pending = self._state.ownerships[SERVICE].pending
        drained = (Drained(service=SERVICE, begun=pending.begun),) if pending else ()
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
            HotKey(service=SERVICE, key=KeyHash(key), rate=1.0)
            for key in range(self._size.hot_keys)
        )
        report = ReportLoad(session=gateway.session, servers=servers, hot_keys=hot)
        self._leader.handle_load_report(now=self._now, report=report)

    def row(self) -> CostRow:
        """Measure the cost of each kind of work."""
        renewal_us = self._mean_us(lambda: self._renew_all(self._gateways))
        announcement_us = self._mean_us(lambda: self._announce_all(self._servers))
        report_us = self._mean_us(self._report_some)
        tick_us = self._mean_us(self._tick_without_result)
        loss_ms, begin_bytes = self._lose()
        return CostRow(
            gateways=self._size.gateways,
            servers=self._size.servers,
            shards=self._size.shards,
            hot_keys=self._size.hot_keys,
            renewal_us=renewal_us / len(self._gateways),
            announcement_us=announcement_us / len(self._servers),
            report_us=report_us / min(len(self._gateways), REPORTING_GATEWAYS),
            tick_us=tick_us,
            loss_ms=loss_ms,
            begin_bytes=begin_bytes,
            state_bytes=self._state_bytes,
        )

    def _tick_without_result(self) -> None:
        self._tick()

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
        """Stop a server; return the time spent until its keys have moved and the command's size."""
        remaining = self._servers[1:]
        begin_bytes, elapsed_s = 0, 0.0
        while len(self._state.ownerships[SERVICE].current.members) > len(remaining):
            self._now += STEP_S
            self._number += 1
            self._announce_all(remaining)
            self._renew_all(self._gateways)
            started = perf_counter()
            taken = self._tick()
            elapsed_s += perf_counter() - started
            begun = [c for c in taken if isinstance(c, BeginTransition)]
            begin_bytes = max([begin_bytes, *(len(encode_command(c)) for c in begun)])
        return elapsed_s * 1_000, begin_bytes


def _submission(size: CostSize) -> SubmitDocument:
    service = Service(
        name=SERVICE,
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
        service=SERVICE,
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
