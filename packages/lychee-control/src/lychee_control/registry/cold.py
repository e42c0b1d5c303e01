"""Cold servers: what a replica knows of them, and the leader's news of it."""

from collections.abc import Callable, Container

from loguru import logger

from lychee_policy import ColdReading, ColdTime, received_reading
from lychee_ranges import RoutedState
from lychee_types.clock import Clock
from lychee_types.cold_messages import KnownCold, ObservedCold
from lychee_types.ids import DomainName
from lychee_types.registry import RegisteredServer, ServerIncarnation
from lychee_types.routing import ColdRule

REPEAT_S = 10.0
"""Interval at which what is known of all servers is sent again, in seconds.

Cold and new servers are sent more often. A gateway that has missed that a server is warm counts it
as cold for its warm-up at most, and every message goes to each gateway, many in other domains.
"""

NEW_S = 2.0
"""Time for which news of a server are repeated after it has become known, in seconds."""


class ColdBoard:
    """What a replica knows of the time for which servers are cold.

    Every replica keeps it, so that the next leader begins with what the former one has told.

    :param state: returns the replicated state.
    :param clock: source of time.
    """

    def __init__(self, *, state: Callable[[], RoutedState], clock: Clock) -> None:
        self._state = state
        self._clock = clock
        self._known: dict[ServerIncarnation, ColdTime] = {}
        self._first_at: dict[ServerIncarnation, float] = {}

    def __len__(self) -> int:
        """Return how many servers are cold."""
        now = self._clock.monotonic()
        return sum(known.is_cold(now) for known in self._known.values())

    def rate_per_s(self, run: ServerIncarnation, *, is_cold: bool = False) -> float | None:
        """Return the requests per second that a cold server can handle, None if it is not cold.

        :param run: the server.
        :param is_cold: whether it counts as cold whatever is known here.
        """
        server = self._state().servers.get(run.server)
        if server is None or server.run != run:
            return None
        rule = self._rule(server)
        known = self._known.get(run)
        if rule is None:
            return None
        is_known_cold = known is not None and known.is_cold(self._clock.monotonic())
        return rule.per_s if is_cold or is_known_cold else None

    def record_heartbeat(self, server: RegisteredServer) -> bool:
        """Record a heartbeat that has just arrived, and return whether it is news."""
        if self._rule(server) is None:
            return False
        reading = ColdReading(remaining_s=server.cold_s, heard_at=self._clock.monotonic())
        return self._record(server.run, reading)

    def record(self, servers: tuple[ObservedCold, ...]) -> frozenset[ServerIncarnation]:
        """Record what another process has heard, and return the servers of which it is news."""
        now = self._clock.monotonic()
        rated = {server.run for server in self._state().servers.values() if self._rule(server)}
        return frozenset(
            observed.run
            for observed in servers
            if observed.run in rated and self._record(observed.run, received_reading(observed, now))
        )

    def assume(self, domain: DomainName) -> None:
        """Count a domain's servers as cold for their warm-up until a later report says otherwise.

        They may have become cold while nothing was sent to them.
        """
        now = self._clock.monotonic()
        for server in self._state().servers.values():
            rule = self._rule(server)
            if server.domain == domain and rule is not None:
                self._known.setdefault(server.run, ColdTime()).assume(rule.warmup_s, now)

    def keep_only(self, runs: set[ServerIncarnation]) -> None:
        """Forget all servers but these."""
        for run in self._known.keys() - runs:
            del self._known[run]
            self._first_at.pop(run, None)

    def news(self, *, of: Container[ServerIncarnation] | None = None) -> KnownCold | None:
        """Return what is known, for gateways and other replicas; None if there is nothing.

        :param of: the servers, None for all.
        """
        self.keep_only({server.run for server in self._state().servers.values()})
        now = self._clock.monotonic()
        observed = tuple(
            item
            for run, known in self._known.items()
            if of is None or run in of
            if (item := known.export(run, now)) is not None
        )
        return KnownCold(servers=observed) if observed else None

    def urgent(self) -> frozenset[ServerIncarnation]:
        """Return the servers that are cold, and those that have not been known for long.

        Gateways that have just learnt of a server count it as cold until they hear.
        """
        now = self._clock.monotonic()
        return frozenset(
            run
            for run, known in self._known.items()
            if known.is_cold(now) or now - self._first_at.get(run, now) < NEW_S
        )

    def _record(self, run: ServerIncarnation, reading: ColdReading) -> bool:
        now = self._clock.monotonic()
        known = self._known.setdefault(run, ColdTime())
        self._first_at.setdefault(run, now)
        was_cold = known.is_cold(now)
        has_changed = known.record(reading, now)
        is_cold = known.is_cold(now)
        if is_cold is not was_cold:
            logger.bind(event="server_cold", server=run.server, is_cold=is_cold).info(
                "a server has reported that it is {}", "cold" if is_cold else "warm"
            )
        return has_changed

    def _rule(self, server: RegisteredServer) -> ColdRule | None:
        service = self._state().routing.service(server.service)
        return service.cold_rule if service is not None else None


class ColdDesk:
    """Tells all gateways of cold servers while this replica leads.

    :param board: what is known of them.
    :param spread: sends news to all gateways.
    :param clock: source of time.
    """

    def __init__(
        self, *, board: ColdBoard, spread: Callable[[KnownCold], None], clock: Clock
    ) -> None:
        self._board = board
        self._spread = spread
        self._clock = clock
        self._spread_at = 0.0

    def is_cold(self, run: ServerIncarnation) -> bool:
        """Return whether a server of a service with a rate of cold servers is cold."""
        return self._board.rate_per_s(run) is not None

    def record_heartbeat(self, server: RegisteredServer) -> None:
        """Record a server's newest heartbeat, and tell all gateways what it changes."""
        if self._board.record_heartbeat(server):
            self._send(self._board.news(of=(server.run,)))

    def record(self, servers: tuple[ObservedCold, ...]) -> None:
        """Record what a gateway has heard, and tell all gateways what it changes."""
        changed = self._board.record(servers)
        if changed:
            self._send(self._board.news(of=changed))

    def spread_again(self, runs: set[ServerIncarnation]) -> None:
        """Send the news again, as messages may have been lost.

        :param runs: the registered servers.
        """
        now = self._clock.monotonic()
        self._board.keep_only(runs)
        if now < self._spread_at:
            self._send(self._board.news(of=self._board.urgent()))
            return
        self._spread_at = now + REPEAT_S
        self._send(self._board.news())

    def _send(self, news: KnownCold | None) -> None:
        if news is not None:
            self._spread(news)
