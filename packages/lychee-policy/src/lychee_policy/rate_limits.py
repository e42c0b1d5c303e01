"""Rate limits that backend servers name in their answers, and what is known of them."""

from dataclasses import dataclass

from lychee_policy.permits import MIN_LIMIT_PER_S
from lychee_types.limit_messages import ObservedLimit
from lychee_types.registry import ServerIncarnation

UNCONFIRMED_S = 6.0
"""Time after which a limit that no answer has confirmed may be raised, in seconds.

Observations of other gateways arrive up to 4 s late.
"""

UNCONFIRMED_PERMITS = 3.0
"""Additional time after which a limit may be raised, in permits at that limit."""

RAISE_FACTOR = 4.0
"""Factor by which such a limit is raised at once."""

MAX_RAISED_PER_S = 60.0
"""Highest limit after a raise, in requests per second.

Without any, all requests of the time that one answer and its news take would reach the server.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitObservation:
    """What one answer says of a server's rate limit.

    The server wrote the answer at an unknown time between the two that are given.

    :param per_s: requests per second from all gateways together, None if it names no limit.
    :param sent_at: monotonic time at which the request was sent, in seconds.
    :param heard_at: monotonic time at which the answer arrived, in seconds.
    """

    per_s: float | None
    sent_at: float
    heard_at: float


def latest_observation(known: LimitObservation | None, other: LimitObservation) -> LimitObservation:
    """Return the observation that holds, whichever order they are given in.

    An answer is later than another for certain only if its request was sent after the other answer
    had arrived. Where neither is, the stricter limit holds.
    """
    if known is None or other.sent_at >= known.heard_at:
        return other
    if known.sent_at >= other.heard_at:
        return known
    if known.per_s == other.per_s:
        return max(known, other, key=lambda observation: observation.heard_at)
    return min(known, other, key=_strictness)


def raised_observation(
    known: LimitObservation, *, quiet_since: float, now: float
) -> LimitObservation | None:
    """Return what to assume of a limit that nobody has needed for a while, None if it holds.

    Only answers tell that a limit has ended, and a server may get no requests because of its limit.
    So the limit is raised step by step until requests come, whose answers confirm or end it.

    :param known: what the last answer said, or what has been assumed since.
    :param quiet_since: monotonic time since which no request may have been sent, in seconds.
    :param now: monotonic time in seconds.
    """
    if known.per_s is None or known.per_s >= MAX_RAISED_PER_S:
        return None
    per_s = max(MIN_LIMIT_PER_S, known.per_s)
    if now - max(known.heard_at, quiet_since) < UNCONFIRMED_S + UNCONFIRMED_PERMITS / per_s:
        return None
    raised_per_s = min(MAX_RAISED_PER_S, RAISE_FACTOR * per_s)
    return LimitObservation(per_s=raised_per_s, sent_at=now, heard_at=now)


class LimitTable:
    """What is known of the limits of servers, by incarnation."""

    def __init__(self) -> None:
        self._known: dict[ServerIncarnation, LimitObservation] = {}

    def __len__(self) -> int:
        """Return how many servers have a limit now."""
        return sum(known.per_s is not None for known in self._known.values())

    def __contains__(self, run: ServerIncarnation) -> bool:
        """Return whether anything is known of a server."""
        return run in self._known

    def limit_per_s(self, run: ServerIncarnation) -> float | None:
        """Return a server's limit in requests per second, None if it has none."""
        known = self._known.get(run)
        return known.per_s if known is not None else None

    def record(self, run: ServerIncarnation, observation: LimitObservation) -> bool:
        """Record an observation, and return whether the server's limit has changed."""
        known = self._known.get(run)
        if known is None and observation.per_s is None:
            return False
        latest = self._known[run] = latest_observation(known, observation)
        return latest.per_s != (known.per_s if known is not None else None)

    def raise_unconfirmed(self, run: ServerIncarnation, *, quiet_since: float, now: float) -> bool:
        """Raise a limit that nobody has needed for a while, and return whether it is raised.

        :param run: the server.
        :param quiet_since: monotonic time since which no request may have been sent, in seconds.
        :param now: monotonic time in seconds.
        """
        known = self._known.get(run)
        if known is None:
            return False
        raised = raised_observation(known, quiet_since=quiet_since, now=now)
        return raised is not None and self.record(run, raised)

    def limited(self) -> tuple[ServerIncarnation, ...]:
        """Return the servers that have a limit now."""
        return tuple(run for run, known in self._known.items() if known.per_s is not None)

    def keep_only(self, runs: set[ServerIncarnation]) -> None:
        """Forget all servers but these."""
        for run in self._known.keys() - runs:
            del self._known[run]

    def export(self, run: ServerIncarnation, now: float) -> ObservedLimit | None:
        """Return what is known of a server for another process, None if nothing is.

        :param run: the server.
        :param now: monotonic time in seconds.
        """
        known = self._known.get(run)
        if known is None:
            return None
        return ObservedLimit(
            run=run,
            per_s=known.per_s,
            sent_ms_ago=max(0, round((now - known.sent_at) * 1_000)),
            heard_ms_ago=max(0, round((now - known.heard_at) * 1_000)),
        )

    def export_all(self, now: float) -> tuple[ObservedLimit, ...]:
        """Return what is known of all servers for another process."""
        exported = (self.export(run, now) for run in self._known)
        return tuple(limit for limit in exported if limit is not None)


def received_observation(limit: ObservedLimit, now: float) -> LimitObservation:
    """Return the observation of another process by this process's clock.

    :param limit: the observation as it was sent.
    :param now: monotonic time in seconds.
    """
    return LimitObservation(
        per_s=limit.per_s,
        sent_at=now - limit.sent_ms_ago / 1_000,
        heard_at=now - limit.heard_ms_ago / 1_000,
    )


def _strictness(observation: LimitObservation) -> float:
    return float("inf") if observation.per_s is None else observation.per_s
