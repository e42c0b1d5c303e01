"""How long a server is cold, from what it reports and from what is assumed in between.

A cold server gets its requests by permits, see :mod:`lychee_policy.permits`. The load that this
responds to: servers that have just started or become cold again, reported by themselves each second
at most, and processes that learn of it late, lose news or have just started themselves.

A report that extends the cold time holds at once. One that shortens it may be older than it looks
by the time that it took, and holds only if it was heard enough later.
"""

from dataclasses import dataclass
from math import ceil, inf

from lychee_types.cold_messages import ObservedCold
from lychee_types.registry import ServerIncarnation

COLD_MARGIN_S = 0.1
"""Time for which a server still counts as cold after the end that it named, in seconds."""

REPORT_DELAY_S = 0.5
"""Maximum time that a server's own report takes, in seconds."""

NEWS_DELAY_S = 3.0
"""Maximum time that another process's news of a report take, in seconds."""

MAX_REPORT_AGE_S = 4.0
"""Age from which a report does not tell that a server is warm, in seconds."""

RISE_S = 1.0
"""Time in which a server's share rises to the full one after its cold time, in seconds."""

CHANGE_S = 0.3
"""Change of the end of a cold time that is news for other processes, in seconds.

The times that reports take differ by less.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdReading:
    """What a server reported of the time for which it stays cold.

    :param remaining_s: the time in seconds, 0 if it is warm.
    :param heard_at: monotonic time at which it was heard, in seconds.
    :param delay_s: maximum time that it took from the server, in seconds.
    """

    remaining_s: float
    heard_at: float
    delay_s: float = REPORT_DELAY_S

    @property
    def until(self) -> float:
        """Return the monotonic time until which the server is cold, in seconds; -inf if warm."""
        return self.heard_at + self.remaining_s if self.remaining_s > 0 else -inf


def received_reading(observed: ObservedCold, now: float) -> ColdReading:
    """Return another process's reading by this process's clock.

    :param observed: the reading as it was sent.
    :param now: monotonic time in seconds.
    """
    return ColdReading(
        remaining_s=observed.remaining_ms / 1_000,
        heard_at=now - observed.heard_ms_ago / 1_000,
        delay_s=NEWS_DELAY_S,
    )


class ColdTime:
    """The time for which one server is cold.

    :param assumed_until: monotonic time until which it counts as cold before any report, in
        seconds.
    """

    def __init__(self, *, assumed_until: float = -inf) -> None:
        self._until = assumed_until
        self._assumed_at: float | None = -inf
        self._known_at = -inf
        self._latest: ColdReading | None = None

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold, or counts as cold."""
        return now < self._until + COLD_MARGIN_S

    def slowdown(self, now: float, *, factor: float) -> float:
        """Return the factor on the server's service time; it falls gradually after the cold time.

        :param now: monotonic time in seconds.
        :param factor: the factor while the server is cold.
        """
        warm_s = now - self._until - COLD_MARGIN_S
        if warm_s >= RISE_S:
            return 1.0
        return factor - (factor - 1.0) * max(0.0, warm_s) / RISE_S

    def assume(self, for_s: float, now: float) -> None:
        """Count the server as cold until a later report says otherwise.

        :param for_s: maximum time in seconds.
        :param now: monotonic time in seconds.
        """
        self._until = max(self._until, now + for_s)
        self._assumed_at = now
        self._latest = None

    def record(self, reading: ColdReading, now: float) -> bool:
        """Record a report, and return whether it changes the end of the cold time."""
        former = self._until
        is_extended = reading.until > former
        if not is_extended and not self._is_later(reading, now):
            return False
        if is_extended or reading.until > reading.heard_at:
            self._until = reading.until
        else:
            self._until = min(former, reading.heard_at - COLD_MARGIN_S)
        self._assumed_at = None
        self._known_at = max(self._known_at, reading.heard_at)
        if self._latest is None or reading.heard_at >= self._latest.heard_at:
            self._latest = reading
        is_new_end = abs(self._until - former) > CHANGE_S
        return is_new_end and max(self._until, former) > now - COLD_MARGIN_S

    def export(self, run: ServerIncarnation, now: float) -> ObservedCold | None:
        """Return the last report for another process, None if there is none that holds."""
        if self._latest is None:
            return None
        return ObservedCold(
            run=run,
            remaining_ms=ceil(max(0.0, self._until - self._latest.heard_at) * 1_000),
            heard_ms_ago=max(0, round((now - self._latest.heard_at) * 1_000)),
        )

    def _is_later(self, reading: ColdReading, now: float) -> bool:
        """Return whether a report is recent and certain to be later than what is known."""
        if now - reading.heard_at > MAX_REPORT_AGE_S:
            return False
        if self._assumed_at is not None:
            return reading.heard_at >= self._assumed_at + REPORT_DELAY_S
        return reading.heard_at >= self._known_at + reading.delay_s
