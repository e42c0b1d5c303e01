"""Streams of messages between processes."""

import asyncio
import time
from threading import Thread

import pytest
import uvloop

from lychee_runtime import LinkService, open_link, serve_links
from lychee_runtime.ports import free_endpoint
from lychee_types.exceptions import UnavailableError
from lychee_types.messages import (
    EndSession,
    GrantLease,
    ToGateway,
)


def test_messages_arrive_whole_and_in_order() -> None:
    async def echo(link):
        while batch := await link.receive():
            for message in batch:
                link.post(message)

    async def scenario():
        endpoint = free_endpoint()
        service = LinkService(name="gateway")
        service.add(method="/t.T/Echo", send=ToGateway, receive=ToGateway, handler=echo)
        sent = [GrantLease(session="s", number=n, lease_ms=1) for n in range(500)]
        sent.append(EndSession(session="s"))
        async with (
            serve_links(service=service, endpoint=endpoint),
            open_link(
                endpoint=endpoint, method="/t.T/Echo", send=ToGateway, receive=ToGateway
            ) as link,
        ):
            for message in sent:
                link.post(message)
            got = []
            while len(got) < len(sent):
                got.extend(await link.receive())
        assert got == sent

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_a_refused_connection_is_an_error_with_a_remedy() -> None:
    async def scenario():
        async with open_link(
            endpoint=free_endpoint(), method="/t.T/Echo", send=ToGateway, receive=ToGateway
        ):
            pass

    with pytest.raises(UnavailableError, match="check that the process runs"):
        asyncio.run(scenario())


def test_a_broken_link_leaves_the_task_uncancelled() -> None:
    """grpclib cancels the task that waits on a broken connection, and never calls uncancel."""

    async def reset(reader, writer):
        await asyncio.sleep(0.1)
        writer.transport.abort()

    async def scenario() -> int:
        endpoint = free_endpoint()
        server = await asyncio.start_server(reset, endpoint.host, endpoint.port)
        with pytest.raises(UnavailableError):
            async with open_link(
                endpoint=endpoint, method="/t.T/Echo", send=ToGateway, receive=ToGateway
            ) as link:
                await link.receive()
        server.close()
        return asyncio.current_task().cancelling()

    assert asyncio.run(scenario()) == 0


def serve_in_thread(endpoint, handler):
    """Serve links in another thread until a function that is returned is called."""
    service = LinkService(name="gateway")
    service.add(method="/t.T/Echo", send=ToGateway, receive=ToGateway, handler=handler)
    loop, ended = asyncio.new_event_loop(), asyncio.Event()

    async def serve():
        async with serve_links(service=service, endpoint=endpoint):
            await ended.wait()

    thread = Thread(target=loop.run_until_complete, args=(serve(),))
    thread.start()

    def stop():
        loop.call_soon_threadsafe(ended.set)
        thread.join(10)
        loop.close()

    return stop


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_message_that_arrives_while_the_loop_is_busy_breaks_the_silence(run) -> None:
    async def answer(link):
        await link.receive()
        await asyncio.sleep(0.2)
        link.post(EndSession(session="s"))
        await link.receive()

    async def scenario():
        async with open_link(
            endpoint=endpoint, method="/t.T/Echo", send=ToGateway, receive=ToGateway
        ) as link:
            link.post(EndSession(session="s"))
            await asyncio.sleep(0.1)
            asyncio.get_running_loop().call_soon(time.sleep, 0.6)
            assert await link.receive(silence_s=0.4) == (EndSession(session="s"),)

    endpoint = free_endpoint()
    stop = serve_in_thread(endpoint, answer)
    try:
        time.sleep(0.2)
        run(scenario())
    finally:
        stop()


def test_a_silent_peer_ends_the_wait() -> None:
    async def wait(link):
        await link.receive()
        await link.receive()

    async def scenario():
        async with open_link(
            endpoint=endpoint, method="/t.T/Echo", send=ToGateway, receive=ToGateway
        ) as link:
            link.post(EndSession(session="s"))
            with pytest.raises(TimeoutError):
                await link.receive(silence_s=0.1)

    endpoint = free_endpoint()
    stop = serve_in_thread(endpoint, wait)
    try:
        time.sleep(0.2)
        run = asyncio.wait_for(scenario(), 10)
        asyncio.run(run)
    finally:
        stop()
