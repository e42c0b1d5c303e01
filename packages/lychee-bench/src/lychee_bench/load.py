"""Callers that send requests at a given rate, without waiting for earlier responses."""

import asyncio
import time
from collections.abc import Iterator
from urllib.parse import quote

import numpy as np
from hdrh.histogram import HdrHistogram
from msgspec import Struct, structs

from lychee_bench.answers import check_response_body
from lychee_bench.audit import Call, Outcome
from lychee_bench.balancer import Balancer
from lychee_bench.http_client import ClientConnection, ClientResponse, ConnectionBrokenError
from lychee_types.exceptions import UnavailableError
from lychee_types.records import Endpoint

MAX_ATTEMPTS = 6
"""Maximum number of times that a caller sends one request."""

RESEND_DELAY_S = 0.3
"""Delay before a request is sent again, in seconds."""

RESPONSE_GRACE_S = 0.5
"""How long a caller waits for a response beyond the service's deadline, in seconds."""

POLL_INTERVAL_S = 0.15
"""Interval at which a caller polls a key that was not served, in seconds.

The time of the next success then shows how long the key was unavailable.
"""

POLL_TIMEOUT_S = 15.0
"""How long a key that is not served is polled, in seconds."""

MAX_LATENCY_US = 60_000_000
"""Largest latency that the histograms record, in microseconds."""


class Traffic(Struct, frozen=True, kw_only=True):
    """The request load on one service.

    :param service: the service's name.
    :param path: its URL prefix.
    :param rate: requests per second.
    :param key_count: number of different keys.
    :param zipf_exponent: exponent of the Zipf distribution of requests over keys.
    :param deadline_s: the service's deadline in seconds.
    :param keyed: whether requests must go to the owner of their key.
    :param at_most_once: whether requests are not idempotent and must run at most once.
    :param response_bytes: length of the response bodies, 0 for the server's default.
    """

    service: str
    path: str
    rate: float
    deadline_s: float
    key_count: int = 200
    zipf_exponent: float = 1.1
    keyed: bool = False
    at_most_once: bool = False
    response_bytes: int = 0


class AttemptResult(Struct, frozen=True, kw_only=True):
    """Result of one attempt to send a request.

    :param outcome: its outcome.
    :param detail: id of the server that answered, or a description of the failure.
    :param resend: whether the caller sends the request again.
    :param sent: whether any bytes of the request may have been sent.
    """

    outcome: Outcome
    detail: str
    resend: bool = False
    sent: bool = True


