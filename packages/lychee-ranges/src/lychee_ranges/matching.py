"""Matches requests to routes: by host, then by the longest path prefix."""

from lychee_types.routing import Route, Routing


class RouteMatcher:
    """Finds the routes of one routing configuration.

    :param routing: the configuration.
    """

    def __init__(self, *, routing: Routing) -> None:
        self._hosts = {
            host.host.lower(): {route.prefix: route for route in host.routes}
            for host in routing.hosts
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if no route matches.

        :param host: host name in lower case, without a port.
        :param path: path without the query.
        """
        routes = self._hosts.get(host)
        if not routes:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
