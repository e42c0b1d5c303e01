"""Start of a deployment, and the wait until it serves."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from lychee_bench.deployment import Deployment
from lychee_bench.http_client import (
    ConnectionBrokenError,
    ConnectionRefusedByPeerError,
    connect,
)
from lychee_bench.processes import running_processes
from lychee_bench.relay import Network
from lychee_bench.relay import run_relays as running_relays
from lychee_bench.sizes import Sizes
from lychee_types.document import Document
from lychee_types.exceptions import UnavailableError
from lychee_types.operator_messages import (
    StatusReply,
)
from lychee_types.records import ServerStatus

START_TIMEOUT_S = 40.0
"""Time in which a started deployment must serve every service, in seconds."""

POLL_INTERVAL_S = 0.1
"""Interval between checks whether the deployment serves, in seconds."""


@asynccontextmanager
async def run_deployment(
    *,
    folder: Path,
    sizes: Sizes,
    document: Document,
    network: Network | None = None,
    rule: str = "",
    repeats: bool = False,
) -> AsyncIterator[Deployment]:
    """Run a deployment for the duration of the block, which starts once all services are served.

    :param folder: folder for the run's files.
    :param sizes: number of processes of each kind.
    :param document: the operators' document.
    :param network: if given, connections to the control replicas go through relays, so that
        the network can be cut.
    :param rule: name of the rule by which gateways choose a server, empty for their default.
    :param repeats: whether the servers repeat responses late.
    :raises UnavailableError: if it does not serve in time.
    """
    with running_processes(folder) as group:
        deployment = Deployment(folder=folder, sizes=sizes, document=document, group=group)
        deployment.rule = rule
        deployment.repeats = repeats
        relays = () if network is None else deployment.use_relays(network)
        async with running_relays(relays):
            deployment.start_controls()
            deployment.start_gateways()
            deployment.start_servers()
            await submit_initial_document(deployment)
            await wait_until_serving(deployment)
            yield deployment


async def submit_initial_document(deployment: Deployment) -> None:
    """Submit the first document of a new deployment.

    :raises UnavailableError: if it is not accepted in time.
    """
    record = await deployment.operator.submit(
        deployment.document,
        submission="bench-first",
        based_on=0,
        author="bench",
        timeout_s=START_TIMEOUT_S,
    )
    if not record.accepted:
        raise UnavailableError(
            message=f"the first document was not accepted: {record}", remedy="read the logs"
        )


async def wait_until_serving(deployment: Deployment) -> None:
    """Wait until every server has joined and each gateway serves each service.

    :raises UnavailableError: if that takes too long or a process exits.
    """
    until = time.monotonic() + START_TIMEOUT_S
    missing = "no status yet"
    while time.monotonic() < until:
        deployment.processes.check_exits()
        if deployment.processes.unexpected_exits:
            raise UnavailableError(
                message=f"a process exited unexpectedly: {deployment.processes.unexpected_exits}",
                remedy="read its log",
            )
        missing = await _find_missing(deployment)
        if not missing:
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise UnavailableError(
        message=f"the deployment does not serve in time: {missing}", remedy="read the logs"
    )


async def _find_missing(deployment: Deployment) -> str:
    try:
        status = await deployment.operator.status(timeout_s=5.0)
    except UnavailableError as exc:
        return exc.message
    return _missing_in_status(deployment, status) or await _missing_at_gateways(deployment)


def _missing_in_status(deployment: Deployment, status: StatusReply) -> str:
    joined = {
        state.record.id for state in status.servers if state.record.status is ServerStatus.JOINED
    }
    not_joined = sorted(set(deployment.servers) - joined)
    if not_joined:
        return f"servers that have not joined: {', '.join(not_joined)}"
    moving = [state.name for state in status.services if state.moving]
    return f"services with a pending transition of keys: {', '.join(moving)}" if moving else ""


async def _missing_at_gateways(deployment: Deployment) -> str:
    for gateway in deployment.gateways:
        for service in deployment.document.services:
            try:
                async with asyncio.timeout(service.deadline_ms / 1_000 + 1):
                    conn = await connect(gateway.listen)
                    response = await conn.request(
                        method="GET", target=f"{service.path}first", headers={}
                    )
                    conn.close()
            except (TimeoutError, ConnectionBrokenError, ConnectionRefusedByPeerError) as exc:
                return f"{service.name} at {gateway.name}: {type(exc).__name__} {exc}"
            if response.status != 200:
                return (
                    f"{service.name} at {gateway.name}: {response.status} {response.body[:200]!r}"
                )
    return ""
