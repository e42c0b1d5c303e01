"""Messages between gateways and control replicas of a routed deployment."""

from msgspec import Raw, Struct

from lychee_types.cold_messages import ColdReport, KnownCold
from lychee_types.crash_messages import CrashReport, KnownCrashes
from lychee_types.ids import (
    UNKNOWN_DOMAIN,
    DomainName,
    GatewayId,
    LogIndex,
    ServerId,
    ServiceName,
    SessionId,
)
from lychee_types.limit_messages import KnownLimits, LimitReport, PermitReply, PermitRequest
from lychee_types.overload_messages import KnownOverloads
from lychee_types.packing import pack, unpack
from lychee_types.peer_messages import GatewayReport, KnownGateways
from lychee_types.records import Endpoint
from lychee_types.registry import RoutedImage
from lychee_types.registry_commands import RoutedCommand

SUBSCRIBE = "/lycheescale.Registry/Subscribe"
"""gRPC stream method by which a gateway receives the replicated state and reports load."""


class Subscribe(Struct, frozen=True, kw_only=True, tag=True):
    """First message of a gateway on its stream, answered by a :class:`Pulse`.

    :param gateway: the gateway's id.
    :param session: id of the gateway session.
    :param sent_at: send time on the gateway's clock in seconds.
    """

    gateway: GatewayId
    session: SessionId
    sent_at: float


class Probe(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway's periodic question how old the replica's state is, answered by a :class:`Pulse`.

    :param sent_at: send time on the gateway's clock in seconds.
    """

    sent_at: float


class Follow(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway's request for the state, and for each later change of it.

    Answered by what the gateway lacks and a :class:`Pulse`.

    :param have: the last log index that the gateway has applied, 0 for none.
    :param sent_at: send time on the gateway's clock in seconds.
    """

    have: LogIndex
    sent_at: float


class BucketLoad(Struct, frozen=True, kw_only=True, array_like=True):
    """Requests for one bucket of adjacent keys since the last report.

    :param bucket: number of the bucket of keys.
    :param requests: number of requests, including those rejected for lack of capacity.
    """

    bucket: int
    requests: int


class ServiceLoad(Struct, frozen=True, kw_only=True):
    """Requests to one keyed service since the last report.

    :param service: the service.
    :param keys: the buckets that had requests.
    """

    service: ServiceName
    keys: tuple[BucketLoad, ...]


class ServerStats(Struct, frozen=True, kw_only=True, array_like=True):
    """What a gateway has measured of one backend server since its last report.

    :param server: the server.
    :param busy_s: sum of the response times of its responses, in seconds.
    :param answers: number of responses.
    :param occupied: number of requests that it runs or queues, as it reported last; -1 if it
        hasn't reported any.
    :param unanswered: number of requests without a response until their deadline.
    :param work_s: sum of the response times without the wait that the queue reported in each
        response explains, in seconds; 0 from a gateway that does not measure it.
    """

    server: ServerId
    busy_s: float
    answers: int
    occupied: int
    unanswered: int = 0
    work_s: float = 0.0


class LoadReport(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway's periodic load report.

    :param session: id of the gateway session.
    :param span_s: time since the last report, in seconds.
    :param services: requests by service and bucket of keys.
    :param servers: measurements of the servers of keyed services.
    """

    session: SessionId
    span_s: float
    services: tuple[ServiceLoad, ...]
    servers: tuple[ServerStats, ...]


class RoutedSnapshot(Struct, frozen=True, kw_only=True, tag=True):
    """The complete state, for a gateway that is new or too far behind.

    :param index: log index of the state.
    :param packed: the state, a packed :class:`RoutedImage`.
    """

    index: LogIndex
    packed: bytes

    @classmethod
    def of(cls, image: RoutedImage) -> "RoutedSnapshot":
        """Return the message for a state."""
        return cls(index=image.index, packed=pack(image))

    def image(self) -> RoutedImage:
        """Return the state."""
        return unpack(self.packed, RoutedImage)


class RoutedDelta(Struct, frozen=True, kw_only=True):
    """One applied log entry.

    :param index: its log index.
    :param command: the command.
    """

    index: LogIndex
    command: RoutedCommand


class EncodedDelta(Struct, frozen=True, kw_only=True):
    """A :class:`RoutedDelta` whose command is still encoded, as it stands in the log.

    :param index: its log index.
    :param command: the encoded command.
    """

    index: LogIndex
    command: Raw


class RoutedDeltas(Struct, frozen=True, kw_only=True, tag=True):
    """Log entries after the last one that the gateway has applied.

    :param packed: the entries in order of index, packed.
    """

    packed: bytes

    @classmethod
    def of(cls, entries: tuple[RoutedDelta, ...] | tuple[EncodedDelta, ...]) -> "RoutedDeltas":
        """Return the message for log entries."""
        return cls(packed=pack(entries))

    def entries(self) -> tuple[RoutedDelta, ...]:
        """Return the entries."""
        return unpack(self.packed, tuple[RoutedDelta, ...])


class Pulse(Struct, frozen=True, kw_only=True, tag=True):
    """What a control replica knows; the class name is the message's tag on the wire.

    :param asked_at: ``sent_at`` of the gateway's message that this answers.
    :param index: log index of the replica's state.
    :param age_ms: how long before this message the state is known to have held everything
        acknowledged, in milliseconds; None if that was never known.
    :param gateways: approximate number of gateways.
    :param replicas: addresses of all replicas, for gateways that must connect to another one.
    :param domain: the replica's failure domain, empty from one of an earlier version.
    """

    asked_at: float
    index: LogIndex
    age_ms: int | None
    gateways: int
    replicas: tuple[Endpoint, ...]
    domain: DomainName = UNKNOWN_DOMAIN


LeaderNote = LoadReport | LimitReport | PermitRequest | CrashReport | GatewayReport | ColdReport
"""Messages of a gateway that its replica passes on to the leader."""

LeaderReply = PermitReply
"""Messages of the leader to one gateway."""

LeaderNews = KnownLimits | KnownCrashes | KnownGateways | KnownCold | KnownOverloads
"""Messages of the leader to all gateways."""

FromGateway = Subscribe | Probe | Follow | LeaderNote
"""Messages from a gateway to a control replica."""

ToSubscriber = RoutedSnapshot | RoutedDeltas | Pulse | LeaderReply | LeaderNews
"""Messages from a control replica to a gateway."""
