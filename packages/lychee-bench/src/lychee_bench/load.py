"""Callers: requests that arrive at a given rate, whether or not earlier ones are answered."""

import asyncio
import time
from collections.abc import Iterator
from urllib.parse import quote

import numpy as np
from hdrh.histogram import HdrHistogram
from msgspec import Struct, structs

from lychee_bench.answers import check_answer
from lychee_bench.audit import Call, Outcome
from lychee_bench.balancer import Balancer
from lychee_bench.http_client import Answer, ClientConnection, ConnectionBrokenError
from lychee_types.exceptions import UnavailableError
from lychee_types.records import Endpoint

MAX_ATTEMPTS = 6
"""How often a caller sends one request at most."""

RESEND_DELAY_S = 0.3
"""Wait before a resend, in seconds."""

RESPONSE_GRACE_S = 0.5
"""How long after the deadline a caller waits for an answer, in seconds."""

POLL_INTERVAL_S = 0.15
"""Wait before a caller asks again for a key that was not served, in seconds."""

POLL_TIMEOUT_S = 15.0
"""How long callers ask again for one key, in seconds."""

MAX_LATENCY_US = 60_000_000
"""Largest latency in a histogram, in microseconds."""


class Traffic(Struct, frozen=True, kw_only=True):
    """Requests for one service.

    :param service: the service's name.
    :param path: its URL prefix.
    :param rate: requests a second.
    :param keys: number of keys.
    :param zipf: exponent of the keys' popularity.
    :param deadline_s: the service's deadline in seconds.
    :param keyed: whether requests are bound to their key's owner.
    :param booking: whether requests must run at most once.
    :param size: length of the answers in bytes, 0 for the server's own.
    """

    service: str
    path: str
    rate: float
    deadline_s: float
    keys: int = 200
    zipf: float = 1.1
    keyed: bool = False
    booking: bool = False
    size: int = 0


class AttemptResult(Struct, frozen=True, kw_only=True):
    """What one sending of a request came to.

    :param outcome: what the caller was told.
    :param detail: the server that answered, or what went wrong.
    :param resend: whether the caller sends the request again.
    :param sent: whether anything was sent.
    """

    outcome: Outcome
    detail: str
    resend: bool = False
    sent: bool = True


