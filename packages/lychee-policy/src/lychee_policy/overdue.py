"""When a request waits at a backend server for longer than its work can explain.

The load: full servers that leave unanswered what they cannot queue. Long work looks the same from
here, so an overdue request is watched and never ended for its age.
"""

MIN_OVERDUE_S = 0.8
"""Shortest wait that counts as overdue, in seconds."""

OVERDUE_FACTOR = 4.0
"""Multiple of the expected response time from which a wait counts as overdue."""


def overdue_after_s(*, service_time_s: float, slowdown: float) -> float:
    """Return after which time without an answer a request is overdue, in seconds.

    The time counts from when the whole request had arrived.

    :param service_time_s: expected service time at the server, in seconds.
    :param slowdown: expected response time as a multiple of that, by the queue when it was sent.
    """
    return max(MIN_OVERDUE_S, OVERDUE_FACTOR * service_time_s * slowdown)
