"""What this gateway knows of each backend server: connections, load, pace, failures."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from math import exp

from lychee_gateway.proxy.codec import Occupancy
from lychee_http.pool import ServerPool
from lychee_ranges import RoutedState
from lychee_types.clock import Clock
from lychee_types.ids import ServerId, ServiceName
from lychee_types.registry import RegisteredServer, ServerRun
from lychee_types.registry_messages import ServerStats

FIRST_PACE_S = 0.06
"""Time that an answer takes before any has been measured, in seconds."""

PACE_GAIN = 0.1
"""Weight of a new answer in the mean time of answers."""

LESS_GAIN = 0.5
"""Weight of a new word that tells of less load than was known; more is believed at once."""

WORD_MEMORY_S = 0.4
"""Time in which a word on load falls to 1/e in weight, in seconds.

A server that gets nothing because it was full says nothing either.
"""

ALIKE = 0.6
"""How far other gateways are taken to have as many requests at a server as this one.

Callers are spread over gateways by chance, so none of them has much more than the others.
"""

COLD_FACTOR = 2.5
"""How much slower a server is that has just started."""

QUEUE_PER_SLOT = 3
"""Requests for each slot that may wait at a server; it may drop what comes beyond its queue."""

LATE_FACTOR = 4.0
"""Times the usual work after which an unanswered request tells of a queue."""

EJECT_AFTER = 3
"""Failures in a row after which a server is left out."""

EJECT_S = 0.5
"""First time that a failing server is left out, in seconds; it doubles with each failure."""

EJECT_MAX_S = 4.0
"""Longest time that a failing server is left out, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Sending:
    """A request that is being sent.

    :param at: since when, clock seconds.
    :param crowding: its expected time to an answer, as a multiple of the time of the work.
    """

    at: float
    crowding: float


class ProxyServer:
    """One run of a server.

    :param record: its registration.
    :param now: clock seconds.
    :param gateways: about how many gateways there are.
    :param pace_s: time that its work is taken to need until it has been measured, in seconds.
    """

    def __init__(
        self,
        *,
        record: RegisteredServer,
        now: float,
        gateways: int = 1,
        pace_s: float = FIRST_PACE_S,
    ) -> None:
        self.record = record
        self.gateways = gateways
        self.pool = ServerPool(endpoint=record.endpoint, until_close=True)
        self._sent_at: dict[int, float] = {}
        self._number = 0
        self.pace_s = pace_s
        self.is_measured = False
        self._others = 0.0
        self._others_told_at = now - 10 * WORD_MEMORY_S
        self._has_spoken = False
        self.leaving_since: float | None = now if record.is_leaving else None
        self._cold_until = now + record.cold_s
        self._failures = 0
        self._ejected_until = 0.0
        self._busy_s = 0.0
        self._answers = 0
        self._occupied = -1

    @property
    def run(self) -> ServerRun:
        """Return its run."""
        return self.record.run

    @property
    def slots(self) -> int:
        """Return how many requests it works on at once."""
        return max(1, self.record.slots)

    def update(self, record: RegisteredServer, now: float) -> None:
        """Take over a changed registration of the same run."""
        self.record = record
        if record.is_leaving and self.leaving_since is None:
            self.leaving_since = now

    def occupied(self, now: float) -> float:
        """Return how many requests it probably has, those of other gateways included."""
        return self.in_flight + self._others_at(now)

    def word_age_ms(self, now: float) -> int:
        """Return the age of its last word on its load, -1 if it has not said anything yet."""
        age_s = now - self._others_told_at
        return round(age_s * 1_000) if self._has_spoken else -1

    def wait_s(self, now: float) -> float:
        """Return how long a new request would probably wait there, in seconds."""
        expected_s = self._ahead(now) * self.work_s(now) / self.slots
        oldest = next(iter(self._sent_at.values()), now)
        # A request that has waited for long tells of a queue that no answer has told of yet.
        return max(expected_s, now - oldest - LATE_FACTOR * self.work_s(now))

    def is_full(self, now: float) -> bool:
        """Return whether its queue is probably as long as it may be."""
        return self.occupied(now) + 1 > self.slots * (1 + QUEUE_PER_SLOT)

    def work_s(self, now: float) -> float:
        """Return how long it probably works on a request, in seconds."""
        return self.pace_s * (COLD_FACTOR if now < self._cold_until else 1.0)

    def is_in_use(self, now: float) -> bool:
        """Return whether it has not failed again and again lately."""
        return now >= self._ejected_until

    @property
    def in_flight(self) -> int:
        """Return how many requests of this gateway have no answer yet."""
        return len(self._sent_at)

    @contextmanager
    def occupying(self, now: float) -> Iterator[Sending]:
        """Count a request as in flight inside the block."""
        self._number += 1
        number = self._number
        sending = Sending(at=now, crowding=1 + self._ahead(now) / self.slots)
        self._sent_at[number] = now
        try:
            yield sending
        finally:
            del self._sent_at[number]

    def note_occupancy(self, occupancy: Occupancy, now: float) -> None:
        """Take the server's word on its load, given while one request of ours is counted."""
        self._occupied = occupancy.running + occupancy.waiting
        others = max(0.0, self._occupied - (self.in_flight - 1))
        known = self._others_at(now)
        gain = 1.0 if others > known else LESS_GAIN
        self._others = known + gain * (others - known)
        self._others_told_at = now
        self._has_spoken = True

    def note_answer(self, sending: Sending, seconds: float) -> None:
        """Take note of an answer; a server that is never idle is measured as well.

        :param sending: its request.
        :param seconds: time from sending to the answer.
        """
        self._failures = 0
        self._ejected_until = 0.0
        work_s = seconds / sending.crowding
        self.pace_s += PACE_GAIN * (work_s - self.pace_s)
        self.is_measured = True
        self._busy_s += work_s
        self._answers += 1

    def note_failure(self, now: float) -> None:
        """Take note of a request without a usable answer."""
        self._failures += 1
        if self._failures >= EJECT_AFTER:
            pause_s = min(EJECT_MAX_S, EJECT_S * 2 ** (self._failures - EJECT_AFTER))
            self._ejected_until = now + pause_s

    def _ahead(self, now: float) -> float:
        """Return how many requests must end before a new one is worked on."""
        return max(0.0, self.occupied(now) + 1 - self.slots)

    def _others_at(self, now: float) -> float:
        """Return how many requests of other gateways it probably has.

        The older the server's word, the more this gateway's own requests stand for the others'.
        """
        weight = exp((self._others_told_at - now) / WORD_MEMORY_S)
        alike = ALIKE * max(0, self.in_flight - 1) * (self.gateways - 1)
        return weight * self._others + (1 - weight) * alike

    def take_pace(self) -> ServerStats | None:
        """Return what the server did since the last call, None for nothing."""
        if self._answers == 0 and self._occupied < 0:
            return None
        pace = ServerStats(
            server=self.run.server,
            busy_s=self._busy_s,
            answers=self._answers,
            occupied=self._occupied,
        )
        self._busy_s, self._answers, self._occupied = 0.0, 0, -1
        return pace