class Callers:
    """Sends requests and keeps what became of them.

    :param balancer: gives connections.
    :param traffic: the services' requests.
    :param seed: seed of arrivals and keys.
    """

    def __init__(self, *, balancer: Balancer, traffic: tuple[Traffic, ...], seed: int) -> None:
        self.calls: list[Call] = []
        self.latency = {item.service: HdrHistogram(1, MAX_LATENCY_US, 3) for item in traffic}
        self.owner_of: dict[str, str] = {}
        self._balancer = balancer
        self._traffic = traffic
        self._seed = seed
        self._call_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._polled_groups: set[str] = set()

    @property
    def pending_count(self) -> int:
        """How many requests wait for their answer."""
        return len(self._tasks)

    async def run(self, seconds: float) -> None:
        """Send requests for that long, then wait for the answers."""
        await self._balancer.open_idle(4 * len(self._traffic))
        generators = [
            asyncio.create_task(self._send_arrivals(item, seconds, self._seed + place))
            for place, item in enumerate(self._traffic)
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
        for at, key in generate_arrivals(item, seconds=seconds, seed=seed):
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
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
        reply, attempts = await self._send_until_final(item, request, key)
        call = Call(
            request=request,
            service=item.service,
            group=group,
            key=key,
            idempotency_key=request if item.booking else "",
            outcome=reply.outcome,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            attempts=attempts,
            detail=reply.detail,
        )
        self._record_call(call)
        return call

    def _record_call(self, call: Call) -> None:
        self.calls.append(call)
        if call.outcome is not Outcome.ANSWERED:
            return
        self.owner_of[call.group] = call.detail
        micros = round((call.ended_at - call.sent_at) * 1_000_000)
        self.latency[call.service].record_value(min(max(micros, 1), MAX_LATENCY_US))

    async def _send_until_final(
        self, item: Traffic, request: str, key: str
    ) -> tuple[AttemptResult, int]:
        reply = AttemptResult(outcome=Outcome.NOT_RUN, detail="nothing was sent", sent=False)
        used: Endpoint | None = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                conn = await self._balancer.acquire(avoid=used)
            except UnavailableError as exc:
                last = AttemptResult(
                    outcome=Outcome.NOT_RUN, detail=exc.message, resend=True, sent=False
                )
            else:
                used = conn.endpoint
                last = await self._send(conn, item, request, key)
            reply = combine_results(reply, last, booking=item.booking)
            if not reply.resend:
                return reply, attempt
            await asyncio.sleep(RESEND_DELAY_S)
        return reply, MAX_ATTEMPTS

    async def _send(
        self, conn: ClientConnection, item: Traffic, request: str, key: str
    ) -> AttemptResult:
        headers = {"Lychee-Request-Id": request}
        if item.booking:
            headers["Idempotency-Key"] = request
        target = item.path + quote(key) + (f"?size={item.size}" if item.size else "")
        try:
            async with asyncio.timeout(item.deadline_s + RESPONSE_GRACE_S):
                answer = await conn.request(
                    method="POST" if item.booking else "GET",
                    target=target,
                    headers=headers,
                    body=b"{}" if item.booking else b"",
                )
        except ConnectionBrokenError as exc:
            return AttemptResult(outcome=Outcome.LOST, detail=exc.message, resend=True)
        except TimeoutError:
            return AttemptResult(outcome=Outcome.LOST, detail="no answer in time", resend=True)
        self._balancer.release(conn)
        return classify_response(answer, request=request, key=key, booking=item.booking)


def classify_response(answer: Answer, *, request: str, key: str, booking: bool) -> AttemptResult:
    """Return what an answer tells the caller."""
    told = answer.headers.get("lychee-outcome", "")
    detail = f"{answer.status} {told} {answer.body[:200]!r}"
    if answer.status == 200:
        stamp = check_answer(answer.body, request=request, key=key)
        if stamp is None:
            return AttemptResult(outcome=Outcome.WRONG, detail=detail)
        return AttemptResult(outcome=Outcome.ANSWERED, detail=stamp.server)
    if told == "not-run":
        return AttemptResult(outcome=Outcome.NOT_RUN, detail=detail)
    if told == "unknown":
        return AttemptResult(outcome=Outcome.UNKNOWN, detail=detail, resend=booking)
    return AttemptResult(outcome=Outcome.WRONG, detail=f"no outcome is told: {detail}")


def combine_results(earlier: AttemptResult, last: AttemptResult, *, booking: bool) -> AttemptResult:
    """Return what is known of a request after one more sending.

    :param earlier: what was known before.
    :param last: what the last sending came to.
    :param booking: whether an earlier sending that may have been run matters.
    """
    uncertain = earlier.outcome in (Outcome.LOST, Outcome.UNKNOWN)
    if not uncertain or last.outcome is not Outcome.NOT_RUN:
        return last
    if not last.sent:
        return structs.replace(earlier, resend=True)
    if booking:
        return AttemptResult(outcome=Outcome.UNKNOWN, detail=last.detail, resend=True)
    return last


def generate_arrivals(item: Traffic, *, seconds: float, seed: int) -> Iterator[tuple[float, str]]:
    """Yield time and key of each request, the same ones for the same seed."""
    rng = np.random.default_rng(seed)
    shares = 1.0 / np.arange(1, item.keys + 1) ** item.zipf
    shares /= shares.sum()
    at = 0.0
    while (at := at + rng.exponential(1.0 / item.rate)) < seconds:
        yield at, f"{item.service}-{rng.choice(item.keys, p=shares)}"
