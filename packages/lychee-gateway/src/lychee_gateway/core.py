"""The gateway's daemon: its tasks and its life cycle."""

import asyncio
from time import monotonic

from loguru import logger

from lychee_gateway.announce import AnnounceServer, Readiness
from lychee_gateway.bodies import TOO_MANY_BODIES, BodyBudget, expected_bytes
from lychee_gateway.calls import Answer, Call, NotRun, Outcome, StreamSent, Unknown
from lychee_gateway.clocks import ServerClocks
from lychee_gateway.control import ControlClient
from lychee_gateway.dispatch import Dispatcher
from lychee_gateway.drain import FlightLog
from lychee_gateway.dump import GatewayDump, dump_ownerships, dump_servers
from lychee_gateway.exchange import Exchange
from lychee_gateway.lease import SessionLease
from lychee_gateway.ledger import LedgerCalls
from lychee_gateway.metrics import FLUSH_S, GatewayMetrics, StateMetric
from lychee_gateway.problems import answer_for
from lychee_gateway.reports import AnnouncementDesk
from lychee_gateway.router import Router, bad_request
from lychee_gateway.servers import ServerBook
from lychee_gateway.streams import StreamToCaller
from lychee_gateway.view import StateView
from lychee_http import CallerConnection, RequestHead
from lychee_http.callers import CallerConnections
from lychee_http.exceptions import BadRequestError
from lychee_http.listener import Listener
from lychee_runtime import Daemon, client_context, format_dump, open_metrics
from lychee_types.exceptions import InvariantError
from lychee_types.ids import SessionId
from lychee_types.messages import (
    ReportLoad,
)
from lychee_types.settings import GatewaySettings

