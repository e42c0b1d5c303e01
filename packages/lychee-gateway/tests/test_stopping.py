"""Which requests a stopping gateway still takes."""

import asyncio
import socket
import time

import pytest

from lychee_gateway.proxy.stopping import StopSchedule
from lychee_types.clock import SystemClock

GRACE_S = 6.0


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


@pytest.mark.parametrize(
    "after_s, time_s, is_taken",
    [
        (0.0, 5.0, True),
        (2.7, 5.0, True),
        (2.9, 5.0, False),
        (2.9, 2.0, True),
        (4.4, 1.0, True),
        (4.6, 1.0, False),
        (5.5, 0.5, False),
    ],
)
def test_a_late_request_is_taken_if_it_ends_within_the_grace_time(after_s, time_s, is_taken):
    clock = FakeClock()
    stop = StopSchedule(grace_s=GRACE_S, clock=clock)
    stop.begin()
    clock.now += after_s
    assert stop.takes(clock.now + time_s) == is_taken


def test_nothing_is_limited_before_the_stop():
    clock = FakeClock()
    stop = StopSchedule(grace_s=GRACE_S, clock=clock)
    assert stop.takes(clock.now + 1_000.0) and not stop.is_over


def test_a_wait_that_began_before_the_stop_ends_within_the_grace_time():
    async def body():
        clock = FakeClock()
        stop = StopSchedule(grace_s=0.1, clock=clock)
        asyncio.get_running_loop().call_later(0.02, stop.begin)
        with pytest.raises(TimeoutError):
            async with stop.limit_wait():
                await asyncio.sleep(30)

    asyncio.run(body())


@pytest.mark.parametrize("begins_first", [True, False])
def test_an_attempt_ends_in_time_for_an_answer_before_the_end(begins_first):
    async def body():
        stop = StopSchedule(grace_s=0.5, clock=SystemClock())
        if begins_first:
            stop.begin()
        else:
            asyncio.get_running_loop().call_later(0.02, stop.begin)
        with pytest.raises(TimeoutError):
            async with stop.limit_attempt(is_exempt=lambda: False):
                await asyncio.sleep(30)

    asyncio.run(body())


def test_an_attempt_that_passes_its_answer_on_goes_on():
    async def body():
        stop = StopSchedule(grace_s=0.1, clock=SystemClock())
        stop.begin()
        async with stop.limit_attempt(is_exempt=lambda: True):
            await asyncio.sleep(0.2)
        assert stop.is_over

    asyncio.run(body())


def test_an_answer_that_has_come_when_the_loop_was_held_up_is_taken():
    async def body():
        stop = StopSchedule(grace_s=0.1, clock=SystemClock())
        stop.begin()
        near, far = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=near)

        def hold_up():
            far.send(b"x")
            time.sleep(0.2)

        asyncio.get_running_loop().call_soon(hold_up)
        async with stop.limit_attempt(is_exempt=lambda: False):
            # As with second copies, the bytes reach the block through another task.
            assert await asyncio.create_task(reader.readexactly(1)) == b"x"
        writer.close()
        far.close()

    asyncio.run(body())
