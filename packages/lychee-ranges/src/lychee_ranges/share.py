"""What a server has to do, and how soon it answers with more or less of it."""

from dataclasses import dataclass, field
from math import sqrt

from lychee_ranges.loads import FAST_S
from lychee_ranges.moves import Candidate
from lychee_types.registry import KeyRange

FULL = 0.9
"""Use of a server's slots from which its queue is taken to grow with each request."""

ROOM = 0.6
"""Use of a server's slots up to which it is given more keys."""

OVERLOAD_S = 5.0
"""Response time added for each unit of use beyond :data:`FULL`, in seconds."""

CHANCE = 1.5
"""Standard deviations that the latest rate must lie above to be no chance."""

HALVINGS = 12
"""Steps of a search by halving."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Requests for some keys.

    :param steady: requests a second.
    :param latest: requests a second lately.
    :param keys: number of keys.
    """

    steady: float
    latest: float
    keys: int


@dataclass(kw_only=True, slots=True)
class Share:
    """What one server has and gets while a plan is made.

    :param candidate: the server.
    :param steady: requests a second.
    :param latest: requests a second lately.
    :param keys: number of its keys.
    :param ranges: its ranges that may be moved.
    """

    candidate: Candidate
    steady: float = 0.0
    latest: float = 0.0
    keys: int = 0
    ranges: list[KeyRange] = field(default_factory=list)

    @property
    def is_hot(self) -> bool:
        """Return whether the latest requests are more than chance makes of the steady ones."""
        return self._latest_sure > self.steady

    @property
    def rate(self) -> float:
        """Return the requests a second that it surely gets."""
        return max(0.0, self.steady, self._latest_sure)

    @property
    def use(self) -> float:
        """Return the part of its slots that is in use."""
        return self.rate / self.candidate.capacity

    def response_s(self, more: float = 0.0) -> float:
        """Return the time to an answer if its rate changed by so many requests a second.

        Sakasegawa's approximation for a queue with several servers.
        """
        slots = max(1, self.candidate.server.slots)
        use = max(0.0, self.rate + more) / self.candidate.capacity
        bound = min(use, FULL)
        queue: float = bound ** sqrt(2 * (slots + 1)) / (slots * (1 - bound))
        return self.candidate.pace_s * (1 + queue) + OVERLOAD_S * max(0.0, use - FULL)

    @property
    def room(self) -> float:
        """Return the requests a second that it may be given."""
        return max(0.0, ROOM * self.candidate.capacity - self.rate)

    @property
    def _latest_sure(self) -> float:
        counted = max(0.0, self.latest) * FAST_S
        return max(0.0, counted - CHANCE * sqrt(counted)) / FAST_S

    def add(self, load: Load, sign: int = 1) -> None:
        """Count keys that it gets; with a sign of -1, keys that it loses."""
        self.steady += sign * load.steady
        self.latest += sign * load.latest
        self.keys += sign * load.keys


def evening_load(donor: Share, taker: Share) -> float:
    """Return the load whose move has both answer about equally soon, requests a second."""
    low, high = 0.0, min(donor.rate, taker.room)
    for _ in range(HALVINGS):
        middle = (low + high) / 2
        if donor.response_s(-middle) > taker.response_s(middle):
            low = middle
        else:
            high = middle
    return high
