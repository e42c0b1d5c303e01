"""The ranges and the load of one server, and how its response time depends on the load."""

from dataclasses import dataclass, field
from math import sqrt

from lychee_ranges.loads import LATEST_DECAY_S
from lychee_ranges.moves import Candidate
from lychee_types.registry import KeyRange

SATURATED_UTILIZATION = 0.9
"""Slot utilization from which response times are modelled as growing linearly."""

MAX_RECEIVER_UTILIZATION = 0.6
"""Slot utilization up to which a server is given more keys."""

OVERLOAD_PENALTY_S = 5.0
"""Added response time per unit of utilization above the saturated one, in seconds."""

NOISE_DEVIATIONS = 1.5
"""Standard deviations subtracted from the latest rate, to rule out random variation."""

BISECTION_STEPS = 12
"""Steps of the bisection for the load to move."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RangeLoad:
    """Request rates of some keys.

    :param steady: requests per second over the longer window.
    :param latest: requests per second over the shorter window.
    :param keys: number of keys.
    """

    steady: float
    latest: float
    keys: int


@dataclass(kw_only=True, slots=True)
class ServerRanges:
    """Ranges and load of one server, with the moves planned so far.

    :param candidate: the server.
    :param steady: requests per second over the longer window.
    :param latest: requests per second over the shorter window.
    :param keys: number of its keys.
    :param movable_ranges: its ranges that may be moved.
    :param rate: requests per second that it gets, without random peaks.
    :param utilization: fraction of its slots in use; above 1 if it gets more than it can serve.
    """

    candidate: Candidate
    steady: float = 0.0
    latest: float = 0.0
    keys: int = 0
    movable_ranges: list[KeyRange] = field(default_factory=list)
    rate: float = field(default=0.0, init=False)
    utilization: float = field(default=0.0, init=False)
    _slots: int = field(default=1, init=False)
    _capacity: float = field(default=0.0, init=False)
    _queue_exponent: float = field(default=0.0, init=False)

    def __post_init__(self) -> None:
        # A plan asks each of hundreds of servers for these values many times.
        self._slots = max(1, self.candidate.server.slots)
        self._capacity = self.candidate.capacity
        self._queue_exponent = sqrt(2 * (self._slots + 1))
        self._update_rate()

    @property
    def is_rising(self) -> bool:
        """Return whether the latest rate is significantly above the steady rate."""
        return self._latest_lower_bound > self.steady

    def response_s(self, extra_rate: float = 0.0) -> float:
        """Return the expected response time after a change of the rate, in seconds.

        Uses Sakasegawa's approximation for a queue with several servers.

        :param extra_rate: requests per second added; negative if removed.
        """
        utilization = max(0.0, self.rate + extra_rate) / self._capacity
        bounded = min(utilization, SATURATED_UTILIZATION)
        queue: float = bounded**self._queue_exponent / (self._slots * (1 - bounded))
        return self.candidate.service_time_s * (1 + queue) + OVERLOAD_PENALTY_S * max(
            0.0, utilization - SATURATED_UTILIZATION
        )

    @property
    def spare_rate(self) -> float:
        """Return how many more requests per second the server may be given."""
        return max(0.0, MAX_RECEIVER_UTILIZATION * self._capacity - self.rate)

    @property
    def _latest_lower_bound(self) -> float:
        requests = max(0.0, self.latest) * LATEST_DECAY_S
        return max(0.0, requests - NOISE_DEVIATIONS * sqrt(requests)) / LATEST_DECAY_S

    def add(self, load: RangeLoad, sign: int = 1) -> None:
        """Add the load of keys; with a sign of -1, subtract it."""
        self.steady += sign * load.steady
        self.latest += sign * load.latest
        self.keys += sign * load.keys
        self._update_rate()

    def _update_rate(self) -> None:
        self.rate = max(0.0, self.steady, self._latest_lower_bound)
        self.utilization = self.rate / self._capacity


def balancing_rate(donor: ServerRanges, receiver: ServerRanges) -> float:
    """Return the rate to move so that both servers have about equal response times.

    :returns: requests per second, limited by what the receiver may be given.
    """
    low, high = 0.0, min(donor.rate, receiver.spare_rate)
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if donor.response_s(-middle) > receiver.response_s(middle):
            low = middle
        else:
            high = middle
    return high
