"""Applies a patch to a routing configuration."""

from msgspec.structs import replace

from lychee_types.routing import Route, RoutedService, Routing, RoutingPatch, VirtualHost


def apply_patch(routing: Routing, patch: RoutingPatch) -> Routing:
    """Return the configuration after a patch.

    Items keep their order and new ones are appended. A route that the patch lists under another
    host moves to that host.

    :param routing: the configuration that the patch is based on.
    :param patch: the named items that it replaces, adds or removes.
    """
    return Routing(
        services=_services(routing.services, patch),
        hosts=_hosts(routing.hosts, patch),
        bounds=patch.bounds or routing.bounds,
    )


def _services(
    services: tuple[RoutedService, ...], patch: RoutingPatch
) -> tuple[RoutedService, ...]:
    by_name = {service.name: service for service in services}
    for name in patch.drop_services:
        by_name.pop(name, None)
    by_name |= {service.name: service for service in patch.services}
    return tuple(by_name.values())


def _hosts(hosts: tuple[VirtualHost, ...], patch: RoutingPatch) -> tuple[VirtualHost, ...]:
    by_name = {host.host: host for host in hosts}
    for name in patch.drop_hosts:
        by_name.pop(name, None)
    changed = {route.name for host in patch.hosts for route in host.routes}
    dropped = frozenset(patch.drop_routes) - changed
    new_hosts = {route.name: host.host for host in patch.hosts for route in host.routes}
    for name, host in by_name.items():
        kept = tuple(
            route
            for route in host.routes
            if route.name not in dropped and new_hosts.get(route.name, name) == name
        )
        by_name[name] = replace(host, routes=kept)
    for host in patch.hosts:
        old = by_name.get(host.host, VirtualHost(host=host.host, routes=()))
        by_name[host.host] = replace(old, routes=_merged(old.routes, host.routes))
    return tuple(by_name.values())


def _merged(old: tuple[Route, ...], new: tuple[Route, ...]) -> tuple[Route, ...]:
    by_name = {route.name: route for route in old}
    by_name |= {route.name: route for route in new}
    return tuple(by_name.values())
