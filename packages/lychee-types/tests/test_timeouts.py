"""Timeouts beside a busy event loop, and without one."""

import asyncio
import socket
import time

import pytest
import uvloop

from lychee_types.timeouts import timeout_after_input

LOOPS = pytest.mark.parametrize("run", [asyncio.run, uvloop.run])


class Receiver(asyncio.Protocol):
    """A connection whose bytes go through a future and a task before they are used."""

    def __init__(self):
        self.arrived = asyncio.get_running_loop().create_future()

    def data_received(self, data):
        if not self.arrived.done():
            self.arrived.set_result(data)


async def open_receiver():
    near, far = socket.socketpair()
    near.setblocking(False)
    _, receiver = await asyncio.get_running_loop().create_connection(Receiver, sock=near)
    return receiver, far


@LOOPS
def test_bytes_that_arrive_while_the_loop_is_blocked_across_the_limit_are_taken(run):
    async def scenario():
        receiver, far = await open_receiver()
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: (far.send(b"here"), time.sleep(0.1)))
        async with timeout_after_input(0.05):
            assert await asyncio.ensure_future(receiver.arrived) == b"here"
        far.close()

    run(scenario())


@LOOPS
@pytest.mark.parametrize("has_input", [None, lambda: False, lambda: True])
def test_a_wait_without_input_ends(run, has_input):
    async def scenario():
        with pytest.raises(TimeoutError):
            async with timeout_after_input(0.01, has_input=has_input):
                await asyncio.Event().wait()
        assert not asyncio.current_task().cancelling()

    run(scenario())


@LOOPS
def test_a_cancellation_from_outside_is_no_timeout(run):
    async def wait():
        async with timeout_after_input(0.01, has_input=lambda: True):
            await asyncio.Event().wait()

    async def scenario():
        task = asyncio.ensure_future(wait())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run(scenario())


@LOOPS
def test_nothing_ends_a_task_after_its_block(run):
    async def scenario():
        async with timeout_after_input(0.0):
            pass
        async with timeout_after_input(0.0, has_input=lambda: True):
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)
        assert not asyncio.current_task().cancelling()

    run(scenario())


def test_a_block_gets_more_time_as_long_as_there_is_some():
    async def scenario():
        further = [0.01, 0.01, 0.0]
        with pytest.raises(TimeoutError):
            async with timeout_after_input(0.01, more_s=lambda: further.pop(0)):
                await asyncio.Event().wait()
        assert further == []

    asyncio.run(scenario())
