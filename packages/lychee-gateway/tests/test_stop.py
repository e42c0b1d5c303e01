"""Starting and stopping the daemon, also beside a second one on the same port."""

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

from .conftest import Caller, FakeServer, answer, free_endpoint, open_world, run


async def program(*args):
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
        async with open_world(FakeServer("s1", "status")) as world:
            path = tmp_path / "gateway.yaml"
            path.write_text(format_yaml(_settings(world, "gateway-2")))
            process = await program("--settings", path)
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
    codes, said = [], ""
    for name, written in cases.items():
        path = tmp_path / name
        path.write_text(written)
        result = CliRunner().invoke(main, ["--settings", str(path), "--check-settings"])
        codes.append(result.exit_code)
        said += result.output
    assert codes == [0, 2, 2]
    assert "domian" in said and "remedy" in said and "Traceback" not in said


def _settings(world, name):
    """Return settings of a second gateway on the first one's port."""
    listen = world.gateway._listener.endpoint
    return replace(world.cfg, id=name, listen=listen, announce=free_endpoint(), stop_notice_ms=20)


def test_a_rolling_restart_under_load_cuts_off_no_request():
    async def scenario():
        async def brief(seen):
            await asyncio.sleep(0.002)
            return answer(seen.target)

        async with open_world(FakeServer("s1", "status", brief)) as world:
            address = world.gateway._listener.endpoint
            done, over = [], asyncio.Event()

            async def call(n):
                while not over.is_set():
                    reader, writer = await asyncio.open_connection(address.host, address.port)
                    caller = Caller(reader, writer)
                    for _ in range(3):
                        target = b"/repair-status/%d-%d" % (n, len(done))
                        reply = await caller.get(target)
                        assert (reply.status, reply.body) == (200, target), reply
                        done.append(target)
                        if reply.headers.get(b"connection") == b"close":
                            break
                    writer.close()

            callers = [asyncio.create_task(call(n)) for n in range(5)]
            for round_ in range(3):
                other = Gateway(cfg=_settings(world, f"gateway-{round_ + 2}"))
                task = asyncio.create_task(other.serve())
                await world.until(lambda other=other: other.readiness().ready)
                before = len(done)
                await world.until(lambda before=before: len(done) > before + 60)
                other.request_stop()
                await task
                await other.cancel_tasks()
                assert other.exit_code == 0
            over.set()
            await asyncio.gather(*callers)

    run(scenario())


def test_a_stop_hands_the_lease_back_after_the_last_answer():
    async def scenario():
        release = asyncio.Event()

        async def held(seen):
            await release.wait()
            return answer(b"late")

        def endings():
            return [m for m in world.control.got if isinstance(m, RenewLease) and m.ending]

        server = FakeServer("s1", "status", held)
        async with open_world(server, stop_notice_ms=50) as world:
            last = asyncio.create_task(world.get(b"/repair-status/a"))
            await world.until(lambda: server.seen)
            world.gateway.request_stop()
            await asyncio.sleep(0.2)
            assert not endings()
            release.set()
            assert (await last).body == b"late"
            await world.task
            assert len(endings()) == 1 and world.control.got[-1].ending

    run(scenario())


def test_a_stop_turns_readiness_red_first_and_still_accepts():
    async def scenario():
        async with open_world(FakeServer("s1", "status"), stop_notice_ms=400) as world:
            announce = await world.caller(announce=True)
            assert (await announce.get(b"/_lychee/ready")).status == 200
            idle = await world.caller()
            assert (await idle.get(b"/repair-status/a")).status == 200
            world.gateway.request_stop()
            await world.until(lambda: not world.gateway.readiness().ready)
            ready = await announce.get(b"/_lychee/ready")
            assert ready.status == 503 and b'"stopping":true' in ready.body
            reply = await world.get(b"/repair-status/new")
            assert (reply.status, reply.headers[b"connection"]) == (200, b"close")
            address = world.gateway._listener.endpoint
            await world.task
            assert await idle.at_eof()
            with pytest.raises(ConnectionError):
                await asyncio.open_connection(address.host, address.port)

    run(scenario())


def test_connections_in_the_accept_queue_are_served_at_the_close():
    async def scenario():
        async with open_world(FakeServer("s1", "status")) as world:
            listener = world.gateway._listener
            asyncio.get_running_loop().remove_reader(listener._sock.fileno())
            callers = [await world.caller() for _ in range(5)]
            for caller in callers:
                caller.write(b"GET /repair-status/a HTTP/1.1\r\nHost: h\r\n\r\n")
            world.gateway.request_stop()
            replies = [await caller.reply() for caller in callers]
            assert [reply.status for reply in replies] == [200] * 5

    run(scenario())


def test_a_connection_opened_just_before_the_close_gets_its_answer():
    async def scenario():
        async with open_world(FakeServer("s1", "status")) as world:
            caller = await world.caller()
            world.gateway.request_stop()
            await world.until(lambda: world.gateway._listener._sock.fileno() < 0)
            reply = await caller.get(b"/repair-status/a")
            assert (reply.status, reply.headers[b"connection"]) == (200, b"close")
            await world.task

    run(scenario())
