"""The gateway's stream to the control replicas."""

import asyncio
from collections.abc import Callable
from itertools import cycle
from random import Random
from ssl import SSLContext
from time import monotonic
from uuid import uuid4

from loguru import logger

from lychee_gateway.drain import FlightLog
from lychee_gateway.lease import SessionLease
from lychee_gateway.ledger import LedgerCalls
from lychee_gateway.reports import AnnouncementDesk
from lychee_gateway.view import StateView
from lychee_runtime import Link, open_link
from lychee_types.exceptions import InvariantError, UnavailableError
from lychee_types.ids import SessionId
from lychee_types.messages import (
    ATTACH,
    Attach,
    Deltas,
    Drained,
    EndSession,
    GrantLease,
    LedgerFailed,
    LedgerReply,
    RenewLease,
    ReportLoad,
    ReportServers,
    ServerGrants,
    Snapshot,
    ToControl,
    ToGateway,
)
from lychee_types.records import Endpoint, GatewayRecord
from lychee_types.settings import GatewaySettings

SILENCE_S = 0.6
"""Silence of a link after which the next replica is tried, in seconds."""

BACKOFF_S = (0.05, 0.3)
"""Least and greatest pause before the next replica is tried, in seconds."""

DRAIN_CHECK_S = 0.02
"""Interval at which transitions are checked for having drained, in seconds."""

LOAD_REPORT_S = 1.0
"""Interval between reports of load, in seconds."""

HAND_BACK_S = 0.1
"""Time for the word that hands the lease back to leave the process, in seconds."""


def new_session() -> SessionId:
    """Return a random name for a run."""
    return SessionId(uuid4().hex)