START_LIMIT_S = 5.0
"""Longest wait for the state and a lease before callers are accepted, in seconds."""


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
        self._clocks = ServerClocks(view=self._view, limit_ms=cfg.timing.drift_ms)
        self._placing = Dispatcher(view=self._view, lease=self._lease, servers=self._servers)
        self._router = Router(
            view=self._view,
            dispatcher=self._placing,
            exchange=Exchange(
                dispatcher=self._placing, servers=self._servers, flights=self._flights
            ),
            ledger=self._ledger,
        )
        self._metrics = GatewayMetrics(client=open_metrics(cfg.statsd))
        self._bodies = BodyBudget()
        self._accepting = False
        self._ready_changed = asyncio.Event()
        self._view.listen(lambda: self._servers.sync(self._view.state))
        self._view.listen(self._placing.state_changed)
        self._view.listen(self._ready_changed.set)
        self._control = ControlClient(
            cfg=cfg,
            view=self._view,
            lease=self._lease,
            flights=self._flights,
            desk=self._desk,
            ledger=self._ledger,
            load=self._report_load,
            on_lease=self._lease_granted,
            ssl=client_context(cfg.tls),
        )
        announce = AnnounceServer(
            desk=self._desk, clocks=self._clocks, readiness=self.readiness, dump=self.dump
        )
        self._callers = CallerConnections(
            handle=self._answer,
            refuse=self._refuse,
            answer_failure=self._crash,
            on_invariant_error=self._broken,
        )
        self._announcers = CallerConnections(
            handle=announce.handle,
            refuse=announce.refuse,
            answer_failure=self._crash,
            on_invariant_error=self._broken,
        )
        self._listener = Listener(endpoint=cfg.listen, accept=self._callers.accept)
        self._announce_listener = Listener(endpoint=cfg.announce, accept=self._announcers.accept)

    def readiness(self) -> Readiness:
        """Return whether callers may be sent here."""
        state = self._view.state.document is not None
        lease = self._lease.held(monotonic())
        clock = not self._clocks.are_own_in_doubt()
        stopping = self.stopping.is_set()
        return Readiness(
            ready=state and lease and clock and self._accepting and not stopping,
            state=state,
            lease=lease,
            clock=clock,
            stopping=stopping,
        )

    async def serve(self) -> None:
        """Serve until asked to stop, then finish what is in flight."""
        self.spawn(self._control.run(), name="control")
        self.spawn(self._wake_at_stop(), name="stop")
        self.spawn(self._flush_metrics(), name="metrics")
        self._announce_listener.start()
        logger.info("taking announcements on {}", self._announce_listener.endpoint)
        await self._until_ready()
        self._listener.start()
        self._accepting = True
        logger.info("serving callers on {}", self._listener.endpoint)
        await self.stopping.wait()
        if self.exit_code == 0:
            await self._stop()

    async def _until_ready(self) -> None:
        """Wait until callers can be served, or have waited long enough to be told why not.

        On a shared port the operating system gives connections to each process that listens.
        """
        try:
            async with asyncio.timeout(START_LIMIT_S):
                while not self._is_start_over():
                    await self._ready_changed.wait()
                    self._ready_changed.clear()
        except TimeoutError:
            logger.warning("not ready after {} s; callers are told so", START_LIMIT_S)

    def _is_start_over(self) -> bool:
        readiness = self.readiness()
        return readiness.stopping or (readiness.state and readiness.lease)

    async def _wake_at_stop(self) -> None:
        await self.stopping.wait()
        self._ready_changed.set()

    async def _stop(self) -> None:
        self._callers.begin_stop()
        await asyncio.sleep(self._cfg.stop_notice_ms / 1_000)
        await self._listener.stop()
        await self._callers.finish()
        await self._announce_listener.stop()
        await self._announcers.finish()
        await self._control.hand_back()
        logger.info("stopped with nothing in flight")

    def dump(self) -> str:
        """Return the gateway's state as YAML."""
        state = self._view.state
        left_s = self._lease.left_s(monotonic())
        return format_dump(
            GatewayDump(
                id=self._cfg.id,
                session=self._control.session,
                control=self._control.replica,
                readiness=self.readiness(),
                lease_left_ms=round(left_s * 1_000),
                applied=state.index,
                document_version=state.document_version,
                callers=len(self._callers),
                keyed_flights=len(self._flights),
                waiting=self._placing.waiting_in_all(),
                ownerships=dump_ownerships(state),
                servers=dump_servers(self._servers),
            )
        )

    async def _answer(self, head: RequestHead, caller: CallerConnection) -> None:
        with self._bodies.reserved(expected_bytes(head)) as granted:
            if granted:
                await self._answer_held(head, caller)
            else:
                await _reply(TOO_MANY_BODIES, caller)

    async def _answer_held(self, head: RequestHead, caller: CallerConnection) -> None:
        call = await self._router.read_call(head, caller)
        if isinstance(call, NotRun):
            await _reply(call, caller)
            return
        outcome = await self._run(call, caller)
        seconds = monotonic() - call.arrived
        self._metrics.count(call.service.name, outcome, seconds)
        _log_outcome(call, outcome)
        await _reply(outcome, caller, request_id=call.request_id)

    async def _run(self, call: Call, caller: CallerConnection) -> Outcome:
        task = asyncio.current_task()
        assert task is not None
        stream = StreamToCaller(caller=caller, pause_s=call.service.deadline_ms / 1_000)

        def vanished() -> None:
            if _is_cancellable(call):
                task.cancel()

        with caller.cancel_on_disconnect(vanished):
            return await self._router.run(call, stream.pass_on)

    async def _refuse(self, exc: BadRequestError, caller: CallerConnection) -> None:
        await _reply(bad_request(exc), caller)

    def _lease_granted(self) -> None:
        self._ready_changed.set()
        self._placing.state_changed()

    async def _crash(self, caller: CallerConnection) -> None:
        detail = "the gateway failed on this request"
        await _reply(Unknown(status=500, detail=detail), caller)

    async def _flush_metrics(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            state = self._view.state
            self._metrics.flush(
                {
                    StateMetric.CALLERS: len(self._callers),
                    StateMetric.WAITING: self._placing.waiting_in_all(),
                    StateMetric.KEYED_FLIGHTS: len(self._flights),
                    StateMetric.LEASE_LEFT_MS: self._lease.left_s(monotonic()) * 1_000,
                    StateMetric.APPLIED: state.index,
                    StateMetric.DOCUMENT_VERSION: state.document_version,
                }
            )

    def _broken(self, exc: InvariantError) -> None:
        self.on_task_failed("request", exc)

    def _report_load(self, session: SessionId) -> ReportLoad:
        now = monotonic()
        return ReportLoad(
            session=session,
            servers=self._servers.take_loads(),
            hot_keys=self._router.take_hot_keys(now),
        )


def _is_cancellable(call: Call) -> bool:
    """Return whether a request ends when its caller vanishes.

    The outcome of a non-idempotent request that may have been sent is worth knowing.
    """
    if call.service.idempotent:
        return True
    return not call.maybe_run and call.idempotency_key is None


def _log_outcome(call: Call, outcome: Outcome) -> None:
    """Log what a caller cannot tell from the answer; refusals under load are counted only."""
    match outcome:
        case Unknown(status=status, detail=detail):
            logger.bind(request=call.request_id).warning(
                "a request to {} ended as unknown {}: {}", call.service.name, status, detail
            )
        case StreamSent(whole=False):
            logger.bind(request=call.request_id).warning(
                "a streamed answer of {} was cut short", call.service.name
            )
        case NotRun(status=status, detail=detail):
            logger.bind(request=call.request_id).debug(
                "a request to {} was not run, {}: {}", call.service.name, status, detail
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
                caller.truncate()
