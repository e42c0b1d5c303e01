"""Soak test: a run of a whole deployment under random faults."""

import asyncio
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from msgspec import Struct

from lychee_bench.audit import Violation
from lychee_bench.availability import Span
from lychee_bench.deployment import Deployment
from lychee_bench.folder import load_document, run_folder
from lychee_bench.injector import Injector, LeavingSpan
from lychee_bench.launch import run_deployment, wait_until_serving
from lychee_bench.load import Callers
from lychee_bench.relay import Network
from lychee_bench.report import (
    Report,
    format_services,
    format_table,
    format_verdict,
    list_failures,
    make_report,
)
from lychee_bench.runs import Run, read_runs
from lychee_bench.schedule import (
    RECOVERY_S,
    Fault,
    FaultTargets,
    Leave,
    Race,
    describe_action,
    format_schedule,
    make_schedule,
)
from lychee_bench.sizes import Sizes, with_one_server_each
from lychee_bench.slow_callers import SlowCallers
from lychee_types.document import BodyMode
from lychee_types.exceptions import UnavailableError
from lychee_types.timing import MAX_UNAVAILABLE_S

WORK_WHILE_LEAVING = "a leaving server got new work"
NOT_SERVED_AFTERWARDS = "not served after the faults"


class SoakPlan(Struct, frozen=True, kw_only=True):
    """Parameters of a soak test.

    :param sizes: number of processes of each kind.
    :param document: file with the operators' document.
    :param seconds: how long requests are sent.
    :param seed: seed of faults, arrival times and keys.
    :param rate: factor on the request rates that the sizes give.
    :param repeats: whether the servers repeat responses late; the audit finds requests that ran
        twice, and those that were refused and ran.
    """

    sizes: Sizes
    document: Path
    seconds: float
    seed: int
    rate: float
    repeats: bool = False


async def run_soak(plan: SoakPlan, *, out: Callable[[str], None]) -> bool:
    """Run a soak test and return whether it passed.

    :param plan: its parameters.
    :param out: prints text.
    """
    document = load_document(plan.document)
    network = Network()
    sizes = plan.sizes
    if plan.repeats:
        at_most_once = [s.name for s in document.services if not s.idempotent]
        sizes = with_one_server_each(sizes, at_most_once)
    with run_folder() as folder:
        async with run_deployment(
            folder=folder.path,
            sizes=sizes,
            document=document,
            network=network,
            repeats=plan.repeats,
        ) as deployment:
            schedule = make_schedule(
                seed=plan.seed, seconds=plan.seconds, targets=make_fault_targets(deployment)
            )
            out(f"seed {plan.seed}, run folder {folder.path}\n{format_schedule(schedule)}")
            injector = Injector(deployment=deployment, network=network, out=out)
            slow = make_slow_callers(deployment)
            callers = await _send_requests(deployment, injector, plan, schedule, slow)
            afterwards = await _check_afterwards(deployment, injector)
            exits = tuple(deployment.processes.unexpected_exits)
        runs = read_runs(deployment.run_files())
        report = make_report(callers=callers, runs=runs, exits=exits)
        violations = [*injector.violations, *injector.documents.violations, *afterwards]
        violations += slow.violations
        violations += work_while_leaving(runs, injector.leaving_spans)
        reasons = [f"{violation.kind}: {violation.detail}" for violation in violations]
        reasons += list_failures(report, spans=_single_fault_spans(report, injector))
        out(format_services(report, callers.latency))
        out(format_table(report))
        out(slow.summary())
        out(format_spans(report, injector))
        folder.passed = not reasons
        if reasons:
            out(f"logs kept in {folder.path}")
        out(format_verdict(reasons))
        return not reasons


def make_fault_targets(deployment: Deployment) -> FaultTargets:
    """Return the processes of a deployment that faults may hit."""
    return FaultTargets(
        controls=tuple(deployment.controls),
        gateways=tuple(gateway.name for gateway in deployment.gateways),
        servers=tuple(deployment.servers),
    )


def make_slow_callers(deployment: Deployment) -> SlowCallers:
    """Return slow callers of a service whose responses a fault of a server cannot cut."""
    services = deployment.document.services
    path = next(s.path for s in services if s.idempotent and s.body is BodyMode.WHOLE)
    return SlowCallers(
        gateways=deployment.gateways, path=path, process_id=deployment.processes.running_pid
    )


async def _send_requests(
    deployment: Deployment,
    injector: Injector,
    plan: SoakPlan,
    schedule: tuple[Fault, ...],
    slow: SlowCallers,
) -> Callers:
    balancer = deployment.balancer()
    callers = Callers(
        balancer=balancer, traffic=deployment.traffic(factor=plan.rate), seed=plan.seed
    )
    monitor_tasks = [
        asyncio.create_task(balancer.probe_readiness()),
        asyncio.create_task(injector.poll_status()),
    ]
    injector_task = asyncio.create_task(injector.run(schedule))
    slow_task = asyncio.create_task(slow.run(plan.seconds))
    try:
        await callers.run(plan.seconds)
        await injector_task
        await slow_task
    finally:
        tasks = [*monitor_tasks, injector_task, slow_task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return callers


async def _check_afterwards(deployment: Deployment, injector: Injector) -> list[Violation]:
    try:
        await wait_until_serving(deployment)
    except UnavailableError as exc:
        return [Violation(kind=NOT_SERVED_AFTERWARDS, detail=exc.message)]
    finally:
        await injector.check_documents()
    return []


def work_while_leaving(runs: Sequence[Run], spans: Sequence[LeavingSpan]) -> Iterator[Violation]:
    """Yield a violation for each request that a server started while it was to get none."""
    for span in spans:
        for run in runs:
            if run.server == span.server and span.began < run.began.at < span.ended:
                detail = f"{run.server} request {run.began.request} at {run.began.at:.3f}"
                yield Violation(kind=WORK_WHILE_LEAVING, detail=detail)


def active_faults(span: Span, active_times: dict[Fault, tuple[float, float]]) -> list[Fault]:
    """Return the faults that may explain an unavailable span.

    Operators' actions are left out: they must not make a service unavailable.
    """
    active = faults_around(span, active_times)
    return [fault for fault in active if not isinstance(fault.action, Race | Leave)]


def faults_around(span: Span, active_times: dict[Fault, tuple[float, float]]) -> list[Fault]:
    """Return the faults and operators' actions that were active in a span or shortly before."""
    return [
        fault
        for fault, (began, ended) in active_times.items()
        if began < span.ended and span.began < ended + RECOVERY_S
    ]


def _single_fault_spans(report: Report, injector: Injector) -> tuple[Span, ...]:
    return tuple(
        span for span in report.spans if len(active_faults(span, injector.active_times)) <= 1
    )


def format_spans(report: Report, injector: Injector) -> str:
    """Return the longest unavailable spans as text, with the faults around each."""
    spans = sorted(report.spans, key=lambda span: -span.duration_s)
    lines = [f"unavailable spans: {len(spans)}, bound {MAX_UNAVAILABLE_S:g} s under a single fault"]
    for span in spans[:5]:
        active = faults_around(span, injector.active_times)
        names = " + ".join(describe_action(fault.action) for fault in active) or "nothing"
        lines.append(f"  {span.duration_s:6.2f} s {span.group}: {names}")
    return "\n".join(lines)
