"""Other gateways that carry connections to servers which this gateway does not reach."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from loguru import logger

from lychee_gateway.proxy.servers import ProxyServer
from lychee_http import ServerConnection
from lychee_http.carrying import NotCarriedError, open_carried_connection
from lychee_policy import GatewayTable, choose_carriers
from lychee_types.clock import Clock
from lychee_types.ids import GatewayId
from lychee_types.peer_messages import CarryRequest, GatewayReport, KnownGateways
from lychee_types.records import Endpoint

MAX_AGE_S = 120.0
"""Age up to which another gateway's report is used, in seconds.

Reports stop while no control replica is reached, but the gateways are still there.
"""

MAX_ASKED = 3
"""Maximum number of gateways that are asked for one connection."""

MAX_SEARCHED = 12
"""Maximum number of gateways that are asked at once whether they reach a server.

Each opens a connection to it, and all gateways that called the server may ask at the same time.
"""

ASK_TIMEOUT_S = 0.3
"""Maximum wait for a gateway's reply, in seconds."""

CONNECT_SHARE = 0.8
"""Share of the wait that the asked gateway may use to connect; the rest is for its reply."""

SILENT_S = 2.0
"""Time for which a gateway that did not reply is not asked again, in seconds."""

MIN_RETRY_S = 0.05
"""Shortest delay after which a refused connection is worth another try, in seconds."""


class NotReachedError(OSError):
    """No gateway that was asked carries a connection to a server.

    :param is_unreached: whether the server accepts no connection from another gateway either.
    :param retry_after_s: time after which a gateway may have room, in seconds.
    """

    def __init__(self, *, is_unreached: bool, retry_after_s: float) -> None:
        super().__init__("no gateway carries a connection to the server")
        self.is_unreached = is_unreached
        self.retry_after_s = retry_after_s


@dataclass(kw_only=True, slots=True)
class _Refusals:
    """What the gateways have replied that were asked for one connection.

    :param asked: the gateways that have been asked.
    :param is_unreached: whether the server accepts no connection from one of them either.
    :param retry_after_s: time after which one of them may have room, in seconds.
    """

    asked: set[GatewayId] = field(default_factory=set)
    is_unreached: bool = False
    retry_after_s: float = SILENT_S

    def error(self) -> NotReachedError:
        """Return what the caller is told."""
        return NotReachedError(
            is_unreached=self.is_unreached, retry_after_s=max(MIN_RETRY_S, self.retry_after_s)
        )


