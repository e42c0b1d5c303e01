"""How long bytes waited in the system's buffer is known, or counts as nothing."""

import asyncio
import fcntl
import socket
import sys
import termios
import time
from contextlib import asynccontextmanager

from lychee_http import TcpStream
from lychee_http.lateness import MIN_PAUSE_S, TICK_S, LoopWatch, since_data_s
from lychee_http.tcp import EARLIER_SPREAD_S, READ_SIZE_BYTES, RECEIPT_CLOCK

from .test_pipelining import run

WAIT_S = 0.3

RESOLUTION_S = 0.05
"""Most by which the system's own clock ticks, in seconds."""


def test_a_system_that_tells_no_wait_counts_as_none():
    own, other = socket.socketpair()
    with own, other:
        assert since_data_s(own) == 0.0
    assert since_data_s(own) == 0.0


class SetClock:
    now = 100.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now


def test_the_loop_is_late_for_a_whole_tick_after_a_pause():
    clock = SetClock()
    watch = LoopWatch(clock=clock)
    clock.now += TICK_S
    watch.tick()
    assert not watch.is_late()
    clock.now += 1.0
    assert watch.is_late()
    watch.tick()
    clock.now += TICK_S
    assert watch.is_late()
    watch.tick()
    assert not watch.is_late()


def test_the_process_runs_since_its_last_pause_which_is_known_before_the_first_tick():
    clock = SetClock()
    watch = LoopWatch(clock=clock)
    began_at = clock.now
    clock.now += MIN_PAUSE_S
    watch.tick()
    assert watch.running_since() == began_at
    clock.now += MIN_PAUSE_S + 0.1
    assert watch.running_since() == clock.now
    watch.tick()
    resumed_at = clock.now
    for _ in range(30):
        clock.now += TICK_S
        watch.tick()
    assert watch.running_since() == resumed_at


def test_what_is_unread_came_after_the_last_tick_but_one():
    clock = SetClock()
    watch = LoopWatch(clock=clock)
    clock.now += TICK_S
    watch.tick()
    second_at = clock.now
    clock.now += TICK_S
    watch.tick()
    last_at = clock.now
    clock.now += 1.0
    assert watch.earliest() == second_at
    watch.tick()
    assert watch.earliest() == last_at


@asynccontextmanager
async def late_stream(**options):
    """Open a stream on which all bytes may have waited; yield it and its peer's socket."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        with socket.create_connection(server.getsockname()) as peer:
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            own, _ = server.accept()
            _, stream = await asyncio.get_running_loop().connect_accepted_socket(
                lambda: TcpStream(is_late=lambda: True, **options), own
            )
            try:
                yield stream, peer
            finally:
                stream.abort()


def block(seconds=WAIT_S):
    time.sleep(seconds)


def wait_until_arrived(stream, size):
    """Block the loop until a number of bytes can be read."""
    number = stream.transport.get_extra_info("socket").fileno()
    while int.from_bytes(fcntl.ioctl(number, termios.FIONREAD, bytes(4)), sys.byteorder) < size:
        time.sleep(0.001)


def test_earlier_bytes_of_a_read_are_taken_to_have_come_a_little_after_the_earliest_time():
    async def scenario():
        began = RECEIPT_CLOCK.monotonic()
        async with late_stream(earliest=lambda: began) as (stream, peer):
            peer.send(b"early")
            block(2 * EARLIER_SPREAD_S)
            peer.send(b"late")
            wait_until_arrived(stream, len(b"earlylate"))
            (chunk,) = await stream.read_chunks()
            assert chunk.data == b"earlylate"
            assert chunk.earlier_at == began + EARLIER_SPREAD_S
            assert chunk.received_at > chunk.earlier_at

    run(scenario())


def test_bytes_sent_while_the_loop_was_blocked_bear_a_time_that_is_little_later():
    async def scenario():
        watch = LoopWatch(clock=RECEIPT_CLOCK)
        watching = asyncio.create_task(watch.run())
        async with late_stream(earliest=watch.earliest) as (stream, peer):
            await asyncio.sleep(5 * TICK_S)
            peer.send(b"part")
            sent_at = RECEIPT_CLOCK.monotonic()
            for _ in range(4):
                block()
                peer.send(b"part")
            wait_until_arrived(stream, len(b"part" * 5))
            block()
            (chunk,) = await stream.read_chunks()
            assert chunk.data == b"part" * 5
            assert chunk.earlier_at <= sent_at + EARLIER_SPREAD_S
        watching.cancel()

    run(scenario())


def test_earlier_bytes_of_a_read_came_after_the_read_before():
    async def scenario():
        began = RECEIPT_CLOCK.monotonic()
        async with late_stream(earliest=lambda: began) as (stream, peer):
            block()
            peer.send(b"first")
            (first,) = await stream.read_chunks()
            peer.send(b"early")
            block(2 * EARLIER_SPREAD_S)
            peer.send(b"late")
            wait_until_arrived(stream, len(b"earlylate"))
            (chunk,) = await stream.read_chunks()
            assert chunk.earlier_at >= first.received_at + EARLIER_SPREAD_S

    run(scenario())


def test_bytes_of_which_nothing_earlier_is_known_came_with_the_newest():
    async def scenario():
        async with late_stream() as (stream, peer):
            peer.send(b"early")
            block()
            peer.send(b"late")
            wait_until_arrived(stream, len(b"earlylate"))
            (chunk,) = await stream.read_chunks()
            assert chunk.earlier_at == chunk.received_at

    run(scenario())


def test_bytes_of_one_segment_came_at_once_also_behind_ones_that_did_not():
    async def scenario():
        began = RECEIPT_CLOCK.monotonic()
        async with late_stream(earliest=lambda: began) as (stream, peer):
            were_one = []
            for parts in ([b"a"], [b"b", b"c"], [b"d"], [b"e"], [b"f", b"g", b"h"], [b"i", b"j"]):
                for part in parts:
                    peer.send(part)
                wait_until_arrived(stream, len(parts))
                (chunk,) = await stream.read_chunks()
                assert chunk.data == b"".join(parts)
                were_one.append(chunk.earlier_at is None)
            assert were_one == [True, False, True, True, False, False]

    run(scenario())


def test_a_read_behind_a_full_one_is_not_taken_for_one_segment():
    async def scenario():
        async with late_stream() as (stream, peer):
            peer.setblocking(True)
            peer.sendall(b"x" * READ_SIZE_BYTES + b"rest")
            peer.send(b"more")
            wait_until_arrived(stream, READ_SIZE_BYTES + len(b"restmore"))
            received, were_one = b"", []
            while not received.endswith(b"more"):
                for chunk in await stream.read_chunks():
                    received += chunk.data
                    were_one.append(chunk.earlier_at is None)
            assert len(were_one) > 1
            assert not any(were_one)

    run(scenario())


def test_bytes_that_waited_for_a_busy_loop_bear_the_time_at_which_they_came():
    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as server:
            with socket.create_connection(server.getsockname()) as peer:
                own, _ = server.accept()
                loop = asyncio.get_running_loop()
                _, stream = await loop.connect_accepted_socket(
                    lambda: TcpStream(is_late=lambda: True), own
                )
                peer.send(b"early")
                time.sleep(WAIT_S)  # noqa: ASYNC251
                sent_before = RECEIPT_CLOCK.monotonic() - WAIT_S
                (chunk,) = await stream.read_chunks()
                assert chunk.received_at <= sent_before + RESOLUTION_S
                stream.abort()

    run(scenario())
