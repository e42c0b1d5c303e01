"""Settings of the programs of a routed deployment, which forwards requests by routes."""

from collections.abc import Iterator
from ipaddress import ip_address

from msgspec import Struct

from lychee_types.exceptions import SettingsError
from lychee_types.findings import Finding, check_name, check_range, check_unique
from lychee_types.ids import DomainName, GatewayId, ReplicaId
from lychee_types.records import MAX_PORT, Endpoint
from lychee_types.settings import LogSettings
from lychee_types.timing import Timing

MAX_PORT_DIGITS = 5
"""Maximum number of digits of a TCP port."""

ROUTED_TIMING = Timing(heartbeat_ms=60, election_ms=300, drift_ms=60)
"""Timing parameters of the replicated log of the control replicas."""


LEAST_MEMORY_MB = 32
"""Least memory of a VM on which a process is started, in MB."""

MOST_MEMORY_MB = 1_048_576
"""Largest memory of a VM that a setting may name, in MB."""

MOST_DISK_MB = 1_073_741_824
"""Largest disk of a VM that a setting may name, in MB."""

LEAST_DISK_MB = 16
"""Least disk of a VM on which a process is started, in MB."""

LEAST_FDS = 64
"""Least number of descriptors with which a process is started."""

MOST_FDS = 10_000_000
"""Largest number of descriptors that a setting may name."""


class DeploymentLimits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Timeouts and budgets that the deployment guarantees.

    :param drain_s: time after which a server that was allowed to leave gets no more requests, in
        seconds.
    :param apply_s: time within which a new configuration is in force at all gateways, in seconds.
    :param grace_s: time between the request to stop a process and its being killed, in seconds.
    :param hold_max_s: maximum hold time of a grant, in seconds.
    :param retry_ratio: maximum ratio of retries to requests over all gateways.
    :param retry_slack: retries of one service in 10 seconds beyond that ratio, over all gateways.
    """

    drain_s: float = 2.0
    apply_s: float = 2.0
    grace_s: float = 6.0
    hold_max_s: float = 10.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0


MAX_COPY_SHARE = 0.5
"""Maximum value of `HedgingSettings.max_share`."""

LEAST_PERCENTILE = 50.0
"""Minimum value of `HedgingSettings.percentile`."""

MOST_PERCENTILE = 99.9
"""Maximum value of `HedgingSettings.percentile`; a higher one is not known within seconds."""


class VmLimits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits of a process's VM, from which the bounds on what it holds are derived.

    :param memory_mb: memory in MB, None if it is not known.
    :param max_fds: maximum number of descriptors, None if it is not known.
    :param disk_mb: size of the disk in MB, None if it is not known or there is none.
    """

    memory_mb: float | None = None
    max_fds: int | None = None
    disk_mb: float | None = None


class HedgingSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Second copies of requests that may run more than once.

    :param max_share: maximum number of copies for each request of a route, 0 for no copies.
    :param percentile: percentile of a route's response times after which a copy is sent.
    """

    max_share: float = 0.0
    percentile: float = 95.0


class RegistrySettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a control replica of a routed deployment.

    :param id: the VM's name.
    :param listen: IP address and port at which servers and operators connect.
    :param peer_port: port for gateways and other replicas, the same on every VM.
    :param domain: this VM's failure domain.
    :param data: folder for the replicated log and snapshots.
    :param seeds: ``listen`` addresses of some replicas; the initial voters if the deployment starts
        for the first time.
    :param is_first_start: whether the whole deployment starts for the first time.
    :param heartbeat_s: interval between a server's heartbeats, in seconds.
    :param tolerated: how many VMs with a disk may be lost at once.
    :param bounds: timeouts and budgets that the deployment guarantees.
    :param timing: timing parameters of the replicated log.
    :param vm: limits of the VM.
    :param metrics: IP address and port at which metrics are fetched, None for no metrics.
    :param log: logging.
    :param domains: the failure domains that can be evacuated; if empty, any name is accepted.
    :param spread_voters: whether a replica of a failure domain without a voter becomes one first.
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
    vm: VmLimits = VmLimits()
    metrics: str | None = None
    log: LogSettings = LogSettings()
    domains: tuple[DomainName, ...] = ()
    spread_voters: bool = False

    @property
    def endpoint(self) -> Endpoint:
        """Return the address at which servers and operators connect."""
        return parse_endpoint(self.listen)

    @property
    def target_voter_count(self) -> int:
        """Return how many voters are needed to tolerate the loss of ``tolerated`` VMs."""
        return max(3, 2 * self.tolerated + 1)

    @property
    def peer_endpoint(self) -> Endpoint:
        """Return the address at which gateways and other replicas connect."""
        return Endpoint(host=self.endpoint.host, port=self.peer_port)

    @property
    def seed_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the seeds' addresses for gateways and other replicas."""
        return peer_endpoints(self.seeds, self.peer_port)


class ProxySettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a gateway of a routed deployment.

    :param id: the VM's name.
    :param listen: IP address and port at which callers connect.
    :param ready: IP address and port at which the load balancer checks readiness.
    :param peer_port: port of the control replicas for gateways.
    :param domain: this VM's failure domain.
    :param seeds: addresses at which some control replicas listen for servers and operators.
    :param carry: IP address and port at which other gateways connect that do not reach a server,
        None to carry nothing and to reach servers in no other way than directly.
    :param bounds: timeouts and budgets that the deployment guarantees.
    :param vm: limits of the VM.
    :param hedging: second copies of requests.
    :param prefer_open_connections: whether servers are preferred to which the gateway has an idle
        connection.
    :param follow_own_domain: whether the gateway prefers control replicas of its failure domain.
    :param metrics: IP address and port at which metrics are fetched, None for no metrics.
    :param log: logging.
    """

    id: GatewayId
    listen: str
    ready: str
    peer_port: int
    domain: DomainName
    seeds: tuple[str, ...]
    carry: str | None = None
    bounds: DeploymentLimits = DeploymentLimits()
    vm: VmLimits = VmLimits()
    hedging: HedgingSettings = HedgingSettings()
    follow_own_domain: bool = False
    prefer_open_connections: bool = False
    metrics: str | None = None
    log: LogSettings = LogSettings()

    @property
    def endpoint(self) -> Endpoint:
        """Return the address at which callers connect."""
        return parse_endpoint(self.listen)

    @property
    def ready_endpoint(self) -> Endpoint:
        """Return the address for readiness checks."""
        return parse_endpoint(self.ready)

    @property
    def carry_endpoint(self) -> Endpoint | None:
        """Return the address at which other gateways connect, None if it carries nothing."""
        return parse_endpoint(self.carry) if self.carry is not None else None

    @property
    def seed_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the seeds' addresses for gateways."""
        return peer_endpoints(self.seeds, self.peer_port)


METRICS_PATH = "/metrics"
"""HTTP path at which metrics are fetched."""


def parse_endpoint(text: str) -> Endpoint:
    """Parse an address written as ``IP:port``.

    :raises SettingsError: if the text isn't an address.
    """
    host, _, port = text.rpartition(":")
    try:
        ip_address(host)
    except ValueError as exc:
        raise _address_error(text) from exc
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        raise _address_error(text)
    if int(port) > MAX_PORT:
        raise _address_error(text)
    return Endpoint(host=host, port=int(port))


def _address_error(text: str) -> SettingsError:
    return SettingsError(
        message=f"{text[:64]!r} is not an address",
        remedy="write an IP number and a port up to 65535, for example 10.0.0.5:8080",
    )


def peer_endpoints(addresses: tuple[str, ...], port: int) -> tuple[Endpoint, ...]:
    """Return the endpoints with the hosts of some addresses and another port."""
    hosts = (parse_endpoint(address).host for address in addresses)
    return tuple(Endpoint(host=host, port=port) for host in hosts)


def replica_id(endpoint: Endpoint) -> ReplicaId:
    """Return the id of an initial voter: its host, because its peers know only its address."""
    return ReplicaId(endpoint.host)


def check_routed_settings(settings: RegistrySettings | ProxySettings) -> Iterator[Finding]:
    """Validate settings beyond their schema and yield the findings."""
    yield from check_name(settings.id, "id")
    yield from check_name(settings.domain, "domain")
    yield from check_range(settings.peer_port, "peer_port", least=1, most=65_535)
    addresses = [("listen", settings.listen)]
    addresses += [(f"seeds[{index}]", seed) for index, seed in enumerate(settings.seeds)]
    if isinstance(settings, ProxySettings):
        addresses.append(("ready", settings.ready))
        if settings.carry is not None:
            addresses.append(("carry", settings.carry))
    if settings.metrics is not None:
        addresses.append(("metrics", settings.metrics))
    for place, address in addresses:
        try:
            parse_endpoint(address)
        except SettingsError as exc:
            yield Finding(place=place, message=exc.message, remedy=exc.remedy)
    yield from _check_own_addresses(settings)
    yield from _check_vm(settings.vm)
    if isinstance(settings, ProxySettings):
        yield from _check_hedging(settings.hedging)
    if not settings.seeds:
        yield Finding(
            place="seeds", message="the list is empty", remedy="name one control replica or more"
        )


def _check_vm(vm: VmLimits) -> Iterator[Finding]:
    if vm.memory_mb is not None:
        yield from check_range(
            vm.memory_mb, "vm.memory_mb", least=LEAST_MEMORY_MB, most=MOST_MEMORY_MB
        )
    if vm.disk_mb is not None:
        yield from check_range(vm.disk_mb, "vm.disk_mb", least=LEAST_DISK_MB, most=MOST_DISK_MB)
    if vm.max_fds is not None:
        yield from check_range(vm.max_fds, "vm.max_fds", least=LEAST_FDS, most=MOST_FDS)


def _check_hedging(hedging: HedgingSettings) -> Iterator[Finding]:
    yield from check_range(hedging.max_share, "hedging.max_share", least=0.0, most=MAX_COPY_SHARE)
    yield from check_range(
        hedging.percentile, "hedging.percentile", least=LEAST_PERCENTILE, most=MOST_PERCENTILE
    )


def _check_own_addresses(settings: RegistrySettings | ProxySettings) -> Iterator[Finding]:
    """Check that no two listeners of the process get the same address."""
    own = [("listen", settings.listen)]
    match settings:
        case RegistrySettings():
            own.append(("peer_port", _with_port(settings.listen, settings.peer_port)))
        case ProxySettings():
            own.append(("ready", settings.ready))
            if settings.carry is not None:
                own.append(("carry", settings.carry))
    if settings.metrics is not None:
        own.append(("metrics", settings.metrics))
    yield from check_unique(
        (address for _, address in own), lambda index: own[index][0], what="the address"
    )


def _with_port(address: str, port: int) -> str:
    return f"{address.rpartition(':')[0]}:{port}"
