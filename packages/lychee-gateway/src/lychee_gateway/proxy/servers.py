"""Connections, load, service time and failures of each backend server, as seen by this gateway."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from math import exp, inf

from loguru import logger

from lychee_gateway.proxy.codec import Occupancy
from lychee_http.pool import ServerPool
from lychee_policy import AbsenceProof, ColdReading, ColdTime
from lychee_types.cold_messages import ObservedCold
from lychee_types.registry import RegisteredServer, ServerIncarnation
from lychee_types.registry_messages import ServerStats
from lychee_types.routing import ColdRule
from lychee_types.server_check import MAX_COLD_S

INITIAL_SERVICE_TIME_S = 0.06
"""Assumed service time of a request before any has been measured, in seconds."""

SERVICE_TIME_GAIN = 0.1
"""Weight of a new measurement in the exponential moving average of the service time."""

STALE_AFTER_S = 1.0
"""Time without an answer after which a measured service time begins to lose its weight, in seconds.
"""

STALE_S = 3.0
"""Time in which the weight of such a measurement then decays to 1/e, in seconds."""

OCCUPANCY_DECREASE_GAIN = 0.5
"""Weight of a reported occupancy below the estimate; a higher one replaces the estimate at once."""

OCCUPANCY_DECAY_S = 0.4
"""Time in which the weight of a reported occupancy decays to 1/e, in seconds.

Servers report their occupancy in responses only. Without the decay, a server that gets no requests
because it was full would stay full in the estimate.
"""

SPEED_TOLD_S = 10.0
"""Time after a reported speed in which a server is expected to report it again, in seconds."""

USUAL_TIME_GAIN = 0.05
"""The same as `SERVICE_TIME_GAIN` for the usual time of a server that reports its speed."""

PRIOR_ANSWERS = 1
"""Number of answers that the mean service time of a service counts for at one of its servers."""

SPEED_DECAY_S = 0.3
"""Time in which the weight of a reported speed decays to 1/e, in seconds.

The speed of a VM changes several times a second.
"""

OTHER_GATEWAYS_SHARE = 0.6
"""Assumed load of each other gateway at a server, as a share of this gateway's own load there.

Callers choose gateways at random, so the load of the gateways is similar.
"""

COLD_FACTOR = 2.5
"""Factor by which work takes longer on a server that has just started."""

QUEUE_PER_SLOT = 3
"""Requests per slot that may wait at a server; a server may reject what its queue cannot hold."""

MAX_FULL_S = 1.0
"""Maximum time for which a server counts as full without having said so, in seconds."""

OVERDUE_FACTOR = 4.0
"""Multiple of the expected service time after which a pending request indicates a queue."""

EJECT_AFTER = 3
"""Consecutive failures after which a server is ejected."""

EJECT_S = 0.5
"""Duration of the first ejection, in seconds; it doubles with each further failure."""

EJECT_MAX_S = 4.0
"""Maximum duration of an ejection, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InFlightRequest:
    """A request that a server has not answered yet.

    :param sent_at: monotonic time in seconds at which sending began.
    :param slowdown: expected response time as a multiple of the service time.
    :param slowness: expected service time as a multiple of the usual one.
    """

    sent_at: float
    slowdown: float
    slowness: float = 1.0


