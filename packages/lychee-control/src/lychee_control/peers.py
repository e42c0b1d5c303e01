"""Links between control replicas, for messages of the log and relayed messages of gateways."""

import asyncio
from collections.abc import Callable
from random import Random
from ssl import SSLContext

from loguru import logger
from msgspec import Struct

from lychee_log import PeerMessage, ReplicaAddress
from lychee_log.messages import AppendRequest, InstallSnapshot
from lychee_runtime import Link, PendingBound, open_link
from lychee_types.exceptions import UnavailableError
from lychee_types.ids import UNKNOWN_DOMAIN, DomainName, ReplicaId, SessionId
from lychee_types.messages import (
    PEER,
    ToControl,
    ToGateway,
)
from lychee_types.registry_messages import LeaderNews, LeaderNote, LeaderReply
from lychee_types.timeouts import timeout_after_input

ALIVE_INTERVAL_S = 0.2
"""Interval at which the receiving end of a link sends a keepalive message, in seconds."""

SILENCE_LIMIT_S = 0.8
"""Time without a message from the receiving end after which a link is reopened, in seconds."""

RETRY_MIN_S = 0.05
"""Minimum pause before a link is reopened, in seconds."""

RETRY_MAX_S = 0.25
"""Maximum pause before a link is reopened, in seconds."""


class PeerAlive(Struct, frozen=True, kw_only=True, tag=True):
    """Keepalive message of the receiving end of a link.

    :param domain: its failure domain, empty if it is not told.
    """

    domain: DomainName = UNKNOWN_DOMAIN


class LogMessage(Struct, frozen=True, kw_only=True, tag=True):
    """A message of the replicated log.

    :param message: the message.
    """

    message: PeerMessage


