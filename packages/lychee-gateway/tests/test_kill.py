"""Gateway processes that are killed or paused during an exchange."""

import asyncio
import signal
import sys
from contextlib import asynccontextmanager

import pytest
from msgspec.structs import replace

from lychee_types.records import LedgerStatus
from lychee_types.yamlfile import format_yaml

from .conftest import Caller, FakeServer, free_endpoint, open_harness, response, run, services

GATEWAY_PROGRAM = "from lychee_gateway.cli import main; main()"
BOOKING = (
    b"POST /bench-booking/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
    b"Content-Length: 6\r\n\r\nmonday"
)


@asynccontextmanager
async def other_gateway(harness, tmp_path):
    """Run a second gateway as a process, and yield it with a connection to it."""
    listen = free_endpoint()
    cfg = replace(harness.cfg, id="gateway-2", listen=listen, announce=free_endpoint())
    path = tmp_path / "gateway.yaml"
    path.write_text(format_yaml(cfg))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        GATEWAY_PROGRAM,
        "--settings",
        str(path),
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        line = b""
        while b"serving callers" not in line:
            line = await process.stderr.readline()
            assert line, "the program ended"
        yield process, Caller(*await asyncio.open_connection(listen.host, listen.port))
    finally:
        if process.returncode is None:
            process.kill()
        await process.communicate()


def resend(harness):
    headers = (b"Idempotency-Key: k",)
    return harness.get(b"/bench-booking/1", method=b"POST", body=b"monday", headers=headers)


@pytest.mark.parametrize("point", ["while the server runs it", "after the answer"])
def test_a_booking_is_run_once_when_its_gateway_is_killed(tmp_path, point):
    async def scenario():
        release = asyncio.Event()

        async def wait_for_release(request):
            await release.wait()
            return response(b"booked")

        server = FakeServer("b1", "booking", wait_for_release)
        async with open_harness(server) as harness:
            async with other_gateway(harness, tmp_path) as (process, caller):
                caller.write(BOOKING)
                await harness.wait_until(lambda: server.requests)
                if point == "after the answer":
                    release.set()
                    assert (await caller.reply()).body == b"booked"
                    entry = harness.control.ledger["booking/k"]
                    assert entry.status is LedgerStatus.ANSWERED
                process.kill()
                await process.wait()
            reply = await resend(harness)
            release.set()
            if point == "after the answer":
                assert (reply.status, reply.body) == (200, b"booked")
            else:
                assert (reply.status, reply.headers[b"lychee-outcome"]) == (502, b"unknown")
        assert len(server.requests) == 1

    run(scenario())


def test_a_paused_gateway_sends_nothing_on_its_old_lease(tmp_path):
    async def scenario():
        server = FakeServer("s1", "status")
        async with open_harness(server, document=services(deadline_ms=400)) as harness:
            harness.control.lease_ms = 700
            async with other_gateway(harness, tmp_path) as (process, caller):
                caller.write(b"GET /repair-status/a HTTP/1.1\r\nHost: h\r\n\r\n")
                assert (await caller.reply()).status == 200
                process.send_signal(signal.SIGSTOP)
                caller.write(b"GET /repair-status/b HTTP/1.1\r\nHost: h\r\n\r\n")
                harness.control.grants_leases = False
                await asyncio.sleep(0.8)
                process.send_signal(signal.SIGCONT)
                reply = await caller.reply()
                assert (reply.status, reply.headers[b"lychee-outcome"]) == (503, b"not-run")
        assert len(server.requests) == 1

    run(scenario())