class ServerList:
    """All servers, by service.

    :param clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._gateways = 1
        self._by_id: dict[ServerId, ProxyServer] = {}
        self._by_service: dict[ServiceName, list[ProxyServer]] = {}

    def expect_gateways(self, count: int) -> None:
        """Take note of about how many gateways there are."""
        self._gateways = max(1, count)
        for server in self._by_id.values():
            server.gateways = self._gateways

    def sync(self, state: RoutedState) -> None:
        """Follow the registered servers."""
        now = self._clock.monotonic()
        for server_id, server in tuple(self._by_id.items()):
            record = state.servers.get(server_id)
            if (
                record is None
                or record.run != server.run
                or record.endpoint != server.record.endpoint
            ):
                server.pool.close()
                del self._by_id[server_id]
        for server_id, record in state.servers.items():
            known = self._by_id.get(server_id)
            if known is None:
                self._by_id[server_id] = ProxyServer(
                    record=record,
                    now=now,
                    gateways=self._gateways,
                    pace_s=self._usual_pace_s(record.service),
                )
            else:
                known.update(record, now)
        self._by_service = {}
        for server in self._by_id.values():
            self._by_service.setdefault(server.record.service, []).append(server)

    def _usual_pace_s(self, service: ServiceName) -> float:
        """Return the mean pace of a service's servers, for one that nothing is known of."""
        paces = [server.pace_s for server in self.of(service) if server.is_measured]
        return sum(paces) / len(paces) if paces else FIRST_PACE_S

    def of(self, service: ServiceName) -> list[ProxyServer]:
        """Return the servers of a service."""
        return self._by_service.get(service, [])

    def find(self, run: ServerRun) -> ProxyServer | None:
        """Return a run of a server, None if another run is registered or none."""
        server = self._by_id.get(run.server)
        return server if server is not None and server.run == run else None

    def take_paces(self) -> tuple[ServerStats, ...]:
        """Return what all servers did since the last call."""
        paces = (server.take_pace() for server in self._by_id.values())
        return tuple(pace for pace in paces if pace is not None)