class Peers:
    """The other gateways, and when each may be asked again.

    :param own_id: this gateway's id.
    :param clock: source of time.
    :param rng: source of random numbers.
    """

    def __init__(self, *, own_id: GatewayId, clock: Clock, rng: Random | None = None) -> None:
        self._own_id = own_id
        self._clock = clock
        self._rng = rng or Random()
        self._table = GatewayTable(max_age_s=MAX_AGE_S)
        self._asked_from: dict[GatewayId, float] = {}

    def receive_news(self, news: KnownGateways) -> None:
        """Record what the leader knows of other gateways."""
        now = self._clock.monotonic()
        for known in news.gateways:
            if known.report.gateway != self._own_id:
                self._table.record(known.report, now - known.ms_ago / 1_000)

    def __len__(self) -> int:
        """Return how many other gateways are known."""
        return len(self._table)

    @property
    def ids(self) -> tuple[GatewayId, ...]:
        """Return the ids of the other gateways."""
        return self._table.gateways

    def has_carrier(self, server: ProxyServer) -> bool:
        """Return whether a gateway may be asked for a way to a server now."""
        return bool(self._choose(server, count=1))

    def knows_carrier(self, server: ProxyServer) -> bool:
        """Return whether a gateway may be asked for a way to a server, now or in a moment."""
        return bool(self._choose_among(self._table.reports(self._clock.monotonic()), server, 1))

    async def open(self, server: ProxyServer, *, timeout_s: float) -> ServerConnection:
        """Open a connection to a server through another gateway.

        :param server: the server.
        :param timeout_s: maximum wait in seconds.
        :raises NotReachedError: if no gateway that was asked carries it.
        """
        refusals = _Refusals()
        conn = await self._ask_in_turn(server, refusals, count=MAX_ASKED, timeout_s=timeout_s)
        if conn is None:
            raise refusals.error()
        return conn

    async def search(self, server: ProxyServer, *, timeout_s: float) -> ServerConnection:
        """Open a connection to a server if any other gateway reaches it.

        One gateway is asked first. Where it does not reach the server, it may be cut off from it as
        well, so others are asked at once, :data:`MAX_SEARCHED` at most.

        :param server: the server.
        :param timeout_s: maximum wait for the first one, and then for the others, in seconds.
        :raises NotReachedError: if no gateway carries it.
        """
        refusals = _Refusals()
        conn = await self._ask_in_turn(server, refusals, count=1, timeout_s=timeout_s)
        if conn is None:
            conn = await self._ask_others(server, refusals, timeout_s=timeout_s)
        if conn is None:
            raise refusals.error()
        return conn

    async def _ask_in_turn(
        self, server: ProxyServer, refusals: _Refusals, *, count: int, timeout_s: float
    ) -> ServerConnection | None:
        """Return a connection through the first gateway that carries one, of a few."""
        until = self._clock.monotonic() + timeout_s
        for report in self._choose(server, count=count):
            left_s = until - self._clock.monotonic()
            if left_s <= 0:
                return None
            conn = await self._try(report, server, refusals, min(left_s, ASK_TIMEOUT_S))
            if conn is not None:
                return conn
        return None

    async def _ask_others(
        self, server: ProxyServer, refusals: _Refusals, *, timeout_s: float
    ) -> ServerConnection | None:
        """Return a connection through any gateway, of :data:`MAX_SEARCHED` not asked yet.

        Those that had no room or were silent a moment ago are asked again, as nothing waits longer
        for it.
        """
        reports = self._table.reports(self._clock.monotonic())
        able = self._choose_among(reports, server, MAX_SEARCHED)
        tries = {
            asyncio.ensure_future(self._try(report, server, refusals, timeout_s))
            for report in able
            if report.gateway not in refusals.asked
        }
        waiting = tries
        try:
            while waiting:
                done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                opened = [conn for attempt in done if (conn := attempt.result()) is not None]
                if opened:
                    _close(opened[1:])
                    return opened[0]
            return None
        finally:
            for attempt in waiting:
                attempt.cancel()

    async def _try(
        self,
        report: GatewayReport,
        server: ProxyServer,
        refusals: _Refusals,
        timeout_s: float,
    ) -> ServerConnection | None:
        """Ask one gateway; return its connection, None if it carries none."""
        refusals.asked.add(report.gateway)
        try:
            return await self._ask(report, server, timeout_s=timeout_s)
        except NotCarriedError as exc:
            self._log(report, server, exc.message)
            refusals.is_unreached = refusals.is_unreached or exc.is_unreached
            refusals.retry_after_s = min(refusals.retry_after_s, exc.retry_after_s)
            if not exc.is_unreached:
                self._wait_before(report, exc.retry_after_s)
        except OSError as exc:
            self._log(report, server, repr(exc))
            self._wait_before(report, SILENT_S)
        return None

    async def _ask(
        self, report: GatewayReport, server: ProxyServer, *, timeout_s: float
    ) -> ServerConnection:
        request = CarryRequest(
            run=server.run,
            endpoint=server.record.endpoint,
            timeout_ms=round(timeout_s * CONNECT_SHARE * 1_000),
        )
        return await open_carried_connection(
            _address(report), request, timeout_s=timeout_s, until_close=True
        )

    def _choose(self, server: ProxyServer, *, count: int) -> list[GatewayReport]:
        now = self._clock.monotonic()
        askable = [
            report
            for report in self._table.reports(now)
            if self._asked_from.get(report.gateway, 0.0) <= now
        ]
        return self._choose_among(askable, server, count)

    def _choose_among(
        self, reports: list[GatewayReport], server: ProxyServer, count: int
    ) -> list[GatewayReport]:
        return choose_carriers(
            reports, run=server.run, domain=server.record.domain, count=count, rng=self._rng
        )

    def _wait_before(self, report: GatewayReport, seconds: float) -> None:
        self._asked_from[report.gateway] = self._clock.monotonic() + max(MIN_RETRY_S, seconds)

    def _log(self, report: GatewayReport, server: ProxyServer, reason: str) -> None:
        logger.bind(event="not_carried", gateway=report.gateway, server=server.run.server).info(
            "another gateway carries no connection: {}", reason
        )


def _close(conns: list[ServerConnection]) -> None:
    for conn in conns:
        conn.close()


def _address(report: GatewayReport) -> Endpoint:
    assert report.carry is not None
    return report.carry
