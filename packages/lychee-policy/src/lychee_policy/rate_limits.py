"""Rate limits that backend servers name in their answers, and what is known of them."""

from dataclasses import dataclass


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


def _strictness(observation: LimitObservation) -> float:
    return float("inf") if observation.per_s is None else observation.per_s
