"""Callers that send the next request as soon as the last one is answered."""

import asyncio
import time

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from lychee_bench.http_client import ClientConnection, connect
from lychee_bench.load import MAX_LATENCY_US
from lychee_types.records import Endpoint


class ClosedLoopResult(Struct, frozen=True, kw_only=True):
    """What came of a run.

    :param answered: requests that were answered with 200.
    :param failed: other answers.
    :param seconds: length of the run.
    :param latency: times to the whole answer in microseconds.
    """

    answered: int
    failed: int
    seconds: float
    latency: HdrHistogram

    @property
    def rate(self) -> float:
        """Answered requests a second."""
        return self.answered / self.seconds

    def percentile_ms(self, share: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return float(self.latency.get_value_at_percentile(share)) / 1_000


class _Counter:
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
    """Ask on several connections for a time.

    :param endpoint: whom to ask.
    :param target: path; each request adds its number as the key.
    :param connections: number of connections.
    :param seconds: how long.
    :param pause_s: pause of each connection between an answer and the next request, in seconds.
    """
    conns = [await connect(endpoint) for _ in range(connections)]
    counter = _Counter()
    began = time.monotonic()
    until = began + seconds
    async with asyncio.TaskGroup() as tasks:
        for conn in conns:
            tasks.create_task(_send_until(conn, counter, target, until, pause_s))
    for conn in conns:
        conn.close()
    return ClosedLoopResult(
        answered=counter.answered,
        failed=counter.failed,
        seconds=time.monotonic() - began,
        latency=counter.latency,
    )


async def _send_until(
    conn: ClientConnection, counter: _Counter, target: str, until: float, pause_s: float
) -> None:
    path, _, query = target.partition("?")
    query = f"?{query}" if query else ""
    while (sent_at := time.monotonic()) < until and conn.usable:
        counter.number += 1
        answer = await conn.request(
            method="GET",
            target=f"{path}{counter.number % 1_000}{query}",
            headers={"Lychee-Request-Id": f"h{counter.number}"},
        )
        micros = round((time.monotonic() - sent_at) * 1_000_000)
        counter.latency.record_value(min(max(micros, 1), MAX_LATENCY_US))
        if answer.status == 200:
            counter.answered += 1
        else:
            counter.failed += 1
        await asyncio.sleep(pause_s)
