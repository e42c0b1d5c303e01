"""The gateway's link to the control replicas."""

import asyncio
from collections.abc import Callable
from itertools import cycle
from random import Random
from ssl import SSLContext
from time import monotonic
from uuid import uuid4

from loguru import logger

from lychee_gateway.drain import KeyedRequestTracker
from lychee_gateway.lease import SessionLease
from lychee_gateway.ledger import LedgerClient
from lychee_gateway.reports import AnnouncementRelay
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
"""Time without a message on a link after which the next replica is tried, in seconds."""

BACKOFF_S = (0.05, 0.3)
"""Shortest and longest random delay before the next replica is tried, in seconds."""

DRAIN_CHECK_S = 0.02
"""Interval at which pending transitions are checked for requests in flight, in seconds."""

LOAD_REPORT_S = 1.0
"""Interval between load reports, in seconds."""

RELEASE_FLUSH_S = 0.1
"""Time for the message that releases the lease to be sent before the exit, in seconds."""


def new_session() -> SessionId:
    """Return a random id for a gateway session."""
    return SessionId(uuid4().hex)


class ControlClient:
    """Keeps a link to one of the control replicas and handles its messages.

    :param cfg: the gateway's settings.
    :param view: the replicated state.
    :param lease: the session lease.
    :param keyed_requests: keyed requests in flight, which pending transitions wait for.
    :param announcements: relays announcements of backend servers.
    :param ledger: client of the request ledger.
    :param load_report: returns the load report of a session.
    :param on_lease_granted: called after each grant of the lease.
    :param ssl: TLS context, None for plain TCP.
    """

    def __init__(
        self,
        *,
        cfg: GatewaySettings,
        view: StateView,
        lease: SessionLease,
        keyed_requests: KeyedRequestTracker,
        announcements: AnnouncementRelay,
        ledger: LedgerClient,
        load_report: Callable[[SessionId], ReportLoad],
        on_lease_granted: Callable[[], None],
        ssl: SSLContext | None = None,
    ) -> None:
        self.session = new_session()
        self._cfg = cfg
        self._view = view
        self._lease = lease
        self._keyed_requests = keyed_requests
        self._announcements = announcements
        self._ledger = ledger
        self._load_report = load_report
        self._on_lease_granted = on_lease_granted
        self._ssl = ssl
        self._rng = Random()
        self._link: Link[ToControl, ToGateway] | None = None
        self._unreachable: set[Endpoint] = set()
        self._reported_drained: tuple[Drained, ...] = ()
        self._is_lease_released = False

    @property
    def replica(self) -> str:
        """Address of the connected replica, empty without a link."""
        return self._link.peer if self._link is not None else ""

    async def run(self) -> None:
        """Keep a link open until cancelled, trying one replica after the other."""
        replicas = list(self._cfg.control)
        self._rng.shuffle(replicas)
        for endpoint in cycle(replicas):
            try:
                async with open_link(
                    endpoint=endpoint,
                    method=ATTACH,
                    send=ToControl,
                    receive=ToGateway,
                    ssl=self._ssl,
                ) as link:
                    await self._serve_link(link)
            except TimeoutError:
                logger.info(
                    "control replica {} sent no message for {} s; trying the next one",
                    endpoint,
                    SILENCE_S,
                )
            except UnavailableError as exc:
                self._log_unreachable(endpoint, exc)
            await asyncio.sleep(self._rng.uniform(*BACKOFF_S))

    def _log_unreachable(self, endpoint: Endpoint, exc: UnavailableError) -> None:
        """Log an unreachable replica, once for each until a link is open again."""
        if endpoint not in self._unreachable:
            self._unreachable.add(endpoint)
            logger.info("cannot connect to control replica {}: {}", endpoint, exc)

    async def _serve_link(self, link: Link[ToControl, ToGateway]) -> None:
        record = GatewayRecord(id=self._cfg.id, session=self.session, domain=self._cfg.domain)
        link.post(Attach(gateway=record, have=self._view.state.index))
        self._link = link
        self._unreachable.clear()
        self._ledger.on_connected(link.post, self.session)
        logger.info("attached to control replica {}", link.peer)
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(self._renew_periodically(link)),
                    group.create_task(self._report_servers(link)),
                    group.create_task(self._report_load(link)),
                ]
                await self._receive(link)
                for task in tasks:
                    task.cancel()
        except ExceptionGroup as group_exc:
            raise _most_severe(group_exc) from group_exc
        finally:
            self._link = None
            self._ledger.on_disconnected()

    async def _receive(self, link: Link[ToControl, ToGateway]) -> None:
        while not link.closed:
            batch = await link.receive(silence_s=SILENCE_S)
            if not batch:
                return
            for message in batch:
                if not self._handle_message(message):
                    return

    def _handle_message(self, message: ToGateway) -> bool:
        """Handle a message; return False if the link must be reopened."""
        match message:
            case Deltas():
                self._view.apply_deltas(message)
            case Snapshot():
                self._view.install_snapshot(message)
            case GrantLease(session=session) if session == self.session:
                self._lease.record_grant(number=message.number, lease_ms=message.lease_ms)
                self._on_lease_granted()
            case EndSession(session=session) if self._must_start_new_session(session):
                logger.warning(
                    "the control replicas declared this session lost; starting a new session"
                )
                self._lease.end()
                self.session = new_session()
                return False
            case ServerGrants(grants=grants):
                self._announcements.deliver_grants(grants)
            case LedgerReply() | LedgerFailed():
                self._ledger.handle_reply(message)
            case _:
                pass
        return True

    async def release_lease(self) -> None:
        """Release the lease at a stop, unless a server may still run a keyed request.

        Keys can then move without waiting for the lease to expire.
        """
        self._keyed_requests.remove_expired(monotonic())
        if self._link is None or len(self._keyed_requests):
            return
        self._lease.end()
        self._renew(self._link, ending=True)
        self._is_lease_released = True
        await asyncio.sleep(RELEASE_FLUSH_S)

    def _must_start_new_session(self, session: SessionId) -> bool:
        return session == self.session and not self._is_lease_released

    def _renew(self, link: Link[ToControl, ToGateway], *, ending: bool = False) -> None:
        if self._is_lease_released:
            return
        state = self._view.state
        self._reported_drained = self._keyed_requests.drained_transitions(state, monotonic())
        number = self._lease.record_renewal(monotonic())
        link.post(
            RenewLease(
                session=self.session,
                number=number,
                applied=state.index,
                document_version=state.document_version,
                drained=self._reported_drained,
                ending=ending,
            )
        )

    async def _renew_periodically(self, link: Link[ToControl, ToGateway]) -> None:
        """Renew the lease at its interval, and at once when a transition has drained.

        A transition has drained when its moving keys have no requests in flight any more.
        """
        renew_s = self._cfg.timing.renew_ms / 1_000
        due = monotonic()
        while True:
            drained = self._keyed_requests.drained_transitions(self._view.state, monotonic())
            if monotonic() >= due or drained != self._reported_drained:
                self._renew(link)
                due = monotonic() + renew_s
            await asyncio.sleep(DRAIN_CHECK_S)

    async def _report_servers(self, link: Link[ToControl, ToGateway]) -> None:
        while True:
            batch = await self._announcements.next_batch()
            link.post(ReportServers(session=self.session, announcements=batch))

    async def _report_load(self, link: Link[ToControl, ToGateway]) -> None:
        while True:
            await asyncio.sleep(LOAD_REPORT_S)
            link.post(self._load_report(self.session))
            self._ledger.resend()


def _most_severe(group: ExceptionGroup[Exception]) -> Exception:
    """Return the first invariant violation of a group, else its first error."""
    invariant_errors = group.subgroup(InvariantError)
    return (invariant_errors or group).exceptions[0]
