"""Rate limits of backend servers, and this gateway's permits to send them requests.

A server names one limit for all gateways together. The leader issues permits for it, one for each
request. A gateway that gets no answer takes from its part of a reserve.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from loguru import logger

from lychee_gateway.proxy.cold import ColdServers
from lychee_gateway.proxy.servers import ProxyServer
from lychee_policy import (
    MAX_TURN_S,
    PERMIT_HOLD_S,
    LimitObservation,
    LimitTable,
    PermitReserve,
    received_observation,
)
from lychee_types.clock import Clock
from lychee_types.ids import ServerId
from lychee_types.limit_messages import (
    KnownLimits,
    LimitReport,
    ObservedLimit,
    PermitReply,
    PermitRequest,
)
from lychee_types.registry import ServerIncarnation
from lychee_types.timeouts import timeout_after_input

ANSWER_WAIT_S = 0.1
"""Maximum wait for the leader's answer, in seconds; then the reserve is used."""

PROMPT_WAIT_S = 0.03
"""Maximum wait for the leader's answer where other servers can take the request, in seconds."""

MAX_WANTED = 8
"""Maximum number of permits to ask for at once."""

REFRESH_S = 2.0
"""Interval at which known limits are reported again, for new leaders, in seconds."""


RESERVE_START_S = 3.0
"""Time after the number of gateways is first known from which the reserve of a cold server is used,
in seconds.

When many gateways start at the same time, the first ones count too few others.
"""

GATEWAY_COUNT_HOLD_S = 10.0
"""Time for which the highest number of gateways counts for the reserve of a cold server, in
seconds.

A control replica that has just started counts too few.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitTaken:
    """A request may be sent to the server."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRefused:
    """The server takes no further request now.

    :param retry_after_s: time until a permit falls due, in seconds.
    """

    retry_after_s: float


@dataclass(kw_only=True, slots=True)
class _Stock:
    """Permits for one server.

    :param reserve: this gateway's part of the reserve.
    :param expiries: monotonic times in seconds until which permits can be used.
    :param number: number of the last question.
    :param asked: number of permits that it asked for.
    :param asked_at: when it was asked, None once it is answered.
    :param silent_since: when the first unanswered question was asked, None if there is none.
    :param asks_at: time before which no question is asked.
    :param answer_s: time that the last answer took, in seconds.
    :param wanted: recent requests since the last question that found no permit.
    :param wanted_at: when the last of them came.
    :param waiters: requests that wait for the answer.
    :param is_cold: whether the permits are for a cold server.
    """

    reserve: PermitReserve
    expiries: deque[float] = field(default_factory=deque)
    number: int = 0
    asked: int = 0
    asked_at: float | None = None
    silent_since: float | None = None
    asks_at: float = 0.0
    answer_s: float = 0.0
    wanted: float = 0.0
    wanted_at: float = 0.0
    waiters: deque[asyncio.Future[None]] = field(default_factory=deque)
    is_cold: bool = False

    def start_cold(self) -> None:
        """Drop the permits and the question of the time before the server was cold."""
        self.expiries.clear()
        self.number += 1
        self.asked_at = None
        self.silent_since = None
        self.asks_at = 0.0
        self.is_cold = True


