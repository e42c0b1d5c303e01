"""The gateway's daemon: its tasks and its life cycle."""

import asyncio

import msgspec
from loguru import logger

from lychee_gateway.announce import AnnounceServer, Readiness
from lychee_gateway.callers import Callers
from lychee_gateway.calls import Answer, Call, NotRun, Outcome, StreamSent, Unknown
from lychee_gateway.control import ControlClient
from lychee_gateway.dispatch import Dispatcher
from lychee_gateway.drain import FlightLog
from lychee_gateway.exceptions import BadRequestError
from lychee_gateway.exchange import Exchange
from lychee_gateway.http import CallerConnection, RequestHead
from lychee_gateway.lease import SessionLease
from lychee_gateway.ledger import LedgerCalls
from lychee_gateway.listener import Listener
from lychee_gateway.problems import answer_for
from lychee_gateway.reports import AnnouncementDesk
from lychee_gateway.router import Router, bad_request
from lychee_gateway.servers import ServerBook
from lychee_gateway.streams import StreamToCaller
from lychee_gateway.view import StateView
from lychee_runtime import Daemon, client_context, format_dump
from lychee_types.exceptions import InvariantError
from lychee_types.ids import SessionId
from lychee_types.messages import ReportLoad
from lychee_types.settings import GatewaySettings


class Gateway(Daemon):
    """Serves callers and forwards their requests to backend servers.

    :param cfg: the settings.
    """

    def __init__(self, *, cfg: GatewaySettings) -> None:
        super().__init__()
        self._cfg = cfg
        self._view = StateView()
        self._lease = SessionLease(timing=cfg.timing)
        self._flights = FlightLog(drift_s=cfg.timing.drift_s)
        self._servers = ServerBook()
        self._desk = AnnouncementDesk()
        self._ledger = LedgerCalls()
        self._placing = Dispatcher(view=self._view, lease=self._lease, servers=self._servers)
        self._router = Router(
            view=self._view,
            dispatcher=self._placing,
            exchange=Exchange(dispatcher=self._placing, flights=self._flights),
        )
        self._view.listen(lambda: self._servers.sync(self._view.state))
        self._view.listen(self._placing.state_changed)
        self._control = ControlClient(
            cfg=cfg,
            view=self._view,
            lease=self._lease,
            flights=self._flights,
            desk=self._desk,
            ledger=self._ledger,
            load=self._report_load,
            on_lease=self._placing.state_changed,
            ssl=client_context(cfg.tls),
        )
        announce = AnnounceServer(desk=self._desk, readiness=self.readiness, dump=self.dump)
        self._callers = Callers(handle=self._answer, refuse=self._refuse, fail=self._broken)
        self._announcers = Callers(
            handle=announce.handle, refuse=announce.refuse, fail=self._broken
        )
        self._listener = Listener(endpoint=cfg.listen, accept=self._callers.accept)
        self._announce_listener = Listener(endpoint=cfg.announce, accept=self._announcers.accept)

    def readiness(self) -> Readiness:
        """Return whether callers may be sent here."""
        state = self._view.state.document is not None
        lease = self._lease.held(asyncio.get_running_loop().time())
        stopping = self.stopping.is_set()
        return Readiness(
            ready=state and lease and not stopping, state=state, lease=lease, stopping=stopping
        )

    async def serve(self) -> None:
        """Serve until asked to stop, then finish what is in flight."""
        self.spawn(self._control.run(), name="control")
        self._listener.start()
        self._announce_listener.start()
        logger.info(
            "serving callers on {} and announcements on {}",
            self._listener.endpoint,
            self._announce_listener.endpoint,
        )
        await self.stopping.wait()
        if self.exit_code == 0:
            await self._stop()

    async def _stop(self) -> None:
        self._callers.begin_stop()
        await asyncio.sleep(self._cfg.stop_notice_ms / 1_000)
        self._listener.stop()
        await self._callers.finish()
        self._announce_listener.stop()
        await self._announcers.finish()
        logger.info("stopped with nothing in flight")

    def dump(self) -> str:
        """Return the gateway's state as YAML."""
        state = self._view.state
        raw = {
            "gateway": self._cfg.id,
            "session": self._control.session,
            "control": self._control.replica,
            "readiness": msgspec.to_builtins(self.readiness()),
            "lease_left_ms": round(self._lease.left_s(asyncio.get_running_loop().time()) * 1_000),
            "applied": state.index,
            "document_version": state.document_version,
            "callers": len(self._callers),
            "keyed_flights": len(self._flights),
            "ownerships": {
                name: {
                    "token": ownership.token,
                    "pending": ownership.pending.begun if ownership.pending else None,
                }
                for name, ownership in state.ownerships.items()
            },
            "servers": {
                server.record.id: {
                    "endpoint": str(server.record.endpoint),
                    "service": server.record.service,
                    "status": server.record.status.value,
                    "in_flight": server.in_flight,
                    "limit": server.limits.in_flight,
                    "answer_ms": round(server.answer_s * 1_000, 2),
                }
                for server in self._servers
            },
        }
        return format_dump(raw)

    async def _answer(self, head: RequestHead, caller: CallerConnection) -> None:
        call = await self._router.read_call(head, caller)
        if isinstance(call, NotRun):
            await _reply(call, caller)
            return
        outcome = await self._run(call, caller)
        await _reply(outcome, caller, request_id=call.request_id)

    async def _run(self, call: Call, caller: CallerConnection) -> Outcome:
        task = asyncio.current_task()
        assert task is not None
        stream = StreamToCaller(caller=caller, pause_s=call.service.deadline_ms / 1_000)
        with caller.cancelling(task.cancel):
            return await self._router.run(call, stream.pass_on)

    async def _refuse(self, exc: BadRequestError, caller: CallerConnection) -> None:
        await _reply(bad_request(exc), caller)

    def _broken(self, exc: InvariantError) -> None:
        self.on_task_failed("request", exc)

    def _report_load(self, session: SessionId) -> ReportLoad:
        return ReportLoad(
            session=session, servers=tuple(server.take_load() for server in self._servers)
        )


async def _reply(outcome: Outcome, caller: CallerConnection, *, request_id: str = "") -> None:
    match outcome:
        case Answer(head=head, body=body):
            await caller.send(head, body)
        case NotRun() | Unknown():
            answer = answer_for(outcome, request_id=request_id)
            await caller.send(answer.head, answer.body)
        case StreamSent(whole=whole):
            if not whole:
                caller.abort()
