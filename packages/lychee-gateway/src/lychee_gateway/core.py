"""The gateway daemon: its components, tasks and life cycle."""

import asyncio
from time import monotonic

from loguru import logger

from lychee_gateway.announce import AnnounceServer, Readiness
from lychee_gateway.bodies import TOO_MANY_BODIES, BodyBudget, expected_bytes
from lychee_gateway.calls import Call, NotRun, Outcome, Response, StreamedResponse, UnknownOutcome
from lychee_gateway.clocks import ServerClocks
from lychee_gateway.control import ControlClient
from lychee_gateway.dispatch import Dispatcher
from lychee_gateway.drain import KeyedRequestTracker
from lychee_gateway.dump import GatewayDump, dump_ownerships, dump_servers
from lychee_gateway.exchange import Exchange
from lychee_gateway.lease import SessionLease
from lychee_gateway.ledger import LedgerClient
from lychee_gateway.metrics import FLUSH_S, GatewayMetrics, StateMetric
from lychee_gateway.problems import problem_response
from lychee_gateway.reports import AnnouncementRelay
from lychee_gateway.router import Router, bad_request_outcome
from lychee_gateway.servers import BackendServers
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

START_TIMEOUT_S = 5.0
"""Longest wait for the configuration and a lease before accepting callers, in seconds."""


