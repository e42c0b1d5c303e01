"""Cost, commit rate and recovery time of the control replicas."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import psutil
from msgspec import structs

from lychee_bench.deployment import Deployment
from lychee_bench.experiments.setting import ExperimentContext
from lychee_bench.launch import run_deployment
from lychee_bench.light_gateways import LightGateway, run_light_gateways
from lychee_bench.measure import Measurement
from lychee_bench.relay import Network
from lychee_bench.sizes import SKAFT
from lychee_types.commands import LedgerOpened
from lychee_types.document import Document
from lychee_types.exceptions import UnavailableError

ROLLOUT_BOUND_S = 4.0
"""Bound on the time until every gateway uses a new document, in seconds."""

CPU_BOUND_CORES = 0.03
"""Bound on the CPU of the control leader, as a fraction of a core."""

MEMORY_BOUND_MB = 128.0
"""Bound on the memory of the control leader, in megabytes."""

TRAFFIC_BOUND_BYTES_PER_S = 4_096.0
"""Bound on the control traffic of one daemon, in bytes per second."""

SETTLE_S = 3.0
"""Wait after the gateways have attached before costs are measured, in seconds."""

MEASURE_S = 5.0
"""Duration of the measurement of costs, in seconds."""


@dataclass(frozen=True, kw_only=True)
class RolloutTime:
    """Time until every gateway uses a submitted document.

    :param gateways: number of real gateways.
    :param streams: numbers of light gateways to run in addition, one after another.
    :param submissions: number of documents that are submitted for each of them.
    """

    gateways: int = 10
    streams: tuple[int, ...] = (0, 100, 300)
    submissions: int = 5


@dataclass(frozen=True, kw_only=True)
class ControlCost:
    """CPU and memory of the control leader, and control traffic, by number of attached daemons.

    :param streams: numbers of light gateways, one after another.
    """

    streams: tuple[int, ...] = (10, 100, 300)


@dataclass(frozen=True, kw_only=True)
class CommitRate:
    """Durable commits per second through one stream.

    :param pending: number of concurrent calls.
    :param seconds: duration of the run.
    """

    pending: int = 64
    seconds: float = 5.0


@dataclass(frozen=True, kw_only=True)
class RecoveryTime:
    """Time from the start of a single control replica until it serves, by length of its log.

    :param entries: numbers of log entries, one after another.
    """

    entries: tuple[int, ...] = (100, 2_000, 10_000)


@asynccontextmanager
async def _deployment(
    context: ExperimentContext, *, controls: int, gateways: int, relayed: bool = False
) -> AsyncIterator[Deployment]:
    groups = tuple(structs.replace(group, count=1) for group in SKAFT.groups)
    sizes = structs.replace(SKAFT, groups=groups, controls=controls, gateways=gateways)
    async with run_deployment(
        folder=context.folder,
        sizes=sizes,
        document=context.document(sizes),
        network=Network() if relayed else None,
    ) as deployment:
        yield deployment


async def measure_rollout(experiment: RolloutTime, context: ExperimentContext) -> list[Measurement]:
    """Return the longest time until a document was used everywhere, by number of streams."""
    measures: list[Measurement] = []
    async with _deployment(context, controls=3, gateways=experiment.gateways) as deployment:
        for number in experiment.streams:
            async with _light_gateways(deployment, number) as gateways:
                await _wait_attached(gateways)
                times = [
                    await _measure_one_rollout(deployment, gateways)
                    for _ in range(experiment.submissions)
                ]
            name = f"force.{experiment.gateways}+{number}"
            bound = ROLLOUT_BOUND_S
            measures.append(Measurement(name=name, value=max(times), unit="s", bound=bound))
    spread = measures[-1].value - measures[0].value
    streams = experiment.streams[-1] - experiment.streams[0]
    measures.append(
        Measurement(name="force.slope", value=spread / streams * 1e5, unit="ms/100-streams")
    )
    return measures


async def _measure_one_rollout(deployment: Deployment, gateways: tuple[LightGateway, ...]) -> float:
    operator = deployment.operator
    shown = await operator.show(0, timeout_s=5.0)
    assert shown.document is not None
    began = time.monotonic()
    record = await operator.submit(
        _with_changed_service(shown.document),
        submission=f"force-{time.time_ns()}",
        based_on=shown.version,
        author="bench",
        timeout_s=10.0,
    )
    while True:
        status = await operator.status(timeout_s=5.0)
        real_gateways = [state for state in status.gateways if not state.id.startswith("light-")]
        lags = [state.document_version < record.version for state in real_gateways]
        lags += [gateway.document_version < record.version for gateway in gateways]
        if not any(lags):
            return time.monotonic() - began
        if time.monotonic() - began > 3 * ROLLOUT_BOUND_S:
            raise UnavailableError(
                message=f"document version {record.version} is not used by {sum(lags)} gateways",
                remedy="read the gateways' logs",
            )
        await asyncio.sleep(0.02)


def _with_changed_service(document: Document) -> Document:
    first, *rest = document.services
    return structs.replace(
        document, services=(structs.replace(first, queue=first.queue + 1), *rest)
    )


async def measure_cost(experiment: ControlCost, context: ExperimentContext) -> list[Measurement]:
    """Return the leader's CPU and memory, and the bytes per second of each daemon."""
    measures: list[Measurement] = []
    async with _deployment(context, controls=3, gateways=1, relayed=True) as deployment:
        for number in experiment.streams:
            async with _light_gateways(deployment, number) as gateways:
                await _wait_attached(gateways)
                await asyncio.sleep(SETTLE_S)
                measures += await _measure_costs(deployment, number)
    return measures + _make_slopes(experiment.streams, measures)


