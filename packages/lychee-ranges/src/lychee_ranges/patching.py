"""Applying a change of named items to a configuration of routes."""

from msgspec.structs import replace

from lychee_types.routing import Route, RoutedService, Routing, RoutingPatch, VirtualHost


def apply_patch(routing: Routing, patch: RoutingPatch) -> Routing:
    """Return the configuration after a change.

    Items keep their places; new ones go to the end. A route whose name stands under another host
    moves to the host that the change names.

    :param routing: the configuration that the change is based on.
    :param patch: the change.
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
    homes = {route.name: host.host for host in patch.hosts for route in host.routes}
    for name, host in by_name.items():
        kept = tuple(
            route
            for route in host.routes
            if route.name not in dropped and homes.get(route.name, name) == name
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
