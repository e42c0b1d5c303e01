"""Cost of the request path: requests through a gateway against direct ones, in one run."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import psutil
from msgspec import structs

from lychee_bench.closed_loop import ClosedLoopResult, run_closed_loop
from lychee_bench.deployment import Deployment
from lychee_bench.experiments.setting import ExperimentContext
from lychee_bench.http_client import ClientConnection, connect
from lychee_bench.launch import run_deployment
from lychee_bench.measure import Measurement
from lychee_bench.sizes import SKAFT, ServerGroup, Sizes
from lychee_types.records import Endpoint

ADDED_LATENCY_BOUND_MS = 12.0
"""Bound on the 99th percentile of the latency that a gateway adds, in milliseconds."""

FAST_SERVER = ServerGroup(
    service="repair-status",
    count=2,
    slots=64,
    connections=400,
    service_ms=0.0,
    speeds=(1.0,),
    queue=1_000,
)
"""Servers without service time, so that only the cost of the request path is measured."""


@dataclass(frozen=True, kw_only=True)
class ProxySpeed:
    """Requests per second and CPU of one gateway process.

    :param answer_bytes: length of the response bodies.
    :param connections: number of callers' connections.
    :param seconds: duration of each of the two runs.
    """

    answer_bytes: int
    connections: int = 32
    seconds: float = 5.0


@dataclass(frozen=True, kw_only=True)
class AddedLatency:
    """Latency that a gateway adds at a moderate rate.

    :param connections: number of callers' connections.
    :param pause_s: pause of each connection between two requests, in seconds.
    :param seconds: duration of each of the two runs.
    """

    connections: int = 20
    pause_s: float = 0.1
    seconds: float = 6.0


@dataclass(frozen=True, kw_only=True)
class CallerMemory:
    """Memory of a gateway by number of idle callers' connections.

    :param steps: numbers of connections, ascending.
    """

    steps: tuple[int, ...] = (0, 1_000, 2_000)


@asynccontextmanager
async def _one_gateway(context: ExperimentContext) -> AsyncIterator[Deployment]:
    others = tuple(
        structs.replace(group, count=1)
        for group in SKAFT.groups
        if group.service != "repair-status"
    )
    sizes = Sizes(document=SKAFT.document, groups=(FAST_SERVER, *others), controls=1, gateways=1)
    async with run_deployment(
        folder=context.folder, sizes=sizes, document=context.document(sizes)
    ) as deployment:
        yield deployment


async def measure_speed(experiment: ProxySpeed, context: ExperimentContext) -> list[Measurement]:
    """Return requests per second directly and through a gateway, and the gateway's CPU."""
    size = experiment.answer_bytes
    target = f"/repair-status/?size={size}"
    async with _one_gateway(context) as deployment:
        gateway = deployment.gateways[0]
        process = psutil.Process(deployment.processes.pid(gateway.name))
        direct = await _measure_one(experiment, _first_server(deployment), target)
        cpu_s = _cpu_s(process)
        through = await _measure_one(experiment, gateway.listen, target)
        cpu_s = _cpu_s(process) - cpu_s
    name = f"path.{size}B"
    return [
        Measurement(name=f"{name}.direct", value=direct.rate, unit="req/s"),
        Measurement(name=f"{name}.gateway", value=through.rate, unit="req/s"),
        Measurement(name=f"{name}.ratio", value=through.rate / direct.rate, unit="of-direct"),
        Measurement(name=f"{name}.cpu", value=cpu_s / through.answered * 1e6, unit="us/req"),
        Measurement(name=f"{name}.failed", value=through.failed, unit="req", bound=0),
    ]


async def _measure_one(experiment: ProxySpeed, endpoint: Endpoint, target: str) -> ClosedLoopResult:
    return await run_closed_loop(
        endpoint,
        target=target,
        connections=experiment.connections,
        seconds=experiment.seconds,
    )


async def measure_latency(
    experiment: AddedLatency, context: ExperimentContext
) -> list[Measurement]:
    """Return the median and the 99th percentile of the latency that a gateway adds."""
    async with _one_gateway(context) as deployment:
        endpoints = (_first_server(deployment), deployment.gateways[0].listen)
        direct, through = [
            await run_closed_loop(
                endpoint,
                target="/repair-status/",
                connections=experiment.connections,
                seconds=experiment.seconds,
                pause_s=experiment.pause_s,
            )
            for endpoint in endpoints
        ]
    p50, p99 = (through.percentile_ms(n) - direct.percentile_ms(n) for n in (50, 99))
    return [
        Measurement(name="latency.rate", value=through.rate, unit="req/s"),
        Measurement(name="latency.direct.p99", value=direct.percentile_ms(99), unit="ms"),
        Measurement(name="latency.added.p50", value=p50, unit="ms"),
        Measurement(name="latency.added.p99", value=p99, unit="ms", bound=ADDED_LATENCY_BOUND_MS),
    ]


async def measure_memory(experiment: CallerMemory, context: ExperimentContext) -> list[Measurement]:
    """Return a gateway's memory for each number of idle connections, and the slope."""
    memory_mb: list[float] = []
    async with _one_gateway(context) as deployment:
        gateway = deployment.gateways[0]
        process = psutil.Process(deployment.processes.pid(gateway.name))
        conns: list[ClientConnection] = []
        for step in experiment.steps:
            while len(conns) < step:
                conns.append(await connect(gateway.listen, timeout_s=5.0))
            await asyncio.sleep(1.0)
            memory_mb.append(process.memory_info().rss / 1e6)
        for conn in conns:
            conn.close()
    return list(_make_measurements(experiment.steps, memory_mb))


def _make_measurements(steps: tuple[int, ...], memory_mb: list[float]) -> Iterator[Measurement]:
    for step, value in zip(steps, memory_mb, strict=True):
        yield Measurement(name=f"memory.{step}", value=value, unit="MB")
    slope = (memory_mb[-1] - memory_mb[0]) / (steps[-1] - steps[0]) * 1_000
    yield Measurement(name="memory.slope", value=slope, unit="MB/1000-connections")


def _first_server(deployment: Deployment) -> Endpoint:
    return deployment.servers["repair-status-1"].listen


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
