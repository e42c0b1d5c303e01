"""The daemon of a gateway that forwards requests by routes."""

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any
from uuid import uuid4

from loguru import logger
from msgspec import Struct

from lychee_gateway.proxy.age import StateAge
from lychee_gateway.proxy.attempts import LAST_SEND_SHARE, Sender
from lychee_gateway.proxy.carrier import Carrier
from lychee_gateway.proxy.codec import ProxyCodec, Rejection
from lychee_gateway.proxy.cold import ColdServers
from lychee_gateway.proxy.crashes import CrashGuard
from lychee_gateway.proxy.evacuations import EvacuationLog
from lychee_gateway.proxy.explaining import Explainer
from lychee_gateway.proxy.forwarding import Forwarder
from lychee_gateway.proxy.hedging import Hedger, RouteCopiesDump
from lychee_gateway.proxy.held import CALLERS_SHARE, MAX_HELD_BYTES, HeldAnswers
from lychee_gateway.proxy.limits import ServerLimits
from lychee_gateway.proxy.limits_in_force import LimitsInForce
from lychee_gateway.proxy.loads import KeyLoads
from lychee_gateway.proxy.metrics import ProxyMetrics
from lychee_gateway.proxy.overloads import OverloadedOwners
from lychee_gateway.proxy.own_link import OwnLink
from lychee_gateway.proxy.pages import make_pages
from lychee_gateway.proxy.paths import ServerPaths
from lychee_gateway.proxy.peers import Peers
from lychee_gateway.proxy.placing import ServerSelector
from lychee_gateway.proxy.probed_choice import ProbedChoice
from lychee_gateway.proxy.probing import Prober
from lychee_gateway.proxy.resets import ResetRecorder
from lychee_gateway.proxy.retries import RetryBudgets
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.server_waits import ServerWaits
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.stopping import StopSchedule
from lychee_gateway.proxy.subscription import Subscription
from lychee_gateway.proxy.suspects import SuspectChecks
from lychee_gateway.proxy.tracked_sender import TrackedSender
from lychee_gateway.proxy.view import RoutedView
from lychee_http import CallerLimits, ResponseHead, TcpStream
from lychee_http.caller_account import make_caller_memory
from lychee_http.caller_memory import CountedHolding, megabytes
from lychee_http.exchange import CallerExchange
from lychee_http.lateness import LoopWatch
from lychee_http.listener import Listener
from lychee_http.pipelining import PipelinedConnection
from lychee_http.tally import RequestTally
from lychee_http.textpage import TextPages
from lychee_runtime import Daemon, format_dump
from lychee_types.clock import Clock, SystemClock
from lychee_types.cold_messages import KnownCold
from lychee_types.crash_messages import KnownCrashes
from lychee_types.ids import DomainName, LogIndex, ServerId, ServiceName, SessionId
from lychee_types.limit_messages import KnownLimits, PermitReply
from lychee_types.overload_messages import KnownOverloads
from lychee_types.peer_messages import KnownGateways
from lychee_types.registry_messages import LeaderNews, LeaderNote, LeaderReply
from lychee_types.routed_settings import ProxySettings, parse_endpoint
from lychee_types.timeouts import take_input

STOP_CHECK_S = 0.05
"""Interval at which a stopping gateway closes connections that have become idle, in seconds."""