class ProxyServer:
    """One incarnation of a backend server, with its connections and its estimated load.

    :param record: its registration.
    :param now: current monotonic time in seconds.
    :param leaving_since: earliest monotonic time at which it may have been allowed to leave, in
        seconds; None if it stays.
    :param gateway_count: approximate number of gateways.
    :param service_time_s: mean service time of its service until its own has been measured, in
        seconds; None if that is not known either.
    :param cold_rule: how it is treated while it is cold, None if its service has no rate for that.
    :param is_newcomer: whether it was registered while the gateway knew others of its service.
    """

    def __init__(
        self,
        *,
        record: RegisteredServer,
        now: float,
        cold_rule: ColdRule | None = None,
        leaving_since: float | None = None,
        gateway_count: int = 1,
        service_time_s: float | None = None,
        is_newcomer: bool = False,
    ) -> None:
        self.record = record
        self._is_newcomer = is_newcomer
        self.gateway_count = gateway_count
        self.pool = ServerPool(endpoint=record.endpoint, until_close=True)
        self.is_direct = True
        self.heard_at = 0.0
        self.probed_at = -inf
        self.full_until = -inf
        self._sent_at: dict[int, float] = {}
        self._last_number = 0
        self._is_unknown = service_time_s is None
        self.service_time_s = INITIAL_SERVICE_TIME_S if service_time_s is None else service_time_s
        self.is_measured = False
        self._measured = 0
        self._answered_at = now
        self._estimated_at = now
        self._others_occupancy = 0.0
        self._occupancy_at = now - 10 * OCCUPANCY_DECAY_S
        self._has_occupancy = False
        self._slowness = 1.0
        self._speed_at = -inf
        self.leaving_since = leaving_since
        self._cold_until = now + record.cold_s
        self.cold_rule: ColdRule | None = None
        self.cold_since = now
        self._cold_time = ColdTime()
        self._has_cold_news = False
        self.set_cold_rule(cold_rule, now)
        self._failures = 0
        self._ejected_until = 0.0
        self._busy_s = 0.0
        self._answers = 0
        self._unanswered = 0
        self._work_s = 0.0
        self._reported_occupancy = -1
        self.last_load: Occupancy | None = None
        self.proofs: set[AbsenceProof] = set()

    @property
    def run(self) -> ServerIncarnation:
        """The server's id and incarnation."""
        return self.record.run

    @property
    def slots(self) -> int:
        """Number of requests that the server works on at once."""
        return max(1, self.record.slots)

    @property
    def is_leaving(self) -> bool:
        """Whether the server leaves, or its failure domain is evacuated."""
        return self.leaving_since is not None

    def leave(self, as_of: float) -> None:
        """Record that the server may be allowed to leave.

        :param as_of: monotonic time as of which it was known to stay, in seconds.
        """
        if self.leaving_since is None:
            self.leaving_since = as_of

    def stay(self) -> None:
        """Record that the server stays, as the evacuation of its domain has ended."""
        self.leaving_since = None

    def set_cold_rule(self, rule: ColdRule | None, now: float) -> None:
        """Set how the server is treated while it is cold.

        It counts as cold until it is heard to be warm, as the time of its registration is unknown
        and it may have become cold again since.
        """
        if rule is not None and self.cold_rule is None:
            assumed_until = now + max(rule.warmup_s, self.record.cold_s)
            self._cold_time = ColdTime(assumed_until=assumed_until)
            self.cold_since = now
        self.cold_rule = rule

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold and gets requests by permits only."""
        return self.cold_rule is not None and self._cold_time.is_cold(now)

    def assume_cold(self, now: float) -> None:
        """Count the server as cold for its warm-up until a later report says otherwise."""
        if self.cold_rule is None:
            return
        if not self.is_cold(now):
            self.cold_since = now
        self._cold_time.assume(self.cold_rule.warmup_s, now)

    def record_cold(self, remaining_s: float, now: float) -> None:
        """Record the time for which the server has just said that it stays cold, in seconds."""
        remaining_s = min(remaining_s, MAX_COLD_S)
        self._cold_until = now + remaining_s
        reading = ColdReading(remaining_s=remaining_s, heard_at=now)
        if self.record_cold_reading(reading, now):
            self._has_cold_news = True

    def record_cold_reading(self, reading: ColdReading, now: float) -> bool:
        """Record a report of the server, and return whether it changes its cold time."""
        if self.cold_rule is None:
            return False
        was_cold = self.is_cold(now)
        has_changed = self._cold_time.record(reading, now)
        is_cold = self.is_cold(now)
        if is_cold is not was_cold:
            self.cold_since = now
            logger.bind(event="server_cold", server=self.run.server, is_cold=is_cold).info(
                "a server has reported that it is {}", "cold" if is_cold else "warm"
            )
        return has_changed

    def take_cold_news(self, now: float) -> ObservedCold | None:
        """Return what the server has said itself since the last call, None if nothing is new."""
        if not self._has_cold_news:
            return None
        self._has_cold_news = False
        return self._cold_time.export(self.run, now)

    def has_drained(self, now: float, after_s: float) -> bool:
        """Return whether the server may have been allowed to leave longer ago than ``after_s``."""
        return self.leaving_since is not None and now - self.leaving_since > after_s

    def estimated_occupancy(self, now: float) -> float:
        """Return the estimated number of its requests, including those of other gateways."""
        return self.in_flight + self._estimate_others(now)

    def occupancy_age_ms(self, now: float) -> int:
        """Return the age of its last reported occupancy in ms, -1 if it has not reported any."""
        age_s = now - self._occupancy_at
        return round(age_s * 1_000) if self._has_occupancy else -1

    def expected_wait_s(self, now: float) -> float:
        """Return the expected queueing delay of a new request, in seconds."""
        expected_s = self._queue_ahead(now) * self.expected_service_time_s(now) / self.slots
        oldest = next(iter(self._sent_at.values()), now)
        # An overdue request indicates a queue that no response has reported yet.
        return max(expected_s, now - oldest - OVERDUE_FACTOR * self.expected_service_time_s(now))

    def is_full(self, now: float) -> bool:
        """Return whether its queue has probably reached the limit."""
        return self.estimated_occupancy(now) + 1 > self.slots * (1 + QUEUE_PER_SLOT)

    def has_free_slot(self, now: float) -> bool:
        """Return whether it has probably no queue; one slow request does not count as a queue."""
        return self._queue_ahead(now) == 0

    def expected_service_time_s(self, now: float) -> float:
        """Return the expected service time of a request, without queueing, in seconds."""
        usual_s = self.service_time_s * self._cold_slowdown(now)
        return usual_s if self._slowness == 1.0 else usual_s * self.slowness(now)

    def _cold_slowdown(self, now: float) -> float:
        if self.cold_rule is not None:
            return self._cold_time.slowdown(now, factor=COLD_FACTOR)
        return COLD_FACTOR if now < self._cold_until else 1.0

    def slowness(self, now: float) -> float:
        """Return how long work is expected to take at this moment, as a multiple of the usual time.

        The last reported speed loses its weight with its age.
        """
        if self._slowness == 1.0:
            return 1.0
        return 1.0 + exp((self._speed_at - now) / SPEED_DECAY_S) * (self._slowness - 1.0)

    def speed_age_s(self, now: float) -> float:
        """Return the age of its last reported speed in seconds, infinite if it reported none."""
        return now - self._speed_at

    def tells_speed(self, now: float) -> bool:
        """Return whether it has reported its speed lately."""
        return now - self._speed_at < SPEED_TOLD_S

    def is_healthy(self, now: float) -> bool:
        """Return whether the server is not ejected because of repeated failures."""
        return now >= self._ejected_until

    @property
    def in_flight(self) -> int:
        """Number of this gateway's requests that the server has not answered yet."""
        return len(self._sent_at)

    @contextmanager
    def track_request(self, now: float) -> Iterator[InFlightRequest]:
        """Count a request as in flight inside the block."""
        self._last_number += 1
        number = self._last_number
        in_flight = InFlightRequest(
            sent_at=now,
            slowdown=1 + self._queue_ahead(now) / self.slots,
            slowness=self.slowness(now),
        )
        self._sent_at[number] = now
        try:
            yield in_flight
        finally:
            del self._sent_at[number]

    def record_load_evidence(self, load: Occupancy, *, asked_at: float, now: float) -> None:
        """Record what a load says of the requests that it has left unanswered for long.

        :param load: the load.
        :param asked_at: monotonic time in seconds at which it was asked for at the earliest.
        :param now: monotonic time in seconds.
        """
        for proof in self.proofs:
            proof.record_load(load.running + load.waiting, asked_at=asked_at, heard_at=now)

    def record_occupancy(self, occupancy: Occupancy, now: float) -> None:
        """Update the estimated load of other gateways from an occupancy that the server reported.

        Must be called inside `track_request` of the request that the server answers: that request
        is still in flight here, but the server no longer counts it.
        """
        self._reported_occupancy = occupancy.running + occupancy.waiting
        others = max(0.0, self._reported_occupancy - (self.in_flight - 1))
        known = self._estimate_others(now)
        gain = 1.0 if others > known else OCCUPANCY_DECREASE_GAIN
        self._others_occupancy = known + gain * (others - known)
        self._occupancy_at = now
        self._has_occupancy = True
        self.last_load = occupancy
        self._record_speed(occupancy.speed, now)
        if self._reported_occupancy < occupancy.slots:
            self.full_until = -inf

    def record_probe(self, occupancy: Occupancy, *, asked_at: float, now: float) -> None:
        """Record a load that was asked for; it replaces all estimates.

        :param occupancy: the load.
        :param asked_at: monotonic time in seconds at which it was asked for. Requests that were
            sent later may not be counted in it.
        :param now: monotonic time in seconds.
        """
        counted = sum(sent_at < asked_at for sent_at in self._sent_at.values())
        self.probed_at = now
        self.full_until = -inf
        self._others_occupancy = max(0.0, occupancy.running + occupancy.waiting - counted)
        self.last_load = occupancy
        self._occupancy_at = now
        self._has_occupancy = True
        self._record_speed(occupancy.speed, now)

    def record_reset(self, now: float) -> None:
        """Record that the server reset a connection: it may be full until its queue is served."""
        queue_s = QUEUE_PER_SLOT * self.expected_service_time_s(now)
        self.record_full(now, for_s=min(MAX_FULL_S, queue_s))

    def record_full(self, now: float, *, for_s: float) -> None:
        """Record a sign that the server's queue is full, which counts for a time in seconds."""
        self.full_until = max(self.full_until, now + for_s)

    def _record_speed(self, speed: float | None, now: float) -> None:
        if speed is not None:
            self._slowness, self._speed_at = 1.0 / speed, now

    def record_answer(self, in_flight: InFlightRequest, seconds: float) -> None:
        """Record an answer, and update the mean service time at the usual speed.

        The service time is the response time divided by the slowdown expected when the request was
        sent, so that a server that always has a queue is measured too.

        :param in_flight: the answered request.
        :param seconds: time from sending to the answer.
        """
        self._failures = 0
        self._ejected_until = 0.0
        answered_at = in_flight.sent_at + seconds
        # The speed changes while a request is worked on; the load of its answer is known by now.
        slowness = (in_flight.slowness + self.slowness(answered_at)) / 2
        work_s = seconds / in_flight.slowdown
        service_time_s = work_s / slowness
        gain = 1.0 if self._is_unknown else self._service_time_gain(answered_at)
        self.service_time_s += gain * (service_time_s - self.service_time_s)
        self.is_measured, self._is_unknown = True, False
        self._measured += 1
        self._answered_at = answered_at
        self._busy_s += work_s
        self._answers += 1
        queue = max(0, self._reported_occupancy + 1 - self.slots)
        self._work_s += seconds / max(in_flight.slowdown, 1 + queue / self.slots)

    def _service_time_gain(self, now: float) -> float:
        """Return the weight of a measurement of the service time.

        The first ones count for more where the usual time is measured, which does not change.
        """
        if not self.tells_speed(now):
            return SERVICE_TIME_GAIN
        return max(USUAL_TIME_GAIN, 1 / (PRIOR_ANSWERS + 1 + self._measured))

    def record_cancelled(self, sent_at: float, now: float) -> None:
        """Record an attempt that was cancelled before its answer, as another one was faster.

        The time so far counts if it shows a longer service time; without it, a server would never
        be seen to be slow where the slow ones of its attempts are cancelled.

        :param sent_at: monotonic time in seconds at which it was sent.
        :param now: monotonic time in seconds.
        """
        service_time_s = (now - sent_at) / (1 + self._queue_ahead(now) / self.slots)
        if service_time_s > self.service_time_s:
            self.service_time_s += SERVICE_TIME_GAIN * (service_time_s - self.service_time_s)
            self._answered_at = now

    def estimate_anew(self, fastest_s: float, mean_s: float, now: float) -> None:
        """Let the service time approach that of the fastest server while no answer measures it.

        A server that is believed to be slow gets no requests, and only requests show its speed. A
        server that tells its speed keeps its usual service time. If it has none, it gets the mean
        one, or as a newcomer the fastest one: the best of those that are measured are faster than
        the mean, and nobody would try it.

        :param fastest_s: mean service time of the fastest measured server, in seconds.
        :param mean_s: mean service time of all measured servers, in seconds.
        :param now: monotonic time in seconds.
        """
        if self.tells_speed(now):
            if not self.is_measured:
                self.service_time_s = fastest_s if self._is_newcomer else mean_s
                self._is_unknown = False
            return
        since = max(self._answered_at + STALE_AFTER_S, self._estimated_at)
        self._estimated_at = now
        if not self.is_measured:
            self.service_time_s, self._is_unknown = fastest_s, False
        elif since < now and not self._sent_at:
            weight = exp((since - now) / STALE_S)
            self.service_time_s = fastest_s + weight * (self.service_time_s - fastest_s)

    def record_failure(self, now: float) -> None:
        """Record a request without a usable answer; eject the server after several in a row."""
        self._failures += 1
        if self._failures >= EJECT_AFTER:
            ejection_s = min(EJECT_MAX_S, EJECT_S * 2 ** (self._failures - EJECT_AFTER))
            self._ejected_until = now + ejection_s

    def record_unanswered(self) -> None:
        """Record a request without an answer until its deadline."""
        self._unanswered += 1

    def _queue_ahead(self, now: float) -> float:
        """Return how many requests must finish before the server starts on a new one."""
        return max(0.0, self.estimated_occupancy(now) + 1 - self.slots)

    def _estimate_others(self, now: float) -> float:
        """Return the estimated number of requests from other gateways.

        As the reported occupancy ages, the estimate shifts to one based on this gateway's own load.
        """
        weight = exp((self._occupancy_at - now) / OCCUPANCY_DECAY_S)
        assumed = OTHER_GATEWAYS_SHARE * max(0, self.in_flight - 1) * (self.gateway_count - 1)
        return weight * self._others_occupancy + (1 - weight) * assumed

    def take_stats(self) -> ServerStats | None:
        """Return statistics since the last call, None if there is nothing new."""
        if not self._answers and not self._unanswered and self._reported_occupancy < 0:
            return None
        stats = ServerStats(
            server=self.run.server,
            busy_s=self._busy_s,
            answers=self._answers,
            occupied=self._reported_occupancy,
            unanswered=self._unanswered,
            work_s=self._work_s,
        )
        self._busy_s, self._answers, self._unanswered = 0.0, 0, 0
        self._work_s, self._reported_occupancy = 0.0, -1
        return stats
