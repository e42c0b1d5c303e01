"""Timers and votes of elections."""

from random import Random

from lychee_log.records import Membership
from lychee_types.ids import ReplicaId
from lychee_types.timing import Timing

RESTART_SPREAD = 0.4
"""Greatest wait of a restarted replica beyond its promise, as a share of the election timeout."""

RETRY_SHARE = 0.5
"""Wait before a candidate tries again, as a share of the election timeout."""


class Election:
    """When to stand for election, until when not to vote, and the votes received.

    :param timing: time limits.
    :param seed: seed of the random timeouts.
    :param now: monotonic seconds.
    :param promised_s: seconds during which a vote may break a promise given before a restart.
    """

    def __init__(self, *, timing: Timing, seed: int, now: float, promised_s: float) -> None:
        self._random = Random(seed)
        self.timeout_s = timing.election_ms / 1_000
        self.promised_until = now + promised_s
        self.deadline = now
        self._granted: set[ReplicaId] = set()
        self.restart_timer(now)
        if promised_s:
            # It has been down for a while; a leader that still lives speaks up before this.
            spread_s = self.timeout_s * RESTART_SPREAD * self._random.random()
            self.deadline = self.promised_until + spread_s

    def restart_timer(self, now: float) -> None:
        """Wait a random time from one to two election timeouts."""
        self.deadline = now + self.timeout_s * self._random.uniform(1.0, 2.0)

    def retry_soon(self, now: float) -> None:
        """Wait a shorter random time before the next attempt."""
        self.deadline = now + self.timeout_s * RETRY_SHARE * self._random.uniform(0.5, 1.5)

    def hear_leader(self, now: float) -> None:
        """Promise not to vote for an election timeout, because a leader was heard."""
        self.promise(now + self.timeout_s)
        self.restart_timer(now)

    def promise(self, until: float) -> None:
        """Promise not to vote for another replica until a time."""
        self.promised_until = max(self.promised_until, until)

    def has_promised(self, now: float) -> bool:
        """Return whether a vote for another replica would break a promise."""
        return now < self.promised_until

    def begin(self) -> None:
        """Forget the votes of the last attempt."""
        self._granted.clear()

    def grant(self, voter: ReplicaId) -> None:
        """Count a vote."""
        self._granted.add(voter)

    def is_won(self, members: Membership) -> bool:
        """Return whether a majority of the voters has granted."""
        granted = sum(voter.id in self._granted for voter in members.voters)
        return granted >= members.quorum