async def _measure_costs(deployment: Deployment, number: int) -> list[Measurement]:
    leader = (await deployment.operator.status(timeout_s=5.0)).leader
    process = psutil.Process(deployment.processes.pid(leader))
    bytes_before = sum(relay.forwarded_bytes for relay in deployment.relays)
    process.cpu_percent()
    await asyncio.sleep(MEASURE_S)
    cpu = process.cpu_percent() / 100
    sent = sum(relay.forwarded_bytes for relay in deployment.relays) - bytes_before
    memory = process.memory_info().rss / 1e6
    rate = sent / MEASURE_S / (number + 1)
    name = f"control.{number}"
    return [
        Measurement(name=f"{name}.cpu", value=cpu, unit="cores", bound=CPU_BOUND_CORES),
        Measurement(name=f"{name}.memory", value=memory, unit="MB", bound=MEMORY_BOUND_MB),
        Measurement(
            name=f"{name}.bytes", value=rate, unit="B/s/daemon", bound=TRAFFIC_BOUND_BYTES_PER_S
        ),
    ]


def _make_slopes(streams: tuple[int, ...], measures: list[Measurement]) -> list[Measurement]:
    per_step = len(measures) // len(streams)
    pairs = zip(measures[:per_step], measures[-per_step:], strict=True)
    return [
        Measurement(
            name=f"control.slope.{first.name.rpartition('.')[2]}",
            value=(last.value - first.value) / (streams[-1] - streams[0]) * 100,
            unit=f"{first.unit}/100-streams",
        )
        for first, last in pairs
    ]


async def measure_commits(experiment: CommitRate, context: ExperimentContext) -> list[Measurement]:
    """Return the acknowledged ledger entries per second over one stream, with 3 replicas."""
    async with _deployment(context, controls=3, gateways=1) as deployment:
        async with _light_gateways(deployment, 1) as gateways:
            await _wait_attached(gateways)
            batched = await _open_ledger_entries(
                gateways[0], pending=experiment.pending, seconds=experiment.seconds
            )
            single = await _open_ledger_entries(gateways[0], pending=1, seconds=experiment.seconds)
    return [
        Measurement(name=f"commits.{experiment.pending}", value=batched, unit="commits/s"),
        Measurement(name="commits.1", value=single, unit="commits/s"),
    ]


async def _open_ledger_entries(
    gateway: LightGateway, *, pending: int, seconds: float, limit: int | None = None
) -> float:
    """Open ledger entries and return the achieved rate per second.

    :param gateway: the gateway whose stream is used.
    :param pending: number of concurrent calls.
    :param seconds: maximum duration of the measurement.
    :param limit: maximum number of entries to open, None for no limit.
    """
    opened = 0
    began = time.monotonic()

    async def open_entries() -> None:
        nonlocal opened
        while time.monotonic() - began < seconds and (limit is None or opened < limit):
            if isinstance(await gateway.open_ledger(f"bench/{time.time_ns()}"), LedgerOpened):
                opened += 1

    async with asyncio.TaskGroup() as tasks:
        for _ in range(pending):
            tasks.create_task(open_entries())
    return opened / (time.monotonic() - began)


async def measure_recovery(
    experiment: RecoveryTime, context: ExperimentContext
) -> list[Measurement]:
    """Return the time until a restarted control replica serves, by length of its log."""
    measures = []
    async with _deployment(context, controls=1, gateways=1) as deployment:
        for number in experiment.entries:
            async with _light_gateways(deployment, 1) as gateways:
                await _wait_attached(gateways)
                length = (await deployment.operator.status(timeout_s=5.0)).commit
                missing = number - length
                if missing > 0:
                    await _open_ledger_entries(
                        gateways[0], pending=256, seconds=60.0, limit=missing
                    )
            deployment.processes.kill("c1")
            began = time.monotonic()
            deployment.processes.restart("c1")
            status = await deployment.operator.status(timeout_s=30.0)
            name = f"recovery.{number}"
            measures += [
                Measurement(name=name, value=time.monotonic() - began, unit="s"),
                Measurement(name=f"{name}.commit", value=status.commit, unit="entries"),
            ]
    return measures


@asynccontextmanager
async def _light_gateways(
    deployment: Deployment, number: int
) -> AsyncIterator[tuple[LightGateway, ...]]:
    async with run_light_gateways(
        number=number,
        controls=tuple(deployment.controls.values()),
        domains=deployment.document.domains,
    ) as gateways:
        yield gateways


async def _wait_attached(gateways: tuple[LightGateway, ...]) -> None:
    for _ in range(300):
        if all(gateway.document_version for gateway in gateways):
            return
        await asyncio.sleep(0.1)
    raise UnavailableError(
        message="light gateways got no document within 30 s",
        remedy="read the logs of the control replicas",
    )
