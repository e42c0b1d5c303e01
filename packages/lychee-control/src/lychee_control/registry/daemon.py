"""The daemon of a control replica of a routed deployment."""

import asyncio
from collections.abc import Callable
from math import ceil
from pathlib import Path

from loguru import logger
from xxhash import xxh3_64_intdigest

from lychee_control.memory import ReplicaMemory
from lychee_control.peers import (
    JoinRequest,
    LeaderHint,
    LogMessage,
    NewsDown,
    NoteUp,
    PeerAlive,
    PeerFrame,
    PeerLink,
    PeerLinks,
    ReplyDown,
    serve_peer,
)
from lychee_control.registry.calls import GrantCodec
from lychee_control.registry.cold import ColdBoard
from lychee_control.registry.crashes import CrashBoard
from lychee_control.registry.dump import RegistryDump
from lychee_control.registry.gateways import GatewayBoard
from lychee_control.registry.heartbeats import heartbeat_fault
from lychee_control.registry.joining import JoinHandler, load_or_create_id
from lychee_control.registry.leader import RegistryLeader
from lychee_control.registry.limits import LimitBoard
from lychee_control.registry.machine import RoutedMachine
from lychee_control.registry.metrics import RegistryMetrics
from lychee_control.registry.orders import (
    ApiCall,
    ApiCodec,
    ApiReply,
    BadOrder,
    Heartbeat,
    LeaderCall,
    NotLeader,
    Refused,
    Unavailable,
    UnknownCall,
)
from lychee_control.registry.relay import GatewayRelay
from lychee_control.registry.subscribers import Subscribers
from lychee_http import CallerConnection, CallerLimits, RequestHead, ResponseHead
from lychee_http.caller_account import make_caller_memory
from lychee_http.caller_memory import megabytes
from lychee_http.callers import CallerConnections
from lychee_http.exceptions import BadRequestError
from lychee_http.listener import Listener
from lychee_http.textpage import PageText, TextPages
from lychee_log import Replica, ReplicaAddress
from lychee_runtime import Daemon, Link, LinkService, format_dump, serve_links
from lychee_types.clock import Clock, SystemClock
from lychee_types.cold_messages import KnownCold
from lychee_types.crash_messages import KnownCrashes
from lychee_types.exceptions import InvariantError
from lychee_types.ids import DomainName, ReplicaId, SessionId
from lychee_types.limit_messages import KnownLimits
from lychee_types.messages import PEER
from lychee_types.peer_messages import KnownGateways
from lychee_types.records import Endpoint
from lychee_types.registry_commands import EvacuateDomain, RoutedOutcome
from lychee_types.registry_messages import (
    SUBSCRIBE,
    FromGateway,
    LeaderNews,
    LeaderNote,
    Pulse,
    RoutedDelta,
    ToSubscriber,
)
from lychee_types.routed_settings import (
    METRICS_PATH,
    RegistrySettings,
    parse_endpoint,
    replica_id,
)

PEER_CHECK_S = 0.2
"""Interval at which a link to each voter is opened if there is none, in seconds."""

START_CHECK_S = 0.02
"""Interval at which a replica without a list of voters checks for one, in seconds."""

HAND_OVER_S = 0.5
"""Maximum time that a stopping leader waits for another replica to lead, in seconds."""

BODY_LIMIT_BYTES = 8_388_608
"""Maximum body size of a call, in bytes; enough for a configuration of a few thousand routes."""

SERVER_BODY_LIMIT_BYTES = 1_048_576
"""The same for a call that is no configuration, in bytes; many servers may call at once. Four times
what a heartbeat with the most rows of keys takes.
"""

BODY_TIMEOUT_S = 5.0
"""Maximum wait for the body of a call, in seconds."""

LEAVE_S = 2.0
"""Maximum time that a stopping voter waits for another replica to take its place, in seconds."""

LEADER_WAIT_S = 0.6
"""Maximum wait for a leader before a call fails because there is none, in seconds."""

LEADER_CHECK_S = 0.05
"""Interval at which a waiting call checks for a leader, in seconds."""

API_LIMITS = CallerLimits(idle_s=30.0)
"""Limits on the connections of servers and operators."""


