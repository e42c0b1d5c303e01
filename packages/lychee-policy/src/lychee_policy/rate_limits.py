"""Rate limits that backend servers name in their answers, and what is known of them."""

from dataclasses import dataclass

from lychee_types.limit_messages import ObservedLimit
from lychee_types.registry import ServerIncarnation


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
