"""A gateway process that is suspended past its lease while a keyed request waits in it.

When it resumes, its lease has expired and another server may own the key, so it must not send the
request any more.
"""

import asyncio
from contextlib import AsyncExitStack, suppress
from pathlib import Path

from lychee_bench.http_client import ConnectionRefusedByPeerError, connect
from lychee_bench.processes import executable, running_processes
from lychee_runtime import LinkService, serve_links
from lychee_runtime.ports import free_endpoints
from lychee_types.commands import (
    BeginTransition,
    FinishTransition,
    JoinServer,
    SubmitDocument,
)
from lychee_types.document import Document, RequestKind, Service
from lychee_types.messages import (
    ATTACH,
    Attach,
    Delta,
    Deltas,
    GrantLease,
    RenewLease,
    ToControl,
    ToGateway,
)
from lychee_types.records import Member, Placement, ServerRecord
from lychee_types.settings import GatewaySettings
from lychee_types.timing import Timing
from lychee_types.yamlfile import format_yaml

TIMEOUT_S = 20
TIMING = Timing(lease_ms=400, renew_ms=100, drift_ms=50, suspect_ms=300)
SUSPEND_S = 0.42
GRANT_DELAY_S = 0.2


class Control:
    """Stand-in for a control replica: one server owns all keys, and lease grants are delayed."""

    def __init__(self, server: ServerRecord) -> None:
        self.granting = True
        status = Service(
            name="status",
            path="/status/",
            kind=RequestKind.KEYED,
            idempotent=True,
            deadline_ms=1_500,
        )
        placed = Placement(members=(Member(server=server.id, weight=1.0),))
        commands = (
            SubmitDocument(
                submission="s",
                based_on=0,
                author="a",
                document=Document(organisation="o", domains=("nord",), services=(status,)),
            ),
            JoinServer(server=server),
            BeginTransition(service="status", target=placed),
            FinishTransition(service="status", begun=3),
        )
        entries = tuple(Delta(index=n, command=c) for n, c in enumerate(commands, 1))
        self._deltas = Deltas(entries=entries, upto=len(entries))

    async def serve(self, link) -> None:
        while batch := await link.receive():
            for message in batch:
                if isinstance(message, Attach):
                    link.post(self._deltas)
                if isinstance(message, RenewLease) and self.granting:
                    grant = GrantLease(
                        session=message.session, number=message.number, lease_ms=TIMING.lease_ms
                    )
                    asyncio.get_running_loop().call_later(GRANT_DELAY_S, link.post, grant)
                link.post(Deltas(entries=(), upto=0))


class Server:
    """Stand-in for a backend server that responds once ``answering`` is set."""

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.answering = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.targets.append(head.split(b" ")[1].decode())
                await self.answering.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()


async def get(endpoint, target: str):
    conn = await connect(endpoint)
    try:
        return await conn.request(method="GET", target=target, headers={})
    finally:
        conn.close()


async def wait_until_ready(announce) -> None:
    while True:
        with suppress(ConnectionRefusedByPeerError):
            if (await get(announce, "/_lychee/ready")).status == 200:
                return
        await asyncio.sleep(0.05)


async def suspend_gateway_past_its_lease(folder: Path) -> None:
    server, here = Server(), free_endpoints(4)
    record = ServerRecord(
        id="status-1",
        incarnation=1,
        endpoint=here[0],
        domain="nord",
        service="status",
        slots=1,
        connections=9,
    )
    control = Control(record)
    service = LinkService(name="gateway")
    service.add(method=ATTACH, send=ToGateway, receive=ToControl, handler=control.serve)
    cfg = GatewaySettings(
        id="g1",
        listen=here[1],
        announce=here[2],
        domain="nord",
        control=here[3:],
        timing=TIMING,
        stop_notice_ms=0,
    )
    (folder / "g1.yaml").write_text(format_yaml(cfg), encoding="utf-8")
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(serve_links(service=service, endpoint=here[3]))
        await stack.enter_async_context(
            await asyncio.start_server(server.serve, here[0].host, here[0].port)
        )
        group = stack.enter_context(running_processes(folder))
        group.start("g1", (executable("lychee-gateway"), "--settings", str(folder / "g1.yaml")))
        await wait_until_ready(here[2])
        calls = [asyncio.create_task(get(here[1], f"/status/{n}")) for n in (1, 2)]
        while not server.targets:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        assert len(server.targets) == 1
        group.freeze("g1")
        control.granting = False
        server.answering.set()
        await asyncio.sleep(SUSPEND_S)
        group.thaw("g1")
        responses = await asyncio.gather(*calls)
        assert sorted(response.status for response in responses) == [200, 503]
        rejection = next(response for response in responses if response.status == 503)
        assert rejection.headers["lychee-outcome"] == "not-run"
        assert len(server.targets) == 1
        control.granting = True
        await wait_until_ready(here[2])
        assert (await get(here[1], "/status/3")).status == 200


def test_a_gateway_does_not_send_a_request_that_waited_past_its_lease(tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(suspend_gateway_past_its_lease(tmp_path), TIMEOUT_S))
