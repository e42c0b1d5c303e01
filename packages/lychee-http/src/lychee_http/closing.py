"""Wait, before a connection closes, until its peer has what was written to it."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from lychee_http.delivery import LINGER_S, Delivery, Outcome, Progress, WaitUntil
from lychee_http.tcp import TcpStream


async def wait_until_delivered(
    stream: TcpStream,
    *,
    stall_s: float,
    discard: Callable[[bytes], None],
    body_bytes: Callable[[], int] = lambda: 0,
    with_end: bool = True,
) -> Outcome:
    """Wait until the peer has everything or has left, so that the connection may be closed.

    What it still sends is read, since closing with unread bytes resets the connection.

    :param stall_s: maximum time in which the peer acknowledges nothing, in seconds.
    :param discard: is given what is read.
    :param body_bytes: returns how many bytes have come while the peer is sending a body.
    :param with_end: whether to end this side first; False if the connection is to be reset, which
        is done without lingering.
    """
    loop = asyncio.get_running_loop()
    if with_end:
        stream.end_writing()
    stream.stop_reading(stopped=False)
    delivery = Delivery(now=loop.time(), stall_s=stall_s, linger_s=LINGER_S if with_end else 0.0)
    while True:
        match delivery.step(_progress(stream, now=loop.time(), body_bytes=body_bytes())):
            case WaitUntil(at=at):
                discard(await _read_until(stream, at - loop.time()))
            case Outcome() as outcome:
                return outcome


def _progress(stream: TcpStream, *, now: float, body_bytes: int) -> Progress:
    return Progress(
        now=now,
        unacknowledged=stream.unacknowledged,
        has_ended=stream.eof,
        has_left=stream.has_failed(),
        body_bytes=body_bytes,
    )


async def _read_until(stream: TcpStream, delay_s: float) -> bytes:
    """Return what arrives within a time, ``b""`` if nothing does."""
    with suppress(TimeoutError):
        async with asyncio.timeout(delay_s):
            if stream.eof:
                await stream.wait_until_lost()
            else:
                return await stream.read()
    return b""
