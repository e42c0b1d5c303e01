"""The gateway's copy of the replicated state, and who is told when it changes."""

import asyncio
from collections.abc import Callable

from lychee_ranges import RoutedState, RouteMatcher
from lychee_types.ids import ServiceName
from lychee_types.registry_messages import RoutedDeltas, RoutedSnapshot
from lychee_types.routing import Route, Routing, RoutingVersion


class RoutedView:
    """State at a log index; it only moves forwards."""

    def __init__(self) -> None:
        self.state = RoutedState()
        self.matcher = RouteMatcher(routing=Routing())
        self._version = RoutingVersion()
        self._routes_known = asyncio.Event()
        self._least_urgent: dict[ServiceName, int] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def has_routes(self) -> bool:
        """Return whether a configuration is in force."""
        return self.state.version.number > 0

    async def until_routes(self, timeout_s: float) -> None:
        """Return once a configuration is in force, or after a time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._routes_known.wait()
        except TimeoutError:
            return

    def has_less_urgent(self, route: Route, service: ServiceName) -> bool:
        """Return whether a route to a service is less urgent than this one."""
        return route.priority < self._least_urgent.get(service, route.priority)

    def listen(self, listener: Callable[[], None]) -> None:
        """Have a function called after each change."""
        self._listeners.append(listener)

    def install(self, snapshot: RoutedSnapshot) -> None:
        """Replace the state, unless it is newer already."""
        if snapshot.image.index < self.state.index:
            return
        self.state = RoutedState(image=snapshot.image)
        self._changed()

    def extend(self, deltas: RoutedDeltas) -> None:
        """Apply the commands that are new."""
        for delta in deltas.entries:
            if delta.index > self.state.index:
                self.state.apply(delta.index, delta.command)
        self._changed()

    def _changed(self) -> None:
        if self.state.version != self._version:
            self._version = self.state.version
            self.matcher = RouteMatcher(routing=self._version.routing)
            self._least_urgent = _least_urgent(self._version.routing)
            if self.has_routes:
                self._routes_known.set()
        for listener in self._listeners:
            listener()


def _least_urgent(routing: Routing) -> dict[ServiceName, int]:
    """Return the priority of the least urgent route to each service; 1 is the most urgent."""
    priorities: dict[ServiceName, int] = {}
    for host in routing.hosts:
        for route in host.routes:
            for share in route.shares:
                known = priorities.get(share.service, route.priority)
                priorities[share.service] = max(known, route.priority)
    return priorities
