"""Planned stops and leaving servers, in a whole deployment within one process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest
import uvloop

from lychee_bench.audit import Outcome
from lychee_bench.balancer import Balancer, GatewayAddresses
from lychee_bench.load import Callers, Traffic
from lychee_bench.operator import Operator
from lychee_bench.runs import open_runs, read_runs
from lychee_bench.server import BackendServer
from lychee_bench.server_settings import Behaviour, ServerSettings
from lychee_bench.slow_callers import SEND_ON_S, SlowCaller, count_whole, open_slow
from lychee_control.core import ControlDaemon
from lychee_gateway.core import Gateway
from lychee_runtime import Daemon
from lychee_runtime.ports import free_endpoints
from lychee_types.document import Document, RequestKind, Service
from lychee_types.document_edit import with_leaving
from lychee_types.operator_messages import (
    StatusReply,
)
from lychee_types.settings import ControlSettings, GatewaySettings, PeerSettings

TIMEOUT_S = 20
REQUEST_TIMEOUT_S = 5.0
LEAVING_TIMEOUT_S = 3.0
STOP_NOTICE_MS = 500
LATE_SEND_S = STOP_NOTICE_MS / 1_000 + 0.3
"""Time after which a stop looks for idle connections, and an answer is still on a slow link."""

DOCUMENT = Document(
    organisation="o",
    domains=("nord",),
    services=(
        Service(
            name="status",
            path="/status/",
            kind=RequestKind.KEYED,
            idempotent=True,
            deadline_ms=1_000,
        ),
        Service(
            name="booking",
            path="/booking/",
            kind=RequestKind.FREE,
            idempotent=False,
            deadline_ms=3_000,
        ),
    ),
)
LOOKUPS = Traffic(service="status", path="/status/", rate=60.0, deadline_s=1.0, keyed=True)


class Deployed:
    """Three control replicas, two gateways and two servers of each service."""

    def __init__(self, *, folder: Path, booking_ms: float = 30.0) -> None:
        service_ms = {"status": 20.0, "booking": booking_ms}
        here = free_endpoints(11)
        peers = tuple(PeerSettings(id=f"c{n}", endpoint=here[n]) for n in range(3))
        self.controls: dict[str, Daemon] = {
            peer.id: ControlDaemon(
                cfg=ControlSettings(
                    id=peer.id,
                    listen=peer.endpoint,
                    domain="nord",
                    data=str(folder / peer.id),
                    replicas=peers,
                )
            )
            for peer in peers
        }
        self.gateway_addresses = tuple(
            GatewayAddresses(name=f"g{n}", listen=here[2 * n + 1], announce=here[2 * n + 2])
            for n in (1, 2)
        )
        self.gateways = [
            Gateway(
                cfg=GatewaySettings(
                    id=entry.name,
                    listen=entry.listen,
                    announce=entry.announce,
                    domain="nord",
                    control=here[:3],
                    stop_notice_ms=STOP_NOTICE_MS,
                )
            )
            for entry in self.gateway_addresses
        ]
        self.servers = [
            ServerSettings(
                id=f"{service}-{n}",
                service=service,
                domain="nord",
                listen=listen,
                entries=tuple(entry.announce for entry in self.gateway_addresses),
                runs=str(folder / f"{service}-{n}.jsonl"),
                behaviour=Behaviour(service_ms=service_ms[service]),
            )
            for (service, n), listen in zip(
                ((service, n) for service in ("status", "booking") for n in (1, 2)),
                here[7:],
                strict=True,
            )
        ]
        self.operator = Operator(controls=here[:3])
        self.tasks: dict[Daemon, asyncio.Task[None]] = {}

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Deployed"]:
        async with AsyncExitStack() as stack:
            for daemon in (*self.controls.values(), *self.gateways):
                self.tasks[daemon] = asyncio.create_task(daemon.serve())
                stack.push_async_callback(self._end, daemon)
            for cfg in self.servers:
                await stack.enter_async_context(_serving(cfg))
            await self.operator.submit(
                DOCUMENT, submission="first", based_on=0, author="a", timeout_s=TIMEOUT_S
            )
            while not self._serves(await self.status()):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            yield self

    async def status(self) -> StatusReply:
        return await self.operator.status(timeout_s=REQUEST_TIMEOUT_S)

    async def stop(self, daemon: Daemon) -> None:
        """Stop a daemon as a service manager does, and check that it exits cleanly."""
        daemon.request_stop()
        await self.tasks[daemon]
        await daemon.cancel_tasks()
        assert daemon.exit_code == 0
        assert not isinstance(daemon, Gateway) or len(daemon._callers) == 0

    def callers(self, *, bookings: float = 5.0, seed: int = 5) -> Callers:
        """Return callers that send that many bookings per second."""
        booking = Traffic(
            service="booking", path="/booking/", rate=bookings, deadline_s=3.0, at_most_once=True
        )
        balancer = Balancer(gateways=self.gateway_addresses)
        return Callers(balancer=balancer, traffic=(LOOKUPS, booking), seed=seed)

    def _serves(self, status: StatusReply) -> bool:
        shares = [state.share for state in status.servers if state.record.service == "status"]
        ready = all(gateway.readiness().ready for gateway in self.gateways)
        moving = any(service.moving for service in status.services)
        return ready and not moving and len(status.servers) == 4 and 0.0 not in shares

    async def _end(self, daemon: Daemon) -> None:
        self.tasks[daemon].cancel()
        await asyncio.gather(self.tasks[daemon], return_exceptions=True)
        await daemon.cancel_tasks()


@asynccontextmanager
async def _serving(cfg: ServerSettings) -> AsyncIterator[None]:
    with open_runs(Path(cfg.runs)) as runs:
        server = BackendServer(cfg=cfg, runs=runs)
        listener = await server.http.listen(cfg.listen.host, cfg.listen.port)
        task = asyncio.create_task(server.announcer.run())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            listener.close()


async def send(callers: Callers, seconds: float) -> None:
    watching = asyncio.create_task(callers._balancer.probe_readiness())
    try:
        await callers.run(seconds)
    finally:
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)


def failures(callers: Callers) -> list[str]:
    return [
        f"{call.request} {call.service} {call.outcome} {call.detail}"
        for call in callers.calls
        if call.outcome is not Outcome.ANSWERED
    ]


def test_planned_stops_of_a_gateway_and_of_the_leader_cut_off_no_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployed(folder=tmp_path, booking_ms=750.0).running() as deployed:
            callers = deployed.callers()
            sending = asyncio.create_task(send(callers, 1.5))
            await asyncio.sleep(0.4)
            leader = (await deployed.status()).leader
            await asyncio.gather(
                deployed.stop(deployed.gateways[0]), deployed.stop(deployed.controls[leader])
            )
            await sending
            assert len(callers.calls) > 50 and failures(callers) == []
            runs = read_runs(tuple(Path(cfg.runs) for cfg in deployed.servers))
            booked = [run.began.request for run in runs if run.server.startswith("booking")]
            assert len(booked) == len(set(booked))

    uvloop.run(asyncio.wait_for(scenario(), TIMEOUT_S))


@pytest.mark.parametrize(
    ("first", "send_on_s"), [(1, SEND_ON_S), (2, SEND_ON_S), (4, SEND_ON_S), (1, LATE_SEND_S)]
)
def test_callers_on_slow_links_get_each_response_whole_at_a_planned_stop(
    tmp_path: Path, first: int, send_on_s: float
) -> None:
    async def scenario() -> None:
        async with Deployed(folder=tmp_path).running() as deployed:
            with await open_slow(deployed.gateway_addresses[0].listen) as sock:
                caller = SlowCaller(
                    name="slow",
                    path="/status/",
                    sock=sock,
                    first=first,
                    asks_to_close=False,
                    send_on_s=send_on_s,
                )
                calling = asyncio.create_task(caller.call())
                while not caller.received:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
                await deployed.stop(deployed.gateways[0])
                whole = await calling
            runs = read_runs(tuple(Path(cfg.runs) for cfg in deployed.servers))
            ran = [run for run in runs if run.began.key == "slow" and run.ended and run.ended.done]
            rest = count_whole(bytes(caller.received), name="slow")[1]
            assert whole >= len(ran) >= 1 and not rest, (whole, len(ran), len(rest))

    uvloop.run(asyncio.wait_for(scenario(), TIMEOUT_S))


def test_a_leaving_server_gets_no_new_work_after_a_few_seconds(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployed(folder=tmp_path).running() as deployed:
            leaving = {"status-1", "booking-1"}
            document = DOCUMENT
            for server in sorted(leaving):
                document = with_leaving(document, server, leaving=True)
            sending = asyncio.create_task(send(deployed.callers(), 1.0))
            await asyncio.sleep(0.2)
            async with asyncio.timeout(LEAVING_TIMEOUT_S):
                await deployed.operator.submit(
                    document,
                    submission="leave",
                    based_on=1,
                    author="a",
                    timeout_s=REQUEST_TIMEOUT_S,
                )
                while not have_left(await deployed.status(), leaving):  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
            await sending
            runs = tuple(Path(cfg.runs) for cfg in deployed.servers if cfg.id in leaving)
            before = len(read_runs(runs))
            callers = deployed.callers(bookings=40.0, seed=6)
            await send(callers, 0.5)
            assert failures(callers) == []
            assert before and len(read_runs(runs)) == before

    uvloop.run(asyncio.wait_for(scenario(), TIMEOUT_S))


def have_left(status: StatusReply, leaving: set[str]) -> bool:
    """Return whether the servers own no keys and every gateway uses the new document."""
    owners = [state.share for state in status.servers if state.record.id in leaving]
    behind = [state for state in status.gateways if state.document_version < 2]
    return not any(owners) and not behind and not any(s.moving for s in status.services)