class ServerLimits:
    """The limits that servers have named, and the permits for these servers.

    :param on_attempt: called for each request that is sent to a server with a limit.
    :param on_permits: called with a number of permits and whether they were issued, have expired or
        are from the reserve.
    :param clock: source of time.
    :param cold: the servers that are cold, None if no service has a rate for them.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        *,
        on_attempt: Callable[[ServerId], None],
        on_permits: Callable[[str, int], None],
        clock: Clock,
        cold: ColdServers | None = None,
        rng: Random | None = None,
    ) -> None:
        self._cold = cold
        self._on_attempt = on_attempt
        self._on_permits = on_permits
        self._clock = clock
        self._rng = rng or Random()
        self._table = LimitTable()
        self._stocks: dict[ServerIncarnation, _Stock] = {}
        self._gateway_count = 1
        self._counted_since: float | None = None
        self._highest_count = 1
        self._highest_count_at = 0.0
        self._has_news = False
        self._reported_at = 0.0
        self._post: Callable[[PermitRequest], None] = _post_nothing

    def __len__(self) -> int:
        """Return how many servers have a limit now."""
        return len(self._table)

    def set_post(self, post: Callable[[PermitRequest], None]) -> None:
        """Set the function that sends questions to the leader."""
        self._post = post

    def set_gateway_count(self, count: int) -> None:
        """Set the approximate number of gateways."""
        now = self._clock.monotonic()
        self._gateway_count = max(1, count)
        if self._counted_since is None:
            self._counted_since = now
        is_old = now - self._highest_count_at > GATEWAY_COUNT_HOLD_S
        if self._gateway_count >= self._highest_count or is_old:
            self._highest_count, self._highest_count_at = self._gateway_count, now

    def limit_per_s(self, run: ServerIncarnation) -> float | None:
        """Return a server's limit in requests per second, None if it has none."""
        named_per_s = self._table.limit_per_s(run)
        cold_per_s = self._cold_per_s(run)
        if cold_per_s is None or named_per_s is None:
            return named_per_s if cold_per_s is None else cold_per_s
        return min(named_per_s, cold_per_s)

    def may_send(self, server: ProxyServer, *, selected_at: float) -> bool:
        """Return whether a request may still be sent to a server, see :class:`ColdServers`."""
        if self._cold is None or self._cold.may_send(server, selected_at=selected_at):
            return True
        self._on_permits("late", 1)
        return False

    def record(self, run: ServerIncarnation, per_s: float | None, *, sent_at: float) -> None:
        """Record what an answer that has just arrived says of its server's limit.

        :param run: the server.
        :param per_s: the limit in requests per second, None if it names none.
        :param sent_at: monotonic time at which the request was sent, in seconds.
        """
        if per_s is None and run not in self._table:
            return
        now = self._clock.monotonic()
        observation = LimitObservation(per_s=per_s, sent_at=sent_at, heard_at=now)
        if self._table.record(run, observation):
            self._has_news = True
            self._log_change(run)

    def receive_news(self, news: KnownLimits) -> None:
        """Record what the leader knows of servers' limits."""
        now = self._clock.monotonic()
        for limit in news.limits:
            if self._table.record(limit.run, received_observation(limit, now)):
                self._log_change(limit.run)

    def take_report(self) -> LimitReport | None:
        """Return what the leader may not know yet, None if there is nothing."""
        now = self._clock.monotonic()
        is_due = len(self._table) > 0 and now - self._reported_at >= REFRESH_S
        if not self._has_news and not is_due:
            return None
        self._has_news = False
        self._reported_at = now
        return LimitReport(limits=self._table.export_all(now))

    def held(self, run: ServerIncarnation) -> int:
        """Return the number of permits for a server that are at hand."""
        stock, now = self._stocks.get(run), self._clock.monotonic()
        return 0 if stock is None else sum(expires_at >= now for expires_at in stock.expiries)

    def count_attempt(self, run: ServerIncarnation) -> None:
        """Count a request that is sent to a server, if the server has a limit."""
        if self.limit_per_s(run) is not None:
            self._on_attempt(run.server)

    def keep_only(self, runs: set[ServerIncarnation]) -> None:
        """Forget all servers but these."""
        self._table.keep_only(runs)
        for run in self._stocks.keys() - runs:
            del self._stocks[run]

    def try_take(self, run: ServerIncarnation) -> bool:
        """Take a permit for a server if there is one, or if the server has no limit.

        Otherwise the leader is asked for one that a later request can use.
        """
        if self.limit_per_s(run) is None:
            return True
        stock = self._stock(run)
        is_cold = self._cold_per_s(run) is not None
        if is_cold and not stock.is_cold:
            stock.start_cold()
        stock.is_cold = is_cold
        if self._take_held(run, stock):
            return True
        self._want(stock)
        self._ask(run, stock)
        return False

    async def take_promptly(self, run: ServerIncarnation, *, deadline: float) -> bool:
        """Take a permit for a server, and return whether there is one.

        A request that makes this gateway ask the leader waits for the answer, unless that is slow:
        where requests are few, the permit would expire before the next one.

        :param run: the server.
        :param deadline: monotonic time in seconds after which a permit is of no use.
        """
        if self.try_take(run):
            return True
        stock, now = self._stock(run), self._clock.monotonic()
        has_just_asked = stock.asked_at == now and stock.silent_since == now
        if not has_just_asked or stock.answer_s > PROMPT_WAIT_S:
            return False
        await self._wait(stock, min(PROMPT_WAIT_S, deadline - now))
        if (self._cold_per_s(run) is not None) is not stock.is_cold:
            # It has become cold or warm meanwhile, and permits of the time before do not count.
            return self.try_take(run)
        return self.limit_per_s(run) is None or self._take_held(run, stock)

    async def take(self, run: ServerIncarnation, *, deadline: float) -> PermitTaken | PermitRefused:
        """Take a permit for a server; wait for the leader's answer if there is none.

        :param run: the server.
        :param deadline: monotonic time in seconds after which a permit is of no use.
        """
        until = min(self._clock.monotonic() + ANSWER_WAIT_S, deadline)
        while not self.try_take(run):
            stock = self._stock(run)
            left_s = until - self._clock.monotonic()
            if stock.asked_at is None or left_s <= 0:
                return self._refuse(run, stock)
            await self._wait(stock, left_s)
        return PermitTaken()

    def receive_reply(self, reply: PermitReply) -> None:
        """Add the permits that the leader has issued, and wake up requests that wait for them."""
        stock = self._stocks.get(reply.run)
        if stock is None or stock.asked_at is None or reply.number != stock.number:
            return
        now = self._clock.monotonic()
        stock.expiries.extend([stock.asked_at + PERMIT_HOLD_S] * reply.count)
        stock.answer_s = now - stock.asked_at
        stock.asked_at = None
        stock.silent_since = None
        if reply.count < stock.asked:
            stock.asks_at = now + reply.retry_after_ms / 1_000
        self._on_permits("issued", reply.count)
        waiters, stock.waiters = stock.waiters, deque()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def _wait(self, stock: _Stock, timeout_s: float) -> None:
        """Wait for the leader's answer."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        stock.waiters.append(waiter)
        with suppress(TimeoutError):
            async with timeout_after_input(timeout_s):
                await waiter

    def _want(self, stock: _Stock) -> None:
        """Count a request; one from longer ago than a permit can be used says nothing."""
        now = self._clock.monotonic()
        weight = max(0.0, 1.0 - (now - stock.wanted_at) / PERMIT_HOLD_S)
        stock.wanted = 1.0 + weight * stock.wanted
        stock.wanted_at = now

    def _take_held(self, run: ServerIncarnation, stock: _Stock) -> bool:
        now = self._clock.monotonic()
        while stock.expiries and stock.expiries[0] < now:
            stock.expiries.popleft()
            self._on_permits("expired", 1)
        if stock.expiries:
            stock.expiries.popleft()
            return True
        if stock.silent_since is None or now - stock.silent_since < ANSWER_WAIT_S:
            return False
        if stock.is_cold and not self._may_use_cold_reserve(now):
            return False
        is_taken = stock.reserve.try_take(
            per_s=self.limit_per_s(run) or 0.0, gateways=self._reserve_count(stock), now=now
        )
        self._on_permits("reserve", int(is_taken))
        return is_taken

    def _refuse(self, run: ServerIncarnation, stock: _Stock) -> PermitRefused:
        now = self._clock.monotonic()
        if stock.asked_at is None:
            return PermitRefused(retry_after_s=max(0.0, stock.asks_at - now))
        due_in_s = stock.reserve.due_in_s(
            per_s=self.limit_per_s(run) or 0.0, gateways=self._reserve_count(stock), now=now
        )
        # The next leader is expected sooner than this gateway's turn among many.
        return PermitRefused(retry_after_s=min(MAX_TURN_S, due_in_s) if stock.is_cold else due_in_s)

    def _ask(self, run: ServerIncarnation, stock: _Stock) -> None:
        now = self._clock.monotonic()
        is_pending = stock.asked_at is not None and now - stock.asked_at < PERMIT_HOLD_S
        limit = self._table.export(run, now)
        if limit is None and stock.is_cold:
            limit = ObservedLimit(run=run, per_s=None, sent_ms_ago=0, heard_ms_ago=0)
        if is_pending or now < stock.asks_at or limit is None:
            return
        stock.asked = min(round(stock.wanted), MAX_WANTED)
        stock.wanted = 0.0
        stock.number += 1
        stock.asked_at = now
        stock.silent_since = now if stock.silent_since is None else stock.silent_since
        self._post(
            PermitRequest(
                limit=limit, number=stock.number, wanted=stock.asked, is_cold=stock.is_cold
            )
        )

    def _cold_per_s(self, run: ServerIncarnation) -> float | None:
        return self._cold.rate_per_s(run) if self._cold is not None else None

    def _may_use_cold_reserve(self, now: float) -> bool:
        return self._counted_since is not None and now - self._counted_since >= RESERVE_START_S

    def _reserve_count(self, stock: _Stock) -> int:
        return self._highest_count if stock.is_cold else self._gateway_count

    def _stock(self, run: ServerIncarnation) -> _Stock:
        stock = self._stocks.get(run)
        if stock is None:
            reserve = PermitReserve(now=self._clock.monotonic(), rng=self._rng)
            stock = self._stocks[run] = _Stock(reserve=reserve)
        return stock

    def _log_change(self, run: ServerIncarnation) -> None:
        logger.bind(
            event="server_limit", server=run.server, limit_per_s=self.limit_per_s(run)
        ).info("a server's rate limit has changed")


def _post_nothing(request: PermitRequest) -> None:
    """Drop a question, as no replica is known yet."""
