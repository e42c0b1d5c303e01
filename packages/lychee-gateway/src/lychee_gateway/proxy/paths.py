"""The ways to servers: a direct connection, or one that another gateway carries.

That a server accepts no connection from here does not say that it is down: this gateway may be the
one that is cut off, from that server or from all.
"""

import asyncio
from collections.abc import Callable, Container, Coroutine
from random import Random
from typing import Any, Protocol

from loguru import logger

from lychee_gateway.proxy.own_link import LOOK_GAP_S, Opening, OwnLink, OwnLinkFullError
from lychee_gateway.proxy.path_reports import PathReports
from lychee_gateway.proxy.peers import NotReachedError, Peers
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_http import ServerConnection
from lychee_policy import MAX_LATE_S, LateOpenings, LinkUse, PathTable
from lychee_types.clock import Clock
from lychee_types.ids import DomainName, GatewayId, ServiceName
from lychee_types.records import Endpoint
from lychee_types.registry import ServerIncarnation

HEDGE_S = 0.3
"""Time in which a direct connection opens before another gateway is asked, in seconds."""

END_CHECK_S = 0.1
"""Maximum wait for a connection that shows that a server still listens, in seconds."""

LATE_END_CHECK_S = 0.3
"""The same while this gateway's own link is full, in seconds."""

CARRIED_END_CHECK_S = 0.25
"""The same for a connection that another gateway carries, in seconds."""

DIRECT_TIMEOUT_S = 0.5
"""Maximum wait for a direct connection on which no request waits, in seconds."""

CHECK_GAP_S = 0.5
"""Shortest time between two checks of the direct way to one server, in seconds."""

MIN_EVIDENCE_S = 0.1
"""Shortest wait for a direct connection that says something of the way, in seconds."""

CHECKED_OTHERS = 4
"""Number of other servers whose ways are checked once two are doubted, or in one look."""

LOOK_S = 0.25
"""Shortest time between two looks for doubted ways that are to be tried again, in seconds."""

Spawn = Callable[[Coroutine[Any, Any, None], str], None]
"""Runs work in a named task of the daemon."""


class _Ask(Protocol):
    """Asks other gateways for a connection to a server."""

    async def __call__(self, server: ProxyServer, *, timeout_s: float) -> ServerConnection: ...


