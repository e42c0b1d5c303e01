"""Routes: which service a request goes to, by host and path, and how it is treated.

The second kind of configuration beside :mod:`lychee_types.document`. It is versioned by its
operators: each change names its own number and the number that it is based on.
"""

from enum import Enum

from msgspec import Struct

from lychee_types.ids import ServiceName


class RouteKind(Enum):
    """What may be done with a request whose outcome is not known."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self is not RouteKind.UNSAFE


class ServiceShare(Struct, frozen=True, kw_only=True):
    """A part of a route's requests.

    :param service: the service that gets them.
    :param weight: its share in proportion to the sum of all weights.
    """

    service: ServiceName
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """One route.

    :param name: its name, unique in the configuration.
    :param prefix: beginning of the paths that it takes; it starts and ends with a slash.
    :param kind: safe, unsafe or download.
    :param timeout_s: longest time until the caller has a final answer, in seconds.
    :param target_latency_s: time within which an answer is worth most, in seconds.
    :param priority: rank of its requests, 0 the highest.
    :param max_attempts: most servers that one request may be sent to.
    :param shares: the services and their weights; a single one for a route that is not split.
    :param is_split: whether the operator wrote a split, also one of a single part.
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

    :param host: the name, as callers send it.
    :param routes: the routes in the operator's order.
    """

    host: str
    routes: tuple[Route, ...]


class RoutedService(Struct, frozen=True, kw_only=True):
    """A service that routes lead to.

    :param name: its name.
    :param health_path: path of its servers' health check.
    :param connections: connections that one server accepts from all callers together.
    :param protocol: protocol that its servers speak, as the operator wrote it.
    :param tls: whether its servers expect TLS.
    :param is_keyed: whether each key has one owner among its servers.
    :param warm_s: how long keys are slow at a new owner without a handover, in seconds.
    :param grants: the way in which keys are granted, as the operator wrote it; empty for none.
    """

    name: ServiceName
    health_path: str
    connections: int
    protocol: str
    tls: bool
    is_keyed: bool | None = None
    warm_s: float | None = None
    grants: str = ""


class CallerBounds(Struct, frozen=True, kw_only=True):
    """What callers may send, and how long they may take.

    :param head_bytes: largest head of a request.
    :param body_bytes: largest body of a request.
    :param head_s: time to send a head, in seconds.
    :param idle_s: time that a connection may stay idle, in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_s: float = 3.0
    idle_s: float = 15.0


class Routing(Struct, frozen=True, kw_only=True, tag=True):
    """The whole configuration of routes.

    :param services: all services.
    :param hosts: all hosts.
    :param bounds: limits on callers.
    """

    services: tuple[RoutedService, ...] = ()
    hosts: tuple[VirtualHost, ...] = ()
    bounds: CallerBounds = CallerBounds()

    def service(self, name: ServiceName) -> RoutedService | None:
        """Return the service of that name, or None."""
        return next((service for service in self.services if service.name == name), None)


class RoutingPatch(Struct, frozen=True, kw_only=True, tag=True):
    """A change of named items.

    :param services: services to add, or to replace by name.
    :param hosts: hosts with the routes to add, or to replace by name.
    :param bounds: limits on callers, None where they stay.
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
    """The configuration in force.

    :param number: the operator's number, 0 before the first one.
    :param routing: the configuration.
    """

    number: int = 0
    routing: Routing = Routing()
