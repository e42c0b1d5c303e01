"""Closed-loop load: each connection sends its next request after the last response."""

import asyncio
import time

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from lychee_bench.http_client import ClientConnection, connect
from lychee_bench.load import MAX_LATENCY_US
from lychee_types.records import Endpoint


class ClosedLoopResult(Struct, frozen=True, kw_only=True):
    """Result of a closed-loop run.

    :param answered: number of responses with status 200.
    :param failed: number of other responses.
    :param seconds: duration of the run.
    :param latency: histogram of response times, in microseconds.
    """

    answered: int
    failed: int
    seconds: float
    latency: HdrHistogram

    @property
    def rate(self) -> float:
        """Answered requests per second."""
        return self.answered / self.seconds

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency, in milliseconds."""
        return float(self.latency.get_value_at_percentile(percent)) / 1_000


class _ResponseCounter:
    def __init__(self) -> None:
        self.answered = 0
        self.failed = 0
        self.number = 0
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 3)


async def run_closed_loop(
    endpoint: Endpoint,
    *,
    target: str,
    connections: int,
    seconds: float,
    pause_s: float = 0.0,
) -> ClosedLoopResult:
    """Send requests on several connections for some time.

    :param endpoint: address of the server or gateway.
    :param target: path prefix, with an optional query; a number is appended to the path as key.
    :param connections: number of connections.
    :param seconds: duration of the run.
    :param pause_s: pause between a response and the next request of a connection, in seconds.
    """
    conns = [await connect(endpoint) for _ in range(connections)]
    counter = _ResponseCounter()
    began = time.monotonic()
    ends_at = began + seconds
    async with asyncio.TaskGroup() as tasks:
        for conn in conns:
            tasks.create_task(_send_until(conn, counter, target, ends_at, pause_s))
    for conn in conns:
        conn.close()
    return ClosedLoopResult(
        answered=counter.answered,
        failed=counter.failed,
        seconds=time.monotonic() - began,
        latency=counter.latency,
    )


async def _send_until(
    conn: ClientConnection, counter: _ResponseCounter, target: str, ends_at: float, pause_s: float
) -> None:
    path, _, query = target.partition("?")
    query = f"?{query}" if query else ""
    while (sent_at := time.monotonic()) < ends_at and conn.usable:
        counter.number += 1
        response = await conn.request(
            method="GET",
            target=f"{path}{counter.number % 1_000}{query}",
            headers={"Lychee-Request-Id": f"h{counter.number}"},
        )
        micros = round((time.monotonic() - sent_at) * 1_000_000)
        counter.latency.record_value(min(max(micros, 1), MAX_LATENCY_US))
        if response.status == 200:
            counter.answered += 1
        else:
            counter.failed += 1
        await asyncio.sleep(pause_s)
