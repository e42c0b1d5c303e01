"""The control daemon: a replica of the log, its links to peers, and the attached gateways."""

import asyncio
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any

from loguru import logger
from msgspec import Struct

from lychee_control.attachments import ATTACHMENT_BOUND, Attachments
from lychee_control.leader import Leader
from lychee_control.machine import ControlMachine, concerns_gateways
from lychee_control.metrics import FLUSH_S, StateMetric
from lychee_control.operator_service import OperatorService
from lychee_control.peers import (
    LogMessage,
    PeerAlive,
    PeerFrame,
    PeerLink,
    PeerLinks,
    RelayDown,
    RelayUp,
    serve_peer,
)
from lychee_log import Replica, ReplicaAddress, ReplicaDump
from lychee_runtime import (
    Daemon,
    Link,
    LinkService,
    client_context,
    format_dump,
    open_metrics,
    serve_links,
    server_context,
)
from lychee_types.clock import Clock, SystemClock
from lychee_types.commands import Command, Outcome
from lychee_types.ids import LogIndex, ReplicaId, SessionId
from lychee_types.messages import (
    ATTACH,
    PEER,
    Attach,
    RenewLease,
    ToControl,
    ToGateway,
)
from lychee_types.operator_messages import (
    OPERATE,
    GatewayState,
    OperatorReply,
    OperatorRequest,
    ServerState,
)
from lychee_types.settings import ControlSettings
from lychee_types.state import StateImage

HAND_OVER_S = 0.5
"""Maximum time that a stopping leader waits for another replica to lead, in seconds."""


class ControlDump(Struct, frozen=True, kw_only=True):
    """Dump of a control replica.

    :param id: the replica's id.
    :param leads: whether it does the leader's work.
    :param leads_for_ms: time left of its quorum lease; 0 without one.
    :param attached: number of gateways attached to it.
    :param ledger: number of ledger entries.
    :param log: the replicated log's own dump, None before it has started.
    :param gateways: the gateways' leases, at the leader only.
    :param servers: the backend servers' leases, at the leader only.
    :param image: the replicated state without the ledger.
    """

    id: ReplicaId
    leads: bool
    leads_for_ms: int
    attached: int
    ledger: int
    log: ReplicaDump | None
    gateways: tuple[GatewayState, ...]
    servers: tuple[ServerState, ...]
    image: StateImage


