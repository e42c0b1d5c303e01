"""Permits: one rate limit that many gateways share.

The leader issues permits at the rate that a server has named, one for each request. A gateway
without an answer of the leader takes from a reserve instead. Gateways share nothing of their
reserves, but all reserves together hold a fixed share of the limit.

Permits that the leader issues, those that are still held from before, and the reserves add up to at
most one and a half times the limit in any few seconds.
"""

from dataclasses import dataclass
from random import Random

ISSUED_SHARE = 0.95
"""Share of a limit that the leader issues."""

RESERVE_SHARE = 0.35
"""Share of a limit that the reserves of all gateways hold together."""

PERMIT_HOLD_S = 0.5
"""Time for which a permit can be used after it was asked for, in seconds."""

BURST_PERMITS = 1.75
"""Permits that the leader may save up for each server."""

BURST_S = 0.1
"""Time for which permits are saved up besides, in seconds of the limit."""

MIN_LIMIT_PER_S = 0.25
"""Minimum rate of permits; a server's answers tell that its limit has ended."""

MAX_TURN_S = 2.0
"""Maximum time for which turns are given out in advance, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Issued:
    """The leader's answer to a gateway that asks for permits.

    :param count: number of permits.
    :param retry_after_s: time until the next permit that nobody else waits for, in seconds.
    """

    count: int
    retry_after_s: float


class PermitIssuer:
    """Issues permits for one server's limit; it starts without any saved up.

    :param per_s: the limit in requests per second.
    :param now: monotonic time in seconds.
    """

    def __init__(self, *, per_s: float, now: float) -> None:
        self._per_s = max(MIN_LIMIT_PER_S, per_s)
        self._saved = 0.0
        self._updated_at = now
        self._last_turn_at = now
        self._issued_at = now

    @property
    def issued_at(self) -> float:
        """Monotonic time of the last permit, or of the start, in seconds."""
        return self._issued_at

    @property
    def rate_per_s(self) -> float:
        """Number of permits per second."""
        return ISSUED_SHARE * self._per_s

    def set_limit(self, per_s: float, now: float) -> None:
        """Change the limit; permits that were saved up above its burst are lost."""
        self._save_up(now)
        self._per_s = max(MIN_LIMIT_PER_S, per_s)
        self._saved = min(self._saved, self._burst)

    def issue(self, wanted: int, now: float) -> Issued:
        """Issue up to a number of permits.

        A gateway that comes back at the given time finds a permit: each one that gets too few takes
        a turn.
        """
        self._save_up(now)
        count = min(wanted, int(self._saved))
        self._saved -= count
        if count > 0:
            self._issued_at = now
        next_at = now + max(0.0, 1.0 - self._saved) / self.rate_per_s
        turn_at = max(next_at, self._last_turn_at + 1.0 / self.rate_per_s)
        if count < wanted and turn_at < now + MAX_TURN_S:
            self._last_turn_at = turn_at
        return Issued(count=count, retry_after_s=min(MAX_TURN_S, turn_at - now))

    @property
    def _burst(self) -> float:
        return BURST_PERMITS + BURST_S * self._per_s

    def _save_up(self, now: float) -> None:
        earned = (now - self._updated_at) * self.rate_per_s
        self._saved = min(self._burst, self._saved + earned)
        self._updated_at = now


class PermitReserve:
    """One gateway's part of the reserve for one server.

    A permit falls due at regular intervals, at a time that differs by gateway, and is lost if it is
    not used soon. So idle gateways save up nothing.

    :param now: monotonic time in seconds.
    :param rng: source of random numbers.
    """

    def __init__(self, *, now: float, rng: Random) -> None:
        self._position = rng.random()
        self._updated_at = now
        self._due_at: float | None = None

    def try_take(self, *, per_s: float, gateways: int, now: float) -> bool:
        """Take a permit if one is due, and return whether it is.

        :param per_s: the limit in requests per second.
        :param gateways: approximate number of gateways.
        :param now: monotonic time in seconds.
        """
        self._advance(per_s, gateways, now)
        if self._due_at is None or now - self._due_at > PERMIT_HOLD_S:
            return False
        self._due_at = None
        return True

    def due_in_s(self, *, per_s: float, gateways: int, now: float) -> float:
        """Return the time until the next permit falls due, in seconds."""
        self._advance(per_s, gateways, now)
        return (1.0 - self._position) * _interval_s(per_s, gateways)

    def _advance(self, per_s: float, gateways: int, now: float) -> None:
        """Move the position within the interval, and note when it last passed the end."""
        interval_s = _interval_s(per_s, gateways)
        passed = self._position + (now - self._updated_at) / interval_s
        self._updated_at = now
        self._position = passed % 1.0
        if passed >= 1.0:
            self._due_at = now - self._position * interval_s


def _interval_s(per_s: float, gateways: int) -> float:
    return max(1, gateways) / (RESERVE_SHARE * max(MIN_LIMIT_PER_S, per_s))