class RegistryDaemon(Daemon):
    """The daemon of one control replica.

    :param cfg: the replica's settings.
    :param api: decodes and answers API calls of servers and operators.
    :param grants: encodes grants and releases for servers.
    :param clock: source of time.
    :param read_settings: reads the settings again on a reload; None keeps the old ones.
    """

    def __init__(
        self,
        *,
        cfg: RegistrySettings,
        api: ApiCodec,
        grants: GrantCodec,
        clock: Clock | None = None,
        read_settings: Callable[[], RegistrySettings] | None = None,
    ) -> None:
        super().__init__()
        self._read_settings = read_settings
        self._cfg = cfg
        self._api = api
        self._grants = grants
        self._clock = clock or SystemClock()
        self._id = load_or_create_id(
            Path(cfg.data), cfg.endpoint, is_first_start=cfg.is_first_start
        )
        self._leader: RegistryLeader | None = None
        # Set at the start, so that gateways stay attached while the group elects a first leader.
        self._leader_message_at = self._clock.monotonic()
        self._bounds = ReplicaMemory.of_vm(cfg.vm)
        self._machine = RoutedMachine(
            on_applied=self._on_applied,
            on_restored=self._on_restored,
            recent_bytes=self._bounds.recent_bytes,
        )
        self._limits = LimitBoard(clock=self._clock)
        self._cold = ColdBoard(state=lambda: self._machine.state, clock=self._clock)
        self._crashes = CrashBoard(clock=self._clock)
        self._gateways = GatewayBoard(clock=self._clock)
        self._subscribers = Subscribers(
            machine=self._machine,
            on_note=self._send_note_up,
            pulse=self._make_pulse,
            news=self._news,
        )
        seed = xxh3_64_intdigest(self._id.encode())
        self._peers = PeerLinks(spawn=self._spawn_peer_link, ssl=None, seed=seed)
        self._replica = Replica(
            id=self._id,
            endpoint=cfg.peer_endpoint,
            data_folder=Path(cfg.data),
            initial_voters=self._initial_voters(),
            timing=cfg.timing,
            state_machine=self._machine,
            transport=self._peers,
            clock=self._clock,
            seed=seed & 0x7FFF_FFFF_FFFF_FFFF,
            on_leadership_change=self._on_leadership_change,
            on_applied=lambda index, data: None,
            bounds=self._bounds.log,
        )
        self._relay = GatewayRelay(
            replica_id=self._id,
            replica=self._replica,
            subscribers=self._subscribers,
            post=lambda to, frame: self._peers.post_frame(to=to, frame=frame),
        )
        self._join_handler = JoinHandler(
            replica=self._replica,
            this_replica=ReplicaAddress(id=self._id, endpoint=cfg.peer_endpoint),
            seeds=cfg.seed_endpoints,
            target_voter_count=cfg.target_voter_count,
            clock=self._clock,
            post=self._peers.post_frame,
            leader_silence_s=self._leader_message_age_s,
            data=Path(cfg.data),
            domain=cfg.domain,
            domain_of=self._domain_of if cfg.spread_voters else None,
        )
        self._memory = make_caller_memory(
            memory_mb=cfg.vm.memory_mb,
            max_fds=cfg.vm.max_fds,
            on_shed=lambda reason: self._metrics.count_shed(reason),
        )
        self._callers = CallerConnections(
            handle=self._handle_request,
            refuse=self._answer_bad_request,
            answer_failure=self._answer_crash,
            on_invariant_error=self._on_broken_invariant,
            limits=API_LIMITS,
            memory=self._memory,
        )
        self._listener = Listener(endpoint=cfg.endpoint, accept=self._callers.accept)
        self._link_service = LinkService(name=cfg.id)
        self._metrics = RegistryMetrics(
            leads=lambda: float(self._leader is not None),
            commit=lambda: self._replica.commit_index,
            silence_s=self._leader_message_age_s,
            is_voter=lambda: float(self._replica.is_voter),
            gateways=lambda: len(self._subscribers),
            sent_bytes=lambda: self._link_service.codec.sent_bytes,
            limits=lambda: len(self._limits),
            cold=lambda: len(self._cold),
            servers=lambda: len(self._machine.state.servers),
            evacuated=lambda: len(self._machine.state.evacuated),
            overloaded=self._overloaded_owners,
            ranges=lambda: sum(len(t.ranges) for t in self._machine.state.tables.values()),
            log_bytes=lambda: self._replica.log_bytes,
            recent_bytes=lambda: self._machine.recent_bytes,
        )
        self._metrics.show_memory(self._memory)
        self._metrics_page = None
        if cfg.metrics is not None:
            self._metrics_page = TextPages(
                endpoint=parse_endpoint(cfg.metrics),
                pages={METRICS_PATH: lambda query: PageText(text=self._metrics.render())},
            )

    async def serve(self) -> None:
        """Serve until a stop is requested."""
        service = self._link_service
        service.add(
            method=SUBSCRIBE,
            send=ToSubscriber,
            receive=FromGateway,
            handler=self._subscribers.serve,
            bound=self._subscribers.pending_bound(self._bounds),
        )
        service.add(method=PEER, send=PeerFrame, receive=PeerFrame, handler=self._serve_peer)
        async with serve_links(service=service, endpoint=self._cfg.peer_endpoint):
            self.spawn(self._replica.run(), name="replica")
            self.spawn(self._keep_peer_links_open(), name="peer links")
            self.spawn(self._join_handler.run(), name="join")
            self.spawn(self._relay.run(), name="relay")
            if self._metrics_page is not None:
                self._metrics_page.start()
            self._listener.start()
            logger.bind(event="start", listen=self._cfg.listen).info("control replica started")
            await self.stopping.wait()
            logger.bind(event="stop").info("control replica stopping")
            await self._replica.hand_over_leadership(timeout_s=HAND_OVER_S)
            await self._join_handler.leave(timeout_s=LEAVE_S)
            # It may have been elected meanwhile, as another leader stopped as well.
            await self._replica.hand_over_leadership(timeout_s=HAND_OVER_S)
            await self._listener.stop()
            await self._callers.finish()
            await self.cancel_tasks()

    def dump(self) -> str:
        """Return the replica's state as YAML."""
        return format_dump(
            RegistryDump(
                id=self._cfg.id,
                domain=self._cfg.domain,
                leads=self._leader is not None,
                gateways=len(self._subscribers),
                callers=len(self._memory),
                callers_max=self._memory.bounds.connections,
                callers_mb=megabytes(self._memory.held),
                callers_peak_mb=megabytes(self._memory.peak),
                callers_bound_mb=megabytes(self._memory.bounds.held_bytes),
                cold=len(self._cold),
                overloaded=self._overloaded_owners(),
                log=self._replica.dump(),
                image=self._machine.state.image(),
            )
        )

    def reload(self) -> None:
        """Apply the seeds from the settings; other changes need a restart."""
        if self._read_settings is None:
            super().reload()
            return
        cfg = self._read_settings()
        self._join_handler.set_seeds(cfg.seed_endpoints)
        logger.bind(event="reload", seeds=cfg.seeds).info("seeds reloaded")

    def _initial_voters(self) -> tuple[ReplicaAddress, ...]:
        """Return the initial voters, none if this replica is not one of them.

        It is one if the whole deployment starts for the first time and it is among the seeds.
        """
        seeds = self._cfg.seed_endpoints
        if not self._cfg.is_first_start or self._cfg.peer_endpoint not in seeds:
            return ()
        return tuple(ReplicaAddress(id=replica_id(seed), endpoint=seed) for seed in seeds)

    async def _handle_request(self, head: RequestHead, caller: CallerConnection) -> None:
        limit = BODY_LIMIT_BYTES if self._api.is_change(head) else SERVER_BODY_LIMIT_BYTES
        body = await caller.read_body(limit=limit, timeout_s=BODY_TIMEOUT_S)
        call = self._read_call(head, body)
        match call:
            case UnknownCall():
                answer = self._api.not_found(head)
            case BadOrder(reason=reason):
                logger.bind(event="bad_call", target=head.target.decode("latin-1")).warning(
                    "cannot decode API call: {}", reason
                )
                answer = self._api.reply(head, Refused(reason=reason))
            case _:
                started_at = self._clock.monotonic()
                reply = await self._reply_to(call)
                seconds = self._clock.monotonic() - started_at
                self._metrics.record_call(type(call).__name__, type(reply).__name__, seconds)
                answer = self._api.reply(head, reply)
        await caller.send(*answer)

    def _read_call(self, head: RequestHead, body: bytes) -> ApiCall:
        """Decode a call; one that cannot be used counts as one that cannot be decoded."""
        call = self._api.read(head, body)
        fault = heartbeat_fault(call) if isinstance(call, Heartbeat) else None
        return call if fault is None else BadOrder(reason=fault)

    async def _reply_to(self, call: LeaderCall) -> ApiReply:
        deadline = self._clock.monotonic() + LEADER_WAIT_S
        while self._clock.monotonic() < deadline:
            if self._leader is not None:
                return await self._leader.answer(call)
            leader = self._join_handler.leader
            if leader is not None and leader.id != self._id:
                leader_api = Endpoint(host=leader.endpoint.host, port=self._cfg.endpoint.port)
                return NotLeader(leader=leader_api)
            await asyncio.sleep(LEADER_CHECK_S)
        return Unavailable(reason="there is no leader now")

    async def _answer_bad_request(self, exc: BadRequestError, caller: CallerConnection) -> None:
        logger.bind(event="bad_call").warning("bad HTTP request: {}", exc)
        await caller.send(ResponseHead(status=exc.status, headers=()), b"")

    async def _answer_crash(self, caller: CallerConnection) -> None:
        await caller.send(ResponseHead(status=500, headers=()), b"")

    def _on_broken_invariant(self, exc: InvariantError) -> None:
        self.on_task_failed("call", exc)

    async def _serve_peer(self, link: Link[PeerFrame, PeerFrame]) -> None:
        await serve_peer(link, handle=self._handle_frame, domain=self._cfg.domain)

    def _domain_of(self, replica: ReplicaId) -> DomainName:
        return self._cfg.domain if replica == self._id else self._peers.domain_of(replica)

    def _handle_frame(self, frame: PeerFrame) -> None:
        match frame:
            case PeerAlive():
                pass
            case LogMessage(message=message):
                leader = self._replica.leader
                if leader is not None and message.sender == leader.id:
                    self._leader_message_at = self._clock.monotonic()
                self._replica.receive(message)
            case NoteUp():
                self._relay.receive_note(frame)
            case ReplyDown():
                self._relay.receive_reply(frame)
            case NewsDown(news=news):
                self._receive_news(news)
            case JoinRequest():
                self._join_handler.handle_request(frame)
            case LeaderHint():
                self._join_handler.receive_hint(frame)
            case _:
                logger.bind(event="unknown_frame").warning(
                    "unexpected message from a peer: {}", type(frame).__name__
                )

    def _receive_news(self, news: LeaderNews) -> None:
        """Record the leader's news, and pass it on to this replica's gateways."""
        match news:
            case KnownLimits(limits=limits):
                self._limits.record(limits)
            case KnownCold(servers=servers):
                self._cold.record(servers)
            case KnownCrashes(requests=requests):
                self._crashes.record(requests)
            case KnownGateways():
                self._gateways.record_known(news)
        self._subscribers.post_all(news)

    def _news(self) -> tuple[LeaderNews, ...]:
        """Return the leader's news so far; earlier versions do not know those of cold servers."""
        news = (self._limits.news(), self._crashes.news(), self._gateways.news())
        cold = self._cold.news()
        return news if cold is None else (*news, cold)

    def _overloaded_owners(self) -> int:
        return 0 if self._leader is None else len(self._leader.overloads)

    def _send_note_up(self, session: SessionId, note: LeaderNote) -> None:
        self._relay.send_up(session, note)

    def _make_pulse(self, asked_at: float) -> Pulse:
        replicas = tuple(voter.endpoint for voter in self._join_handler.voters)
        # Until a leader has told their number, each replica is taken to have the same one.
        gateways = self._gateways.total or len(self._subscribers) * max(1, len(replicas))
        return Pulse(
            asked_at=asked_at,
            index=self._machine.state.index,
            age_ms=self._state_age_ms(),
            gateways=gateways,
            replicas=replicas,
            domain=self._cfg.domain,
        )

    def _state_age_ms(self) -> int | None:
        """Return how old the state may be, in milliseconds, None if that is not known."""
        confirmed_at = self._replica.confirmed_at()
        if confirmed_at == 0.0:
            return None
        return ceil((self._clock.monotonic() - confirmed_at) * 1_000)

    def _leader_message_age_s(self) -> float:
        """Return the time since a message of the leader, 0.0 while this replica leads."""
        if self._leader is not None:
            return 0.0
        return self._clock.monotonic() - self._leader_message_at

    async def _keep_peer_links_open(self) -> None:
        while True:
            for voter in self._replica.voters:
                if voter.id != self._id:
                    self._peers.open(voter)
            await asyncio.sleep(PEER_CHECK_S if self._replica.voters else START_CHECK_S)

    def _on_leadership_change(self, leads: bool, term: int) -> None:
        if self._leader is not None:
            self._leader.stop()
            self._leader = None
            self._relay.handle_note = None
        logger.bind(event="leadership", term=term, leads=leads).info(
            "this replica {}", "leads" if leads else "follows"
        )
        if not leads:
            return
        self._leader = RegistryLeader(
            cfg=self._cfg,
            replica=self._replica,
            state=self._machine.state,
            codec=self._grants,
            limits=self._limits,
            crashes=self._crashes,
            cold=self._cold,
            gateways=self._gateways,
            spread=self._relay.spread,
            clock=self._clock,
        )
        self._relay.handle_note = self._leader.handle_note
        self.spawn(self._leader.run(), name="leader")

    def _on_applied(self, delta: RoutedDelta, outcome: RoutedOutcome) -> None:
        self._subscribers.broadcast(delta)
        match delta.command:
            case EvacuateDomain(domain=domain, is_evacuated=False):
                self._cold.assume(domain)
        if self._leader is not None:
            self._leader.on_applied(delta.command, outcome)

    def _on_restored(self) -> None:
        self._subscribers.resend_all()

    def _spawn_peer_link(self, link: PeerLink) -> None:
        self.spawn(link.run(), name=f"peer {link.peer.id}")
