"""Gateways that are cut off from all servers, simulated in this process by the gateways' own rules.

Time is simulated; what is counted does not depend on the machine.
"""

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import product
from random import Random

from msgspec.msgpack import encode

from lychee_bench.measure import Measurement
from lychee_control.registry.gateways import GatewayBoard
from lychee_control.registry.leader import SPREAD_INTERVAL_S
from lychee_gateway.proxy.carrier import FULL_RETRY_S, MAX_OPEN, MAX_WAITING, SPARE_OPEN
from lychee_gateway.proxy.path_reports import MAX_REPORTED, REPORT_S
from lychee_gateway.proxy.paths import CHECKED_OTHERS, DIRECT_TIMEOUT_S, HEDGE_S, LOOK_S
from lychee_gateway.proxy.peers import MAX_AGE_S, MAX_ASKED
from lychee_policy import GatewayTable, PathTable, choose_carriers
from lychee_types.ids import DomainName, GatewayId, Incarnation, ServerId
from lychee_types.peer_messages import GatewayReport
from lychee_types.records import Endpoint
from lychee_types.registry import ServerIncarnation
from lychee_types.testing import ManualClock

GATEWAYS = 100

CUT_COUNTS = (1, 10, 50, 90)
"""Numbers of gateways that are cut off."""

NEWS_COUNTS = (10, 60, 400)
"""Numbers of gateways for which the size of the news is measured."""

DOMAINS = 4

SERVERS = 40

NEWS_S = 0.5
"""Time from a change at a gateway until all gateways know it, in seconds."""

SETTLED_S = 3.0
"""Time after the cut from which refusals are counted apart, in seconds."""

RUN_S = 10.0
"""Simulated time of each run, in seconds."""


@dataclass(frozen=True, kw_only=True)
class CutGateways:
    """What it costs that some of a hundred gateways reach no server.

    :param calls_per_s: requests a second at each gateway.
    :param work_s: mean time that a server takes, in seconds.
    :param request_bytes: bytes of a request and its answer together.
    :param seed: seed of the random numbers.
    """

    calls_per_s: float = 45.0
    work_s: float = 0.1
    request_bytes: int = 3_000
    seed: int = 1


def measure_cut_gateways(experiment: CutGateways) -> Iterator[Measurement]:
    """Yield the cost by number of cut gateways, and the size of the news by number of gateways."""
    for count in CUT_COUNTS:
        run = _Run(experiment, count)
        run.play()
        yield from run.measurements(f"cut-gateways.{count}-of-{GATEWAYS}")
    for count, is_cut in product(NEWS_COUNTS, (False, True)):
        yield from _measure_news(count, is_cut=is_cut)


def _domain(number: int) -> DomainName:
    return DomainName(f"domain-{number % DOMAINS}")


def _server(number: int) -> ServerIncarnation:
    return ServerIncarnation(
        server=ServerId(f"server-{number:04}"), incarnation=Incarnation(1_700_000_000_000)
    )


def _report(number: int, *, unreached: int = 0, reaches_none: bool = False) -> GatewayReport:
    return GatewayReport(
        gateway=GatewayId(f"gateway-{number:04}"),
        domain=_domain(number),
        carry=Endpoint(host=f"10.0.{number // 250}.{number % 250}", port=7_000),
        reaches_none=reaches_none,
        unreached=tuple(_server(server) for server in range(unreached)),
    )


@dataclass
class _Totals:
    """What happened in a run.

    :param requests: requests at cut gateways.
    :param opened: connections that were sought through another gateway.
    :param asked: gateways that were asked for them.
    :param waited: requests that waited for a direct connection first.
    :param refused: requests that no gateway carried.
    :param refused_settled: those of them that came after all gateways had to know of the cut.
    :param settled: all that came after that.
    :param full_open: gateways that had no room for one more connection when they were asked.
    :param full_waiting: gateways that had no room for one more request when they were asked.
    :param checks: attempts to connect directly.
    :param direct_crossings: crossings between failure domains, had there been no cut.
    :param crossings: crossings between failure domains.
    """

    requests: int = 0
    opened: int = 0
    asked: int = 0
    waited: int = 0
    refused: int = 0
    refused_settled: int = 0
    settled: int = 0
    full_open: int = 0
    full_waiting: int = 0
    checks: int = 0
    direct_crossings: int = 0
    crossings: int = 0