class Gateway(Daemon):
    """Serves callers and forwards their requests to backend servers.

    :param cfg: the settings.
    """

    def __init__(self, *, cfg: GatewaySettings) -> None:
        super().__init__()
        self._cfg = cfg
        self._view = StateView()
        self._lease = SessionLease(timing=cfg.timing)
        self._keyed_requests = KeyedRequestTracker(drift_s=cfg.timing.drift_s)
        self._servers = BackendServers()
        self._announcements = AnnouncementRelay()
        self._ledger = LedgerClient()
        self._clocks = ServerClocks(view=self._view, limit_ms=cfg.timing.drift_ms)
        self._request_dispatcher = Dispatcher(
            view=self._view, lease=self._lease, servers=self._servers
        )
        self._router = Router(
            view=self._view,
            dispatcher=self._request_dispatcher,
            exchange=Exchange(
                dispatcher=self._request_dispatcher,
                servers=self._servers,
                keyed_requests=self._keyed_requests,
            ),
            ledger=self._ledger,
        )
        self._metrics = GatewayMetrics(client=open_metrics(cfg.statsd))
        self._body_budget = BodyBudget()
        self._accepting = False
        self._ready_changed = asyncio.Event()
        self._view.add_listener(lambda: self._servers.sync(self._view.state))
        self._view.add_listener(self._request_dispatcher.state_changed)
        self._view.add_listener(self._ready_changed.set)
        self._control = ControlClient(
            cfg=cfg,
            view=self._view,
            lease=self._lease,
            keyed_requests=self._keyed_requests,
            announcements=self._announcements,
            ledger=self._ledger,
            load_report=self._load_report,
            on_lease_granted=self._on_lease_granted,
            ssl=client_context(cfg.tls),
        )
        announce = AnnounceServer(
            announcements=self._announcements,
            clocks=self._clocks,
            readiness=self.readiness,
            dump=self.dump,
        )
        self._callers = CallerConnections(
            handle=self._handle_request,
            refuse=self._reply_bad_request,
            answer_failure=self._reply_internal_error,
            on_invariant_error=self._on_invariant_error,
        )
        self._announcers = CallerConnections(
            handle=announce.handle,
            refuse=announce.refuse,
            answer_failure=self._reply_internal_error,
            on_invariant_error=self._on_invariant_error,
        )
        self._listener = Listener(endpoint=cfg.listen, accept=self._callers.accept)
        self._announce_listener = Listener(endpoint=cfg.announce, accept=self._announcers.accept)

    def readiness(self) -> Readiness:
        """Return whether the gateway may be sent requests, with the reasons."""
        state = self._view.state.document is not None
        lease = self._lease.is_held(monotonic())
        clock = not self._clocks.is_local_clock_suspect()
        stopping = self.stopping.is_set()
        return Readiness(
            ready=state and lease and clock and self._accepting and not stopping,
            state=state,
            lease=lease,
            clock=clock,
            stopping=stopping,
        )

    async def serve(self) -> None:
        """Serve until asked to stop, then complete the requests in flight."""
        self.spawn(self._control.run(), name="control")
        self.spawn(self._wake_at_stop(), name="stop")
        self.spawn(self._flush_metrics(), name="metrics")
        self._announce_listener.start()
        logger.info("accepting announcements on {}", self._announce_listener.endpoint)
        await self._wait_until_ready()
        self._listener.start()
        self._accepting = True
        logger.info("serving callers on {}", self._listener.endpoint)
        await self.stopping.wait()
        if self.exit_code == 0:
            await self._stop()

    async def _wait_until_ready(self) -> None:
        """Wait until callers can be served, or until the start times out.

        On a shared port the operating system distributes connections over all processes that
        listen, so this one must not listen before it can serve. After the timeout it does listen,
        so that callers get an error that says why they cannot be served.
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not self._is_start_complete():
                    await self._ready_changed.wait()
                    self._ready_changed.clear()
        except TimeoutError:
            logger.warning(
                "not ready after {} s; accepting callers, whose requests may be refused",
                START_TIMEOUT_S,
            )

    def _is_start_complete(self) -> bool:
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
        await self._control.release_lease()
        logger.info("stopped with nothing in flight")

    def dump(self) -> str:
        """Return the gateway's state as YAML."""
        state = self._view.state
        lease_left_s = self._lease.remaining_s(monotonic())
        return format_dump(
            GatewayDump(
                id=self._cfg.id,
                session=self._control.session,
                control=self._control.replica,
                readiness=self.readiness(),
                lease_left_ms=round(lease_left_s * 1_000),
                applied=state.index,
                document_version=state.document_version,
                callers=len(self._callers),
                keyed_flights=len(self._keyed_requests),
                waiting=self._request_dispatcher.total_waiting_count(),
                ownerships=dump_ownerships(state),
                servers=dump_servers(self._servers),
            )
        )

    async def _handle_request(self, head: RequestHead, caller: CallerConnection) -> None:
        with self._body_budget.reserve(expected_bytes(head)) as granted:
            if granted:
                await self._handle_admitted(head, caller)
            else:
                await _reply(TOO_MANY_BODIES, caller)

    async def _handle_admitted(self, head: RequestHead, caller: CallerConnection) -> None:
        call = await self._router.read_call(head, caller)
        if isinstance(call, NotRun):
            await _reply(call, caller)
            return
        outcome = await self._run_request(call, caller)
        duration_s = monotonic() - call.arrived_at
        self._metrics.count(call.service.name, outcome, duration_s)
        _log_outcome(call, outcome)
        await _reply(outcome, caller, request_id=call.request_id)

    async def _run_request(self, call: Call, caller: CallerConnection) -> Outcome:
        task = asyncio.current_task()
        assert task is not None
        stream = StreamToCaller(caller=caller, max_pause_s=call.service.deadline_ms / 1_000)

        def on_caller_gone() -> None:
            if _is_cancellable(call):
                task.cancel()

        with caller.cancel_on_disconnect(on_caller_gone):
            return await self._router.run(call, stream.forward)

    async def _reply_bad_request(self, exc: BadRequestError, caller: CallerConnection) -> None:
        await _reply(bad_request_outcome(exc), caller)

    def _on_lease_granted(self) -> None:
        self._ready_changed.set()
        self._request_dispatcher.state_changed()

    async def _reply_internal_error(self, caller: CallerConnection) -> None:
        detail = "the gateway failed on this request"
        await _reply(UnknownOutcome(status=500, detail=detail), caller)

    async def _flush_metrics(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            state = self._view.state
            self._metrics.flush(
                {
                    StateMetric.CALLERS: len(self._callers),
                    StateMetric.WAITING: self._request_dispatcher.total_waiting_count(),
                    StateMetric.KEYED_REQUESTS: len(self._keyed_requests),
                    StateMetric.LEASE_LEFT_MS: self._lease.remaining_s(monotonic()) * 1_000,
                    StateMetric.APPLIED: state.index,
                    StateMetric.DOCUMENT_VERSION: state.document_version,
                }
            )

    def _on_invariant_error(self, exc: InvariantError) -> None:
        self.on_task_failed("request", exc)

    def _load_report(self, session: SessionId) -> ReportLoad:
        now = monotonic()
        return ReportLoad(
            session=session,
            servers=self._servers.take_loads(),
            hot_keys=self._router.take_hot_keys(now),
        )


def _is_cancellable(call: Call) -> bool:
    """Return whether a request is cancelled when its caller disconnects.

    A non-idempotent request that may have run, or that has an Idempotency-Key, is not cancelled, so
    that its outcome becomes known.
    """
    if call.service.idempotent:
        return True
    return not call.may_have_run and call.idempotency_key is None


def _log_outcome(call: Call, outcome: Outcome) -> None:
    """Log an outcome other than a complete response.

    Requests that were not run are logged at debug level only, as there are many under overload;
    metrics count them.
    """
    match outcome:
        case UnknownOutcome(status=status, detail=detail):
            logger.bind(request=call.request_id).warning(
                "the outcome of a request to {} is unknown; responded with status {}: {}",
                call.service.name,
                status,
                detail,
            )
        case StreamedResponse(complete=False):
            logger.bind(request=call.request_id).warning(
                "a streamed response of {} was truncated", call.service.name
            )
        case NotRun(status=status, detail=detail):
            logger.bind(request=call.request_id).debug(
                "a request to {} was not run; responded with status {}: {}",
                call.service.name,
                status,
                detail,
            )


async def _reply(outcome: Outcome, caller: CallerConnection, *, request_id: str = "") -> None:
    match outcome:
        case Response(head=head, body=body):
            await caller.send(head, body)
        case NotRun() | UnknownOutcome():
            response = problem_response(outcome, request_id=request_id)
            await caller.send(response.head, response.body)
        case StreamedResponse(complete=complete):
            if not complete:
                caller.truncate()
