"""Election timer and the votes received."""

from random import Random

from lychee_log.records import Membership
from lychee_types.ids import ReplicaId
from lychee_types.timing import Timing

RESTART_SPREAD = 0.4
"""Maximum random delay after the initial vote block, as a share of the election timeout."""

RETRY_SHARE = 0.5
"""Mean delay before a candidate retries, as a share of the election timeout."""


class Election:
    """The election deadline, the period in which this replica must not vote, and votes received.

    A follower must not vote for another candidate for one election timeout after each message of
    the leader: the leader's lease relies on it.

    :param timing: timing parameters.
    :param seed: seed of the random timeouts.
    :param now: current monotonic time in seconds.
    :param block_votes_s: seconds without votes after a start, because a leader may hold a lease
        that relies on this replica's replies from before the restart.
    """

    def __init__(self, *, timing: Timing, seed: int, now: float, block_votes_s: float) -> None:
        self._random = Random(seed)
        self.timeout_s = timing.election_ms / 1_000
        self.votes_blocked_until = now + block_votes_s
        self.deadline = now
        self._votes: set[ReplicaId] = set()
        self.restart_timer(now)
        if block_votes_s:
            # This replica has been down for some time already. A leader that is still running sends
            # a heartbeat before this deadline.
            spread_s = self.timeout_s * RESTART_SPREAD * self._random.random()
            self.deadline = self.votes_blocked_until + spread_s

    def restart_timer(self, now: float) -> None:
        """Set the election deadline to a random time one to two election timeouts from now."""
        self.deadline = now + self.timeout_s * self._random.uniform(1.0, 2.0)

    def schedule_retry(self, now: float) -> None:
        """Set the election deadline to a shorter random time, for the next attempt."""
        self.deadline = now + self.timeout_s * RETRY_SHARE * self._random.uniform(0.5, 1.5)

    def note_leader_contact(self, now: float) -> None:
        """Block votes for one election timeout and restart the timer after a leader's message."""
        self.block_votes_until(now + self.timeout_s)
        self.restart_timer(now)

    def block_votes_until(self, until: float) -> None:
        """Refuse to vote for another replica before a time."""
        self.votes_blocked_until = max(self.votes_blocked_until, until)

    def are_votes_blocked(self, now: float) -> bool:
        """Return whether this replica must not vote for another one yet."""
        return now < self.votes_blocked_until

    def reset_votes(self) -> None:
        """Discard the votes of the previous attempt."""
        self._votes.clear()

    def add_vote(self, voter: ReplicaId) -> None:
        """Record the vote of a voter."""
        self._votes.add(voter)

    def is_won(self, members: Membership) -> bool:
        """Return whether a majority of the voters has granted its vote."""
        granted = sum(voter.id in self._votes for voter in members.voters)
        return granted >= members.quorum
