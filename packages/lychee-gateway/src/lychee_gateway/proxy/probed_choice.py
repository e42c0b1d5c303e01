"""Choose a server by the loads that a few servers report when they are asked."""

from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import Protocol

from lychee_gateway.proxy.servers import ProxyServer
from lychee_policy.probes import (
    MAX_ROUNDS,
    KnownLoad,
    is_acceptable,
    is_good,
    rank,
    servers_to_probe,
)
from lychee_types.clock import Clock
from lychee_types.ids import DomainName, ServiceName

PROBE_WAIT_S = 0.015
"""Maximum time for which one request waits for answers of all servers asked, in seconds."""


class Probing(Protocol):
    """Asks servers for their load."""

    def is_used(self, service: ServiceName) -> bool:
        """Return whether the servers of a service are asked before a request is sent."""
        ...

    def can_ask(self, server: ProxyServer) -> bool:
        """Return whether a server can be asked now."""
        ...

    def lacks_connection(self, server: ProxyServer) -> bool:
        """Return whether a server cannot be asked as there is no connection for that."""
        ...

    async def ask(self, servers: Sequence[ProxyServer], *, until: float) -> list[ProxyServer]:
        """Ask servers at the same time, record their loads, and return those that have answered.

        :param servers: the servers.
        :param until: monotonic time in seconds until which answers are waited for.
        """
        ...


class ProbedChoice:
    """Ranks servers by loads that are asked for.

    :param probing: asks the servers.
    :param domain: this gateway's failure domain.
    :param on_choice: counts requests by service and by what was chosen: a server of the "own" or
        an "other" domain, or "none" of those that were asked.
    :param clock: source of time.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        *,
        probing: Probing,
        domain: DomainName,
        on_choice: Callable[[ServiceName, str], None],
        clock: Clock,
        rng: Random | None = None,
    ) -> None:
        self._probing = probing
        self._domain = domain
        self._on_choice = on_choice
        self._clock = clock
        self._rng = rng or Random()

    def is_used(self, service: ServiceName, *, deadline: float) -> bool:
        """Return whether the servers of a service are asked before a request is sent.

        :param service: the service.
        :param deadline: monotonic time in seconds by which the request must be answered.
        """
        if self._clock.monotonic() + PROBE_WAIT_S >= deadline:
            return False
        return self._probing.is_used(service)

    def count(self, service: ServiceName, server: ProxyServer | None) -> None:
        """Count a request for which servers were asked, and the chosen one of them if any."""
        if server is None:
            chosen = "none"
        else:
            chosen = "own" if server.record.domain == self._domain else "other"
        self._on_choice(service, chosen)

    async def rank(
        self, servers: Sequence[ProxyServer], *, delay_s: Callable[[ProxyServer], float]
    ) -> list[ProxyServer]:
        """Return the servers whose load is known at this moment, the best one first.

        Returns none if a server that cannot be asked is expected to be much better.

        :param servers: those that may get the request.
        :param delay_s: returns what a server is charged with besides its load, in seconds.
        """
        until = self._clock.monotonic() + PROBE_WAIT_S
        by_run = {server.run: server for server in servers if self._probing.can_ask(server)}
        heard = {load.run for load in self._loads(by_run.values(), delay_s) if load.is_fresh}
        probed = set(heard)
        for _ in range(MAX_ROUNDS):
            known = self._loads(by_run.values(), delay_s)
            ranked = rank([load for load in known if load.run in heard], rng=self._rng)
            best = ranked[0] if ranked else None
            if best is not None and is_good(best, known):
                break
            asked = servers_to_probe(known, best=best, probed=probed, rng=self._rng)
            if not asked or self._clock.monotonic() >= until:
                break
            probed |= {load.run for load in asked}
            answered = await self._probing.ask([by_run[load.run] for load in asked], until=until)
            heard |= {server.run for server in answered}
        known = self._loads(by_run.values(), delay_s)
        ranked = rank([load for load in known if load.run in heard], rng=self._rng)
        others = [server for server in servers if self._probing.lacks_connection(server)]
        if ranked and not is_acceptable(ranked[0], self._loads(others, delay_s)):
            return []
        return [by_run[load.run] for load in ranked]

    def _loads(
        self, servers: Collection[ProxyServer], delay_s: Callable[[ProxyServer], float]
    ) -> list[KnownLoad]:
        now = self._clock.monotonic()
        return [
            KnownLoad(
                run=server.run,
                is_local=server.record.domain == self._domain,
                occupied=server.estimated_occupancy(now),
                slots=server.slots,
                work_s=server.expected_service_time_s(now),
                age_s=now - server.probed_at,
                delay_s=delay_s(server),
            )
            for server in servers
        ]