class ProxyDump(Struct, frozen=True, kw_only=True):
    """The state of a gateway, as shown by a dump.

    :param id: its id.
    :param domain: its failure domain.
    :param replica: address of the control replica that it is subscribed to.
    :param follows_near: whether that replica is in its failure domain.
    :param index: log index of its state.
    :param routes: version number of the active routing configuration.
    :param servers: number of registered servers.
    :param evacuated: the failure domains that are evacuated.
    :param cold: number of servers that are cold.
    :param callers: number of open connections from callers.
    :param callers_max: maximum number of them, None for no limit.
    :param callers_mb: memory that they take up by the gateway's account, in MB.
    :param callers_peak_mb: the most that they have taken up since the start, in MB.
    :param callers_bound_mb: bound on it, in MB.
    :param overdue: number of requests that wait at servers for longer than work takes there.
    :param probed_services: services whose servers are asked for their load before a request.
    :param copies: what is known of routes' second copies, empty if none are sent.
    :param shares: admitted share of the requests for each overloaded owner of keys.
    """

    id: str
    domain: DomainName
    replica: str
    follows_near: bool
    index: LogIndex
    routes: int
    servers: int
    evacuated: tuple[DomainName, ...]
    cold: int
    callers: int
    callers_max: int | None
    callers_mb: float
    callers_peak_mb: float
    callers_bound_mb: float
    overdue: int = 0
    probed_services: tuple[ServiceName, ...] = ()
    copies: tuple[RouteCopiesDump, ...] = ()
    shares: dict[ServerId, float] = {}


