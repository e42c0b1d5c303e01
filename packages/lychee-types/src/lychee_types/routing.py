"""Routes: which service a request is forwarded to, by host and path, and how it is handled.

This is an alternative to the configuration in :mod:`lychee_types.document`; a deployment that uses
it is called a routed deployment. The operators choose the version numbers: each change states
its own number and the number that it is based on.
"""

from enum import Enum

from msgspec import UNSET, Struct, UnsetType

from lychee_types.ids import ServiceName

DEFAULT_WARMUP_S = 30.0
"""Time for which a server is cold after its start if only the rate of cold ones is known, in
seconds.
"""


class RouteKind(Enum):
    """How a request may be handled if the outcome of an attempt is not known."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may be run more than once."""
        return self not in (RouteKind.UNSAFE, RouteKind.UPLOAD)

    @property
    def is_upload(self) -> bool:
        """Return whether requests have large bodies, of which nothing is ever sent twice."""
        return self is RouteKind.UPLOAD


class GrantWay(Enum):
    """How servers learn which keys they own."""

    CALL = "call"
    HEARTBEAT = "heartbeat"


class ServiceShare(Struct, frozen=True, kw_only=True):
    """The share of a route's requests that one service receives.

    :param service: the service.
    :param weight: its share in proportion to the sum of all weights.
    """

    service: ServiceName
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """One route.

    :param name: its name, unique in the configuration.
    :param prefix: prefix of the paths that it matches; it starts and ends with a slash.
    :param kind: safe, unsafe, download or upload.
    :param timeout_s: maximum time until the caller has the final response, in seconds.
    :param target_latency_s: response time up to which a response has its full value, in seconds.
    :param priority: priority of its requests; a lower number is more urgent.
    :param max_attempts: maximum number of servers that one request may be sent to.
    :param shares: the services and their weights; a single one for a route that is not split.
    :param is_split: whether the operator wrote a traffic split, even one with a single service.
    """

    name: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    shares: tuple[ServiceShare, ...]
    is_split: bool = False


class VirtualHost(Struct, frozen=True, kw_only=True):
    """The routes of one host name.

    :param host: the host name, as callers send it.
    :param routes: the routes in the operator's order.
    """

    host: str
    routes: tuple[Route, ...]


class ColdRule(Struct, frozen=True, kw_only=True):
    """How a service's servers are treated while they are cold.

    :param warmup_s: how long a server is cold after its start, in seconds.
    :param per_s: requests per second that a cold server can handle.
    """

    warmup_s: float
    per_s: float


class RoutedService(Struct, frozen=True, kw_only=True):
    """A service that routes forward requests to.

    :param name: its name.
    :param health_path: path of its servers' health check.
    :param connections: how many connections one server accepts from all its clients together.
    :param protocol: protocol of its servers, as the operator wrote it.
    :param tls: whether its servers expect TLS.
    :param is_keyed: whether each key has one owner among its servers.
    :param warm_s: how long keys are slow at a new owner without a handover, in seconds.
    :param grants: how keys are granted to servers, None if the operator did not say.
    :param warmup_s: how long a server is cold after its start, in seconds; unset values are not
        encoded, so that the digest of a change without them is that of earlier versions.
    :param warmup_per_s: requests per second that a cold server can handle.
    """

    name: ServiceName
    health_path: str
    connections: int
    protocol: str
    tls: bool
    is_keyed: bool | None = None
    warm_s: float | None = None
    grants: GrantWay | None = None
    warmup_s: float | UnsetType = UNSET
    warmup_per_s: float | UnsetType = UNSET

    @property
    def grants_by_heartbeat(self) -> bool:
        """Return whether servers learn of their keys from the answers to their heartbeats."""
        return self.grants is GrantWay.HEARTBEAT

    @property
    def cold_rule(self) -> ColdRule | None:
        """Return how its cold servers are treated, None if they are treated as warm ones."""
        if self.warmup_per_s is UNSET:
            return None
        warmup_s = DEFAULT_WARMUP_S if self.warmup_s is UNSET else self.warmup_s
        return ColdRule(warmup_s=warmup_s, per_s=self.warmup_per_s)


class CallerBounds(Struct, frozen=True, kw_only=True):
    """Limits on the size of callers' requests and on the time that callers may take.

    :param head_bytes: maximum size of a request's header, including the request line.
    :param body_bytes: maximum size of a request's body.
    :param head_s: maximum time to send the header, in seconds.
    :param idle_s: how long a connection may stay idle, in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_s: float = 3.0
    idle_s: float = 15.0


class Routing(Struct, frozen=True, kw_only=True, tag=True):
    """The complete routing configuration.

    :param services: all services.
    :param hosts: all hosts.
    :param bounds: limits on callers.
    """

    services: tuple[RoutedService, ...] = ()
    hosts: tuple[VirtualHost, ...] = ()
    bounds: CallerBounds = CallerBounds()

    def service(self, name: ServiceName) -> RoutedService | None:
        """Return the service with a name, or None."""
        return next((service for service in self.services if service.name == name), None)

    def cold_rules(self) -> dict[ServiceName, ColdRule]:
        """Return how cold servers are treated, for the services that have a rate for them."""
        rules = ((service.name, service.cold_rule) for service in self.services)
        return {name: rule for name, rule in rules if rule is not None}


class RoutingPatch(Struct, frozen=True, kw_only=True, tag=True):
    """A change of the items that it names; all others stay as they are.

    :param services: services to add, or to replace by name.
    :param hosts: hosts with the routes to add, or to replace by name.
    :param bounds: limits on callers, None to keep them.
    :param drop_services: names of services to remove.
    :param drop_routes: names of routes to remove.
    :param drop_hosts: hosts to remove with all their routes.
    """

    services: tuple[RoutedService, ...] = ()
    hosts: tuple[VirtualHost, ...] = ()
    bounds: CallerBounds | None = None
    drop_services: tuple[ServiceName, ...] = ()
    drop_routes: tuple[str, ...] = ()
    drop_hosts: tuple[str, ...] = ()


class RoutingVersion(Struct, frozen=True, kw_only=True):
    """A version of the routing configuration.

    :param number: number chosen by the operator, 0 before the first version.
    :param routing: the configuration.
    """

    number: int = 0
    routing: Routing = Routing()