class Callers:
    """Simulated callers, which send requests and record their outcomes.

    :param balancer: provides connections to the gateways.
    :param traffic: the request load on each service.
    :param seed: seed of arrival times and keys.
    """

    def __init__(self, *, balancer: Balancer, traffic: tuple[Traffic, ...], seed: int) -> None:
        self.calls: list[Call] = []
        self.latency = {item.service: HdrHistogram(1, MAX_LATENCY_US, 3) for item in traffic}
        self.last_server_of: dict[str, str] = {}
        self._balancer = balancer
        self._traffic = traffic
        self._seed = seed
        self._call_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._polled_groups: set[str] = set()

    @property
    def pending_count(self) -> int:
        """Number of requests without a final outcome."""
        return len(self._tasks)

    async def run(self, seconds: float) -> None:
        """Send requests for that many seconds, then wait for their final outcomes."""
        await self._balancer.open_idle(4 * len(self._traffic))
        generators = [
            asyncio.create_task(self._send_arrivals(item, seconds, self._seed + index))
            for index, item in enumerate(self._traffic)
        ]
        try:
            await asyncio.gather(*generators)
            while self._tasks:
                await asyncio.wait(self._tasks)
        finally:
            for task in [*generators, *self._tasks]:
                task.cancel()

    async def _send_arrivals(self, item: Traffic, seconds: float, seed: int) -> None:
        began = time.monotonic()
        for offset_s, key in generate_arrivals(item, seconds=seconds, seed=seed):
            await asyncio.sleep(max(0.0, began + offset_s - time.monotonic()))
            self._start_call(item, key)

    def _start_call(self, item: Traffic, key: str) -> None:
        task = asyncio.create_task(self._call_until_served(item, key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call_until_served(self, item: Traffic, key: str) -> None:
        group = f"{item.service}/{key}" if item.keyed else item.service
        call = await self._call(item, key, group)
        if call.outcome is Outcome.ANSWERED or not item.keyed or group in self._polled_groups:
            return
        self._polled_groups.add(group)
        try:
            until = time.monotonic() + POLL_TIMEOUT_S
            outcome: Outcome = call.outcome
            while outcome is not Outcome.ANSWERED and time.monotonic() < until:
                await asyncio.sleep(POLL_INTERVAL_S)
                outcome = (await self._call(item, key, group)).outcome
        finally:
            self._polled_groups.discard(group)

    async def _call(self, item: Traffic, key: str, group: str) -> Call:
        self._call_count += 1
        request = f"r{self._seed}-{self._call_count}"
        sent_at = time.monotonic()
        result, attempts = await self._send_until_final(item, request, key)
        call = Call(
            request=request,
            service=item.service,
            group=group,
            key=key,
            idempotency_key=request if item.at_most_once else "",
            outcome=result.outcome,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            attempts=attempts,
            detail=result.detail,
        )
        self._record_call(call)
        return call

    def _record_call(self, call: Call) -> None:
        self.calls.append(call)
        if call.outcome is not Outcome.ANSWERED:
            return
        self.last_server_of[call.group] = call.detail
        micros = round((call.ended_at - call.sent_at) * 1_000_000)
        self.latency[call.service].record_value(min(max(micros, 1), MAX_LATENCY_US))

    async def _send_until_final(
        self, item: Traffic, request: str, key: str
    ) -> tuple[AttemptResult, int]:
        result = AttemptResult(outcome=Outcome.NOT_RUN, detail="nothing was sent", sent=False)
        last_endpoint: Endpoint | None = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                conn = await self._balancer.acquire(avoid=last_endpoint)
            except UnavailableError as exc:
                last = AttemptResult(
                    outcome=Outcome.NOT_RUN, detail=exc.message, resend=True, sent=False
                )
            else:
                last_endpoint = conn.endpoint
                last = await self._send(conn, item, request, key)
            result = combine_results(result, last, at_most_once=item.at_most_once)
            if not result.resend:
                return result, attempt
            await asyncio.sleep(RESEND_DELAY_S)
        return result, MAX_ATTEMPTS

    async def _send(
        self, conn: ClientConnection, item: Traffic, request: str, key: str
    ) -> AttemptResult:
        headers = {"Lychee-Request-Id": request}
        if item.at_most_once:
            headers["Idempotency-Key"] = request
        target = (
            item.path + quote(key) + (f"?size={item.response_bytes}" if item.response_bytes else "")
        )
        try:
            async with asyncio.timeout(item.deadline_s + RESPONSE_GRACE_S):
                response = await conn.request(
                    method="POST" if item.at_most_once else "GET",
                    target=target,
                    headers=headers,
                    body=b"{}" if item.at_most_once else b"",
                )
        except ConnectionBrokenError as exc:
            return AttemptResult(outcome=Outcome.LOST, detail=exc.message, resend=True)
        except TimeoutError:
            return AttemptResult(outcome=Outcome.LOST, detail="no response in time", resend=True)
        self._balancer.release(conn)
        return classify_response(response, request=request, key=key, at_most_once=item.at_most_once)


def classify_response(
    response: ClientResponse, *, request: str, key: str, at_most_once: bool
) -> AttemptResult:
    """Return the result of an attempt that got a response.

    It is ``WRONG`` if the body is damaged or belongs to another request, or if a response other
    than 200 names no known outcome.
    """
    outcome = response.headers.get("lychee-outcome", "")
    detail = f"{response.status} {outcome} {response.body[:200]!r}"
    if response.status == 200:
        stamp = check_response_body(response.body, request=request, key=key)
        if stamp is None:
            return AttemptResult(outcome=Outcome.WRONG, detail=detail)
        return AttemptResult(outcome=Outcome.ANSWERED, detail=stamp.server)
    if outcome == "not-run":
        return AttemptResult(outcome=Outcome.NOT_RUN, detail=detail)
    if outcome == "unknown":
        return AttemptResult(outcome=Outcome.UNKNOWN, detail=detail, resend=at_most_once)
    return AttemptResult(
        outcome=Outcome.WRONG, detail=f"the response has no valid Lychee-Outcome header: {detail}"
    )


def combine_results(
    earlier: AttemptResult, last: AttemptResult, *, at_most_once: bool
) -> AttemptResult:
    """Return the result of a request after one more attempt.

    If an earlier attempt may have run, a later "not run" doesn't mean that the request has not run.

    :param earlier: combined result of the earlier attempts.
    :param last: result of the last attempt.
    :param at_most_once: whether it matters that an earlier attempt may have run.
    """
    uncertain = earlier.outcome in (Outcome.LOST, Outcome.UNKNOWN)
    if not uncertain or last.outcome is not Outcome.NOT_RUN:
        return last
    if not last.sent:
        return structs.replace(earlier, resend=True)
    if at_most_once:
        return AttemptResult(outcome=Outcome.UNKNOWN, detail=last.detail, resend=True)
    return last


def generate_arrivals(item: Traffic, *, seconds: float, seed: int) -> Iterator[tuple[float, str]]:
    """Yield arrival time and key of each request; a seed always gives the same sequence.

    Arrivals are a Poisson process; times are in seconds from the start.
    """
    rng = np.random.default_rng(seed)
    weights = 1.0 / np.arange(1, item.key_count + 1) ** item.zipf_exponent
    weights /= weights.sum()
    offset_s = 0.0
    while (offset_s := offset_s + rng.exponential(1.0 / item.rate)) < seconds:
        yield offset_s, f"{item.service}-{rng.choice(item.key_count, p=weights)}"