class ProxyDaemon(Daemon):
    """A gateway process.

    :param cfg: its settings.
    :param codec: translates request and response heads.
    :param clock: source of time.
    :param read_settings: reads the settings again on a reload; None if a reload is not supported.
    """

    def __init__(
        self,
        *,
        cfg: ProxySettings,
        codec: ProxyCodec,
        clock: Clock | None = None,
        read_settings: Callable[[], ProxySettings] | None = None,
    ) -> None:
        super().__init__()
        self._cfg = cfg
        self._read_settings = read_settings
        self._codec = codec
        self._clock = clock or SystemClock()
        self._session = SessionId(uuid4().hex)
        self._view = RoutedView()
        self._loop_watch = LoopWatch(clock=self._clock)
        self._age = StateAge(
            view=self._view,
            clock=self._clock,
            apply_s=cfg.bounds.apply_s,
            running_since=self._loop_watch.running_since,
        )
        self._servers = ServerList(clock=self._clock, as_of=lambda: self._age.confirmed_at)
        self._loads = KeyLoads(clock=self._clock)
        self._metrics = ProxyMetrics(
            under_way=self._under_way,
            index=lambda: self._view.state.index,
            version=lambda: self._view.state.version.number,
            limits=lambda: len(self._limits),
            cold=lambda: self._cold.count(),
            owner_share=lambda: self._overloads.lowest_share,
            age_s=lambda: self._age.age_s,
            silence_s=lambda: self._clock.monotonic() - self._subscription.last_message_at,
            unreached=lambda: len(self._paths),
            carried=lambda: len(self._carrier) if self._carrier is not None else 0,
            evacuated=lambda: len(self._view.state.evacuated),
            follows_near=lambda: float(self._subscription.follows_near),
        )
        self._memory = make_caller_memory(
            memory_mb=cfg.vm.memory_mb, max_fds=cfg.vm.max_fds, on_shed=self._metrics.count_shed
        )
        self._metrics.show_memory(self._memory)
        self._tally = RequestTally(on_end=self._metrics.count_end)
        self._metrics.show_tally(self._tally)
        self._peers = Peers(own_id=cfg.id, clock=self._clock)
        self._link = OwnLink()
        self._paths = ServerPaths(
            gateway=cfg.id,
            domain=cfg.domain,
            carry=cfg.carry_endpoint,
            servers=self._servers,
            peers=self._peers,
            link=self._link,
            spawn=self._spawn_path_work,
            on_connection=self._metrics.count_connection,
            clock=self._clock,
        )
        self._carrier = self._make_carrier()
        self._cold = ColdServers(servers=self._servers, clock=self._clock)
        self._limits = ServerLimits(
            on_attempt=self._metrics.count_limited_attempt,
            on_permits=self._metrics.count_permits,
            clock=self._clock,
            cold=self._cold,
        )
        self._prober = Prober(
            codec=codec,
            view=self._view,
            servers=self._servers,
            spawn=lambda work, name: self.spawn(work, name=name),
            is_late=self._loop_watch.is_late,
            on_probes=self._metrics.count_probe,
            clock=self._clock,
        )
        self._overloads = OverloadedOwners(
            clock=self._clock, on_refused=self._metrics.count_owner_refusal
        )
        self._selector = ServerSelector(
            view=self._view,
            servers=self._servers,
            limits=self._limits,
            overloads=self._overloads,
            domain=cfg.domain,
            clock=self._clock,
            drain_s=cfg.bounds.drain_s,
            prefers_open=cfg.prefer_open_connections,
            probed=ProbedChoice(
                probing=self._prober,
                domain=cfg.domain,
                on_choice=self._metrics.count_probed_choice,
                clock=self._clock,
            ),
        )
        self._guard = CrashGuard(clock=self._clock, own_id=cfg.id, others=lambda: self._peers.ids)
        self._retries = RetryBudgets(bounds=cfg.bounds)
        self._stop = StopSchedule(grace_s=cfg.bounds.grace_s, clock=self._clock)
        self._waits = ServerWaits(
            clock=self._clock,
            questions=self._prober,
            on_overdue=self._metrics.count_overdue,
            on_dropped=self._metrics.count_dropped,
        )
        sender = Sender(
            codec=codec,
            paths=self._paths,
            limits=self._limits,
            resets=ResetRecorder(on_reset=self._metrics.count_reset, clock=self._clock),
            drain_s=cfg.bounds.drain_s,
            clock=self._clock,
            is_usable=lambda: self._age.is_usable,
            limit_wait=self._stop.limit_wait,
            waits=self._waits,
        )
        suspects = SuspectChecks(
            guard=self._guard, sender=sender, metrics=self._metrics, clock=self._clock
        )
        self._hedger = Hedger(
            sender=TrackedSender(
                sender=sender, suspects=suspects, metrics=self._metrics, clock=self._clock
            ),
            selector=self._selector,
            suspects=suspects,
            retries=self._retries,
            metrics=self._metrics,
            stop=self._stop,
            settings=cfg.hedging,
            clock=self._clock,
        )
        self._caller_limits = LimitsInForce(keep_s=cfg.bounds.apply_s, clock=self._clock)
        self._forwarder = Forwarder(
            view=self._view,
            age=self._age,
            selector=self._selector,
            hedger=self._hedger,
            codec=codec,
            loads=self._loads,
            suspects=suspects,
            clock=self._clock,
            retries=self._retries,
            metrics=self._metrics,
            stop=self._stop,
            held=self._make_held_answers(),
            limits=self._caller_limits,
        )
        self._view.add_listener(lambda: self._caller_limits.set(self._view.state.routing.bounds))
        self._view.add_listener(lambda: self._servers.sync(self._view.state))
        self._view.add_listener(self._forget_departed_servers)
        self._view.add_listener(self._paths.sync)
        self._view.add_listener(self._prober.sync)
        self._view.add_listener(self._selector.state_changed)
        self._view.add_listener(EvacuationLog(view=self._view).update)
        self._subscription = Subscription(
            cfg=cfg,
            session=self._session,
            view=self._view,
            age=self._age,
            clock=self._clock,
            take_notes=self._take_notes,
            on_gateway_count=self._set_gateway_count,
            on_shared=self._receive_shared,
            on_attempt_ended=self._metrics.count_subscription,
        )
        self._limits.set_post(self._subscription.post)
        self._conns: dict[asyncio.Task[None], PipelinedConnection] = {}
        self._listener = Listener(endpoint=cfg.endpoint, accept=self._accept)
        self._ready_listener = Listener(endpoint=cfg.ready_endpoint, accept=self._accept_probe)
        self._metrics_page = None
        if cfg.metrics is not None:
            self._metrics_page = TextPages(
                endpoint=parse_endpoint(cfg.metrics),
                pages=make_pages(
                    render_metrics=self._metrics.render, explainer=self._make_explainer()
                ),
            )
        self._is_listening = False

    @property
    def is_ready(self) -> bool:
        """Whether the gateway can take requests."""
        return self._is_listening and self._age.is_usable and not self.stopping.is_set()

    async def serve(self) -> None:
        """Serve until asked to stop, then finish the requests in progress."""
        self.spawn(self._subscription.run(), name="subscription")
        self.spawn(self._loop_watch.run(), name="loop watch")
        self.spawn(self._waits.run(), name="waits at servers")
        self._ready_listener.start()
        if self._metrics_page is not None:
            self._metrics_page.start()
        if self._carrier is not None:
            self._carrier.start()
        self._listener.start()
        self._is_listening = True
        logger.bind(event="start", listen=self._cfg.listen).info("gateway started")
        await self.stopping.wait()
        if self.exit_code == 0:
            await self._drain_connections()
        if self._carrier is not None:
            await self._carrier.close()
        self._prober.close()
        await self._end_connections()
        logger.bind(event="stop", under_way=self._under_way(), **self._tally.summary()).info(
            "gateway stopped"
        )

    def dump(self) -> str:
        """Return the gateway's state as YAML."""
        state = self._view.state
        return format_dump(
            ProxyDump(
                id=self._cfg.id,
                domain=self._cfg.domain,
                replica=self._subscription.replica,
                follows_near=self._subscription.follows_near,
                index=state.index,
                routes=state.version.number,
                servers=len(state.servers),
                evacuated=tuple(sorted(state.evacuated)),
                cold=self._cold.count(),
                callers=len(self._conns),
                callers_max=self._memory.bounds.connections,
                callers_mb=megabytes(self._memory.held),
                callers_peak_mb=megabytes(self._memory.peak),
                callers_bound_mb=megabytes(self._memory.bounds.held_bytes),
                overdue=self._waits.overdue,
                probed_services=self._prober.services,
                copies=self._hedger.dump(),
                shares=self._overloads.shares,
            )
        )

    def reload(self) -> None:
        """Apply the seeds of the reread settings; other changes need a restart."""
        if self._read_settings is None:
            super().reload()
            return
        self._cfg = self._read_settings()
        self._subscription.set_seeds(self._cfg.seed_endpoints)
        logger.bind(event="reload", seeds=self._cfg.seeds).info("seeds reloaded")

    def _forget_departed_servers(self) -> None:
        self._limits.keep_only({record.run for record in self._view.state.servers.values()})

    def _make_held_answers(self) -> HeldAnswers | None:
        """Return the room for answers that follows from the VM, None for the usual one."""
        if self._cfg.vm.memory_mb is None:
            return None
        share = int(self._memory.bounds.held_bytes * CALLERS_SHARE)
        return HeldAnswers(max_bytes=min(MAX_HELD_BYTES, share))

    def _make_explainer(self) -> Explainer:
        return Explainer(
            gateway=self._cfg.id,
            domain=self._cfg.domain,
            view=self._view,
            age=self._age,
            servers=self._servers,
            selector=self._selector,
            limits=self._limits,
            overloads=self._overloads,
            retries=self._retries,
            hedger=self._hedger,
            is_stopping=self.stopping.is_set,
            clock=self._clock,
        )

    def _make_carrier(self) -> Carrier | None:
        endpoint = self._cfg.carry_endpoint
        if endpoint is None:
            return None
        return Carrier(
            endpoint=endpoint,
            servers=self._servers,
            connect=self._paths.connect,
            is_late=self._loop_watch.is_late,
            take_off=lambda data, waited_s: self._codec.take_off(data, waited_s=waited_s),
            may_send=self._may_carry,
            on_request=self._metrics.count_carry_request,
            on_bytes=self._metrics.count_carried_bytes,
            max_fds=self._cfg.vm.max_fds,
        )

    def _may_carry(self, server: ProxyServer) -> bool:
        last_send_s = self._cfg.bounds.drain_s * LAST_SEND_SHARE
        return not server.has_drained(self._clock.monotonic(), last_send_s)

    def _spawn_path_work(self, work: Coroutine[Any, Any, None], name: str) -> None:
        self.spawn(work, name=name)

    def _under_way(self) -> int:
        return sum(conn.under_way for conn in self._conns.values())

    async def _drain_connections(self) -> None:
        """Accept connections for a share of the grace time, then close them as they become idle.

        Readiness probes fail meanwhile, so that callers move to other gateways.
        """
        self._stop.begin()
        self._leave_peers()
        for conn in self._conns.values():
            conn.closing = True
        await asyncio.sleep(self._stop.listen_s)
        await self._listener.stop()
        while self._has_work() and not self._stop.is_over:
            for conn in list(self._conns.values()):
                conn.closing = True
                conn.close_if_idle()
            await asyncio.sleep(STOP_CHECK_S)
        # After a delay of the loop, answers that are due are written in the next turns only.
        await take_input()

    async def _end_connections(self) -> None:
        """End the connections that are left, so that what they lose is counted before the end."""
        tasks = list(self._conns)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _has_work(self) -> bool:
        return bool(self._conns) or bool(self._carrier)

    def _leave_peers(self) -> None:
        """Carry nothing new for other gateways, and let them end what is carried."""
        self._paths.reports.stop()
        if self._carrier is not None:
            self._carrier.leave()

    async def _accept(self, sock: socket.socket) -> None:
        holding = self._memory.open()
        if holding is None:
            sock.close()
            return
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: self._make_stream(holding), sock)
        except OSError:
            holding.end()
            raise

    def _make_stream(self, holding: CountedHolding) -> TcpStream:
        return TcpStream(
            holding=holding,
            on_connect=self._start_connection,
            is_late=self._loop_watch.is_late,
            earliest=self._loop_watch.earliest,
        )

    async def _accept_probe(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(
            lambda: TcpStream(on_connect=self._start_probe_connection), sock
        )

    def _start_connection(self, stream: TcpStream) -> None:
        self._link.add(stream)
        conn = PipelinedConnection(
            stream=stream,
            limits=self._caller_limits,
            handle=self._forwarder.handle,
            refuse=self._forwarder.refuse,
            tally=self._tally,
            tells_idle=True,
            idle_answer=self._forwarder.idle_answer,
        )
        conn.closing = self.stopping.is_set()
        task = asyncio.get_running_loop().create_task(conn.run())
        self._conns[task] = conn
        task.add_done_callback(self._conns.pop)

    def _start_probe_connection(self, stream: TcpStream) -> None:
        conn = PipelinedConnection(
            stream=stream,
            limits=CallerLimits(),
            handle=self._answer_probe,
            refuse=self._forwarder.refuse,
        )
        self.spawn(conn.run(), name="probe")

    async def _answer_probe(self, exchange: CallerExchange) -> None:
        if not self._codec.is_readiness_probe(exchange.head):
            rejection = Rejection(status=404, reason="only readiness is told here")
            await exchange.send(*self._codec.reject(rejection, ""))
            return
        await exchange.send(ResponseHead(status=200 if self.is_ready else 503, headers=()), b"")

    def _take_notes(self) -> tuple[LeaderNote, ...]:
        """Return what the leader is to know since the last call."""
        load = self._loads.take(self._session, self._servers.take_stats())
        notes = (
            load,
            self._limits.take_report(),
            self._cold.take_report(),
            self._guard.take_report(),
            self._paths.reports.take(),
        )
        return tuple(note for note in notes if note is not None)

    def _receive_shared(self, message: LeaderReply | LeaderNews) -> None:
        match message:
            case PermitReply():
                self._limits.receive_reply(message)
            case KnownLimits():
                self._limits.receive_news(message)
            case KnownCold():
                self._cold.receive_news(message)
            case KnownCrashes():
                self._guard.receive_news(message)
            case KnownGateways():
                self._peers.receive_news(message)
            case KnownOverloads():
                self._overloads.receive_news(message)

    def _set_gateway_count(self, count: int) -> None:
        self._servers.set_gateway_count(count)
        self._limits.set_gateway_count(count)
        self._retries.record_gateway_count(count, now=self._clock.monotonic())
