"""Settings of the programs of a routed deployment."""

from collections.abc import Iterator
from ipaddress import ip_address

from msgspec import Struct

from lychee_types.exceptions import SettingsError
from lychee_types.findings import Finding, check_name, check_range
from lychee_types.ids import DomainName, GatewayId, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.settings import LogSettings
from lychee_types.timing import Timing

ROUTED_TIMING = Timing(heartbeat_ms=60, election_ms=300, drift_ms=60)
"""Time limits of the log between control replicas."""


class DeploymentLimits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Time limits and budgets that the deployment promises.

    :param drain_s: time after which a server that was told that it may leave gets no request.
    :param apply_s: time within which a configuration is in force at all gateways.
    :param grace_s: time from the request to stop to the kill, in seconds.
    :param hold_max_s: longest hold time of a grant, in seconds.
    :param retry_ratio: attempts beyond the first that all gateways may make for each request.
    """

    drain_s: float = 2.0
    apply_s: float = 2.0
    grace_s: float = 6.0
    hold_max_s: float = 10.0
    retry_ratio: float = 0.2


class RegistrySettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a control replica that keeps routes, servers and key ranges.

    :param id: the VM's name.
    :param listen: IP number and port where servers and operators call.
    :param peer_port: port for gateways and other replicas, the same on every VM.
    :param domain: this VM's failure domain.
    :param data: folder for the replicated log and snapshots.
    :param seeds: where some replicas listen; the first voters at a first start.
    :param is_first_start: whether the whole deployment starts for the first time.
    :param heartbeat_s: interval between a server's heartbeats, in seconds.
    :param tolerated: VMs with a disk that may be lost at once.
    :param bounds: what the deployment promises.
    :param timing: time limits of the log.
    :param metrics: IP number and port where metrics are fetched, None for nowhere.
    :param log: logging.
    """

    id: str
    listen: str
    peer_port: int
    domain: DomainName
    data: str
    seeds: tuple[str, ...]
    is_first_start: bool = False
    heartbeat_s: float = 1.0
    tolerated: int = 1
    bounds: DeploymentLimits = DeploymentLimits()
    timing: Timing = ROUTED_TIMING
    metrics: str | None = None
    log: LogSettings = LogSettings()

    @property
    def endpoint(self) -> Endpoint:
        """Return where servers and operators call."""
        return parse_endpoint(self.listen)

    @property
    def target_voter_count(self) -> int:
        """Return how many voters bear the loss of the tolerated VMs."""
        return max(3, 2 * self.tolerated + 1)

    @property
    def peer_endpoint(self) -> Endpoint:
        """Return where gateways and other replicas connect."""
        return Endpoint(host=self.endpoint.host, port=self.peer_port)

    @property
    def seed_endpoints(self) -> tuple[Endpoint, ...]:
        """Return where the seeds' peers connect."""
        return peer_endpoints(self.seeds, self.peer_port)


class ProxySettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a gateway that forwards by routes.

    :param id: the VM's name.
    :param listen: IP number and port where callers connect.
    :param ready: IP number and port where the balancer asks for readiness.
    :param peer_port: port of the control replicas for gateways.
    :param domain: this VM's failure domain.
    :param seeds: where some replicas listen for servers and operators.
    :param bounds: what the deployment promises.
    :param metrics: IP number and port where metrics are fetched, None for nowhere.
    :param log: logging.
    """

    id: GatewayId
    listen: str
    ready: str
    peer_port: int
    domain: DomainName
    seeds: tuple[str, ...]
    bounds: DeploymentLimits = DeploymentLimits()
    metrics: str | None = None
    log: LogSettings = LogSettings()

    @property
    def endpoint(self) -> Endpoint:
        """Return where callers connect."""
        return parse_endpoint(self.listen)

    @property
    def ready_endpoint(self) -> Endpoint:
        """Return where readiness is asked for."""
        return parse_endpoint(self.ready)

    @property
    def seed_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the replicas' addresses for gateways."""
        return peer_endpoints(self.seeds, self.peer_port)


METRICS_PATH = "/metrics"
"""Path of the page with the metrics."""


def parse_endpoint(text: str) -> Endpoint:
    """Return the address in ``IP:port``.

    :raises SettingsError: if the text is no address.
    """
    host, _, port = text.rpartition(":")
    try:
        ip_address(host)
        number = int(port)
    except ValueError as exc:
        raise SettingsError(
            message=f"{text[:64]!r} is not an address",
            remedy="write an IP number and a port, for example 10.0.0.5:8080",
        ) from exc
    return Endpoint(host=host, port=number)


def peer_endpoints(addresses: tuple[str, ...], port: int) -> tuple[Endpoint, ...]:
    """Return the same hosts at another port."""
    hosts = (parse_endpoint(address).host for address in addresses)
    return tuple(Endpoint(host=host, port=port) for host in hosts)


def replica_id(endpoint: Endpoint) -> ReplicaId:
    """Return the id of a first voter, which its peers know by its address alone."""
    return ReplicaId(endpoint.host)


def check_routed_settings(settings: RegistrySettings | ProxySettings) -> Iterator[Finding]:
    """Yield what is wrong with settings beyond their schema."""
    yield from check_name(settings.id, "id")
    yield from check_name(settings.domain, "domain")
    yield from check_range(settings.peer_port, "peer_port", least=1, most=65_535)
    addresses = [("listen", settings.listen)]
    addresses += [(f"seeds[{index}]", seed) for index, seed in enumerate(settings.seeds)]
    if isinstance(settings, ProxySettings):
        addresses.append(("ready", settings.ready))
    if settings.metrics is not None:
        addresses.append(("metrics", settings.metrics))
    for place, address in addresses:
        try:
            parse_endpoint(address)
        except SettingsError as exc:
            yield Finding(place=place, message=exc.message, remedy=exc.remedy)
    if not settings.seeds:
        yield Finding(
            place="seeds", message="the list is empty", remedy="name one control replica or more"
        )
