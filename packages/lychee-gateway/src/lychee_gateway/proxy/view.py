"""The gateway's copy of the replicated state."""

from collections.abc import Callable

from lychee_ranges import RoutedState, RouteMatcher
from lychee_types.ids import ServiceName
from lychee_types.registry_messages import RoutedDeltas, RoutedSnapshot
from lychee_types.routing import Route, Routing, RoutingVersion


class RoutedView:
    """The replicated state at a log index that never decreases, with change listeners."""

    def __init__(self) -> None:
        self.state = RoutedState()
        self.matcher = RouteMatcher(routing=Routing())
        self._version = RoutingVersion()
        self._least_urgent: dict[ServiceName, int] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def has_routes(self) -> bool:
        """Whether a routing configuration is active."""
        return self.state.version.number > 0

    def has_less_urgent_route(self, route: Route, service: ServiceName) -> bool:
        """Return whether the service has a route that is less urgent than this one."""
        return route.priority < self._least_urgent.get(service, route.priority)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the state."""
        self._listeners.append(listener)

    def install_snapshot(self, snapshot: RoutedSnapshot) -> None:
        """Replace the state, unless it is newer than the snapshot."""
        if snapshot.index < self.state.index:
            return
        self.state = RoutedState(image=snapshot.image())
        self._notify_listeners()

    def apply_deltas(self, deltas: RoutedDeltas) -> None:
        """Apply the commands that the state does not contain yet."""
        for delta in deltas.entries():
            if delta.index > self.state.index:
                self.state.apply(delta.index, delta.command)
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        if self.state.version != self._version:
            self._version = self.state.version
            self.matcher = RouteMatcher(routing=self._version.routing)
            self._least_urgent = _least_urgent(self._version.routing)
        for listener in self._listeners:
            listener()


def _least_urgent(routing: Routing) -> dict[ServiceName, int]:
    """Return the priority of the least urgent route to each service, the highest number."""
    priorities: dict[ServiceName, int] = {}
    for host in routing.hosts:
        for route in host.routes:
            for share in route.shares:
                known = priorities.get(share.service, route.priority)
                priorities[share.service] = max(known, route.priority)
    return priorities
