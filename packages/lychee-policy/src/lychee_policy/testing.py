"""Simulate several gateways that share one server's rate limit, by a clock of their own."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from lychee_policy.permits import PERMIT_HOLD_S, PermitIssuer, PermitReserve

WINDOW_S = 4.0
"""Length of the windows in which arrivals are counted, in seconds."""

PERMITS_PER_QUESTION = 2
"""Number of permits that a gateway asks for at once."""


class LimitRule(Enum):
    """How the gateways keep the limit."""

    PERMITS = "permits"
    EQUAL_SHARES = "equal-shares"
    EACH_ALONE = "each-alone"


@dataclass(frozen=True, kw_only=True)
class LimitLoad:
    """Calls that all want the server with the limit.

    :param gateways: number of gateways.
    :param active: number of gateways that get calls.
    :param limit_per_s: the limit in requests per second.
    :param calls_per_s: calls per second at all gateways together.
    :param rule: how the gateways keep the limit.
    :param seed: seed of the random numbers.
    """

    gateways: int
    active: int
    limit_per_s: float
    calls_per_s: float
    rule: LimitRule = LimitRule.PERMITS
    seed: int = 1


@dataclass(kw_only=True)
class _Gateway:
    reserve: PermitReserve
    held: deque[float] = field(default_factory=deque)
    asks_at: float = 0.0
    tokens: float = 1.0
    counted_at: float = 0.0


class LimitSimulation:
    """Simulates the gateways and their leader.

    :param load: the calls.
    :param has_leader: returns whether there is a leader at a time in seconds.
    """

    def __init__(
        self, load: LimitLoad, *, has_leader: Callable[[float], bool] = lambda now: True
    ) -> None:
        self._load = load
        self._has_leader = has_leader
        self._rng = Random(load.seed)
        self._issuer: PermitIssuer | None = None
        self._gateways = [
            _Gateway(reserve=PermitReserve(now=0.0, rng=self._rng)) for _ in range(load.gateways)
        ]

    def run(self, seconds: float) -> list[float]:
        """Return the times at which requests arrive at the server, in seconds."""
        now, arrivals = 0.0, []
        while now < seconds:
            now += self._rng.expovariate(self._load.calls_per_s)
            if not self._has_leader(now):
                self._issuer = None
            if self._is_sent(self._rng.choice(self._gateways[: self._load.active]), now):
                arrivals.append(now)
        return arrivals

    def _is_sent(self, gateway: _Gateway, now: float) -> bool:
        match self._load.rule:
            case LimitRule.PERMITS:
                return self._takes_permit(gateway, now)
            case LimitRule.EQUAL_SHARES:
                rate_per_s = self._load.limit_per_s / self._load.gateways
                return self._takes_token(gateway, rate_per_s, now)
            case LimitRule.EACH_ALONE:
                return self._takes_token(gateway, self._load.limit_per_s, now)

    def _takes_permit(self, gateway: _Gateway, now: float) -> bool:
        while gateway.held and gateway.held[0] < now:
            gateway.held.popleft()
        has_leader = self._has_leader(now)
        if has_leader and not gateway.held and now >= gateway.asks_at:
            self._ask(gateway, now)
        if gateway.held:
            gateway.held.popleft()
            return True
        return not has_leader and gateway.reserve.try_take(
            per_s=self._load.limit_per_s, gateways=self._load.gateways, now=now
        )

    def _ask(self, gateway: _Gateway, now: float) -> None:
        if self._issuer is None:
            self._issuer = PermitIssuer(per_s=self._load.limit_per_s, now=now)
        issued = self._issuer.issue(PERMITS_PER_QUESTION, now)
        gateway.held.extend([now + PERMIT_HOLD_S] * issued.count)
        if issued.count < PERMITS_PER_QUESTION:
            gateway.asks_at = now + issued.retry_after_s

    def _takes_token(self, gateway: _Gateway, rate_per_s: float, now: float) -> bool:
        gateway.tokens = min(1.0, gateway.tokens + (now - gateway.counted_at) * rate_per_s)
        gateway.counted_at = now
        if gateway.tokens < 1.0:
            return False
        gateway.tokens -= 1.0
        return True


def most_in_a_window(arrivals: Sequence[float]) -> int:
    """Return the highest number of arrivals in any window of :data:`WINDOW_S`.

    :param arrivals: times in seconds, in order.
    """
    window: deque[float] = deque()
    most = 0
    for at in arrivals:
        window.append(at)
        while window[0] <= at - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most
