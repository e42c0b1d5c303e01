"""Keyed requests that a backend server may still run, and the transitions that wait for them."""

from collections.abc import Iterator
from dataclasses import dataclass

from lychee_owner import ClusterState
from lychee_types.ids import KeyHash, ServerId, ServiceName
from lychee_types.messages import (
    Drained,
)


@dataclass(eq=False, kw_only=True, slots=True)
class KeyedFlight:
    """A keyed request that has been sent.

    :param service: its service.
    :param key: hash of its key.
    :param server: where it was sent.
    :param over_at: monotonic time in seconds at which it is over at the latest.
    """

    service: ServiceName
    key: KeyHash
    server: ServerId
    over_at: float


class FlightLog:
    """Tracks each keyed request until it is over.

    A request is over when the server's whole answer or its refusal has come. Without either, it
    is over once its deadline and the drift margin have passed, whatever became of its caller.

    :param drift_s: margin for clock drift in seconds.
    """

    def __init__(self, *, drift_s: float) -> None:
        self._drift_s = drift_s
        self._flights: dict[ServiceName, set[KeyedFlight]] = {}

    def begin(
        self, *, service: ServiceName, key: KeyHash, server: ServerId, deadline: float
    ) -> KeyedFlight:
        """Track a request that is about to be sent.

        :param deadline: monotonic time in seconds after which the server does not begin it.
        """
        flight = KeyedFlight(
            service=service, key=key, server=server, over_at=deadline + self._drift_s
        )
        self._flights.setdefault(service, set()).add(flight)
        return flight

    def end(self, flight: KeyedFlight) -> None:
        """Note that the server is done with a request."""
        self._flights[flight.service].discard(flight)

    def expire(self, now: float) -> None:
        """Drop requests that are over by time.

        :param now: monotonic time in seconds.
        """
        for flights in self._flights.values():
            for flight in [flight for flight in flights if flight.over_at <= now]:
                flights.discard(flight)

    def drained(self, state: ClusterState, now: float) -> tuple[Drained, ...]:
        """Return the transitions under way whose moving keys have no request left.

        :param state: the state with the transitions.
        :param now: monotonic time in seconds.
        """
        self.expire(now)
        return tuple(self._drained(state))

    def __len__(self) -> int:
        return sum(len(flights) for flights in self._flights.values())

    def _drained(self, state: ClusterState) -> Iterator[Drained]:
        for name, ownership in state.ownerships.items():
            if ownership.pending is None:
                continue
            target = state.pending_table(name)
            flights = self._flights.get(name, ())
            if target is not None and all(target.owner(f.key) == f.server for f in flights):
                yield Drained(service=name, begun=ownership.pending.begun)
