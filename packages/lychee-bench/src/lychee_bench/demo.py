"""Demo: a short run of a deployment in which an owner and the control leader are killed."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from lychee_bench.deployment import Deployment
from lychee_bench.folder import load_document, run_folder
from lychee_bench.launch import run_deployment
from lychee_bench.load import Callers
from lychee_bench.report import (
    format_services,
    format_table,
    format_verdict,
    list_failures,
    make_report,
)
from lychee_bench.runs import read_runs
from lychee_bench.sizes import Sizes

OWNER_KILLED_AT_S = 6.0
"""Time at which an owner is killed, in seconds from the first request."""

LEADER_KILLED_AT_S = 12.0
"""Time at which the control leader is killed, in seconds from the first request."""

Print = Callable[[str], None]


class DemoPlan(Struct, frozen=True, kw_only=True):
    """Parameters of a demo.

    :param sizes: number of processes of each kind.
    :param document: file with the operators' document.
    :param seconds: how long requests are sent.
    :param seed: seed of arrival times and keys.
    """

    sizes: Sizes
    document: Path
    seconds: float
    seed: int


async def run_demo(plan: DemoPlan, *, out: Print) -> bool:
    """Run the demo and return whether it passed.

    :param plan: its parameters.
    :param out: prints text.
    """
    document = load_document(plan.document)
    with run_folder() as folder:
        out(f"run folder {folder.path}")
        async with run_deployment(
            folder=folder.path, sizes=plan.sizes, document=document
        ) as deployment:
            out(f"served: {_describe_sizes(plan.sizes)}; sending requests for {plan.seconds:g} s")
            callers = await _send_requests(deployment, plan, out=out)
            deployment.processes.check_exits()
            exits = tuple(deployment.processes.unexpected_exits)
        runs = read_runs(deployment.run_files())
        report = make_report(callers=callers, runs=runs, exits=exits)
        reasons = list_failures(report, spans=report.spans)
        out(format_services(report, callers.latency))
        out(format_table(report))
        folder.passed = not reasons
        if reasons:
            out(f"logs kept in {folder.path}")
        out(format_verdict(reasons))
        return not reasons


def _describe_sizes(sizes: Sizes) -> str:
    servers = sum(group.count for group in sizes.groups)
    return f"{sizes.controls} control replicas, {sizes.gateways} gateways, {servers} servers"


async def _send_requests(deployment: Deployment, plan: DemoPlan, *, out: Print) -> Callers:
    balancer = deployment.balancer()
    callers = Callers(balancer=balancer, traffic=deployment.traffic(), seed=plan.seed)
    probe_task = asyncio.create_task(balancer.probe_readiness())
    kill_task = asyncio.create_task(_kill_owner_and_leader(deployment, callers, out=out))
    try:
        await callers.run(plan.seconds)
        await kill_task
    finally:
        for task in (probe_task, kill_task):
            task.cancel()
        await asyncio.gather(probe_task, kill_task, return_exceptions=True)
    return callers


async def _kill_owner_and_leader(deployment: Deployment, callers: Callers, *, out: Print) -> None:
    await asyncio.sleep(OWNER_KILLED_AT_S)
    owner = busiest_owner(callers)
    deployment.processes.kill(owner)
    out(f"{OWNER_KILLED_AT_S:5.1f} s: killed owner {owner}")
    await asyncio.sleep(LEADER_KILLED_AT_S - OWNER_KILLED_AT_S)
    leader = (await deployment.operator.status(timeout_s=5.0)).leader
    deployment.processes.kill(leader)
    out(f"{LEADER_KILLED_AT_S:5.1f} s: killed control leader {leader}")


def busiest_owner(callers: Callers) -> str:
    """Return the server that owns most of the requested keys."""
    owners = [server for group, server in callers.last_server_of.items() if "/" in group]
    return max(sorted(set(owners)), key=owners.count)
