"""Simulate the selection of servers whose speed changes, with and without asking for their load.

The load is that of one service with uneven servers and noisy neighbours: each server is slower than
usual for a share of the time, drawn anew at short intervals.
"""

from collections import Counter
from collections.abc import Callable, Coroutine, Generator, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from lychee_gateway.proxy.codec import Occupancy
from lychee_gateway.proxy.placing import NoServer, RoutedRequest, ServerSelector
from lychee_gateway.proxy.probed_choice import ProbedChoice
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.testing import (
    DOMAIN,
    HOP_S,
    SERVICE,
    Backend,
    Caller,
    Load,
    LoadSimulation,
    SimulatedServer,
)
from lychee_types.ids import ServerId, ServiceName

REDRAW_S = 0.4
"""Interval at which the speeds are drawn anew, in seconds."""

SLOWED_SHARE = 0.2
"""Share of the servers that are slowed."""

SLOWED_FACTOR = 3.0
"""How long work takes on a slowed server, as a multiple of the usual time."""


class Chooser(Enum):
    """How servers are chosen."""

    ESTIMATES = "estimates"
    PROBES = "probes"
    ALL_KNOWN = "all known"


@dataclass(frozen=True)
class _Pause:
    """A wait in simulated time, in seconds."""

    delay_s: float

    def __await__(self) -> Generator["_Pause", None, None]:
        yield self


class NoisySimulation(LoadSimulation):
    """Simulates gateways and servers whose speed changes.

    :param backends: the servers.
    :param load: the load that callers generate.
    :param chooser: how servers are chosen.
    :param gateways: number of gateways.
    :param opens_none: whether probes use only connections that requests have opened.
    :param seed: seed of the random numbers.
    """

    def __init__(
        self,
        *,
        backends: list[Backend],
        load: Load,
        chooser: Chooser,
        gateways: int = 12,
        opens_none: bool = False,
        seed: int = 1,
    ) -> None:
        self.opens_none = opens_none
        self._chooser = chooser
        self._seed = seed
        self.probes = 0
        self.coming: Counter[ServerId] = Counter()
        super().__init__(backends=backends, load=load, gateways=gateways, seed=seed)

    def _slowness(self, server: ServerId, now: float) -> float:
        offset = Random(f"{self._seed} {server}").random()
        epoch = int(now / REDRAW_S + offset)
        is_slowed = Random(f"{self._seed} {server} {epoch}").random() < SLOWED_SHARE
        return SLOWED_FACTOR if is_slowed else 1.0

    def _work_end(self, server: ServerId, work_s: float) -> float:
        """Return how long work takes that takes some time at the usual speed, in seconds."""
        offset = Random(f"{self._seed} {server}").random()
        now = start = self.clock.monotonic()
        while True:
            slowness = self._slowness(server, now)
            next_s = (int(now / REDRAW_S + offset) + 1 - offset) * REDRAW_S
            if work_s * slowness <= next_s - now:
                return now + work_s * slowness - start
            work_s -= (next_s - now) / slowness
            now = next_s + 1e-9

    def _duration_s(self, server: SimulatedServer, service_time_s: float) -> float:
        return self._work_end(server.name, service_time_s / server.backend.speed)

    def _occupancy(self, server: SimulatedServer) -> Occupancy:
        slowness = self._slowness(server.name, self.clock.monotonic())
        return Occupancy(
            running=server.running,
            waiting=len(server.waiting),
            slots=server.backend.slots,
            speed=1 / slowness if self._chooser is Chooser.PROBES else None,
        )

    def load_of(self, name: ServerId) -> Occupancy:
        """Return the load that a server reports at this moment."""
        return self._occupancy(self._servers[name])

    def _send(self, caller: Caller, found: ProxyServer) -> None:
        name = found.run.server
        self.coming[name] += 1
        super()._send(caller, found)
        self._schedule(HOP_S, lambda: self.coming.subtract((name,)))

    def _probed(self) -> ProbedChoice | None:
        if self._chooser is not Chooser.PROBES:
            return None
        return ProbedChoice(
            probing=_SimulatedProbing(self),
            domain=DOMAIN,
            on_choice=lambda service, chosen: self.counts.update((chosen,)),
            clock=self.clock,
            rng=Random(self._rng.random()),
        )

    def _select(
        self,
        gateway: ServerSelector,
        request: RoutedRequest,
        go_on: Callable[[ProxyServer | NoServer], None],
    ) -> None:
        if self._chooser is Chooser.ALL_KNOWN:
            go_on(self._best_of_all(gateway))
            return
        self._step(gateway.select(request), go_on)

    def _step(
        self,
        selection: Coroutine[_Pause, None, ProxyServer | NoServer],
        go_on: Callable[[ProxyServer | NoServer], None],
    ) -> None:
        """Run a selection up to its next wait or its end."""
        try:
            pause = selection.send(None)
        except StopIteration as exc:
            go_on(exc.value)
            return
        self._schedule(pause.delay_s, lambda: self._step(selection, go_on))

    def _best_of_all(self, gateway: ServerSelector) -> ProxyServer:
        """Return the server that is best by its actual state and by what is on its way there."""
        servers = gateway._servers.for_service(SERVICE)
        return min(servers, key=lambda server: self._actual_s(server.run.server))

    def _actual_s(self, name: ServerId) -> float:
        server = self._servers[name]
        slots = server.backend.slots
        occupied = server.running + len(server.waiting) + self.coming[name]
        now = self.clock.monotonic()
        work_s = self.load.service_time_s * self._slowness(name, now) / server.backend.speed
        return work_s * (1 + max(0, occupied + 1 - slots) / slots)


class _SimulatedProbing:
    """Asks simulated servers for their load; each answers after one hop each way."""

    def __init__(self, simulation: NoisySimulation) -> None:
        self._simulation = simulation

    def is_used(self, service: ServiceName) -> bool:
        return True

    def can_ask(self, server: ProxyServer) -> bool:
        return not self.lacks_connection(server)

    def lacks_connection(self, server: ProxyServer) -> bool:
        return self._simulation.opens_none and not server.is_measured

    async def ask(self, servers: Sequence[ProxyServer], *, until: float) -> list[ProxyServer]:
        simulation = self._simulation
        asked_at = simulation.clock.monotonic()
        await _Pause(HOP_S)
        loads = [simulation.load_of(server.run.server) for server in servers]
        await _Pause(HOP_S)
        for server, load in zip(servers, loads, strict=True):
            simulation.probes += 1
            server.record_probe(load, asked_at=asked_at, now=simulation.clock.monotonic())
        return list(servers)
