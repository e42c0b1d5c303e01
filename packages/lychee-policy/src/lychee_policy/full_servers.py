"""Whether the servers of a service leave unanswered what they cannot queue.

The load: servers are full. Where they refuse at once, a request costs a round trip. Where they
leave it unanswered, its caller waits for the timeout. Long work, a paused server and lost responses
cause timeouts too, but they are few beside the answers of servers with a long queue.
"""

from dataclasses import dataclass
from math import exp, inf

DECAY_S = 60.0
"""Time in which the weight of a request falls to 1/e, in seconds."""

MIN_UNANSWERED = 6.0
"""Least number of unanswered requests that says anything."""

MIN_UNANSWERED_SHARE = 0.08
"""Least share of requests at servers with a long queue that full servers leave unanswered."""

KNOWN_S = 600.0
"""Time for which it stays known that full servers leave requests unanswered, in seconds.

Once it is known, fewer requests are sent to full servers, and none are left unanswered.
"""

LONG_QUEUE_PER_SLOT = 1
"""Requests per slot in a server's queue from which the server may be full."""


def has_long_queue(occupied: int, slots: int) -> bool:
    """Return whether a server may be full.

    :param occupied: number of requests that it runs or queues, as it reported last.
    :param slots: number of requests that it works on at once.
    """
    return occupied >= slots * (1 + LONG_QUEUE_PER_SLOT)


@dataclass(kw_only=True, slots=True)
class FullServerSigns:
    """Decaying numbers of requests at the servers of one service that had a long queue.

    :param updated_at: monotonic time in seconds of the last change.
    :param unanswered: requests that were left unanswered until their deadline.
    :param answered: requests that were answered, whatever the answer.
    :param known_until: monotonic time in seconds until which full servers are known to leave
        unanswered what they cannot queue.
    """

    updated_at: float
    unanswered: float = 0.0
    answered: float = 0.0
    known_until: float = -inf

    def leaves_unanswered(self, now: float) -> bool:
        """Return whether full servers leave unanswered what they cannot queue."""
        return now < self.known_until

    def record(self, *, unanswered: int, answered: int, now: float) -> None:
        """Count requests.

        :param unanswered: those that were left unanswered.
        :param answered: those that were answered.
        :param now: monotonic time in seconds.
        """
        weight = exp((self.updated_at - now) / DECAY_S)
        self.unanswered = weight * self.unanswered + unanswered
        self.answered = weight * self.answered + answered
        self.updated_at = now
        is_frequent = self.unanswered >= MIN_UNANSWERED_SHARE * (self.unanswered + self.answered)
        if unanswered and self.unanswered >= MIN_UNANSWERED and is_frequent:
            self.known_until = now + KNOWN_S
