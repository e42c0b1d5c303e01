"""Messages between gateways and control replicas of a routed deployment."""

from msgspec import Struct

from lychee_types.ids import GatewayId, LogIndex, ServerId, ServiceName, SessionId
from lychee_types.records import Endpoint
from lychee_types.registry import RoutedImage
from lychee_types.registry_commands import RoutedCommand

SUBSCRIBE = "/lycheescale.Registry/Subscribe"
"""Stream method by which a gateway follows the state."""


class Subscribe(Struct, frozen=True, kw_only=True, tag=True):
    """First message of a gateway.

    :param gateway: its id.
    :param session: its run.
    :param have: the last log index that it has applied, 0 for none.
    """

    gateway: GatewayId
    session: SessionId
    have: LogIndex


class BucketLoad(Struct, frozen=True, kw_only=True, array_like=True):
    """Work that a few neighbouring keys brought since the last report.

    :param bucket: number of the bucket of keys.
    :param requests: number of requests, those refused for want of room included.
    """

    bucket: int
    requests: int


class ServiceLoad(Struct, frozen=True, kw_only=True):
    """Work on one keyed service since the last report.

    :param service: the service.
    :param keys: the buckets that had requests.
    """

    service: ServiceName
    keys: tuple[BucketLoad, ...]


class ServerStats(Struct, frozen=True, kw_only=True, array_like=True):
    """What one server did since the last report.

    :param server: the server.
    :param busy_s: time from sending to answer, summed over its answers, in seconds.
    :param answers: number of answers.
    :param occupied: requests running and waiting there by its latest word, -1 for none.
    """

    server: ServerId
    busy_s: float
    answers: int
    occupied: int


class LoadReport(Struct, frozen=True, kw_only=True, tag=True):
    """What a gateway measured.

    :param session: the gateway's run.
    :param span_s: time since the last report, in seconds.
    :param services: work by keys.
    :param servers: work by servers of keyed services.
    """

    session: SessionId
    span_s: float
    services: tuple[ServiceLoad, ...]
    servers: tuple[ServerStats, ...]


class RoutedSnapshot(Struct, frozen=True, kw_only=True, tag=True):
    """The whole state, for a gateway that is new or too far behind.

    :param image: the state.
    """

    image: RoutedImage


class RoutedDelta(Struct, frozen=True, kw_only=True):
    """One applied command.

    :param index: its log index.
    :param command: the command.
    """

    index: LogIndex
    command: RoutedCommand


class RoutedDeltas(Struct, frozen=True, kw_only=True, tag=True):
    """Commands that follow what the gateway has.

    :param entries: in order of index.
    """

    entries: tuple[RoutedDelta, ...]


class Pulse(Struct, frozen=True, kw_only=True, tag=True):
    """The replica is alive.

    :param silence_ms: time since it last heard the leader, 0 at the leader.
    :param gateways: about how many gateways there are.
    :param replicas: addresses of all replicas, for gateways that have to change over.
    """

    silence_ms: int
    gateways: int
    replicas: tuple[Endpoint, ...]


FromGateway = Subscribe | LoadReport
"""Messages of a gateway."""

ToSubscriber = RoutedSnapshot | RoutedDeltas | Pulse
"""Messages of a control replica."""