class ControlClient:
    """Keeps one link to any control replica and applies what comes over it.

    :param cfg: the gateway's settings.
    :param view: the replicated state.
    :param lease: the session lease.
    :param flights: keyed requests in flight, for drained transitions.
    :param desk: announcements of backend servers.
    :param ledger: calls to the request ledger.
    :param load: returns the load report of a session.
    :param on_lease: called after each grant.
    :param ssl: TLS context, None for plain TCP.
    """

    def __init__(
        self,
        *,
        cfg: GatewaySettings,
        view: StateView,
        lease: SessionLease,
        flights: FlightLog,
        desk: AnnouncementDesk,
        ledger: LedgerCalls,
        load: Callable[[SessionId], ReportLoad],
        on_lease: Callable[[], None],
        ssl: SSLContext | None = None,
    ) -> None:
        self.session = new_session()
        self._cfg = cfg
        self._view = view
        self._lease = lease
        self._flights = flights
        self._desk = desk
        self._ledger = ledger
        self._load = load
        self._on_lease = on_lease
        self._ssl = ssl
        self._draw = Random()
        self._link: Link[ToControl, ToGateway] | None = None
        self._unreachable: set[Endpoint] = set()
        self._told: tuple[Drained, ...] = ()
        self._is_handed_back = False

    @property
    def replica(self) -> str:
        """Address of the replica that the link goes to, empty without a link."""
        return self._link.peer if self._link is not None else ""

    async def run(self) -> None:
        """Keep a link until cancelled, trying one replica after the other."""
        replicas = list(self._cfg.control)
        self._draw.shuffle(replicas)
        for endpoint in cycle(replicas):
            try:
                async with open_link(
                    endpoint=endpoint,
                    method=ATTACH,
                    send=ToControl,
                    receive=ToGateway,
                    ssl=self._ssl,
                ) as link:
                    await self._use(link)
            except TimeoutError:
                logger.info("control replica {} was silent for {} s", endpoint, SILENCE_S)
            except UnavailableError as exc:
                self._log_no_link(endpoint, exc)
            await asyncio.sleep(self._draw.uniform(*BACKOFF_S))

    def _log_no_link(self, endpoint: Endpoint, exc: UnavailableError) -> None:
        """Log each replica once until there is a link again."""
        if endpoint not in self._unreachable:
            self._unreachable.add(endpoint)
            logger.info("no link to control replica {}: {}", endpoint, exc)

    async def _use(self, link: Link[ToControl, ToGateway]) -> None:
        record = GatewayRecord(id=self._cfg.id, session=self.session, domain=self._cfg.domain)
        link.post(Attach(gateway=record, have=self._view.state.index))
        self._link = link
        self._unreachable.clear()
        self._ledger.connected(link.post, self.session)
        logger.info("attached to control replica {}", link.peer)
        try:
            async with asyncio.TaskGroup() as group:
                helpers = [
                    group.create_task(self._renew_often(link)),
                    group.create_task(self._report_servers(link)),
                    group.create_task(self._report_load(link)),
                ]
                await self._receive(link)
                for helper in helpers:
                    helper.cancel()
        except ExceptionGroup as group_exc:
            raise _gravest(group_exc) from group_exc
        finally:
            self._link = None
            self._ledger.disconnected()

    async def _receive(self, link: Link[ToControl, ToGateway]) -> None:
        while not link.closed:
            async with asyncio.timeout(SILENCE_S):
                batch = await link.receive()
            if not batch:
                return
            for message in batch:
                if not self._take(message):
                    return

    def _take(self, message: ToGateway) -> bool:
        """Apply a message; False if the link must be opened anew."""
        match message:
            case Deltas():
                self._view.extend(message)
            case Snapshot():
                self._view.install(message)
            case GrantLease(session=session) if session == self.session:
                self._lease.granted(number=message.number, lease_ms=message.lease_ms)
                self._on_lease()
            case EndSession(session=session) if self._must_begin_anew(session):
                logger.warning("this run was declared lost; a new session begins")
                self._lease.end()
                self.session = new_session()
                return False
            case ServerGrants(grants=grants):
                self._desk.answer(grants)
            case LedgerReply() | LedgerFailed():
                self._ledger.answer(message)
            case _:
                pass
        return True

    async def hand_back(self) -> None:
        """Give the lease back at a stop, unless a keyed request may still be under way.

        Keys then move without waiting for the lease to run out.
        """
        self._flights.expire(monotonic())
        if self._link is None or len(self._flights):
            return
        self._lease.end()
        self._renew(self._link, ending=True)
        self._is_handed_back = True
        await asyncio.sleep(HAND_BACK_S)

    def _must_begin_anew(self, session: SessionId) -> bool:
        return session == self.session and not self._is_handed_back

    def _renew(self, link: Link[ToControl, ToGateway], *, ending: bool = False) -> None:
        if self._is_handed_back:
            return
        state = self._view.state
        self._told = self._flights.drained(state, monotonic())
        number = self._lease.renewal_sent(monotonic())
        link.post(
            RenewLease(
                session=self.session,
                number=number,
                applied=state.index,
                document_version=state.document_version,
                drained=self._told,
                ending=ending,
            )
        )

    async def _renew_often(self, link: Link[ToControl, ToGateway]) -> None:
        """Renew the lease at its interval, and at once when a transition has drained."""
        renew_s = self._cfg.timing.renew_ms / 1_000
        due = monotonic()
        while True:
            drained = self._flights.drained(self._view.state, monotonic())
            if monotonic() >= due or drained != self._told:
                self._renew(link)
                due = monotonic() + renew_s
            await asyncio.sleep(DRAIN_CHECK_S)

    async def _report_servers(self, link: Link[ToControl, ToGateway]) -> None:
        while True:
            batch = await self._desk.batch()
            link.post(ReportServers(session=self.session, announcements=batch))

    async def _report_load(self, link: Link[ToControl, ToGateway]) -> None:
        while True:
            await asyncio.sleep(LOAD_REPORT_S)
            link.post(self._load(self.session))
            self._ledger.resend()


def _gravest(group: ExceptionGroup[Exception]) -> Exception:
    """Return a broken invariant of the group, else its first error."""
    broken = group.subgroup(InvariantError)
    return (broken or group).exceptions[0]
