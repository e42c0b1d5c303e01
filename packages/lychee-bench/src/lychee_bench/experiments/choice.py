"""Comparison of the rules by which a gateway chooses a server for a request without a key.

Measured are the imbalance of the servers' load, the responses in time and the p99 latency.
"""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import msgspec
from msgspec import structs

from lychee_bench.audit import Outcome
from lychee_bench.deployment import Deployment
from lychee_bench.experiments.setting import ExperimentContext
from lychee_bench.http_client import connect
from lychee_bench.launch import run_deployment
from lychee_bench.load import Callers, Traffic
from lychee_bench.measure import Measurement
from lychee_bench.runs import read_runs
from lychee_bench.server_settings import Behaviour
from lychee_bench.sizes import SKAFT, ServerGroup, Sizes

RULES = ("power-of-two", "round-robin", "least-connections")
"""Names of the compared rules."""

SERVICE = "guides"

SERVICE_TIME_MS = 60.0
"""Service time of a request at speed 1, in milliseconds."""

GROUP = ServerGroup(
    service=SERVICE,
    count=8,
    slots=3,
    connections=120,
    service_ms=SERVICE_TIME_MS,
    speeds=(0.5, 1.0, 1.0, 2.0),
)
"""Servers whose relative speeds differ by a factor of 4."""

RUN_S = 10.0
"""Duration of each run, in seconds."""

CHANGE_AT_S = 3.0
"""Time at which a server slows down or restarts cold, in seconds."""

SLOWDOWN = 10.0
"""Factor on the service time of the server that slows down."""

DEADLINE_S = 2.0
"""Deadline of a request, in seconds."""


class Scenario(Enum):
    """What happens to the servers during a run."""

    SPEEDS = "speeds"
    SLOW = "slow"
    COLD = "cold"
    OVERLOAD = "overload"


@dataclass(frozen=True, kw_only=True)
class ServerChoice:
    """Parameters of a comparison of all rules under one scenario.

    :param scenario: the scenario.
    :param load: rate of requests, as a fraction of what the servers can serve.
    """

    scenario: Scenario
    load: float = 0.6


async def measure_choice(experiment: ServerChoice, context: ExperimentContext) -> list[Measurement]:
    """Run the scenario with each rule and return the measurements."""
    measures: list[Measurement] = []
    for rule in RULES:
        folder = context.folder / rule
        folder.mkdir()
        measures += await _run_rule(experiment, structs.replace(context, folder=folder), rule)
    return measures


async def _run_rule(
    experiment: ServerChoice, context: ExperimentContext, rule: str
) -> list[Measurement]:
    others = (structs.replace(group, count=1) for group in SKAFT.groups if group.service != SERVICE)
    sizes = Sizes(document=SKAFT.document, groups=(GROUP, *others), controls=1, gateways=2)
    document = context.document(sizes)
    services = tuple(
        (
            structs.replace(item, deadline_ms=round(DEADLINE_S * 1_000))
            if item.name == SERVICE
            else item
        )
        for item in document.services
    )
    document = structs.replace(document, services=services)
    async with run_deployment(
        folder=context.folder, sizes=sizes, document=document, rule=rule
    ) as deployment:
        began = time.time()
        callers = await _send_requests(experiment, deployment, context.seed)
    files = [server.runs for server in deployment.servers_of(GROUP)]
    name = f"choice.{experiment.scenario.value}.{rule}"
    return _make_measurements(name, callers, _busy_seconds(files, since=began))


async def _send_requests(experiment: ServerChoice, deployment: Deployment, seed: int) -> Callers:
    balancer = deployment.balancer()
    traffic = Traffic(
        service=SERVICE,
        path=deployment.service(SERVICE).path,
        rate=capacity(GROUP) * experiment.load,
        deadline_s=DEADLINE_S,
    )
    callers = Callers(balancer=balancer, traffic=(traffic,), seed=seed)
    change_task = asyncio.create_task(_apply_change(experiment.scenario, deployment))
    await callers.run(RUN_S)
    await change_task
    return callers


async def _apply_change(scenario: Scenario, deployment: Deployment) -> None:
    await asyncio.sleep(CHANGE_AT_S)
    server = deployment.servers_of(GROUP)[-1]
    match scenario:
        case Scenario.SLOW:
            conn = await connect(server.listen)
            behaviour = Behaviour(service_ms=SERVICE_TIME_MS, slowdown=SLOWDOWN)
            await conn.request(
                method="POST",
                target="/_bench/behaviour",
                headers={},
                body=msgspec.json.encode(behaviour),
            )
            conn.close()
        case Scenario.COLD:
            deployment.processes.kill(server.name)
            deployment.restart_cold(server.name, cold_s=RUN_S)
        case Scenario.SPEEDS | Scenario.OVERLOAD:
            pass


def capacity(group: ServerGroup) -> float:
    """Return how many requests per second a group of servers can serve."""
    speeds = [group.speeds[number % len(group.speeds)] for number in range(group.count)]
    return sum(speeds) * group.slots / (group.service_ms / 1_000)


def _busy_seconds(files: list[Path], *, since: float) -> list[float]:
    """Return for each server the total service time of its requests, in seconds.

    :param files: the servers' run logs.
    :param since: wall time from which runs are counted, in seconds.
    """
    busy: dict[str, float] = defaultdict(float)
    for run in read_runs(files):
        if run.began.at >= since and run.ended is not None:
            busy[run.server] += run.ended.at - run.began.at
    return list(busy.values())


def _make_measurements(name: str, callers: Callers, busy: list[float]) -> list[Measurement]:
    answered = [call for call in callers.calls if call.outcome is Outcome.ANSWERED]
    in_time = [call for call in answered if call.ended_at - call.sent_at <= DEADLINE_S]
    histogram = callers.latency[SERVICE]
    return [
        Measurement(
            name=f"{name}.imbalance", value=max(busy) * len(busy) / sum(busy), unit="max/mean"
        ),
        Measurement(name=f"{name}.in_time", value=len(in_time) / len(callers.calls), unit="share"),
        Measurement(name=f"{name}.answered", value=len(answered) / RUN_S, unit="req/s"),
        Measurement(
            name=f"{name}.p99", value=histogram.get_value_at_percentile(99) / 1_000, unit="ms"
        ),
    ]