@dataclass(order=True)
class _Exchange:
    """A request at a server, over a carried connection.

    :param ends_at: time of the answer, in seconds.
    """

    ends_at: float
    gateway: int = field(compare=False)
    server: int = field(compare=False)
    carrier: int = field(compare=False)


class _Run:
    """One run with a number of cut gateways."""

    def __init__(self, experiment: CutGateways, cut_count: int) -> None:
        self._experiment = experiment
        self._rng = Random(experiment.seed)
        # Neighbours are in different failure domains, so each loses about the same share.
        self._cut = range(cut_count)
        self._numbers = {_report(number).gateway: number for number in range(GATEWAYS)}
        self._known = GatewayTable(max_age_s=MAX_AGE_S)
        for number in range(GATEWAYS):
            self._known.record(_report(number), 0.0)
        self._runs = [_server(number) for number in range(SERVERS)]
        self._looked_at = dict.fromkeys(self._cut, 0.0)
        self._paths = {number: PathTable(rng=self._rng) for number in self._cut}
        for paths in self._paths.values():
            paths.keep_only(self._runs)
        self._asked_from: dict[tuple[int, GatewayId], float] = {}
        self._idle: dict[tuple[int, int], list[int]] = {}
        # By carrying gateway, the one that was used least recently first.
        self._unused: dict[int, deque[tuple[int, int]]] = {n: deque() for n in range(GATEWAYS)}
        self._open: Counter[int] = Counter()
        self._waiting: Counter[int] = Counter()
        self._most_waiting: Counter[int] = Counter()
        self._carried: Counter[int] = Counter()
        self._exchanges: list[_Exchange] = []
        self._news: list[tuple[float, int]] = []
        self.totals = _Totals()

    def play(self) -> None:
        """Play the run."""
        now = 0.0
        rate_per_s = self._experiment.calls_per_s * len(self._cut)
        while (now := now + self._rng.expovariate(rate_per_s)) < RUN_S:
            self._catch_up(now)
            self._request(self._rng.choice(self._cut), self._rng.randrange(SERVERS), now)

    def measurements(self, name: str) -> Iterator[Measurement]:
        """Yield what a run has shown."""
        totals = self.totals
        carriers = GATEWAYS - len(self._cut)
        mean = sum(self._carried.values()) / carriers / RUN_S
        worst = max(self._carried.values()) / RUN_S
        waiting = max(self._most_waiting.values())
        crossed = totals.crossings * self._experiment.request_bytes
        crossed_before = totals.direct_crossings * self._experiment.request_bytes
        yield Measurement(
            name=f"{name}.asked", value=totals.asked / totals.requests, unit="per_request"
        )
        yield Measurement(
            name=f"{name}.asked-opening", value=totals.asked / totals.opened, unit="per_opening"
        )
        yield Measurement(name=f"{name}.carried-mean", value=mean, unit="req/s")
        yield Measurement(name=f"{name}.carried-worst", value=worst, unit="req/s")
        yield Measurement(name=f"{name}.waiting-worst", value=waiting, unit="requests")
        yield Measurement(name=f"{name}.open-worst", value=max(self._open.values()), unit="conns")
        yield Measurement(
            name=f"{name}.refused", value=totals.refused / totals.requests, unit="share"
        )
        settled = totals.refused_settled / totals.settled
        yield Measurement(name=f"{name}.refused-settled", value=settled, unit="share")
        yield Measurement(name=f"{name}.full-open", value=totals.full_open, unit="asked")
        yield Measurement(name=f"{name}.full-waiting", value=totals.full_waiting, unit="asked")
        yield Measurement(
            name=f"{name}.waited", value=totals.waited / totals.requests, unit="share"
        )
        checks = totals.checks / len(self._cut) / RUN_S
        yield Measurement(name=f"{name}.checks", value=checks, unit="per_gateway_s")
        yield Measurement(name=f"{name}.crossing", value=crossed / RUN_S / 1_000, unit="KB/s")
        yield Measurement(
            name=f"{name}.crossing-uncut", value=crossed_before / RUN_S / 1_000, unit="KB/s"
        )

    def _catch_up(self, now: float) -> None:
        while self._exchanges and self._exchanges[0].ends_at <= now:
            done = heappop(self._exchanges)
            self._waiting[done.carrier] -= 1
            self._idle.setdefault((done.gateway, done.server), []).append(done.carrier)
            self._unused[done.carrier].append((done.gateway, done.server))
        while self._news and self._news[0][0] <= now:
            at, number = heappop(self._news)
            self._known.record(_report(number, reaches_none=True), at)

    def _request(self, gateway: int, server: int, now: float) -> None:
        self.totals.requests += 1
        self.totals.settled += now >= SETTLED_S
        self.totals.direct_crossings += _domain(gateway) != _domain(server)
        self._look(gateway, now)
        at = self._leave_direct(gateway, server, now)
        idle = self._idle.get((gateway, server))
        carrier = idle.pop() if idle else self._open_carried(gateway, server, at)
        if carrier is None:
            self.totals.refused += 1
            self.totals.refused_settled += now >= SETTLED_S
            return
        self._carried[carrier] += 1
        self._waiting[carrier] += 1
        self._most_waiting[carrier] = max(self._most_waiting[carrier], self._waiting[carrier])
        self.totals.crossings += _domain(gateway) != _domain(carrier)
        self.totals.crossings += _domain(carrier) != _domain(server)
        ends_at = at + self._rng.expovariate(1 / self._experiment.work_s)
        heappush(
            self._exchanges,
            _Exchange(ends_at=ends_at, gateway=gateway, server=server, carrier=carrier),
        )

    def _look(self, gateway: int, now: float) -> None:
        """Try some doubted ways again."""
        if now - self._looked_at[gateway] < LOOK_S:
            return
        self._looked_at[gateway] = now
        paths = self._paths[gateway]
        doubted = [run for run in self._runs if paths.is_doubted(run)]
        for run in self._rng.sample(doubted, min(CHECKED_OTHERS, len(doubted))):
            self.totals.checks += paths.take_check(run, now)

    def _leave_direct(self, gateway: int, server: int, now: float) -> float:
        """Give up the direct way, and return when."""
        paths, run = self._paths[gateway], _server(server)
        if paths.is_doubted(run):
            return now
        self.totals.waited += 1
        self.totals.checks += 1
        paths.record_failed(run, now + HEDGE_S)
        if paths.reaches_none:
            heappush(self._news, (now + HEDGE_S + NEWS_S, gateway))
        return now + HEDGE_S

    def _open_carried(self, gateway: int, server: int, now: float) -> int | None:
        own = _report(gateway).gateway
        askable = [
            report
            for report in self._known.reports(now)
            if report.gateway != own and self._asked_from.get((gateway, report.gateway), 0.0) <= now
        ]
        chosen = choose_carriers(
            askable, run=_server(server), domain=_domain(server), count=MAX_ASKED, rng=self._rng
        )
        self.totals.opened += 1
        for report in chosen:
            self.totals.asked += 1
            carrier = self._numbers[report.gateway]
            if carrier in self._cut:
                self._asked_from[gateway, report.gateway] = now + DIRECT_TIMEOUT_S
                continue
            if self._open[carrier] >= MAX_OPEN - SPARE_OPEN:
                self._end_an_unused_one(carrier)
            if self._is_full(carrier):
                self._asked_from[gateway, report.gateway] = now + FULL_RETRY_S
            else:
                self._open[carrier] += 1
                self._paths[gateway].record_carried(_server(server))
                return carrier
        return None

    def _end_an_unused_one(self, carrier: int) -> None:
        unused = self._unused[carrier]
        while unused:
            idle = self._idle.get(unused.popleft(), [])
            if carrier in idle:
                idle.remove(carrier)
                self._open[carrier] -= 1
                return

    def _is_full(self, carrier: int) -> bool:
        is_open = self._open[carrier] >= MAX_OPEN
        is_waiting = self._waiting[carrier] >= MAX_WAITING
        self.totals.full_open += is_open
        self.totals.full_waiting += is_waiting
        return is_open or is_waiting


def _measure_news(count: int, *, is_cut: bool) -> Iterator[Measurement]:
    """Yield the bytes of the news without frames, where gateways reach all servers or few."""
    unreached = MAX_REPORTED if is_cut else 0
    board = GatewayBoard(clock=ManualClock())
    for number in range(count):
        board.record(_report(number, unreached=unreached))
    name = f"cut-gateways.news-{'unreached' if is_cut else 'calm'}.{count}"
    up = len(encode(_report(0, unreached=unreached))) / REPORT_S
    down = len(encode(board.take_sample())) / SPREAD_INTERVAL_S
    yield Measurement(name=f"{name}.up", value=up, unit="B/s")
    yield Measurement(name=f"{name}.down", value=down, unit="B/s")
    yield Measurement(name=f"{name}.attach", value=len(encode(board.news())), unit="B")
    yield Measurement(name=f"{name}.all-change", value=len(encode(board.take_changes())), unit="B")
