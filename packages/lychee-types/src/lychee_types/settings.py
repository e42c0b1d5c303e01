"""Settings shared by all programs, and the settings of each daemon."""

from enum import Enum

from msgspec import Struct

from lychee_types.ids import DomainName, GatewayId, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.timing import Timing


class TlsSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Key files for mutual TLS between lycheescale's processes.

    :param certificate: PEM file with this process's certificate chain.
    :param key: PEM file with its private key.
    :param authorities: PEM file with the CA certificates by which peers are verified.
    """

    certificate: str
    key: str
    authorities: str


class LogOutput(Enum):
    """The stream that log lines are written to."""

    STDERR = "stderr"
    STDOUT = "stdout"


class LogSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of the log.

    :param level: minimum level of the lines written.
    :param json: whether lines are JSON objects.
    :param output: the stream that lines are written to.
    """

    level: str = "INFO"
    json: bool = False
    output: LogOutput = LogOutput.STDERR


class StatsdSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of the statsd collector that receives the metrics.

    :param endpoint: UDP address of the collector.
    :param prefix: prefix of every metric's name.
    """

    endpoint: Endpoint
    prefix: str = "lychee"


class PeerSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A control replica.

    :param id: its id.
    :param endpoint: its address.
    """

    id: ReplicaId
    endpoint: Endpoint


class ControlSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of lychee-control.

    :param id: this replica's id.
    :param listen: address at which gateways, peers and operators connect.
    :param domain: this VM's failure domain.
    :param data: folder for the replicated log and snapshots.
    :param replicas: the initial voters; empty for a replica that joins a running deployment.
    :param advertise: address at which peers reach this replica, None for the one it listens on.
    :param timing: timing parameters, the same on every replica and gateway.
    :param log: logging.
    :param statsd: metrics, None for none.
    :param tls: key files, None for plain TCP.
    """

    id: ReplicaId
    listen: Endpoint
    domain: DomainName
    data: str
    replicas: tuple[PeerSettings, ...] = ()
    advertise: Endpoint | None = None
    timing: Timing = Timing()
    log: LogSettings = LogSettings()
    statsd: StatsdSettings | None = None
    tls: TlsSettings | None = None


class GatewaySettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of lychee-gateway.

    :param id: this process's id.
    :param listen: address at which callers connect.
    :param announce: address for backend servers' announcements and for readiness checks.
    :param domain: this VM's failure domain.
    :param control: addresses of the control replicas.
    :param timing: timing parameters, the same on every replica and gateway.
    :param stop_notice_ms: how long the gateway keeps accepting connections after a stop was
        requested; readiness checks fail from the beginning of that time.
    :param log: logging.
    :param statsd: metrics, None for none.
    :param tls: key files, None for plain TCP.
    """

    id: GatewayId
    listen: Endpoint
    announce: Endpoint
    domain: DomainName
    control: tuple[Endpoint, ...]
    timing: Timing = Timing()
    stop_notice_ms: int = 2_000
    log: LogSettings = LogSettings()
    statsd: StatsdSettings | None = None
    tls: TlsSettings | None = None


class ConsoleSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of lychee-console.

    :param listen: address at which operators' browsers connect.
    :param control: addresses of the control replicas.
    :param operators: YAML file with the operators' names and access tokens.
    :param log: logging.
    :param tls: key files for the control replicas, None for plain TCP.
    :param https: key files for browsers, None for plain HTTP.
    """

    listen: Endpoint
    control: tuple[Endpoint, ...]
    operators: str
    log: LogSettings = LogSettings()
    tls: TlsSettings | None = None
    https: TlsSettings | None = None