class ServerPaths:
    """Opens connections to servers in the way that works.

    :param gateway: this gateway's id.
    :param domain: this gateway's failure domain.
    :param carry: address at which it takes other gateways' connections, None if it takes none.
    :param servers: the registered servers.
    :param peers: the other gateways.
    :param link: the open connections that share this gateway's link.
    :param spawn: runs work in a task.
    :param on_connection: called with each attempt to connect to a server of a service: the way,
        "direct" or "carried", and its error if any.
    :param clock: source of time.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        *,
        gateway: GatewayId,
        domain: DomainName,
        carry: Endpoint | None,
        servers: ServerList,
        peers: Peers,
        spawn: Spawn,
        on_connection: Callable[[ServiceName, str, OSError | None], None],
        clock: Clock,
        link: OwnLink | None = None,
        rng: Random | None = None,
    ) -> None:
        self._servers = servers
        self._peers = peers
        self._spawn = spawn
        self._on_connection = on_connection
        self._clock = clock
        self._link = link or OwnLink()
        self._rng = rng or Random()
        self._table = PathTable(rng=self._rng)
        self._late = LateOpenings()
        self._checked_at: dict[ServerIncarnation, float] = {}
        self._looked_at = 0.0
        self.reports = PathReports(
            gateway=gateway, domain=domain, carry=carry, table=self._table, clock=clock
        )

    def __len__(self) -> int:
        """Return how many servers' direct ways are doubted."""
        return len(self._table)

    @property
    def reaches_none(self) -> bool:
        """Whether no server is expected to accept a connection from here."""
        return self._table.reaches_none

    def sync(self) -> None:
        """Forget the servers that are no longer registered."""
        runs = {server.run for server in self._servers.all()}
        self._table.keep_only(runs)
        self._late.keep_only(runs)
        for run in self._checked_at.keys() - runs:
            del self._checked_at[run]

    def is_direct(self, server: ProxyServer) -> bool:
        """Return whether a server is expected to accept a connection from here."""
        return not self._table.is_doubted(server.run)

    async def acquire(
        self, server: ProxyServer, *, timeout_s: float, but: Container[ServerConnection] = ()
    ) -> ServerConnection:
        """Return a connection on which no byte of the next request has been sent.

        :param server: the server.
        :param timeout_s: maximum wait in seconds.
        :param but: connections that are not to be used.
        :raises OSError: if the server is not reached in time, in any way.
        """
        self._look_for_due_checks()
        conn = self._take_idle(server, but)
        if conn is not None:
            return conn
        if self._table.is_doubted(server.run):
            return await self._open_around(server, timeout_s=timeout_s, but=but)
        if not self._peers.has_carrier(server):
            return await self._open_direct(server, timeout_s=timeout_s)
        return await self._open_either(server, timeout_s=timeout_s)

    async def connect(self, server: ProxyServer, timeout_s: float) -> ServerConnection:
        """Open a direct connection for another gateway.

        :param server: the server.
        :param timeout_s: maximum wait in seconds.
        :raises NotReachedError: if the server accepts none in time, or is not expected to.
        """
        if self._table.is_doubted(server.run):
            self._check_if_due(server)
        else:
            try:
                # The rest of the time is for the comparison.
                return await self._open_direct(
                    server, timeout_s=max(END_CHECK_S, timeout_s - END_CHECK_S)
                )
            except OwnLinkFullError as exc:
                # The comparison would show nothing either.
                raise NotReachedError(is_unreached=False, retry_after_s=DIRECT_TIMEOUT_S) from exc
            except OSError as exc:
                logger.debug("server {} accepts no connection: {!r}", server.run.server, exc)
        raise NotReachedError(
            is_unreached=await self._is_server_at_fault(server), retry_after_s=DIRECT_TIMEOUT_S
        )

    def suspect(self, server: ProxyServer, *, since: float) -> None:
        """Check the direct way to a server that left a request without an answer.

        :param server: the server.
        :param since: monotonic time in seconds from which on nothing was to come; the way is fine
            if it has answered any request after that.
        """
        now = self._clock.monotonic()
        if self._table.is_doubted(server.run) or server.heard_at > since:
            return
        if now - self._checked_at.get(server.run, -CHECK_GAP_S) >= CHECK_GAP_S:
            self._check(server)

    async def has_ended(self, server: ProxyServer) -> bool:
        """Return whether nobody accepts connections at a server's address any more.

        It is not taken for ended where only this gateway does not reach it.
        """
        # An idle connection may not have been reset yet.
        if await self._try_direct(server, END_CHECK_S, limit_s=LATE_END_CHECK_S):
            return False
        if not self._peers.knows_carrier(server):
            return await self._is_server_at_fault(server)
        try:
            server.pool.add(await self._carry(server, self._peers.search, CARRIED_END_CHECK_S))
            return False
        except NotReachedError as exc:
            logger.debug("server {}: {}", server.run.server, exc)
            return exc.is_unreached or await self._is_server_at_fault(server)

    def record_opened(self, server: ProxyServer) -> None:
        """Record that a direct connection has opened."""
        self._on_connection(server.record.service, "direct", None)
        reached_none = self._table.record_heard()
        if not self._table.record_opened(server.run) and not reached_none:
            return
        self._update_all()
        logger.bind(event="path_direct", server=server.run.server, doubted=len(self)).info(
            "a server is reached directly again"
        )

    def record_heard(self) -> None:
        """Record an answer on a direct connection."""
        if self._table.record_heard():
            self._update_all()
            logger.bind(event="paths_open", doubted=len(self)).info("some servers are reached")

    def record_failed(self, server: ProxyServer, exc: OSError, use: LinkUse) -> None:
        """Record that a direct connection did not open, and what others carried meanwhile."""
        self._on_connection(server.record.service, "direct", exc)
        self._doubt(server, exc, use)

    def _doubt(self, server: ProxyServer, exc: OSError, use: LinkUse) -> None:
        reached_none = self._table.reaches_none
        is_new = self._table.record_failed(server.run, self._clock.monotonic())
        # Where connections are refused, those that are open may live on.
        is_silent = not isinstance(exc, ConnectionRefusedError)
        if is_silent:
            server.pool.doubt_direct()
        if is_new:
            self._log_doubt(server, exc, use)
        if self._table.reaches_none and not reached_none:
            self._doubt_all(is_silent=is_silent)
        elif is_new and len(self._table) > 1:
            self._check_others()
        self._update(server)

    def _update_all(self) -> None:
        for server in self._servers.all():
            self._update(server)

    def _update(self, server: ProxyServer) -> None:
        """Tell the server's record and connections whether its direct way is doubted."""
        server.is_direct = self.is_direct(server)
        if server.is_direct:
            server.pool.trust_direct()

    def _log_doubt(self, server: ProxyServer, exc: OSError, use: LinkUse) -> None:
        logger.bind(
            event="path_doubted",
            server=server.run.server,
            evidence=_evidence(exc),
            **_figures(use),
            doubted=len(self),
            peers=len(self._peers),
        ).info("a server is not reached directly: {!r}", exc)

    def _doubt_all(self, *, is_silent: bool) -> None:
        logger.bind(event="paths_cut", doubted=len(self), peers=len(self._peers)).warning(
            "no server is reached directly any more"
        )
        for server in self._servers.all():
            self._update(server)
            if is_silent:
                server.pool.doubt_direct()

    async def _is_server_at_fault(self, server: ProxyServer) -> bool:
        """Return whether a server that accepts no connection is at fault itself, as seen from here.

        Where no other one accepts any either, this gateway may have been cut off just now. One of
        them says little, as it may have ended too.
        """
        if self._table.is_own_fault(server.run):
            return False
        others = [other for other in self._servers.all() if other is not server]
        if not others:
            return True
        direct = [other for other in others if self.is_direct(other)]
        compared = self._rng.sample(direct, min(CHECKED_OTHERS, len(direct)))
        return await self._reaches_any(compared[:1]) or await self._reaches_any(compared[1:])

    async def _reaches_any(self, servers: list[ProxyServer]) -> bool:
        """Return whether any of some servers accepts a direct connection in a moment."""
        tries = [
            self._try_direct(server, END_CHECK_S, limit_s=LATE_END_CHECK_S) for server in servers
        ]
        return any(await asyncio.gather(*tries))

    def _check_others(self) -> None:
        others = [server for server in self._servers.all() if self.is_direct(server)]
        for server in self._rng.sample(others, min(CHECKED_OTHERS, len(others))):
            self.suspect(server, since=self._clock.monotonic() - CHECK_GAP_S)

    def _look_for_due_checks(self) -> None:
        """Try some doubted ways again, as requests go to other servers while there are any."""
        now = self._clock.monotonic()
        if not len(self._table) or now - self._looked_at < LOOK_S:
            return
        self._looked_at = now
        doubted = [server for server in self._servers.all() if not self.is_direct(server)]
        for server in self._rng.sample(doubted, min(CHECKED_OTHERS, len(doubted))):
            self._check_if_due(server)

    def _check_if_due(self, server: ProxyServer) -> None:
        if self._table.take_check(server.run, self._clock.monotonic()):
            self._check(server)

    def _check(self, server: ProxyServer) -> None:
        self._checked_at[server.run] = self._clock.monotonic()
        self._spawn(self._check_direct(server), "path check")

    async def _check_direct(self, server: ProxyServer) -> None:
        await self._try_direct(server, DIRECT_TIMEOUT_S, limit_s=MAX_LATE_S)

    async def _try_direct(self, server: ProxyServer, timeout_s: float, *, limit_s: float) -> bool:
        """Return whether a server accepts a direct connection, and keep that connection.

        :param server: the server.
        :param timeout_s: maximum wait in seconds.
        :param limit_s: the same while this gateway's own link is full.
        """
        try:
            opening = self._begin_opening(timeout_s, limit_s=limit_s)
            server.pool.add(await self._open(server, opening))
            return True
        except OSError as exc:
            logger.debug("server {} is not reached directly: {!r}", server.run.server, exc)
            return False

    def _take_idle(
        self, server: ProxyServer, but: Container[ServerConnection]
    ) -> ServerConnection | None:
        """Return an idle connection; a carried one only while the direct way is doubted."""
        while (conn := server.pool.take_idle(but)) is not None:
            if not conn.is_carried:
                return conn
            if self._table.is_doubted(server.run):
                return conn
            conn.close()
        return None

    async def _open_direct(self, server: ProxyServer, *, timeout_s: float) -> ServerConnection:
        return await self._open(server, self._begin_opening(timeout_s, limit_s=timeout_s))

    def _begin_opening(self, timeout_s: float, *, limit_s: float) -> Opening:
        return Opening(
            link=self._link,
            timeout_s=min(timeout_s, DIRECT_TIMEOUT_S),
            limit_s=min(limit_s, MAX_LATE_S),
            clock=self._clock,
        )

    async def _open(self, server: ProxyServer, opening: Opening) -> ServerConnection:
        try:
            conn = await server.pool.connect(timeout_s=opening.first_s, more_s=opening.more_s)
        except TimeoutError as exc:
            # A server that has answered meanwhile is reached, and its way or queue is just full.
            if opening.timeout_s >= MIN_EVIDENCE_S and server.heard_at < opening.began:
                self._record_timeout(server, exc, opening)
            raise
        except OSError as exc:
            self.record_failed(server, exc, opening.use)
            raise
        self._link.add(conn.stream)
        self._late.record_opened(server.run)
        self.record_opened(server)
        return conn

    def _record_timeout(self, server: ProxyServer, exc: TimeoutError, opening: Opening) -> None:
        """Record that a connection did not open in time.

        :raises OwnLinkFullError: if that says nothing of the way to the server.
        """
        now = self._clock.monotonic()
        if self._late.is_evidence(
            server.run, opening.use, began=opening.began, heard_at=server.heard_at, now=now
        ):
            self.record_failed(server, exc, opening.use)
            return
        self._on_connection(server.record.service, "direct", exc)
        logger.bind(
            event="path_late",
            server=server.run.server,
            waited_ms=round((now - opening.began) * 1_000),
            **_figures(opening.use),
        ).info("a connection opened too late, as this gateway's own link is full")
        raise OwnLinkFullError("this gateway's own link is full") from exc

    async def _open_either(self, server: ProxyServer, *, timeout_s: float) -> ServerConnection:
        """Open a direct connection and, if it is late or fails, a carried one; use the first."""
        opening = self._begin_opening(timeout_s, limit_s=timeout_s)
        direct = asyncio.ensure_future(self._open(server, opening))
        unused: list[asyncio.Future[ServerConnection] | asyncio.Future[ServerConnection | None]]
        unused = [direct]
        try:
            await asyncio.wait({direct}, timeout=HEDGE_S)
            while opening.use.is_filled and not direct.done():
                # The other gateway's reply would wait on the same link.
                await asyncio.wait({direct}, timeout=LOOK_GAP_S)
            if not _has_opened(direct):
                left_s = timeout_s - (self._clock.monotonic() - opening.began)
                around = asyncio.ensure_future(
                    self._open_unless_unreached(server, timeout_s=left_s)
                )
                unused.append(around)
                await asyncio.wait({direct, around}, return_when=asyncio.FIRST_COMPLETED)
                if not _has_opened(direct):
                    carried = await asyncio.shield(around)
                    if carried is not None:
                        unused.remove(around)
                        return carried
            conn = await asyncio.shield(direct)
            unused.remove(direct)
            return conn
        finally:
            for attempt in unused:
                self._spawn(_keep(server, attempt), "late connection")

    async def _open_unless_unreached(
        self, server: ProxyServer, *, timeout_s: float
    ) -> ServerConnection | None:
        try:
            return await self._open_carried(server, timeout_s=timeout_s)
        except NotReachedError as exc:
            logger.debug("server {}: {}", server.run.server, exc)
            return None

    async def _open_around(
        self, server: ProxyServer, *, timeout_s: float, but: Container[ServerConnection]
    ) -> ServerConnection:
        """Open a connection to a server whose direct way is doubted."""
        began = self._clock.monotonic()
        if not self._table.is_unreached(server.run, began):
            carried = await self._open_unless_unreached(server, timeout_s=timeout_s)
            if carried is not None:
                return carried
        conn = server.pool.take_unproven(but)
        if conn is not None:
            return conn
        if self._table.reaches_none and self._peers.knows_carrier(server):
            raise NotReachedError(is_unreached=False, retry_after_s=DIRECT_TIMEOUT_S)
        left_s = timeout_s - (self._clock.monotonic() - began)
        return await self._open_direct(server, timeout_s=max(0.0, left_s))

    async def _open_carried(self, server: ProxyServer, *, timeout_s: float) -> ServerConnection:
        return await self._carry(server, self._peers.open, timeout_s)

    async def _carry(self, server: ProxyServer, ask: _Ask, timeout_s: float) -> ServerConnection:
        try:
            conn = await ask(server, timeout_s=timeout_s)
        except NotReachedError as exc:
            self._on_connection(server.record.service, "carried", exc)
            if exc.is_unreached:
                self._table.record_unreached(server.run, self._clock.monotonic())
            raise
        self._link.add(conn.stream)
        self._table.record_carried(server.run)
        self._on_connection(server.record.service, "carried", None)
        return conn


def _figures(use: LinkUse) -> dict[str, int]:
    """Return what a log line says of other connections."""
    return {
        "waiting_bytes": use.waiting,
        "acknowledged_bytes": use.acknowledged,
        "received_bytes": use.received,
    }


def _evidence(exc: OSError) -> str:
    """Return what says that a direct connection did not open."""
    match exc:
        case TimeoutError():
            return "timeout"
        case ConnectionRefusedError():
            return "refusal"
        case ConnectionResetError():
            return "reset"
        case _:
            return type(exc).__name__


def _has_opened(direct: "asyncio.Future[ServerConnection]") -> bool:
    return direct.done() and direct.exception() is None


async def _keep(
    server: ProxyServer,
    attempt: "asyncio.Future[ServerConnection] | asyncio.Future[ServerConnection | None]",
) -> None:
    """Keep a connection that opens after its request has taken another one."""
    try:
        conn = await attempt
    except OSError as exc:
        logger.debug("server {} is not reached directly: {!r}", server.run.server, exc)
        return
    if conn is not None:
        server.pool.add(conn)
