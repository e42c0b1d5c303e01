"""Start and stop of the daemon, also next to a second one on the same port."""

import asyncio
import signal
import sys

import pytest
from click.testing import CliRunner
from msgspec.structs import replace

from lychee_gateway.cli import main
from lychee_gateway.core import Gateway
from lychee_types.messages import (
    RenewLease,
)
from lychee_types.settings import GatewaySettings
from lychee_types.yamlfile import format_yaml

from .conftest import Caller, FakeServer, free_endpoint, open_harness, response, run


async def start_program(*args):
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        "from lychee_gateway.cli import main; main()",
        *map(str, args),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


def test_the_program_starts_serves_and_stops_with_code_0(tmp_path):
    async def scenario():
        async with open_harness(FakeServer("s1", "status")) as harness:
            path = tmp_path / "gateway.yaml"
            path.write_text(format_yaml(_settings(harness, "gateway-2")))
            process = await start_program("--settings", path)
            attached = b""
            while b"attached" not in attached:
                attached = await process.stderr.readline()
                assert attached, "the program ended"
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            assert process.returncode == 0, errors
            assert b"stopped with nothing in flight" in errors

    run(scenario())


def test_settings_are_checked(tmp_path):
    cfg = GatewaySettings(
        id="gateway-2",
        listen=free_endpoint(),
        announce=free_endpoint(),
        domain="nord",
        control=(free_endpoint(),),
    )
    text = format_yaml(cfg)
    cases = {"good": text, "bad": text.replace("domain:", "domian:"), "empty": ""}
    codes, output = [], ""
    for name, written in cases.items():
        path = tmp_path / name
        path.write_text(written)
        result = CliRunner().invoke(main, ["--settings", str(path), "--check-settings"])
        codes.append(result.exit_code)
        output += result.output
    assert codes == [0, 2, 2]
    assert "domian" in output and "remedy" in output and "Traceback" not in output


def _settings(harness, name):
    """Return settings of a second gateway on the first one's port."""
    listen = harness.gateway._listener.endpoint
    return replace(harness.cfg, id=name, listen=listen, announce=free_endpoint(), stop_notice_ms=20)


def test_a_rolling_restart_under_load_cuts_off_no_request():
    async def scenario():
        async def brief(request):
            await asyncio.sleep(0.002)
            return response(request.target)

        async with open_harness(FakeServer("s1", "status", brief)) as harness:
            address = harness.gateway._listener.endpoint
            answered, stopped = [], asyncio.Event()

            async def call(n):
                while not stopped.is_set():
                    reader, writer = await asyncio.open_connection(address.host, address.port)
                    caller = Caller(reader, writer)
                    for _ in range(3):
                        target = b"/repair-status/%d-%d" % (n, len(answered))
                        reply = await caller.get(target)
                        assert (reply.status, reply.body) == (200, target), reply
                        answered.append(target)
                        if reply.headers.get(b"connection") == b"close":
                            break
                    writer.close()

            callers = [asyncio.create_task(call(n)) for n in range(5)]
            for round_ in range(3):
                other = Gateway(cfg=_settings(harness, f"gateway-{round_ + 2}"))
                task = asyncio.create_task(other.serve())
                await harness.wait_until(lambda other=other: other.readiness().ready)
                before = len(answered)
                await harness.wait_until(lambda before=before: len(answered) > before + 60)
                other.request_stop()
                await task
                await other.cancel_tasks()
                assert other.exit_code == 0
            stopped.set()
            await asyncio.gather(*callers)

    run(scenario())


def test_a_stop_releases_the_lease_after_the_last_response():
    async def scenario():
        release = asyncio.Event()

        async def wait_for_release(request):
            await release.wait()
            return response(b"late")

        def releases():
            return [m for m in harness.control.received if isinstance(m, RenewLease) and m.ending]

        server = FakeServer("s1", "status", wait_for_release)
        async with open_harness(server, stop_notice_ms=50) as harness:
            last = asyncio.create_task(harness.get(b"/repair-status/a"))
            await harness.wait_until(lambda: server.requests)
            harness.gateway.request_stop()
            await asyncio.sleep(0.2)
            assert not releases()
            release.set()
            assert (await last).body == b"late"
            await harness.task
            assert len(releases()) == 1 and harness.control.received[-1].ending

    run(scenario())


def test_a_stop_first_ends_readiness_and_still_accepts_connections():
    async def scenario():
        async with open_harness(FakeServer("s1", "status"), stop_notice_ms=400) as harness:
            announce = await harness.caller(announce=True)
            assert (await announce.get(b"/_lychee/ready")).status == 200
            idle = await harness.caller()
            assert (await idle.get(b"/repair-status/a")).status == 200
            harness.gateway.request_stop()
            await harness.wait_until(lambda: not harness.gateway.readiness().ready)
            ready = await announce.get(b"/_lychee/ready")
            assert ready.status == 503 and b'"stopping":true' in ready.body
            reply = await harness.get(b"/repair-status/new")
            assert (reply.status, reply.headers[b"connection"]) == (200, b"close")
            address = harness.gateway._listener.endpoint
            await harness.task
            assert await idle.at_eof()
            with pytest.raises(ConnectionError):
                await asyncio.open_connection(address.host, address.port)

    run(scenario())


def test_connections_in_the_accept_queue_are_served_at_the_close():
    async def scenario():
        async with open_harness(FakeServer("s1", "status")) as harness:
            listener = harness.gateway._listener
            asyncio.get_running_loop().remove_reader(listener._sock.fileno())
            callers = [await harness.caller() for _ in range(5)]
            for caller in callers:
                caller.write(b"GET /repair-status/a HTTP/1.1\r\nHost: h\r\n\r\n")
            harness.gateway.request_stop()
            replies = [await caller.reply() for caller in callers]
            assert [reply.status for reply in replies] == [200] * 5

    run(scenario())


def test_a_connection_opened_just_before_the_close_gets_its_response():
    async def scenario():
        async with open_harness(FakeServer("s1", "status")) as harness:
            caller = await harness.caller()
            harness.gateway.request_stop()
            await harness.wait_until(lambda: harness.gateway._listener._sock.fileno() < 0)
            reply = await caller.get(b"/repair-status/a")
            assert (reply.status, reply.headers[b"connection"]) == (200, b"close")
            await harness.task

    run(scenario())