class RelayUp(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway's message on its way to the leader.

    :param via: the replica that the gateway is attached to.
    :param session: the gateway's session.
    :param message: the message.
    """

    via: ReplicaId
    session: SessionId
    message: ToControl


class RelayDown(Struct, frozen=True, kw_only=True, tag=True):
    """The leader's message on its way to a gateway.

    :param session: the gateway's session.
    :param message: the message.
    """

    session: SessionId
    message: ToGateway


class NoteUp(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway's message on its way to the leader, in a routed deployment.

    :param via: the replica that the gateway is attached to.
    :param session: the gateway's session.
    :param note: the message.
    """

    via: ReplicaId
    session: SessionId
    note: LeaderNote


class ReplyDown(Struct, frozen=True, kw_only=True, tag=True):
    """The leader's message on its way to one gateway, in a routed deployment.

    :param session: the gateway's session.
    :param reply: the message.
    """

    session: SessionId
    reply: LeaderReply


class NewsDown(Struct, frozen=True, kw_only=True, tag=True):
    """The leader's message on its way to all gateways, in a routed deployment.

    :param news: the message.
    """

    news: LeaderNews


class JoinRequest(Struct, frozen=True, kw_only=True, tag=True):
    """A replica that is not a member of the group asks to become a voter, or one to be none.

    :param newcomer: the id and address of the replica that asks.
    :param to_pass_on: whether a replica that does not lead is to pass it on to the leader; False if
        the leader is asked as well.
    :param is_leaving: whether it is a voter that is being stopped, and whose place another replica
        is to take. A leader of an earlier version ignores the request of a voter.
    :param domain: the failure domain of the replica that asks, empty from an earlier version.
    """

    newcomer: ReplicaAddress
    to_pass_on: bool = True
    is_leaving: bool = False
    domain: DomainName = UNKNOWN_DOMAIN


class LeaderHint(Struct, frozen=True, kw_only=True, tag=True):
    """The leader tells a replica outside the group who leads; that one may have to stand by.

    :param leader: the id and address of the leader.
    :param voters: the committed voters, itself among them; none while a change of them is not
        committed, and from a leader of an earlier version.
    """

    leader: ReplicaAddress
    voters: tuple[ReplicaAddress, ...] = ()


PeerFrame = (
    PeerAlive
    | LogMessage
    | RelayUp
    | RelayDown
    | NoteUp
    | ReplyDown
    | NewsDown
    | JoinRequest
    | LeaderHint
)
"""Messages on a link between two control replicas."""


def frame_bytes(frame: PeerFrame) -> int:
    """Return the size of the entries or the snapshot in a message of the log, in bytes."""
    match frame:
        case LogMessage(message=AppendRequest(entries=entries)):
            return sum(len(entry.data) for entry in entries)
        case LogMessage(message=InstallSnapshot(snapshot=snapshot)):
            return len(snapshot.data)
        case _:
            return 0


FrameHandler = Callable[[PeerFrame], None]
"""Called with each message of a peer."""


class PeerLinks:
    """Outgoing links to the other replicas, each opened when first needed.

    :param spawn: starts a task under the daemon.
    :param ssl: TLS context, None for plain TCP.
    :param seed: seed of the random pauses between attempts.
    """

    def __init__(
        self,
        *,
        spawn: Callable[["PeerLink"], None],
        ssl: SSLContext | None,
        seed: int,
    ) -> None:
        self._spawn = spawn
        self._ssl = ssl
        self._rng = Random(seed)
        self._links: dict[ReplicaId, PeerLink] = {}

    def post(self, *, to: ReplicaAddress, message: PeerMessage) -> None:
        """Send a message of the log; it is lost while there is no connection."""
        self.post_frame(to=to, frame=LogMessage(message=message))

    def post_frame(self, *, to: ReplicaAddress, frame: PeerFrame) -> None:
        """Send any message; it is lost while there is no connection."""
        self.open(to).post(frame)

    def open(self, to: ReplicaAddress) -> "PeerLink":
        """Open the link to a replica if there is none, so that its first message is not lost."""
        link = self._links.get(to.id)
        if link is None or link.peer.endpoint != to.endpoint:
            if link is not None:
                link.stop()
            link = PeerLink(peer=to, ssl=self._ssl, rng=self._rng)
            self._links[to.id] = link
            self._spawn(link)
        return link

    def domain_of(self, replica: ReplicaId) -> DomainName:
        """Return the failure domain that a replica has told, empty if it has told none."""
        link = self._links.get(replica)
        return link.domain if link is not None else UNKNOWN_DOMAIN


class PeerLink:
    """The outgoing link to one replica; it is reopened when it breaks.

    :param peer: the other replica.
    :param ssl: TLS context, None for plain TCP.
    :param rng: source of the random pauses between attempts.
    """

    def __init__(self, *, peer: ReplicaAddress, ssl: SSLContext | None, rng: Random) -> None:
        self.peer = peer
        self.domain = UNKNOWN_DOMAIN
        self._ssl = ssl
        self._rng = rng
        self._link: Link[PeerFrame, PeerFrame] | None = None
        self._stopped = False

    def post(self, frame: PeerFrame) -> None:
        """Send a message; it is lost while there is no connection."""
        if self._link is not None:
            self._link.post(frame)

    def stop(self) -> None:
        """Close the link and do not reopen it, because the replica's address has changed."""
        self._stopped = True
        if self._link is not None:
            self._link.close()

    async def run(self) -> None:
        """Keep the link open until it is stopped."""
        while not self._stopped:
            try:
                await self._serve_once()
            except UnavailableError as exc:
                logger.debug("link to replica {} is down: {}", self.peer.id, exc)
            self._link = None
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))

    async def _serve_once(self) -> None:
        async with open_link(
            endpoint=self.peer.endpoint,
            method=PEER,
            send=PeerFrame,
            receive=PeerFrame,
            ssl=self._ssl,
            bound=PendingBound(size_of=frame_bytes),
        ) as link:
            self._link = link
            while not link.closed:
                try:
                    async with timeout_after_input(SILENCE_LIMIT_S):
                        batch = await link.receive()
                except TimeoutError:
                    return
                if not batch:
                    return
                self._record_domain(batch)

    def _record_domain(self, batch: tuple[PeerFrame, ...]) -> None:
        for frame in batch:
            if isinstance(frame, PeerAlive) and frame.domain:
                self.domain = frame.domain


async def serve_peer(
    link: Link[PeerFrame, PeerFrame],
    *,
    handle: FrameHandler,
    domain: DomainName = UNKNOWN_DOMAIN,
) -> None:
    """Serve the receiving end of another replica's link.

    :param link: the link.
    :param handle: called with each message.
    :param domain: this replica's failure domain, empty to tell none.
    """

    async def send_alive() -> None:
        while not link.closed:
            link.post(PeerAlive(domain=domain))
            await asyncio.sleep(ALIVE_INTERVAL_S)

    alive_task = asyncio.create_task(send_alive())
    try:
        while batch := await link.receive():
            for frame in batch:
                handle(frame)
    finally:
        alive_task.cancel()
