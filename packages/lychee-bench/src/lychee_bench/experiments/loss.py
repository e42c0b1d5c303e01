"""Unavailable time after the loss of processes, and during a planned drain."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum

from msgspec import structs

from lychee_bench.audit import Outcome
from lychee_bench.availability import unavailable_spans
from lychee_bench.demo import busiest_owner
from lychee_bench.deployment import Deployment
from lychee_bench.experiments.setting import ExperimentContext
from lychee_bench.launch import run_deployment
from lychee_bench.load import Callers
from lychee_bench.measure import Measurement
from lychee_bench.sizes import SKAFT
from lychee_types.document_edit import with_leaving
from lychee_types.ids import ServerId
from lychee_types.timing import MAX_UNAVAILABLE_S

WARM_UP_S = 3.0
"""Duration of the load before the loss, in seconds."""

LOAD_AFTER_LOSS_S = 7.0
"""Duration of the load after the loss, in seconds."""


class LostComponent(Enum):
    """What is lost."""

    SERVER = "server"
    GATEWAY = "gateway"
    LEADER = "leader"
    DOMAIN = "domain"


@dataclass(frozen=True, kw_only=True)
class UnavailableAfterLoss:
    """Unavailable time after a loss.

    :param lost: what is lost.
    :param gateways: number of gateways.
    """

    lost: LostComponent
    gateways: int = 10


@dataclass(frozen=True, kw_only=True)
class PlannedDrain:
    """Longest unavailable time while operators drain the busiest owner.

    :param gateways: number of gateways.
    """

    gateways: int = 3


async def measure_loss(
    experiment: UnavailableAfterLoss, context: ExperimentContext
) -> list[Measurement]:
    """Return the longest unavailable time after the loss."""
    async with _deployment_under_load(experiment.gateways, context) as (deployment, callers):
        for name in await _victims(experiment.lost, deployment, callers):
            deployment.processes.kill(name)
    name = f"unavailable.{experiment.lost.value}"
    return [
        Measurement(name=name, value=_longest_span_s(callers), unit="s", bound=MAX_UNAVAILABLE_S),
        *_outcome_measures(name, callers),
    ]


async def measure_drain(experiment: PlannedDrain, context: ExperimentContext) -> list[Measurement]:
    """Return the longest unavailable time while a server leaves."""
    async with _deployment_under_load(experiment.gateways, context) as (deployment, callers):
        operator = deployment.operator
        shown = await operator.show(0, timeout_s=5.0)
        assert shown.document is not None
        server = ServerId(busiest_owner(callers))
        await operator.submit(
            with_leaving(shown.document, server, leaving=True),
            submission=f"drain-{time.time_ns()}",
            based_on=shown.version,
            author="bench",
            timeout_s=5.0,
        )
    return [
        Measurement(
            name="unavailable.drain",
            value=_longest_span_s(callers),
            unit="s",
            bound=MAX_UNAVAILABLE_S,
        ),
        *_outcome_measures("unavailable.drain", callers),
    ]


@asynccontextmanager
async def _deployment_under_load(
    gateways: int, context: ExperimentContext
) -> AsyncIterator[tuple[Deployment, Callers]]:
    """Run a deployment under load; the block starts after the warm-up.

    After the block, the load continues to its end and its outcomes are awaited.
    """
    sizes = structs.replace(SKAFT, gateways=gateways)
    async with run_deployment(
        folder=context.folder, sizes=sizes, document=context.document(sizes)
    ) as deployment:
        balancer = deployment.balancer()
        callers = Callers(balancer=balancer, traffic=deployment.traffic(), seed=context.seed)
        probe_task = asyncio.create_task(balancer.probe_readiness())
        load_task = asyncio.create_task(callers.run(WARM_UP_S + LOAD_AFTER_LOSS_S))
        try:
            await asyncio.sleep(WARM_UP_S)
            yield deployment, callers
            await load_task
        finally:
            for task in (probe_task, load_task):
                task.cancel()
            await asyncio.gather(probe_task, load_task, return_exceptions=True)


async def _victims(lost: LostComponent, deployment: Deployment, callers: Callers) -> list[str]:
    status = await deployment.operator.status(timeout_s=5.0)
    match lost:
        case LostComponent.SERVER:
            return [busiest_owner(callers)]
        case LostComponent.GATEWAY:
            return [deployment.gateways[0].name]
        case LostComponent.LEADER:
            return [status.leader]
        case LostComponent.DOMAIN:
            return deployment.names_in(deployment.document.domains[0])


def _longest_span_s(callers: Callers) -> float:
    return max((span.duration_s for span in unavailable_spans(callers.calls)), default=0.0)


def _outcome_measures(name: str, callers: Callers) -> list[Measurement]:
    counts = {
        outcome: sum(call.outcome is outcome for call in callers.calls) for outcome in Outcome
    }
    slowest = max(call.ended_at - call.sent_at for call in callers.calls)
    failed = len(callers.calls) - counts[Outcome.ANSWERED]
    wrong = counts[Outcome.WRONG] + counts[Outcome.LOST]
    return [
        Measurement(name=f"{name}.slowest_outcome", value=slowest, unit="s"),
        Measurement(name=f"{name}.calls", value=len(callers.calls), unit="req"),
        Measurement(name=f"{name}.not_answered", value=failed, unit="req"),
        Measurement(name=f"{name}.lost_or_wrong", value=wrong, unit="req", bound=0),
    ]
