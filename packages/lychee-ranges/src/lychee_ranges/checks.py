"""Validation of a routing configuration."""

from collections.abc import Iterator
from math import inf

from lychee_types.ids import ServiceName
from lychee_types.routing import Route, RoutedService, Routing
from lychee_types.server_check import MAX_COLD_S


def find_fault(routing: Routing) -> str | None:
    """Return a description of a configuration's first fault, None if it is valid.

    :param routing: the configuration.
    """
    return next(_faults(routing), None)


def _faults(routing: Routing) -> Iterator[str]:
    services = [service.name for service in routing.services]
    if len(set(services)) < len(services):
        yield "two services have the same name"
    for service in routing.services:
        yield from _cold_faults(service)
    hosts = [host.host for host in routing.hosts]
    if len(set(hosts)) < len(hosts):
        yield "a host is listed twice"
    names = [route.name for host in routing.hosts for route in host.routes]
    if len(set(names)) < len(names):
        yield "two routes have the same name"
    known = frozenset(services)
    for host in routing.hosts:
        prefixes = [route.prefix for route in host.routes]
        if len(set(prefixes)) < len(prefixes):
            yield f"two routes of {host.host} have the same prefix"
        for route in host.routes:
            yield from _route_faults(route, known)


def _cold_faults(service: RoutedService) -> Iterator[str]:
    rule = service.cold_rule
    if rule is None:
        return
    if not 0.0 <= rule.warmup_s <= MAX_COLD_S:
        yield f"service {service.name}: servers would be cold for {rule.warmup_s} s"
    if not 0.0 < rule.per_s < inf:
        yield f"service {service.name}: {rule.per_s} is no rate of cold servers"


def _route_faults(route: Route, known: frozenset[ServiceName]) -> Iterator[str]:
    place = f"route {route.name}"
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"{place}: the prefix does not begin and end with a slash"
    if route.max_attempts < 1:
        yield f"{place}: no attempt is allowed"
    if not route.timeout_s > 0:
        yield f"{place}: the timeout is not above 0"
    for share in route.shares:
        if share.service not in known:
            yield f"{place}: service {share.service} is unknown"
        if not share.weight >= 0:
            yield f"{place}: a weight is below 0"
    if not sum(share.weight for share in route.shares) > 0:
        yield f"{place}: the weights add up to 0"
