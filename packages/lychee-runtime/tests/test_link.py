"""Streams of messages between processes."""

import asyncio

import pytest

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