class ControlDaemon(Daemon):
    """The daemon of one control replica.

    :param cfg: the replica's settings.
    :param clock: source of time.
    """

    def __init__(self, *, cfg: ControlSettings, clock: Clock | None = None) -> None:
        super().__init__()
        self._cfg = cfg
        self._clock = clock or SystemClock()
        self._metrics = open_metrics(cfg.statsd)
        self._leader: Leader | None = None
        self._relay_replicas: dict[SessionId, ReplicaId] = {}
        self._machine = ControlMachine(on_applied=self._on_applied, on_restored=self._on_restored)
        self._attachments = Attachments(machine=self._machine)
        seed = hash_seed(cfg.id)
        self._peers = PeerLinks(spawn=self._spawn_peer_link, ssl=client_context(cfg.tls), seed=seed)
        self._replica = Replica(
            id=cfg.id,
            endpoint=cfg.advertise or cfg.listen,
            data_folder=Path(cfg.data),
            initial_voters=tuple(
                ReplicaAddress(id=peer.id, endpoint=peer.endpoint) for peer in cfg.replicas
            ),
            timing=cfg.timing,
            state_machine=self._machine,
            transport=self._peers,
            clock=self._clock,
            seed=seed,
            on_leadership_change=self._on_leadership_change,
            on_applied=lambda index, data: None,
        )
        self._operator_service = OperatorService(
            replica=self._replica,
            machine=self._machine,
            timing=cfg.timing,
            clock=self._clock,
            leader=lambda: self._leader,
            dump=self.dump,
        )

    async def serve(self) -> None:
        """Serve until a stop is requested."""
        service = LinkService(name=self._cfg.id)
        service.add(
            method=ATTACH,
            send=ToGateway,
            receive=ToControl,
            handler=self._attach,
            bound=ATTACHMENT_BOUND,
        )
        service.add(
            method=OPERATE,
            send=OperatorReply,
            receive=OperatorRequest,
            handler=self._operator_service.serve,
        )
        service.add(method=PEER, send=PeerFrame, receive=PeerFrame, handler=self._serve_peer)
        ssl = server_context(self._cfg.tls)
        async with serve_links(service=service, endpoint=self._cfg.listen, ssl=ssl):
            self.spawn(self._replica.run(), name="replica")
            self.spawn(self._flush_metrics(), name="metrics")
            logger.info("control replica listening on {}", self._cfg.listen)
            await self.stopping.wait()
            await self._replica.hand_over_leadership(timeout_s=HAND_OVER_S)
            await self.cancel_tasks()

    def dump(self) -> str:
        """Return the replica's state as YAML, without its ledger."""
        leader = self._leader
        now = self._clock.monotonic()
        return format_dump(
            ControlDump(
                id=self._cfg.id,
                leads=leader is not None,
                leads_for_ms=max(0, int((self._replica.lease_expires_at() - now) * 1_000)),
                attached=len(self._attachments),
                ledger=len(self._machine.state.ledger),
                log=self._replica.dump(),
                gateways=leader.coordinator.gateway_states(now) if leader else (),
                servers=leader.coordinator.server_states(now) if leader else (),
                image=self._machine.state.image(with_ledger=False),
            )
        )

    async def _flush_metrics(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            for metric, value in self._gauges():
                self._metrics.gauge(metric.value, value)

    def _gauges(self) -> Iterator[tuple[StateMetric, float]]:
        state = self._machine.state
        yield StateMetric.LEADS, float(self._leader is not None)
        yield StateMetric.TERM, self._replica.term
        yield StateMetric.COMMIT, self._replica.commit_index
        yield StateMetric.ATTACHED, len(self._attachments)
        yield StateMetric.LEDGER, len(state.ledger)
        yield StateMetric.DOCUMENT_VERSION, state.document_version

    async def _attach(self, link: Link[ToGateway, ToControl]) -> None:
        """Serve a gateway's stream."""
        first = await link.receive()
        if not first or not isinstance(first[0], Attach):
            return
        attach = first[0]
        session = attach.gateway.session
        attachment = self._attachments.add(
            gateway=attach.gateway, link=link, applied_index=attach.have
        )
        try:
            batch: tuple[ToControl, ...] = first
            while batch and not link.closed:
                for message in batch:
                    self._handle_gateway_message(session, message)
                batch = await link.receive()
        finally:
            self._attachments.remove(attachment)

    async def _serve_peer(self, link: Link[PeerFrame, PeerFrame]) -> None:
        await serve_peer(link, handle=self._handle_frame)

    def _handle_frame(self, frame: PeerFrame) -> None:
        match frame:
            case PeerAlive():
                pass
            case LogMessage(message=message):
                self._replica.receive(message)
            case RelayUp(via=via, session=session, message=message):
                if self._leader is not None:
                    self._relay_replicas[session] = via
                    self._leader.handle(session, message)
            case RelayDown(session=session, message=message):
                self._attachments.post(session, message)

    def _handle_gateway_message(self, session: SessionId, message: ToControl) -> None:
        """Pass a gateway's message to the leader, which may be another replica.

        If the gateway renews its lease but has not joined yet, its attachment is sent first.
        """
        record = self._attachments.gateway_record(session)
        joined = record is not None and record.session in self._machine.state.gateways
        if isinstance(message, RenewLease) and record is not None and not joined:
            attach = Attach(gateway=record, have=message.applied)
            self._send_to_leader(session, attach)
        self._send_to_leader(session, message)

    def _send_to_leader(self, session: SessionId, message: ToControl) -> None:
        if self._leader is not None:
            self._relay_replicas[session] = self._cfg.id
            self._leader.handle(session, message)
            return
        leader = self._replica.leader
        if leader is not None and leader.id != self._cfg.id:
            frame = RelayUp(via=self._cfg.id, session=session, message=message)
            self._peers.post_frame(to=leader, frame=frame)

    def _reply(self, session: SessionId, message: ToGateway) -> None:
        """Send the leader's message to a gateway, through the replica that it is attached to."""
        via = self._relay_replicas.get(session)
        if via is None or via == self._cfg.id:
            self._attachments.post(session, message)
            return
        for voter in self._replica.voters:
            if voter.id == via:
                frame = RelayDown(session=session, message=message)
                self._peers.post_frame(to=voter, frame=frame)

    def _on_leadership_change(self, leads: bool, term: int) -> None:
        if self._leader is not None:
            self._leader.stop()
            self._leader = None
        self._relay_replicas.clear()
        logger.info("term {}: this replica {}", term, "leads" if leads else "follows")
        if not leads:
            return
        self._leader = Leader(
            replica=self._replica,
            state=self._machine.state,
            timing=self._cfg.timing,
            clock=self._clock,
            reply=self._reply,
            spawn=self._spawn_work,
        )
        self.spawn(self._leader.run(), name="leader")

    def _on_applied(self, index: LogIndex, command: Command, outcome: Outcome) -> None:
        if concerns_gateways(command):
            self._attachments.broadcast(index, command)
        if self._leader is not None:
            self._leader.on_applied(index, command, outcome)

    def _on_restored(self) -> None:
        self._attachments.resend_all()

    def _spawn_work(self, work: Coroutine[Any, Any, None], name: str) -> object:
        return self.spawn(work, name=name)

    def _spawn_peer_link(self, link: PeerLink) -> None:
        self.spawn(link.run(), name=f"peer {link.peer.id}")


def hash_seed(name: str) -> int:
    """Return a random seed that depends on a replica's id only."""
    return int.from_bytes(name.encode()[-8:], "big")
