"""The stand-in backend server, which follows the rules in docs/backend-servers.md."""

import asyncio
import time
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import pytest
import uvloop

from lychee_bench.answers import check_response_body
from lychee_bench.http_client import ClientConnection, ConnectionBrokenError, connect
from lychee_bench.http_server import HttpServer, Response
from lychee_bench.runs import open_runs, read_runs
from lychee_bench.server import BackendServer
from lychee_bench.server_settings import Behaviour, ServerSettings
from lychee_runtime.ports import free_endpoint
from lychee_types.messages import (
    Announcement,
    ServerGrant,
)


class EntryVm:
    """Stand-in for the announce address of an entry VM."""

    def __init__(self, *, lease_ms: int, fence: int) -> None:
        self.lease_ms = lease_ms
        self.fence = fence
        self.seen: list[Announcement] = []

    async def handle(self, request, conn) -> Response:
        announcement = msgspec.json.decode(request.body, type=Announcement)
        self.seen.append(announcement)
        grant = ServerGrant(
            server=announcement.server.id,
            incarnation=announcement.server.incarnation,
            number=announcement.number,
            lease_ms=self.lease_ms,
            fence=self.fence,
        )
        return Response(body=msgspec.json.encode(grant))


@asynccontextmanager
async def running(tmp_path: Path, *, entry: EntryVm | None = None, **changes):
    entries = ()
    listeners = []
    if entry is not None:
        address = free_endpoint()
        vm = HttpServer(handler=entry.handle, connections=10)
        listeners.append(await vm.listen(address.host, address.port))
        entries = (free_endpoint(), address)
    fields = {
        "id": "s1",
        "service": "repair-status",
        "domain": "nord",
        "listen": free_endpoint(),
        "entries": entries,
        "runs": str(tmp_path / "s1.jsonl"),
        "behaviour": Behaviour(service_ms=1.0),
    }
    cfg = ServerSettings(**(fields | changes))
    with open_runs(Path(cfg.runs)) as runs:
        server = BackendServer(cfg=cfg, runs=runs)
        listeners.append(await server.http.listen(cfg.listen.host, cfg.listen.port))
        task = asyncio.create_task(server.announcer.run())
        try:
            yield cfg
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            for listener in listeners:
                listener.close()


async def send_request(
    conn: ClientConnection, *, request: str = "r1", target="/x/%C3%87at%C4%B1", **headers
):
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return await conn.request(
        method="GET", target=target, headers={"Lychee-Request-Id": request} | names
    )


def run(scenario) -> None:
    uvloop.run(asyncio.wait_for(scenario, 20))


async def wait_until(condition) -> None:
    for _ in range(1_000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition was not met within 10 s")


@pytest.mark.parametrize("size", [10, 512, 65_536])
@pytest.mark.parametrize("streamed", [False, True])
def test_a_response_is_complete_and_identifies_its_request(tmp_path, size, streamed) -> None:
    async def scenario():
        async with running(tmp_path, streamed=streamed, answer_bytes=size) as cfg:
            response = await send_request(await connect(cfg.listen))
            key = "Çatı".encode().decode("latin-1")
            assert check_response_body(response.body, request="r1", key=key).server == "s1"
            assert check_response_body(response.body, request="r2", key=key) is None
            assert check_response_body(response.body[:-1], request="r1", key=key) is None

    run(scenario())


def test_a_server_that_checks_tokens_enforces_its_lease_and_fence(tmp_path) -> None:
    entry = EntryVm(lease_ms=0, fence=0)

    async def scenario():
        async with running(tmp_path, entry=entry, checks_tokens=True) as cfg:
            conn = await connect(cfg.listen)
            response = await send_request(conn, Lychee_Token="5")
            assert (response.status, response.headers["lychee-refused"]) == (503, "lease")
            assert (await send_request(conn)).status == 200
            entry.lease_ms, entry.fence = 60_000, 7
            await wait_until(lambda: entry.seen and entry.seen[-1].fence == 7)
            response = await send_request(conn, Lychee_Token="6")
            assert (response.status, response.headers["lychee-refused"]) == (503, "token")
            assert (await send_request(conn, Lychee_Token="7")).status == 200

    run(scenario())
    assert [run.began.token for run in read_runs([tmp_path / "s1.jsonl"])] == [0, 7]


def test_a_fence_is_confirmed_only_after_requests_with_lower_tokens_have_ended(tmp_path) -> None:
    entry = EntryVm(lease_ms=60_000, fence=5)

    async def scenario():
        behaviour = Behaviour(service_ms=1_000.0)
        async with running(tmp_path, entry=entry, checks_tokens=True, behaviour=behaviour) as cfg:
            await wait_until(lambda: entry.seen and entry.seen[-1].fence == 5)
            request_task = asyncio.create_task(
                send_request(await connect(cfg.listen), Lychee_Token="5")
            )
            await wait_until(lambda: entry.seen[-1].in_flight == 1)
            entry.fence = 9
            count = len(entry.seen)
            await wait_until(lambda: len(entry.seen) > count + 1)
            assert entry.seen[-1].fence == 5
            assert (await request_task).status == 200
            await wait_until(lambda: entry.seen[-1].fence == 9)

    run(scenario())


def test_requests_beyond_the_queue_or_after_the_deadline_are_refused(tmp_path) -> None:
    async def scenario():
        behaviour = Behaviour(service_ms=300.0)
        async with running(tmp_path, slots=1, queue=1, behaviour=behaviour) as cfg:
            conns = [await connect(cfg.listen) for _ in range(3)]
            responses = await asyncio.gather(*(send_request(conn) for conn in conns))
            # Requests on several connections arrive in any order.
            refused, *answered = sorted(responses, key=lambda response: -response.status)
            assert (refused.status, refused.headers["lychee-refused"]) == (503, "shed")
            assert [response.status for response in answered] == [200, 200]
            late = str(int(time.time() * 1_000) - 1)
            response = await send_request(conns[0], Lychee_Deadline=late)
            assert response.headers["lychee-refused"] == "deadline"
            first = asyncio.ensure_future(send_request(conns[0]))
            await asyncio.sleep(0.05)
            soon = str(int(time.time() * 1_000) + 20)
            second = await send_request(conns[1], Lychee_Deadline=soon)
            assert ((await first).status, second.headers["lychee-refused"]) == (200, "deadline")

    run(scenario())


def test_a_closed_connection_cancels_the_request(tmp_path) -> None:
    async def scenario():
        async with running(tmp_path, behaviour=Behaviour(service_ms=60_000.0)) as cfg:
            conn = await connect(cfg.listen)
            request_task = asyncio.create_task(send_request(conn))
            path = tmp_path / "s1.jsonl"
            await wait_until(lambda: read_runs([path]))
            conn.close()
            with pytest.raises(ConnectionBrokenError):
                await request_task
            await wait_until(lambda: read_runs([path])[0].ended is not None)

    run(scenario())
    assert [run.ended.done for run in read_runs([tmp_path / "s1.jsonl"])] == [False]


def test_connections_over_the_limit_are_shed(tmp_path) -> None:
    async def scenario():
        async with running(tmp_path, connections=1) as cfg:
            first, second = await connect(cfg.listen), await connect(cfg.listen)
            assert (await send_request(first)).status == 200
            assert (await send_request(second)).headers["lychee-refused"] == "shed"

    run(scenario())
