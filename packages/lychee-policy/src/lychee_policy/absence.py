"""Whether a backend server still has a request that it has not answered, by the loads it tells.

The load: full servers that drop silently what they cannot queue, while callers wait for seconds.

A request is gone from its server only if all of this holds:

- the server's own system has confirmed all of the request's bytes. What a gateway that carries the
  connection has confirmed may not have reached the server;
- the server has answered something that was asked after that. Its process has run since, but after
  a pause it may read its connections in any order, so it may not have read the request yet;
- `SETTLE_S` later it was asked again, and the load in the answer is zero. It does not matter
  whether the load counts the request that it comes with;
- no byte came on the request's connection until `WAY_S` after that, so no answer is on its way.

Nothing else is evidence: not silence, not a load above zero (the request may be part of it), not a
load that was asked for earlier, however late it comes, and no answer to an unknown question.
"""

from dataclasses import dataclass
from math import inf

SETTLE_S = 0.5
"""Time in which a server that runs reads what its system has received, in seconds."""

WAY_S = 1.0
"""Longest time that an answer is on its way from a server, with lost packets, in seconds."""

QUESTION_GAP_S = 0.55
"""Time between the first questions for a load, in seconds; longer than `SETTLE_S`."""

MAX_QUESTION_GAP_S = 2.0
"""Longest time between two questions, in seconds."""

QUICK_QUESTIONS = 3
"""Number of questions after which the time between them doubles with each."""

MIN_GAIN_S = 0.5
"""Least time before the deadline by which a caller must learn of it to make questions worth it."""


@dataclass(kw_only=True, slots=True, eq=False)
class AbsenceProof:
    """What is known of one request's presence at its server; times are monotonic, in seconds.

    :param arrived_at: when the server's system was seen to have all of it, infinite before that.
    :param running_at: when the server was first heard to have run after that.
    :param idle_at: when it was heard to run and queue nothing, long enough after that.
    :param least: the lowest load that was asked for since it had arrived, -1 before there is one.
    """

    arrived_at: float = inf
    running_at: float = inf
    idle_at: float = inf
    least: int = -1

    def record_load(self, occupied: int, *, asked_at: float, heard_at: float) -> None:
        """Record a load that the server has told.

        :param occupied: number of requests that it runs or queues.
        :param asked_at: monotonic time in seconds at which the question, or the request with whose
            answer it came, was sent at the earliest.
        :param heard_at: monotonic time in seconds at which it came.
        """
        if asked_at < self.arrived_at:
            return
        self.least = occupied if self.least < 0 else min(self.least, occupied)
        if self.running_at == inf:
            self.running_at = heard_at
        elif occupied == 0 and asked_at >= self.running_at + SETTLE_S:
            self.idle_at = min(self.idle_at, heard_at)

    def is_complete(self, now: float) -> bool:
        """Return whether the server no longer has the request, if it has sent no byte since."""
        return now >= self.idle_at + WAY_S

    def is_worth_asking(self, now: float, *, deadline: float) -> bool:
        """Return whether a load that is asked for now can help the caller in time."""
        if self.arrived_at == inf or self.idle_at < inf:
            return False
        settle_s = SETTLE_S if self.running_at == inf else 0.0
        return deadline - now >= settle_s + WAY_S + MIN_GAIN_S


def question_gap_s(asked: int) -> float:
    """Return the time after which a server is asked again, in seconds.

    :param asked: number of questions so far.
    """
    return min(MAX_QUESTION_GAP_S, QUESTION_GAP_S * 2.0 ** max(0, asked - QUICK_QUESTIONS))
